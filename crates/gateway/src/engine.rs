//! Clients of model engines, behind one trait per kind.

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
    /// No connection could be made, so that the engine has seen nothing of the request.
    #[error("engine cannot be reached: {0}")]
    Unreachable(String),
    /// The engine refused the request without running it.
    #[error("engine refused the request: {code}")]
    Refused {
        /// Reason that the engine states.
        code: String,
    },
    /// The connection failed after the request was sent.
    #[error("engine connection failed: {0}")]
    Broken(String),
    /// The engine sent nothing for too long.
    #[error("engine is silent")]
    Silent,
}

impl Error {
    /// Whether the engine certainly did not begin the request.
    pub(crate) fn surely_not_run(&self) -> bool {
        match self {
            Self::Unreachable(_) => true,
            // An engine also answers a request that it stopped upon a cancel.
            Self::Refused { code } => code != "cancelled",
            Self::Broken(_) | Self::Silent => false,
        }
    }
}

/// An engine that runs prefills.
pub(crate) trait Prefill {
    /// Runs a prefill.
    async fn prefill(
        &self,
        address: SocketAddr,
        request: &PrefillRequest,
    ) -> Result<PrefillResponse>;
}

/// An engine that runs decodes.
pub(crate) trait Decode {
    /// Stream of the decode's events.
    type Events: Events;
    /// Starts a decode.
    async fn decode(&self, address: SocketAddr, request: &DecodeRequest) -> Result<Self::Events>;
}

/// Stream of decode events.
pub(crate) trait Events {
    /// Next event; `None` when the engine closed the stream.
    async fn next(&mut self) -> Result<Option<Event<'_>>>;
}

/// An engine whose work can be cancelled.
pub(crate) trait Cancel {
    /// Cancels a request; true when the engine knew it.
    async fn cancel(&self, address: SocketAddr, request_id: &str) -> Result<bool>;
}
