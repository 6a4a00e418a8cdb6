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
