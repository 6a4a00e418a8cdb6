//! Clients of model engines, with one trait per operation.

use std::net::SocketAddr;

use berylknot_border::engine::{DecodeRequest, PrefillRequest, PrefillResponse};
use berylknot_border::event::Event;

pub(crate) mod http;

/// Result of engine calls.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Failures of engine calls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// No connection could be established, so the engine did not receive the request.
    #[error("cannot connect to the engine: {0}")]
    Unreachable(String),
    /// The engine refused the request without running it.
    #[error("engine refused the request: {code}")]
    Refused {
        /// Machine-readable reason given by the engine.
        code: String,
    },
    /// The connection failed or the response was invalid after the request was sent.
    #[error("connection to the engine broke or its response was invalid: {0}")]
    Broken(String),
    /// The engine sent no data before the timeout.
    #[error("engine sent no data before the timeout")]
    Timeout,
}

impl Error {
    /// Whether the engine certainly did not start the request.
    pub(crate) fn never_started(&self) -> bool {
        match self {
            Self::Unreachable(_) => true,
            // An engine also uses this code for a running request that was cancelled.
            Self::Refused { code } => code != "cancelled",
            Self::Broken(_) | Self::Timeout => false,
        }
    }
}

/// Client of engines that run prefills.
pub(crate) trait Prefill {
    /// Runs a prefill and returns the handle of its KV cache.
    async fn prefill(
        &self,
        address: SocketAddr,
        request: &PrefillRequest,
    ) -> Result<PrefillResponse>;
}

/// Client of engines that run decodes.
pub(crate) trait Decode {
    /// Event stream of a decode.
    type Events: Events;
    /// Starts a decode from the KV cache of a prefill.
    async fn decode(&self, address: SocketAddr, request: &DecodeRequest) -> Result<Self::Events>;
}

/// Stream of decode events.
pub(crate) trait Events {
    /// Next event; `None` when the engine closed the stream.
    async fn next(&mut self) -> Result<Option<Event<'_>>>;
}

/// Client of engines that can cancel requests.
pub(crate) trait Cancel {
    /// Cancels a request; true if the engine knew it.
    async fn cancel(&self, address: SocketAddr, request_id: &str) -> Result<bool>;
}
