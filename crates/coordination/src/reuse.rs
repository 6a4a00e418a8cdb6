//! Which requests a kept connection may carry.
//!
//! A faulty endpoint may write an answer once more, where the answer to a later request is due. Its id
//! tells it from the answers to other requests, but not from the answer to the same request when that is
//! sent again on the connection: after a refusal, or for the next stage of its work.

use std::collections::VecDeque;

/// Largest number of refused requests that are remembered for a connection.
const MAX_REFUSED: usize = 16;
/// Number of answered requests that are remembered. The next stage of a request follows its answer at
/// once, so only the last ones count.
const MAX_ANSWERED: usize = 16;

/// Requests that were answered or refused on a connection.
#[derive(Clone, Debug, Default)]
pub struct History {
    refused: Vec<Box<str>>,
    answered: VecDeque<Box<str>>,
}

impl History {
    /// Records that a request was refused, or failed with an answer after which it may be sent again.
    pub fn refuse(&mut self, request: &str) {
        if self.admits(request) {
            self.refused.push(request.into());
        }
    }

    /// Records that a request was answered.
    pub fn answer(&mut self, request: &str) {
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back(request.into());
    }

    /// Whether a request may be sent: it was neither answered nor refused on this connection before.
    #[must_use]
    pub fn admits(&self, request: &str) -> bool {
        let mut known = self.refused.iter().chain(&self.answered);
        known.all(|known| **known != *request)
    }

    /// Whether the connection must be closed, since a further refusal could not be remembered.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.refused.len() >= MAX_REFUSED
    }
}
