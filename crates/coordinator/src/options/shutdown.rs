//! Settings of the graceful shutdown.

use std::time::Duration;

use serde::Deserialize;

/// Time limits of a graceful shutdown.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shutdown {
    /// Drain timeout for the gateway's running requests, in seconds. It must exceed the gateway's
    /// `drain_s`, so that all requests are settled.
    pub drain_s: u64,
    /// Time reserved for handing over pools and shards, in seconds. The hand-over starts at the
    /// latest this long before the end of `drain_s`.
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
    /// Drain timeout, `drain_s`.
    #[must_use]
    pub const fn drain(&self) -> Duration {
        Duration::from_secs(self.drain_s)
    }

    /// Time reserved for the hand-over, `handover_s`.
    #[must_use]
    pub const fn handover(&self) -> Duration {
        Duration::from_secs(self.handover_s)
    }
}
