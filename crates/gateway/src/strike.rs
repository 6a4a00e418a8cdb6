//! Reports requests that were in flight when their endpoint crashed, so that requests which crash
//! endpoints can be detected.

use std::net::SocketAddr;
use std::time::Duration;

use berylknot_wire::local::{Request, Strike};
use tokio::net::TcpStream;

use crate::engine::Error;
use crate::state::State;

/// Maximum connection attempts to an endpoint whose stream broke. Several are needed because an
/// exiting process closes its connections before its listening socket.
const MAX_CONNECT_ATTEMPTS: u32 = 3;

/// Delay between connection attempts.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reports a strike if the endpoint broke the stream and now refuses connections, which indicates a
/// crash. A timeout is no evidence against the request.
pub(crate) async fn report(
    state: &State,
    request: &str,
    endpoint: &str,
    address: Option<SocketAddr>,
    error: &Error,
) {
    let (Error::Broken(_), Some(address)) = (error, address) else {
        return;
    };
    if !refuses_connections(address).await {
        return;
    }
    let strike = Strike {
        request: request.to_owned(),
        endpoint: endpoint.to_owned(),
    };
    if let Err(error) = state.control.send(Request::Strike(strike)).await {
        tracing::warn!(request, endpoint, %error, "strike: report was not confirmed by the coordinator");
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        let result = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Err(error)) = result
            && error.kind() == std::io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        actix_rt::time::sleep(CONNECT_RETRY_DELAY).await;
    }
    false
}
