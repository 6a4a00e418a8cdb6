//! Client of the host's coordinator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use awc::error::{ConnectError, SendRequestError};
use berylknot_coordination::record::Incarnation;
use berylknot_coordination::request::Id;
use berylknot_wire::local::{PATH, Request, Response};
use berylknot_wire::{Frame, Secret};

/// Deadline of a call; longer than the longest wait of a watch.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Largest answer in bytes; a configuration has at most 4 MiB.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// Result of calls to the coordinator.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Failures of calls to the coordinator.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// No process listens at the coordinator's address.
    #[error("coordinator does not run")]
    Refused,
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
    pub(crate) incarnation: Arc<AtomicU64>,
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
        let gateway = self.incarnation();
        match Id::new(self.host.as_str(), gateway, sequence) {
            Ok(id) => id.to_string(),
            // Such a host gets no permission to run streams.
            Err(error) => {
                tracing::error!(%error, host = %self.host, "control: host name is not usable");
                format!("{}-{:x}-{sequence}", self.host, gateway.0)
            }
        }
    }

    /// Incarnation that new requests belong to.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Relaxed))
    }

    /// Starts a new incarnation, higher than the last one.
    pub(crate) fn start_incarnation(&self) -> Incarnation {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        let last = self.incarnation.load(Ordering::Relaxed);
        let new = Incarnation::new(unix_ms, std::process::id())
            .0
            .max(last + 1);
        self.incarnation.store(new, Ordering::Relaxed);
        Incarnation(new)
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
        let sealed = Frame::new(host, incarnation.load(Ordering::Relaxed), sequence, request)
            .seal(secret)?;
        let sent = self.client.post(&self.url).send_body(sealed).await;
        let mut response = sent.map_err(failed)?;
        let body = response.body().limit(ANSWER_LIMIT_BYTES).await;
        let body = body.map_err(|error| Error::Unavailable(error.to_string()))?;
        if !response.status().is_success() {
            return Err(Error::Unavailable(response.status().to_string()));
        }
        Ok(Frame::<Response>::open(&body, secret)?.body)
    }
}

fn failed(error: SendRequestError) -> Error {
    match error {
        SendRequestError::Connect(ConnectError::Io(error))
            if error.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Error::Refused
        }
        error => Error::Unavailable(error.to_string()),
    }
}
