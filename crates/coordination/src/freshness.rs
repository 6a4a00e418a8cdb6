//! Staleness check: whether a host's state is recent enough to accept API keys and use the
//! configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::{Drift, Instant};

/// Maximum age of a known log tail for accepting API keys.
pub const TAIL_LIFETIME: Duration = Duration::from_secs(10);

/// Time after the last successful log read was sent until the host considers the log unreachable.
///
/// Well below [`TAIL_LIFETIME`], so that a majority can agree on an outage before the known tail
/// becomes stale.
pub const LOG_REACH_TIMEOUT: Duration = Duration::from_secs(3);

/// Lifetime of a peer's status for the outage majority, measured from the request for it.
///
/// [`LOG_REACH_TIMEOUT`] plus one [`POLL_INTERVAL`] over a majority ends before [`TAIL_LIFETIME`];
/// one second of this lifetime is a margin for slow responses.
pub const STATUS_LIFETIME: Duration = Duration::from_secs(6);

/// Interval within which a host that cannot reach the log polls all configured hosts once.
///
/// With 360 hosts this is 72 requests/s of about 150 bytes each way.
pub const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Highest number of known tails that the local replica has not reached yet.
const MAX_UNREACHED_TAILS: usize = 16;

/// Status of a host, as reported to a polling peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Whether the host has become ready since its start.
    pub ready: bool,
    /// Whether the host has read the log within [`LOG_REACH_TIMEOUT`].
    pub reaches_log: bool,
    /// Offset of the next entry that the host will apply.
    pub next_offset: u64,
    /// Most recent log tail that the host has applied.
    pub tail: Option<Tail>,
}

/// Log tail as of some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Tail {
    /// Milliseconds since the read that returned the tail was sent.
    pub age_ms: u64,
    /// Offset of the next append at that time.
    pub next_offset: u64,
}

/// Whether API keys may be accepted and the configuration used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The host has applied a log tail that is younger than [`TAIL_LIFETIME`].
    Fresh {
        /// First instant at which the tail is stale.
        until: Instant,
    },
    /// No host of a majority reaches the log, and this host's replica is as recent as all of theirs.
    Outage {
        /// First instant at which the majority is no longer confirmed.
        until: Instant,
    },
    /// The state may be outdated: requests with keys must be refused as not run.
    Stale,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    sent: Instant,
    status: Status,
}

/// Tracks the age of the known log tail and the status of the peers on one host.
#[derive(Clone, Debug)]
pub struct Tracker<H> {
    configured: usize,
    drift: Drift,
    last_read: Option<Instant>,
    applied_tail: Option<(Instant, u64)>,
    unreached_tails: Vec<(Instant, u64)>,
    peers: BTreeMap<H, Peer>,
}

impl<H: Ord> Tracker<H> {
    /// Creates the tracker of a host among `configured` hosts, itself included.
    #[must_use]
    pub const fn new(configured: usize, drift: Drift) -> Self {
        Self {
            configured,
            drift,
            last_read: None,
            applied_tail: None,
            unreached_tails: Vec::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Applies a changed list of configured hosts; `keep` returns whether a peer is still in it.
    pub fn configure(&mut self, configured: usize, keep: impl Fn(&H) -> bool) {
        self.configured = configured;
        self.peers.retain(|host, _| keep(host));
    }

    /// Records the response to a log read of this host that was sent at `sent`; `tail` is the offset
    /// of the next append, `applied` the replica's next offset.
    pub fn record_read(&mut self, sent: Instant, tail: u64, applied: u64) {
        self.last_read = self.last_read.max(Some(sent));
        self.record_tail(sent, tail, applied);
    }

    /// Records a configured peer's response to a request sent at `sent`.
    ///
    /// An unsolicited message must not be passed, since its time in transit is unknown.
    pub fn record_status(&mut self, host: H, sent: Instant, status: Status, applied: u64) {
        if let Some(tail) = status.tail {
            let age = Duration::from_millis(tail.age_ms);
            let read_at = sent - self.drift.safe_wait(age);
            self.record_tail(read_at, tail.next_offset, applied);
        }
        let room = self.peers.len() < self.configured;
        match self.peers.get_mut(&host) {
            Some(peer) if peer.sent <= sent => *peer = Peer { sent, status },
            Some(_) => {}
            None if room => {
                self.peers.insert(host, Peer { sent, status });
            }
            None => {}
        }
    }

    /// Records that the replica has applied all entries before offset `applied`.
    pub fn record_applied(&mut self, applied: u64) {
        let reached = self
            .unreached_tails
            .iter()
            .filter(|(_, tail)| *tail <= applied);
        self.applied_tail = self.applied_tail.max(reached.max().copied());
        let applied_tail = self.applied_tail;
        self.unreached_tails
            .retain(|tail| Some(*tail) > applied_tail);
    }

    /// Status of this host for a polling peer.
    #[must_use]
    pub fn status(&self, now: Instant, ready: bool, applied: u64) -> Status {
        Status {
            ready,
            reaches_log: self.reaches_log(now),
            next_offset: applied,
            tail: self.applied_tail.map(|(read_at, next_offset)| Tail {
                age_ms: now.since(read_at).as_millis() as u64,
                next_offset,
            }),
        }
    }

    /// Whether API keys may be accepted and the configuration used at `now`.
    #[must_use]
    pub fn verdict(&self, now: Instant, applied: u64) -> Verdict {
        if let Some((read_at, _)) = self.applied_tail
            && now < read_at + TAIL_LIFETIME
        {
            let until = read_at + TAIL_LIFETIME;
            return Verdict::Fresh { until };
        }
        self.outage_until(now, applied)
            .map_or(Verdict::Stale, |until| Verdict::Outage { until })
    }

    /// Whether the host should poll all configured hosts within [`POLL_INTERVAL`], because it cannot
    /// reach the log.
    #[must_use]
    pub fn needs_majority(&self, now: Instant) -> bool {
        !self.reaches_log(now)
    }

    fn reaches_log(&self, now: Instant) -> bool {
        self.last_read
            .is_some_and(|read| now.since(read) <= LOG_REACH_TIMEOUT)
    }

    fn record_tail(&mut self, read_at: Instant, tail: u64, applied: u64) {
        if self.unreached_tails.len() >= MAX_UNREACHED_TAILS {
            // Evict the oldest tail, which becomes stale first.
            self.unreached_tails.sort_unstable();
            self.unreached_tails.remove(0);
        }
        self.unreached_tails.push((read_at, tail));
        self.record_applied(applied);
    }

    /// End of the period in which API keys may be accepted because of a log outage; `None` if a
    /// majority does not confirm an outage.
    fn outage_until(&self, now: Instant, applied: u64) -> Option<Instant> {
        let fresh_peers = self
            .peers
            .values()
            .filter(|peer| now < peer.sent + STATUS_LIFETIME);
        let mut request_times = Vec::new();
        for peer in fresh_peers {
            // A peer that is ahead or reaches the log refutes the outage for this host.
            if peer.status.reaches_log || peer.status.next_offset > applied {
                return None;
            }
            if peer.status.ready {
                request_times.push(peer.sent);
            }
        }
        // This host counts itself, so a majority takes `configured / 2` more hosts.
        let needed = self.configured / 2;
        request_times.sort_unstable_by(|left, right| right.cmp(left));
        if needed == 0 {
            return (!self.reaches_log(now)).then(|| now + STATUS_LIFETIME);
        }
        request_times
            .get(needed - 1)
            .map(|oldest| *oldest + STATUS_LIFETIME)
    }
}
