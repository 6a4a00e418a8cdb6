//! What a coordinator tells three peers each second.

use serde::{Deserialize, Serialize};

/// Bytes per second for all control traffic of a node (design, section 1.6).
pub const TRAFFIC_BYTES_PER_SECOND: usize = 29_000;

/// Largest encoded digest in bytes.
///
/// A node sends three and receives three on average each second. They get 40 % of the traffic; the
/// rest is for reading the log, heartbeats, grants and reservations.
pub const DIGEST_BYTES: usize = TRAFFIC_BYTES_PER_SECOND * 2 / 5 / 6;

/// Encoded size of a host, 8 bytes, and of all other parts of a digest without their entries.
const HOST_BYTES: usize = 8;
const FIXED_BYTES: usize = 48;

/// Highest number of leaving names in a digest. More of them take turns.
pub(crate) const MAX_LEAVING: usize = 56;

/// Highest number of loads in a digest; at 360 hosts and 3,100 endpoints a host
/// coordinates nine on average.
pub(crate) const MAX_LOADS: usize = 16;

/// Highest number of strikes in a digest.
pub(crate) const MAX_STRIKES: usize = 12;

const LEAVING_BYTES: usize = 13;
const LOAD_BYTES: usize = 20;
const STRIKE_BYTES: usize = 19;

/// Hosts that fit into a digest with the given numbers of other entries.
///
/// While the log is out, ages of signs of life come by gossip alone. At 360 hosts, 96 in each
/// digest left some live hosts unheard for more than 20 s.
pub(crate) const fn host_limit(strikes: usize, leaving: usize, loads: usize) -> usize {
    let others = strikes * STRIKE_BYTES + leaving * LEAVING_BYTES + loads * LOAD_BYTES;
    DIGEST_BYTES.saturating_sub(FIXED_BYTES + others) / HOST_BYTES
}

/// Load of an endpoint, as its engine reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Running requests.
    pub running: u16,
    /// Requests that wait in the engine.
    pub waiting: u16,
    /// Decode slots.
    pub slots: u16,
}

/// State of other modules that digests carry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Piggyback {
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
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// State of other modules.
    #[serde(rename = "cargo")]
    pub piggyback: Piggyback,
    /// Tags of hosts and the ages of their latest signs of life.
    pub hosts: Vec<(u32, u8)>,
    /// Tags of leaving hosts and endpoints and the ages of the statements.
    pub leaving: Vec<(u64, u16)>,
    /// Loads of the endpoints that the sender coordinates, by tag.
    pub loads: Vec<(u64, Load)>,
}
