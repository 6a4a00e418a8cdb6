//! Reachability of the store from this host, judged by the age of its last answer.
//!
//! A host that the store does not answer reads records from a peer instead. A host that has access to
//! the store must not, since a copy of all entries costs far more than a read of the new ones.

use std::time::Duration;

use berylknot_coordination::clock::Instant;

/// Tolerated delay of an answer beyond the polling interval; a slow store takes up to 0.25 s.
const DELAY_TOLERANCE: Duration = Duration::from_millis(500);

/// Whether the store's last answer is older than the polling interval plus the tolerated delay.
#[must_use]
pub fn is_overdue(now: Instant, last_answer: Option<Instant>, period: Duration) -> bool {
    last_answer.is_none_or(|at| now.since(at) > period + DELAY_TOLERANCE)
}

/// Longest time between two pages of a list that the store is giving.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether a host without entries is being given the list of them by the store, which answered last at
/// `last_answer`. Hundreds of hosts that have lost their state together would otherwise ask each other too, and
/// the lists of those that have them fill links of 10 Mbit/s for longer than the store takes.
#[must_use]
pub fn is_listing(now: Instant, last_answer: Option<Instant>) -> bool {
    last_answer.is_some_and(|at| now.since(at) < PAGE_TIMEOUT)
}

/// Time in which the store must have answered peers but not this host, so that the outage counts as
/// this host's own. When the store recovers, peers may be answered a second earlier.
const MIN_OWN_OUTAGE: Duration = Duration::from_secs(2);

/// Time after the first answer in which the store answers all feeds again: each has a backoff of its own
/// of up to a second, and a timeout.
const REGAIN_TIME: Duration = Duration::from_secs(3);

/// Distinguishes an outage of the store from one of this host's path to it. Entries expire only during
/// the former; an entry that is missing after the latter has been removed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    alone_since: Option<Instant>,
    /// End of the last outage that affected only this host.
    own_ended_at: Option<Instant>,
}

impl Outage {
    /// Records whether the store is overdue at this host and whether it answers any peer.
    pub fn observe(&mut self, now: Instant, is_overdue: bool, answers_peers: bool) {
        if !is_overdue && self.is_alone(now) {
            self.own_ended_at = Some(now);
        }
        self.alone_since = if is_overdue && answers_peers {
            self.alone_since.or(Some(now))
        } else {
            None
        };
    }

    fn is_alone(&self, now: Instant) -> bool {
        self.alone_since
            .is_some_and(|since| now.since(since) >= MIN_OWN_OUTAGE)
    }

    /// Whether the outage that ends at `now` affected only this host.
    #[must_use]
    pub fn is_own(&self, now: Instant) -> bool {
        let ended = self.own_ended_at;
        self.is_alone(now) || ended.is_some_and(|at| now.since(at) < REGAIN_TIME)
    }
}
