//! Confirmation of the endpoint entries: when to read them again, when to ask a peer, and when they
//! are too old for new work.
//!
//! An endpoint that drains must not get requests after the drain deadline. A pause that is counted
//! from the end of the last read exceeds it when one read is slow or fails, so all times count from the
//! start of the last successful read. When the store does not answer in time, a peer that it answers
//! confirms the entries. Without such a peer the store is away for all hosts, and the entries stay in
//! use.

use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::call::CONNECT_TIMEOUT;
use crate::gossip::MIN_REPORT_INTERVAL;

/// Latest age of the entries at which the store is read again, as a share of the drain deadline. Long
/// polls are of no use, since every heartbeat rewrites an entry.
const READ_SHARE: f64 = 0.65;
/// Longest answer time of a slow store. A peer is asked when a read has taken longer.
const SLOW_ANSWER: Duration = Duration::from_millis(260);
/// Age, as a share of the drain deadline, up to which a reader answers other hosts without a read.
const READER_SHARE: f64 = 0.12;
/// Age, as a share of the drain deadline, up to which a reader's answer replaces a read of the store.
const ANSWER_SHARE: f64 = 0.25;
/// Least time before the drain deadline at which the entries are too old for new work, as a share of
/// the deadline.
const MARGIN_SHARE: f64 = 0.15;
/// Least such time for short deadlines: the timeout of opening a connection to an endpoint.
const MIN_MARGIN: Duration = CONNECT_TIMEOUT;
/// Pause between queries to peers, as a share of the drain deadline.
const QUERY_SHARE: f64 = 0.05;
/// Largest difference in age, as a share of the drain deadline, up to which peers count as equally
/// fresh.
const TOLERANCE_SHARE: f64 = 0.15;

/// Age of the endpoint entries against the drain deadline.
#[derive(Clone, Copy, Debug)]
pub struct Refresh {
    drain: Duration,
    /// Time at which the entries were certainly current.
    confirmed_at: Option<Instant>,
}

impl Refresh {
    /// Creates the state of a host without entries; `drain` is the drain deadline.
    #[must_use]
    pub const fn new(drain: Duration) -> Self {
        Self {
            drain,
            confirmed_at: None,
        }
    }

    /// Records that the entries include all changes up to `as_of`: the start of a successful read, or
    /// the time that a peer states for its entries.
    pub fn confirm(&mut self, as_of: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Time at which the entries were certainly current; `None` before the first read.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Interval between reads of the store.
    #[must_use]
    pub fn period(&self) -> Duration {
        let answer = SLOW_ANSWER + MIN_REPORT_INTERVAL;
        let latest = self.expiry().saturating_sub(answer);
        self.drain.mul_f64(READ_SHARE).min(latest)
    }

    /// Pause between queries to peers.
    #[must_use]
    pub fn query_pause(&self) -> Duration {
        self.drain.mul_f64(QUERY_SHARE)
    }

    /// Age up to which a reader answers other hosts without a read of the store.
    #[must_use]
    pub fn reader_age(&self) -> Duration {
        self.drain.mul_f64(READER_SHARE)
    }

    /// Whether a reader's entries that were current at `as_of` replace a read of the store.
    #[must_use]
    pub fn accepts(&self, now: Instant, as_of: Instant) -> bool {
        now.since(as_of) <= self.drain.mul_f64(ANSWER_SHARE)
    }

    /// Whether the entries are older than `age`.
    #[must_use]
    pub fn is_older_than(&self, now: Instant, age: Duration) -> bool {
        self.is_older(now, age)
    }

    /// Largest difference in age up to which peers count as equally fresh.
    #[must_use]
    pub fn tolerance(&self) -> Duration {
        self.drain.mul_f64(TOLERANCE_SHARE)
    }

    /// Pause before the next read.
    #[must_use]
    pub fn pause(&self, now: Instant) -> Duration {
        self.confirmed_at.map_or(Duration::ZERO, |confirmed_at| {
            (confirmed_at + self.period()).since(now)
        })
    }

    /// Whether a peer whose entries were current at `peer` should be asked for them.
    #[must_use]
    pub fn asks_peer(&self, now: Instant, peer: Option<Instant>) -> bool {
        self.is_late(now) && self.is_behind(peer)
    }

    /// Whether the entries are too old for new work, while a peer has fresher ones that were current at
    /// `peer`. If the store answers no peer either, the entries stay in use.
    #[must_use]
    pub fn is_expired(&self, now: Instant, peer: Option<Instant>) -> bool {
        let is_peer_current = peer.is_some_and(|peer| now.since(peer) < self.drain);
        is_peer_current && self.is_behind(peer) && self.is_older(now, self.expiry())
    }

    /// Time left to send requests to an endpoint that leaves and certainly did not at `ready_at`.
    #[must_use]
    pub fn leaves_in(&self, now: Instant, ready_at: Instant) -> Duration {
        (ready_at + self.expiry()).since(now)
    }

    /// Whether the entries are older than they may become while the store answers.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        self.is_older(now, self.period() + SLOW_ANSWER)
    }

    /// Age at which the entries are too old for new work.
    fn expiry(&self) -> Duration {
        let margin = self.drain.mul_f64(MARGIN_SHARE).max(MIN_MARGIN);
        self.drain.saturating_sub(margin)
    }

    fn is_older(&self, now: Instant, age: Duration) -> bool {
        self.confirmed_at
            .is_none_or(|confirmed_at| now.since(confirmed_at) >= age)
    }

    fn is_behind(&self, peer: Option<Instant>) -> bool {
        peer.is_some_and(|peer| self.confirmed_at.is_none_or(|own| own < peer))
    }
}
