//! Which requests a kept connection may carry.
//!
//! A faulty endpoint may write a refusal once more, where the answer to a later request is due. Its id
//! tells it from the answers to other requests, but not from the answer to the refused one when that is
//! sent again on the same connection.

/// Largest number of refused requests that are remembered for a connection.
const MAX_REFUSED: usize = 16;

/// Requests that were refused on a connection.
#[derive(Clone, Debug, Default)]
pub struct History {
    refused: Vec<Box<str>>,
}

impl History {
    /// Records that a request was refused, or failed with an answer after which it may be sent again.
    pub fn refuse(&mut self, request: &str) {
        if self.admits(request) {
            self.refused.push(request.into());
        }
    }

    /// Whether a request may be sent: it was not refused on this connection before.
    #[must_use]
    pub fn admits(&self, request: &str) -> bool {
        self.refused.iter().all(|refused| **refused != *request)
    }

    /// Whether the connection must be closed, since a further refusal could not be remembered.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.refused.len() >= MAX_REFUSED
    }
}
