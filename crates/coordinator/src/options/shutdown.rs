//! Settings of the graceful shutdown.

use std::time::Duration;

use serde::Deserialize;

/// Bounds of a graceful shutdown.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shutdown {
    /// Time for the gateway's running requests to finish, in seconds. It exceeds the gateway's
    /// `drain_s`, so that the ends of all requests are settled.
    pub drain_s: u64,
    /// Time for handing over pools and shards, in seconds. It begins this long before the end of
    /// `drain_s` at the latest.
    pub handover_s: u64,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            drain_s: 75,
            handover_s: 10,
        }
    }
}

impl Shutdown {
    /// Time for running requests.
    #[must_use]
    pub const fn drain(&self) -> Duration {
        Duration::from_secs(self.drain_s)
    }

    /// Time for the hand-over.
    #[must_use]
    pub const fn handover(&self) -> Duration {
        Duration::from_secs(self.handover_s)
    }
}
