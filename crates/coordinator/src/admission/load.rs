//! Polling of the engines' load reports.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use berylknot_border::engine::LoadReport;

/// Interval at which an engine's load is polled.
pub(super) const INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a poll; shorter than [`INTERVAL`], as a later report would be stale.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Result of polling an engine's load.
#[derive(Clone, Debug)]
pub(super) enum Answer {
    /// The engine reported its load.
    Load(LoadReport),
    /// The connection failed, so no process listens at the address.
    Unreachable,
    /// The call timed out or its response was unusable.
    Unknown,
}

/// Polls the load of the engine at an address.
pub(super) async fn poll(client: awc::Client, address: SocketAddr) -> Answer {
    let request = client.get(format!("http://{address}/v1/load"));
    let mut response = match request.timeout(TIMEOUT).send().await {
        Ok(response) => response,
        Err(SendRequestError::Connect(awc::error::ConnectError::Io(_))) => {
            return Answer::Unreachable;
        }
        Err(_) => return Answer::Unknown,
    };
    match response.json::<LoadReport>().await {
        Ok(load) => Answer::Load(load),
        Err(_) => Answer::Unknown,
    }
}
