//! Long polls of a store that may fall silent.
//!
//! A store that falls silent loses the polls that it holds or gets: it answers none of them after its
//! return. A poll therefore waits only for a share of the time within which its records must take effect,
//! and is repeated as soon as the store answers any call after a failed one.

use std::time::Duration;

/// Wait of a poll, as a share of the time within which its records must take effect. The rest is for the
/// timeout of a lost poll and for the call that replaces it.
const WAIT_SHARE: f64 = 0.5;

/// Longest wait of a poll whose records must take effect within `bound`.
#[must_use]
pub fn wait(bound: Duration) -> Duration {
    bound.mul_f64(WAIT_SHARE)
}

/// What the outcome of a call says about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The store answered.
    Answered,
    /// The store did not answer, or answered that it is away.
    Failed,
    /// The store refused the call for its rate, which says nothing about other calls.
    Limited,
}

/// Outcomes of the calls to a store, over all feeds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    is_lost: bool,
    returns: u64,
}

impl Contact {
    /// Records the outcome of a call; returns whether the store has just returned.
    pub fn record(&mut self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Answered => {
                let returned = std::mem::take(&mut self.is_lost);
                self.returns += u64::from(returned);
                returned
            }
            Outcome::Failed => {
                self.is_lost = true;
                false
            }
            Outcome::Limited => false,
        }
    }

    /// Whether the store has answered no call since one failed.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Number of returns of the store so far. A call in flight during a return may never be answered, and a
    /// pause after a failure is over.
    #[must_use]
    pub const fn returns(&self) -> u64 {
        self.returns
    }
}
