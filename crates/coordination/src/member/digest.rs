//! Gossip digest that a coordinator sends to three peers each second.

use serde::{Deserialize, Serialize};

/// Budget for all control traffic of a node (design, section 1.6).
pub const TRAFFIC_BYTES_PER_SECOND: usize = 29_000;

/// Largest encoded digest in bytes.
///
/// A node sends three and on average receives three per second. They get 40 % of the traffic
/// budget; the rest is for log reads, heartbeats, grants and reservations.
pub const DIGEST_BYTES: usize = TRAFFIC_BYTES_PER_SECOND * 2 / 5 / 6;

/// Encoded size of a host entry.
const HOST_BYTES: usize = 8;
/// Encoded size of a digest without its entries.
const FIXED_BYTES: usize = 48;

/// Highest number of leave notices in a digest; more of them rotate over the rounds.
pub(crate) const MAX_LEAVING: usize = 56;

/// Highest number of endpoint loads in a digest; with 360 hosts and 3,100 endpoints a host
/// coordinates nine on average.
pub(crate) const MAX_LOADS: usize = 16;

/// Highest number of strikes in a digest.
pub(crate) const MAX_STRIKES: usize = 12;

const LEAVING_BYTES: usize = 13;
const LOAD_BYTES: usize = 20;
const STRIKE_BYTES: usize = 19;

/// Number of host entries that fit into a digest with the given numbers of other entries.
///
/// During a log outage, liveness spreads by gossip alone. With 360 hosts, 96 entries per digest
/// left some live hosts without an update for more than 20 s.
pub(crate) const fn host_limit(strikes: usize, leaving: usize, loads: usize) -> usize {
    let others = strikes * STRIKE_BYTES + leaving * LEAVING_BYTES + loads * LOAD_BYTES;
    DIGEST_BYTES.saturating_sub(FIXED_BYTES + others) / HOST_BYTES
}

/// Load of an endpoint as reported by its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Requests that the engine is processing.
    pub running: u16,
    /// Queue depth of the engine.
    pub waiting: u16,
    /// Total number of decode slots.
    pub slots: u16,
}

/// State of other modules, piggybacked on digests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Piggyback {
    /// Accepted configuration version.
    pub configuration: u64,
    /// Latest known tail offset of the log.
    pub log_tail: u64,
    /// Milliseconds since the log was last read up to its tail.
    pub log_age_ms: u32,
    /// Request fingerprints and endpoint tags of strikes, newest first.
    pub strikes: Vec<(u64, u64)>,
}

/// Gossip message about hosts and endpoints. It contains ages in units of 0.1 s instead of times,
/// so that clocks of different hosts are never compared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// State of other modules, not interpreted by the membership view.
    #[serde(rename = "cargo")]
    pub piggyback: Piggyback,
    /// Short tags of hosts, each with the age of its latest contact or renewal.
    pub hosts: Vec<(u32, u8)>,
    /// Tags of leaving hosts and endpoints, each with the age of the leave notice.
    pub leaving: Vec<(u64, u16)>,
    /// Loads of the endpoints that the sender coordinates, by tag.
    pub loads: Vec<(u64, Load)>,
}
