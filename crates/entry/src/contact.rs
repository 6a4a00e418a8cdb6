//! Whether the store answers this host, judged by the age of its last answer.
//!
//! Answers stores that turn some hosts away: these read records from a peer instead. A host that the
//! store answers must not, since a copy of all entries costs far more than a read of the new ones.

use std::time::Duration;

use berylknot_coordination::clock::Instant;

/// Lateness of an answer beyond the pause between calls. A slow store takes up to 0.25 s.
const MARGIN: Duration = Duration::from_millis(500);

/// Whether the store's last answer is older than the pause between calls explains.
#[must_use]
pub fn is_overdue(now: Instant, answered: Option<Instant>, period: Duration) -> bool {
    answered.is_none_or(|at| now.since(at) > period + MARGIN)
}

/// Time for which the store must have answered peers, but not this host, to show that the store itself
/// was not away. Peers may be answered a second earlier when it returns for all.
const OWN_OUTAGE: Duration = Duration::from_secs(2);

/// Tells an outage of the store from one of this host's own way to it: entries lapse in the former
/// only, so one that is missing after the latter is gone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    alone_since: Option<Instant>,
}

impl Outage {
    /// Notes whether the store is overdue at this host, and whether it answers any peer.
    pub fn observe(&mut self, now: Instant, is_overdue: bool, answers_peers: bool) {
        self.alone_since = if is_overdue && answers_peers {
            self.alone_since.or(Some(now))
        } else {
            None
        };
    }

    /// Whether the outage that ends now was this host's own.
    #[must_use]
    pub fn is_own(&self, now: Instant) -> bool {
        self.alone_since
            .is_some_and(|since| now.since(since) >= OWN_OUTAGE)
    }
}
