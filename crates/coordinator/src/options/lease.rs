//! Settings of leases.

use std::time::Duration;

use berylknot_coordination::clock::Drift;
use berylknot_coordination::lease::Timing;
use serde::Deserialize;

/// Lease durations. They must be equal on all hosts of a deployment.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// Lease duration of a shard, in milliseconds.
    pub shard_ms: u64,
    /// Lease duration of a seat, in milliseconds.
    pub seat_ms: u64,
    /// Renewal interval in milliseconds.
    pub renew_ms: u64,
    /// Maximum clock drift of a host, in parts per million.
    pub drift_parts_per_million: u32,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            shard_ms: 15_000,
            seat_ms: 3_600_000,
            renew_ms: 5_000,
            drift_parts_per_million: 1_000,
        }
    }
}

impl Lease {
    /// Converts the settings to the timing of the lease holder.
    #[must_use]
    pub fn timing(&self) -> Timing {
        Timing {
            shard_lease: Duration::from_millis(self.shard_ms),
            seat_lease: Duration::from_millis(self.seat_ms),
            renew_every: Duration::from_millis(self.renew_ms),
            drift: Drift::from_parts_per_million(self.drift_parts_per_million),
        }
    }
}
