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

/// Timeout of a call; longer than the coordinator holds a watch open.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Size limit of a response; a configuration has at most 4 MiB.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Result of calls to the coordinator.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Failures of calls to the coordinator.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// No process listens at the coordinator's address.
    #[error("coordinator refused the connection, its process is not running")]
    ConnectionRefused,
    /// The call got no successful response; the coordinator may have acted on it.
    #[error("call to the coordinator failed: {0}")]
    Unavailable(String),
    /// A frame cannot be sealed or opened.
    #[error(transparent)]
    Frame(#[from] berylknot_wire::Error),
}

/// Identity of this process, shared by all threads.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Name of the host.
    pub(crate) host: String,
    /// Current incarnation; replaced when its permits lapse or the coordinator refuses it.
    pub(crate) incarnation: Arc<AtomicU64>,
    /// Shared secret that authenticates frames within the deployment.
    pub(crate) secret: Secret,
    /// Sequence number of the next frame.
    pub(crate) frames: Arc<AtomicU64>,
    /// Sequence number of the next request id.
    pub(crate) requests: Arc<AtomicU64>,
}

impl Identity {
    /// Allocates the id of a new request.
    pub(crate) fn next_request_id(&self) -> String {
        let sequence = self.requests.fetch_add(1, Ordering::Relaxed);
        let gateway = self.incarnation();
        match Id::new(self.host.as_str(), gateway, sequence) {
            Ok(id) => id.to_string(),
            // A request with such an id gets no ticket and is refused before it runs.
            Err(error) => {
                tracing::error!(%error, host = %self.host, "control: host name is not valid in request ids, model requests are refused");
                format!("{}-{:x}-{sequence}", self.host, gateway.0)
            }
        }
    }

    /// Incarnation in the ids of new requests.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Relaxed))
    }

    /// Starts a new incarnation, which is higher than the previous one.
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
    /// Creates a client of the coordinator at `address`.
    pub(crate) fn new(address: SocketAddr, identity: Identity) -> Self {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        Self {
            client,
            url: format!("http://{address}{PATH}"),
            identity,
        }
    }

    /// Sends a request in an authenticated frame and waits for the response.
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
        let mut response = sent.map_err(classify)?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| Error::Unavailable(error.to_string()))?;
        if !response.status().is_success() {
            return Err(Error::Unavailable(response.status().to_string()));
        }
        Ok(Frame::<Response>::open(&body, secret)?.body)
    }
}

fn classify(error: SendRequestError) -> Error {
    match error {
        SendRequestError::Connect(ConnectError::Io(error))
            if error.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Error::ConnectionRefused
        }
        error => Error::Unavailable(error.to_string()),
    }
}
