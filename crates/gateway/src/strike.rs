//! Reports of requests that were in flight when their endpoint crashed.

use std::net::SocketAddr;
use std::time::Duration;

use berylknot_wire::local::{Request, Strike};
use tokio::net::TcpStream;

use crate::engine::Error;
use crate::state::State;

/// Tries to connect to an endpoint whose stream broke; a process that ends closes its connections
/// before its listening socket.
const TRIES: u32 = 3;

/// Pause before the next try.
const PAUSE: Duration = Duration::from_millis(50);

/// Deadline of a try.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Reports a strike if the endpoint broke the stream and refuses connections now. A time-out says
/// nothing about the request.
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
    if !refuses(address).await {
        return;
    }
    let strike = Strike {
        request: request.to_owned(),
        endpoint: endpoint.to_owned(),
    };
    if let Err(error) = state.control.send(Request::Strike(strike)).await {
        tracing::warn!(request, endpoint, %error, "strike: report was not delivered");
    }
}

async fn refuses(address: SocketAddr) -> bool {
    for _ in 0..TRIES {
        let tried = actix_rt::time::timeout(TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Err(error)) = tried
            && error.kind() == std::io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    false
}
