//! Client for the coordinators of other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use berylknot_coordination::record::Record;
use berylknot_wire::Frame;
use berylknot_wire::peer::{PATH, Request, Response};

use crate::state::Identity;

/// Timeout of a call. A grant expires 500 ms after its request was sent.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a call that transfers log entries or a snapshot, or that waits for an append.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response; a snapshot has at most 32 MiB.
const ANSWER_LIMIT_BYTES: usize = 40 << 20;

/// Result of calls to other coordinators.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Failures of calls to other coordinators.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// The call got no valid response; it may have taken effect.
    #[error("no response from the peer: {0}")]
    Unavailable(String),
    /// A frame could not be encoded, decoded or authenticated.
    #[error(transparent)]
    Frame(#[from] berylknot_wire::Error),
}

/// Client whose clones share the sequence of frames.
#[derive(Clone)]
pub(crate) struct Client {
    client: awc::Client,
    identity: Identity,
    next_sequence: Arc<AtomicU64>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Client(..)")
    }
}

impl Client {
    /// Makes a client that sends in the name of a host.
    pub(crate) fn new(identity: Identity) -> Self {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        Self {
            client,
            identity,
            next_sequence: Arc::default(),
        }
    }

    /// Sends a request and returns the response.
    pub(crate) async fn send(&self, address: SocketAddr, request: Request) -> Result<Response> {
        Ok(self.send_for_frame(address, request).await?.body)
    }

    /// Appends records to the log through a peer.
    pub(crate) async fn relay(
        &self,
        address: SocketAddr,
        records: Vec<Record>,
    ) -> std::result::Result<(), String> {
        match self.send(address, Request::Relay { records }).await {
            Ok(Response::Appended) => Ok(()),
            Ok(_) => Err("the relaying peer did not confirm the append".to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Sends a request and returns the response with its frame, which names the responding host.
    pub(crate) async fn send_for_frame(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<Frame<Response>> {
        let is_transfer = matches!(request, Request::Fetch { .. } | Request::Relay { .. });
        let timeout = if is_transfer {
            TRANSFER_TIMEOUT
        } else {
            TIMEOUT
        };
        let Identity {
            host,
            incarnation,
            secret,
        } = &self.identity;
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        let sealed = Frame::new(host, incarnation.0, sequence, request).seal(secret)?;
        // Frames are small and never compressed; omitting `accept-encoding` saves 41 bytes.
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

    /// Sends a message without waiting for the response. Losing it must be harmless.
    pub(crate) fn notify(&self, address: SocketAddr, request: Request) {
        let client = self.clone();
        actix_rt::spawn(async move {
            if let Err(error) = client.send(address, request).await {
                tracing::debug!(%address, %error, "peer: message was not delivered; not retrying");
            }
        });
    }
}
