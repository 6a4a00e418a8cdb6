//! Client for the coordinators of other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use berylknot_coordination::record::Record;
use berylknot_wire::Frame;
use berylknot_wire::peer::{PATH, Request, Response};

use crate::state::Identity;

/// Deadline of a call. A grant lives for 500 ms from before it was asked for.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Deadline of a call that moves entries or a snapshot, or that waits for the log.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer in bytes; a snapshot has at most 32 MiB.
const ANSWER_LIMIT_BYTES: usize = 40 << 20;

/// Result of calls to other coordinators.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Failures of calls to other coordinators.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// The call was not answered; it may have taken effect.
    #[error("peer does not answer: {0}")]
    Unavailable(String),
    /// A frame cannot be written or was not accepted.
    #[error(transparent)]
    Frame(#[from] berylknot_wire::Error),
}

/// Client for other coordinators.
#[derive(Clone)]
pub(crate) struct Client {
    client: awc::Client,
    identity: Identity,
    frames: Arc<AtomicU64>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Client(..)")
    }
}

impl Client {
    /// Makes a client.
    pub(crate) fn new(identity: Identity) -> Self {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        Self {
            client,
            identity,
            frames: Arc::default(),
        }
    }

    /// Sends a message and waits for the answer.
    pub(crate) async fn send(&self, address: SocketAddr, request: Request) -> Result<Response> {
        Ok(self.ask(address, request).await?.body)
    }

    /// Appends records through a peer.
    pub(crate) async fn relay(
        &self,
        address: SocketAddr,
        records: Vec<Record>,
    ) -> std::result::Result<(), String> {
        match self.send(address, Request::Relay { records }).await {
            Ok(Response::Appended) => Ok(()),
            Ok(_) => Err("the peer did not append".to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Sends a message and waits for the answer, whose frame names the host that gave it.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<Frame<Response>> {
        let moves = matches!(request, Request::Fetch { .. } | Request::Relay { .. });
        let timeout = if moves { TRANSFER_TIMEOUT } else { TIMEOUT };
        let Identity {
            host,
            incarnation,
            secret,
        } = &self.identity;
        let sequence = self.frames.fetch_add(1, Ordering::Relaxed);
        let sealed = Frame::new(host, incarnation.0, sequence, request).seal(secret)?;
        // Frames are small and not compressed; the header that offers compression costs 41 bytes.
        let post = self
            .client
            .post(format!("http://{address}{PATH}"))
            .no_decompress()
            .timeout(timeout);
        let sent = post.send_body(sealed).await;
        let mut response = sent.map_err(|error| Error::Unavailable(error.to_string()))?;
        let body = response.body().limit(ANSWER_LIMIT_BYTES).await;
        let body = body.map_err(|error| Error::Unavailable(error.to_string()))?;
        if !response.status().is_success() {
            return Err(Error::Unavailable(response.status().to_string()));
        }
        Ok(Frame::open(&body, secret)?)
    }

    /// Sends a message whose loss does no harm.
    pub(crate) fn notify(&self, address: SocketAddr, request: Request) {
        let client = self.clone();
        actix_rt::spawn(async move {
            if let Err(error) = client.send(address, request).await {
                tracing::debug!(%address, %error, "peer: message was not delivered");
            }
        });
    }
}
