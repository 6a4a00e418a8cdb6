//! Client of the host's coordinator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use berylknot_wire::local::{PATH, Request, Response};
use berylknot_wire::{Frame, Secret};

/// Deadline of a call; longer than the longest wait of a watch.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Largest answer in bytes; a configuration has at most 4 MiB.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// Result of calls to the coordinator.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Failures of calls to the coordinator.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The call was not answered.
    #[error("coordinator does not answer: {0}")]
    Unavailable(String),
    /// A frame cannot be written or was not accepted.
    #[error(transparent)]
    Frame(#[from] berylknot_wire::Error),
}

/// Identity of this process, shared by all threads.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Name of the host.
    pub(crate) host: String,
    /// Number of this process start.
    pub(crate) incarnation: u64,
    /// Secret of the deployment.
    pub(crate) secret: Secret,
    /// Counter of frames.
    pub(crate) frames: Arc<AtomicU64>,
    /// Counter of requests.
    pub(crate) requests: Arc<AtomicU64>,
}

impl Identity {
    /// Makes the id of a new request.
    pub(crate) fn next_request_id(&self) -> String {
        let sequence = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{sequence:x}", self.host, self.incarnation)
    }
}

/// Client of the coordinator, one per thread.
#[derive(Clone)]
pub(crate) struct Control {
    client: awc::Client,
    url: String,
    identity: Identity,
}

impl std::fmt::Debug for Control {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Control")
            .field("url", &self.url)
            .finish_non_exhaustive()
    }
}

impl Control {
    /// Makes a client of the coordinator at an address.
    pub(crate) fn new(address: SocketAddr, identity: Identity) -> Self {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        Self {
            client,
            url: format!("http://{address}{PATH}"),
            identity,
        }
    }

    /// Sends a message and waits for the answer.
    pub(crate) async fn send(&self, request: Request) -> Result<Response> {
        let Identity {
            host,
            incarnation,
            secret,
            frames,
            ..
        } = &self.identity;
        let sequence = frames.fetch_add(1, Ordering::Relaxed);
        let sealed = Frame::new(host, *incarnation, sequence, request).seal(secret)?;
        let sent = self.client.post(&self.url).send_body(sealed).await;
        let mut response = sent.map_err(|error| Error::Unavailable(error.to_string()))?;
        let body = response.body().limit(ANSWER_LIMIT_BYTES).await;
        let body = body.map_err(|error| Error::Unavailable(error.to_string()))?;
        if !response.status().is_success() {
            return Err(Error::Unavailable(response.status().to_string()));
        }
        Ok(Frame::<Response>::open(&body, secret)?.body)
    }
}
