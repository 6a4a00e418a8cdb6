//! What a coordinator tells three peers each second.

use serde::{Deserialize, Serialize};

/// Bytes per second for all control traffic of a node (design, section 1.6).
pub const TRAFFIC_BYTES_PER_SECOND: usize = 29_000;

/// Largest encoded digest in bytes.
///
/// A node sends three and receives three on average each second. They get 40 % of the traffic; the
/// rest is for reading the log, heartbeats, grants and reservations.
pub const DIGEST_BYTES: usize = TRAFFIC_BYTES_PER_SECOND * 2 / 5 / 6;

/// Highest number of hosts in a digest, 8 bytes each.
pub(crate) const MAX_HOSTS: usize = 96;

/// Highest number of leaving names in a digest, 13 bytes each. More of them take turns.
pub(crate) const MAX_LEAVING: usize = 56;

/// Highest number of loads in a digest, 19 bytes each; at 360 hosts and 3,100 endpoints a host
/// coordinates nine on average.
pub(crate) const MAX_LOADS: usize = 16;

/// Highest number of strikes in a digest, 20 bytes each.
pub(crate) const MAX_STRIKES: usize = 12;

/// Load of an endpoint, as its engine reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Running requests.
    pub running: u16,
    /// Requests that wait in the engine.
    pub waiting: u16,
    /// Decode slots.
    pub slots: u16,
}

/// State of other modules that digests carry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cargo {
    /// Accepted configuration version.
    pub configuration: u64,
    /// Next offset of the log, as far as known.
    pub log_tail: u64,
    /// Milliseconds since the log was known to be read up to its tail.
    pub log_age_ms: u32,
    /// Fingerprints and endpoint tags of strikes, the latest ones first.
    pub strikes: Vec<(u64, u64)>,
}

/// A digest. Ages are in tenths of a second, so that clocks of two hosts are never compared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// State of other modules.
    pub cargo: Cargo,
    /// Tags of hosts and the ages of their latest signs of life.
    pub hosts: Vec<(u32, u8)>,
    /// Tags of leaving hosts and endpoints and the ages of the statements.
    pub leaving: Vec<(u64, u16)>,
    /// Loads of the endpoints that the sender coordinates, by tag.
    pub loads: Vec<(u64, Load)>,
}
