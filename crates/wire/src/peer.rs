//! Messages between coordinators of different hosts.

use serde::{Deserialize, Serialize};

/// Path of the coordinator's interface for other coordinators.
pub const PATH: &str = "/v1/peer";

/// Message of another coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Request {
    /// Tells that the sender lives.
    Heartbeat,
}

/// Answer to another coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Response {
    /// The message was received.
    Done,
}
