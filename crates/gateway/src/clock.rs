//! The host's monotonic clock.

use berylknot_coordination::clock::Instant;

/// Monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Starts a clock.
    pub(crate) fn start() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// Time since the origin, with millisecond resolution.
    pub(crate) fn now(&self) -> Instant {
        let elapsed_ms = self.origin.elapsed().as_millis();
        Instant::from_millis(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }
}
