//! Idle deadlines of connections: one that timed out is never used again.

use std::time::Duration;

use crate::clock::Instant;

/// Longest silence on each kind of connection before it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A caller's socket that accepts no data.
    pub caller: Duration,
    /// An endpoint between two events of an answer.
    pub endpoint: Duration,
    /// Another process of the system between a call and its answer.
    pub peer: Duration,
    /// The platform between a call and its answer.
    pub platform: Duration,
}

impl Default for Limits {
    /// A caller gets 15 s (design, section 5.4). An endpoint gets 5 s, far above the 35 ms between
    /// tokens and below the 10 s of a heartbeat. A peer and the platform get 2 s and 5 s, so that
    /// a lease of 15 s survives one timed-out renewal.
    fn default() -> Self {
        Self {
            caller: Duration::from_secs(15),
            endpoint: Duration::from_secs(5),
            peer: Duration::from_secs(2),
            platform: Duration::from_secs(5),
        }
    }
}

/// Idle deadline of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Idle {
    limit: Duration,
    heard: Instant,
    closed: bool,
}

impl Idle {
    /// Starts the deadline of a connection opened at `now`.
    #[must_use]
    pub const fn new(now: Instant, limit: Duration) -> Self {
        Self {
            limit,
            heard: now,
            closed: false,
        }
    }

    /// Notes data on the connection and returns whether the data may be used.
    ///
    /// Data after the deadline is refused even if [`Idle::expire`] was not called in between, so
    /// that a process that was paused does not use a connection its peer has given up.
    pub fn accept_data(&mut self, now: Instant) -> bool {
        if self.expire(now) {
            return false;
        }
        self.heard = now;
        true
    }

    /// Closes the connection if its deadline has passed; returns whether it is closed.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.closed |= now >= self.deadline();
        self.closed
    }

    /// Closes the connection for another reason.
    pub const fn close(&mut self) {
        self.closed = true;
    }

    /// Time at which the connection must be closed unless data arrives.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.heard + self.limit
    }

    /// Whether the connection was closed.
    #[must_use]
    pub const fn closed(&self) -> bool {
        self.closed
    }
}
