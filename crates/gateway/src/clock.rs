//! The host's monotonic clock.

use berylknot_coordination::clock::Instant;

/// Monotonic clock whose origin is its creation.
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

    /// Current time.
    pub(crate) fn now(&self) -> Instant {
        let passed = self.origin.elapsed().as_millis();
        Instant::from_millis(u64::try_from(passed).unwrap_or(u64::MAX))
    }
}
