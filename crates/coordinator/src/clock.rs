//! Monotonic clock of this process.

use berylknot_coordination::clock::Instant;

/// Monotonic clock whose origin is one hour before its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Starts the clock at one hour, where the system clock allows it.
    pub(crate) fn start() -> Self {
        // The hour keeps a time minus an interval above zero.
        const HOUR: std::time::Duration = std::time::Duration::from_secs(3_600);
        let now = std::time::Instant::now();
        Self {
            origin: now.checked_sub(HOUR).unwrap_or(now),
        }
    }

    /// Time since the origin, in whole milliseconds.
    pub(crate) fn now(&self) -> Instant {
        let passed = self.origin.elapsed().as_millis();
        Instant::from_millis(u64::try_from(passed).unwrap_or(u64::MAX))
    }
}
