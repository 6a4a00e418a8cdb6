//! Monotonic time of a host, and a bound on clock drift between hosts.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Reading of a host's monotonic clock, in milliseconds since an arbitrary origin.
///
/// Instants of different hosts must not be compared. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Instant(u64);

impl Instant {
    /// Creates an instant from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(millis(duration)))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(millis(duration)))
    }
}

/// Bound on the rate error (drift) of any host's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drift {
    parts_per_million: u32,
}

impl Drift {
    /// Largest accepted bound; a clock that is off by more than 10 % is broken.
    const MAX_PARTS_PER_MILLION: u32 = 100_000;

    /// Creates a bound in parts per million; values above 100,000 are clamped.
    #[must_use]
    pub const fn from_parts_per_million(parts_per_million: u32) -> Self {
        if parts_per_million > Self::MAX_PARTS_PER_MILLION {
            return Self {
                parts_per_million: Self::MAX_PARTS_PER_MILLION,
            };
        }
        Self { parts_per_million }
    }

    /// The bound in parts per million, at most 100,000.
    #[must_use]
    pub const fn parts_per_million(self) -> u32 {
        self.parts_per_million
    }

    /// Wait by the local clock after which `duration` has passed on every host's clock.
    ///
    /// The other clock may be slow and the local clock fast by the bound, so the factor is
    /// (1 + drift) / (1 - drift). The approximation 1 + 2 x drift is 6 ms too short for the
    /// one-hour lease of a seat.
    #[must_use]
    pub fn safe_wait(self, duration: Duration) -> Duration {
        let millis = u128::from(millis(duration));
        let drift = u128::from(self.parts_per_million);
        let waited = (millis * (1_000_000 + drift)).div_ceil(1_000_000 - drift);
        // Add one millisecond, since instants are rounded down.
        Duration::from_millis(u64::try_from(waited + 1).unwrap_or(u64::MAX))
    }
}

impl Default for Drift {
    /// 1,000 parts per million, far above the error of a working quartz oscillator.
    fn default() -> Self {
        Self::from_parts_per_million(1_000)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
