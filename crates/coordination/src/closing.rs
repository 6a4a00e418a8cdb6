//! Decides when a stopping host may close a caller's connection.
//!
//! Callers go on using their connections until the host's process is gone. A process that exits with
//! connections open loses the requests that arrive while it ends, and those of connections that it has just
//! accepted. So the host closes each connection itself, some time after an answer and before the next request.
//! A connection that has carried no request yet is about to carry one, and so is one that has just carried an
//! answer: a stream that began before the stop has not announced the end of its connection.

use std::time::Duration;

use crate::clock::Instant;

/// Time after an answer in which callers without a pause send their next request, with the way there.
pub const QUIET_TIME: Duration = Duration::from_millis(300);

/// Use of a connection, as far as its host has read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Time of the last answer.
    answered_at: Option<Instant>,
    /// Whether bytes were received that no request has begun with.
    is_receiving: bool,
    /// Requests that have begun and whose answer is not written.
    open: u32,
}

impl Usage {
    /// Records that bytes were received.
    pub const fn received(&mut self) {
        self.is_receiving = true;
    }

    /// Records that a request has begun, with the bytes received so far.
    pub const fn began(&mut self) {
        self.is_receiving = false;
        self.open += 1;
    }

    /// Records that the answers to some requests were written.
    pub const fn answered(&mut self, now: Instant, requests: u32) {
        if requests == 0 {
            return;
        }
        self.open = self.open.saturating_sub(requests);
        self.answered_at = Some(now);
        if self.open == 0 {
            // The bytes since the beginning belong to the body.
            self.is_receiving = false;
        }
    }

    /// Whether a request is on the connection.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Time from which the connection may be closed, if the host has read all that has arrived by then; `None`
    /// while a request is on it or expected.
    #[must_use]
    pub fn may_close_at(&self) -> Option<Instant> {
        let is_free = !self.is_receiving && self.open == 0;
        Some(self.answered_at.filter(|_| is_free)? + QUIET_TIME)
    }
}
