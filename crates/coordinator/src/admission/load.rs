//! Load reports of engines.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use berylknot_border::engine::LoadReport;

/// Time between two reports of an engine.
pub(super) const INTERVAL: Duration = Duration::from_millis(500);

/// Deadline of a report; a later one says little.
const TIMEOUT: Duration = Duration::from_millis(400);

/// What an engine answers about its load.
#[derive(Clone, Debug)]
pub(super) enum Answer {
    /// Its load.
    Load(LoadReport),
    /// No process accepts connections.
    Unreachable,
    /// No usable answer came in time.
    Unknown,
}

/// Asks an engine for its load.
pub(super) async fn ask(client: awc::Client, address: SocketAddr) -> Answer {
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
