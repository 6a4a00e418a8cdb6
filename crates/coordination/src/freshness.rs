//! Whether a host may still honour caller keys and configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::{Drift, Instant};

/// Time for which knowledge of the log's tail permits to honour keys.
pub const TAIL_LIFETIME: Duration = Duration::from_secs(10);

/// A host reaches the log while its last read of the tail was sent at most this long ago.
///
/// Well below [`TAIL_LIFETIME`], so that a majority can agree on an outage before knowledge runs out.
pub const LOG_REACH_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a peer's answer counts towards the majority in an outage, from its question.
///
/// [`LOG_REACH_TIMEOUT`] and one round of [`POLL_INTERVAL`] through a majority end before [`TAIL_LIFETIME`]; one second of this
/// is margin for slow answers.
pub const STATUS_LIFETIME: Duration = Duration::from_secs(6);

/// Time within which a host that lacks the log asks all configured hosts once.
///
/// With 360 hosts this is 72 questions/s of about 150 bytes each way.
pub const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Tails that the own replica has not reached yet, kept per host.
const MAX_PENDING: usize = 16;

/// What a host tells a peer that asks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Whether the host has become ready since its start.
    pub ready: bool,
    /// Whether the host reaches the log.
    pub reaches_log: bool,
    /// Offset of the first entry that the host has not applied.
    pub next_offset: u64,
    /// Newest knowledge of the tail.
    pub tail: Option<Tail>,
}

/// Knowledge that the log ended before an offset some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Tail {
    /// Milliseconds since the read that showed it was sent.
    pub age_ms: u64,
    /// Offset of the next append at that time.
    pub next_offset: u64,
}

/// Whether keys and configuration may be honoured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The host had applied everything up to the tail recently enough.
    Fresh {
        /// First instant at which this no longer holds.
        until: Instant,
    },
    /// Nobody in a majority reaches the log and this host knows as much as all of them.
    Outage {
        /// First instant at which this no longer holds.
        until: Instant,
    },
    /// Keys must be refused as not run.
    Stale,
}

#[derive(Clone, Copy, Debug)]
struct Reply {
    asked: Instant,
    word: Status,
}

/// Knowledge of one host about the tail of the log and about its peers.
#[derive(Clone, Debug)]
pub struct Tracker<H> {
    configured: usize,
    drift: Drift,
    read: Option<Instant>,
    fresh: Option<(Instant, u64)>,
    pending: Vec<(Instant, u64)>,
    peers: BTreeMap<H, Reply>,
}

impl<H: Ord> Tracker<H> {
    /// Makes the line of a host among `configured` hosts, itself included.
    #[must_use]
    pub const fn new(configured: usize, drift: Drift) -> Self {
        Self {
            configured,
            drift,
            read: None,
            fresh: None,
            pending: Vec::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Takes over a changed list of configured hosts; `keep` tells which peers are still in it.
    pub fn configure(&mut self, configured: usize, keep: impl Fn(&H) -> bool) {
        self.configured = configured;
        self.peers.retain(|host, _| keep(host));
    }

    /// Takes the answer to an own read that was sent at `sent` and showed the tail at `tail`, the
    /// offset of the next append. `applied` is the replica's next offset.
    pub fn record_read(&mut self, sent: Instant, tail: u64, applied: u64) {
        self.read = self.read.max(Some(sent));
        self.known(sent, tail, applied);
    }

    /// Takes a configured peer's answer to a question that was sent at `asked`.
    ///
    /// A message that answers no question must not be passed: how long it was under way is unknown.
    pub fn record_status(&mut self, host: H, asked: Instant, word: Status, applied: u64) {
        if let Some(tail) = word.tail {
            let age = Duration::from_millis(tail.age_ms);
            let point = asked - self.drift.safe_wait(age);
            self.known(point, tail.next_offset, applied);
        }
        let room = self.peers.len() < self.configured;
        match self.peers.get_mut(&host) {
            Some(heard) if heard.asked <= asked => *heard = Reply { asked, word },
            Some(_) => {}
            None if room => {
                self.peers.insert(host, Reply { asked, word });
            }
            None => {}
        }
    }

    /// Takes note that the replica has applied all entries before `applied`.
    pub fn record_applied(&mut self, applied: u64) {
        let reached = self.pending.iter().filter(|(_, tail)| *tail <= applied);
        self.fresh = self.fresh.max(reached.max().copied());
        let fresh = self.fresh;
        self.pending.retain(|point| Some(*point) > fresh);
    }

    /// Answer to a peer's question.
    #[must_use]
    pub fn status(&self, now: Instant, ready: bool, applied: u64) -> Status {
        Status {
            ready,
            reaches_log: self.reaches_log(now),
            next_offset: applied,
            tail: self.fresh.map(|(point, next_offset)| Tail {
                age_ms: now.since(point).as_millis() as u64,
                next_offset,
            }),
        }
    }

    /// Whether keys and configuration may be honoured now.
    #[must_use]
    pub fn verdict(&self, now: Instant, applied: u64) -> Verdict {
        if let Some((point, _)) = self.fresh
            && now < point + TAIL_LIFETIME
        {
            let until = point + TAIL_LIFETIME;
            return Verdict::Fresh { until };
        }
        self.outage(now, applied)
            .map_or(Verdict::Stale, |until| Verdict::Outage { until })
    }

    /// Whether the host should ask all configured hosts within [`POLL_INTERVAL`], because it lacks the log.
    #[must_use]
    pub fn needs_majority(&self, now: Instant) -> bool {
        !self.reaches_log(now)
    }

    fn reaches_log(&self, now: Instant) -> bool {
        self.read
            .is_some_and(|read| now.since(read) <= LOG_REACH_TIMEOUT)
    }

    fn known(&mut self, point: Instant, tail: u64, applied: u64) {
        if self.pending.len() >= MAX_PENDING {
            // The oldest knowledge runs out first.
            self.pending.sort_unstable();
            self.pending.remove(0);
        }
        self.pending.push((point, tail));
        self.record_applied(applied);
    }

    /// End of the time for which an outage permits to honour keys, if one does.
    fn outage(&self, now: Instant, applied: u64) -> Option<Instant> {
        let heard = self
            .peers
            .values()
            .filter(|heard| now < heard.asked + STATUS_LIFETIME);
        let mut asked = Vec::new();
        for heard in heard {
            // A peer that knows more, or that reaches the log, ends the outage for this host.
            if heard.word.reaches_log || heard.word.next_offset > applied {
                return None;
            }
            if heard.word.ready {
                asked.push(heard.asked);
            }
        }
        // This host counts itself, so half of the configured hosts, rounded down, are missing.
        let missing = self.configured / 2;
        asked.sort_unstable_by(|left, right| right.cmp(left));
        if missing == 0 {
            return (!self.reaches_log(now)).then(|| now + STATUS_LIFETIME);
        }
        asked
            .get(missing - 1)
            .map(|oldest| *oldest + STATUS_LIFETIME)
    }
}
