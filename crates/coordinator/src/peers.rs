//! Client for the coordinators of other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use berylknot_wire::Frame;
use berylknot_wire::peer::{PATH, Request, Response};

use crate::state::Identity;

/// Deadline of a call. A grant lives for 500 ms from before it was asked for.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Largest answer in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

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
            .no_decompress();
        let sent = post.send_body(sealed).await;
        let mut response = sent.map_err(|error| Error::Unavailable(error.to_string()))?;
        let body = response.body().limit(ANSWER_LIMIT_BYTES).await;
        let body = body.map_err(|error| Error::Unavailable(error.to_string()))?;
        if !response.status().is_success() {
            return Err(Error::Unavailable(response.status().to_string()));
        }
        Ok(Frame::<Response>::open(&body, secret)?.body)
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
