//! Idle timeouts of connections. A connection that timed out is never used again.

use std::time::Duration;

use crate::clock::Instant;

/// Idle timeouts by kind of connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Write stall of a caller whose socket accepts no data.
    pub caller: Duration,
    /// Gap between two events of an endpoint's response.
    pub endpoint: Duration,
    /// Response time of another process of the system.
    pub peer: Duration,
    /// Response time of the platform.
    pub platform: Duration,
}

impl Default for Limits {
    /// Callers: 15 s (design, section 5.4). Endpoints: 5 s, far above the 35 ms between tokens and
    /// below the heartbeat interval of 10 s. Peers and the platform: 2 s and 5 s, so that a lease
    /// of 15 s survives one renewal that times out.
    fn default() -> Self {
        Self {
            caller: Duration::from_secs(15),
            endpoint: Duration::from_secs(5),
            peer: Duration::from_secs(2),
            platform: Duration::from_secs(5),
        }
    }
}

/// Idle timeout of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Idle {
    timeout: Duration,
    last_data: Instant,
    closed: bool,
}

impl Idle {
    /// Starts the idle timeout of a connection opened at `now`.
    #[must_use]
    pub const fn new(now: Instant, timeout: Duration) -> Self {
        Self {
            timeout,
            last_data: now,
            closed: false,
        }
    }

    /// Records data received at `now`, which restarts the timeout; returns whether the data may be
    /// used.
    ///
    /// Data after the deadline is rejected even if [`Idle::expire`] was not called in between, so
    /// that a process resumed after a pause does not use a connection that its peer has abandoned.
    pub fn accept_data(&mut self, now: Instant) -> bool {
        if self.expire(now) {
            return false;
        }
        self.last_data = now;
        true
    }

    /// Closes the connection if its deadline has passed; returns whether it is closed.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.closed |= now >= self.deadline();
        self.closed
    }

    /// Closes the connection for a reason other than the timeout.
    pub const fn close(&mut self) {
        self.closed = true;
    }

    /// Instant at which the connection times out unless data arrives.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.last_data + self.timeout
    }

    /// Whether the connection was closed or found expired. Does not check the deadline itself.
    #[must_use]
    pub const fn closed(&self) -> bool {
        self.closed
    }
}
