//! Checked rates and their division into pool and floors.

use std::time::Duration;

use crate::clock::Drift;
use crate::quota::GRANT_LIFETIME;

/// Result of checking rates.
pub type Result<T> = std::result::Result<T, Error>;

/// Nanotokens in a token.
pub(super) const NANOS: i64 = 1_000_000_000;

/// A rate or division that cannot be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The rate is zero.
    #[error("the rate must be at least 1 token per second")]
    RateZero,
    /// The burst exceeds what the arithmetic holds.
    #[error(
        "a burst of {burst} tokens exceeds the highest supported {}",
        Limits::HIGHEST
    )]
    BurstTooHigh {
        /// The refused burst in tokens.
        burst: u64,
    },
    /// The burst is below one second of the rate.
    #[error("a burst of {burst} tokens is below one second of the rate, {rate} tokens")]
    BurstBelowRate {
        /// The refused burst in tokens.
        burst: u64,
        /// The rate in tokens per second.
        rate: u64,
    },
    /// There are no seats.
    #[error("the number of seats must be at least 1")]
    NoSeats,
    /// The floors' part is not below the whole.
    #[error("the floors' part must be below 1000 per mille, not {per_mille}")]
    FloorTooHigh {
        /// The refused part in thousandths.
        per_mille: u16,
    },
}

/// Rate and burst of a customer over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    rate: u64,
    burst: u64,
}

impl Limits {
    /// Highest burst, in tokens. In nanotokens it leaves room for sums in 64 bits; the whole fleet
    /// generates 6.9 million tokens a second.
    pub const HIGHEST: u64 = 1_000_000_000;

    /// Makes limits from a rate in tokens per second and a burst in tokens.
    ///
    /// # Errors
    ///
    /// Refuses a zero rate, a burst above [`Limits::HIGHEST`], and a burst below one second of the
    /// rate: half of that is set aside for grants under way, and little would be left to admit.
    pub const fn new(rate: u64, burst: u64) -> Result<Self> {
        if rate == 0 {
            return Err(Error::RateZero);
        }
        if burst > Self::HIGHEST {
            return Err(Error::BurstTooHigh { burst });
        }
        if burst < rate {
            return Err(Error::BurstBelowRate { burst, rate });
        }
        Ok(Self { rate, burst })
    }

    /// Rate in tokens per second.
    #[must_use]
    pub const fn rate(&self) -> u64 {
        self.rate
    }

    /// Burst in tokens.
    #[must_use]
    pub const fn burst(&self) -> u64 {
        self.burst
    }
}

/// Division of every customer's limits into one pool and equal floors.
///
/// While a configuration changes the number of seats, a host divides by the larger number and
/// claims only seats below the smaller one ([`crate::lease::Holder::configure`]), until
/// [`crate::lease::Table::lowest_seat_version`] has reached the changing version. Otherwise hosts
/// that divide by different numbers could together exceed the floors' part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    floor_per_mille: u16,
    seats: u16,
    drift: Drift,
}

impl Split {
    /// Default part of the floors in thousandths. A quarter keeps small requests served on each
    /// host while a pool has no owner.
    pub const FLOOR_PER_MILLE: u16 = 250;

    /// Makes a division; `floor_per_mille` must be equal on all hosts of a running fleet.
    ///
    /// # Errors
    ///
    /// Refuses a division without seats and one without a pool.
    pub const fn new(floor_per_mille: u16, seats: u16, drift: Drift) -> Result<Self> {
        if seats == 0 {
            return Err(Error::NoSeats);
        }
        if floor_per_mille >= 1_000 {
            return Err(Error::FloorTooHigh {
                per_mille: floor_per_mille,
            });
        }
        Ok(Self {
            floor_per_mille,
            seats,
            drift,
        })
    }

    /// Bound on the rate error of the hosts' clocks.
    #[must_use]
    pub const fn drift(&self) -> Drift {
        self.drift
    }

    /// The pool's share of a customer's limits.
    #[must_use]
    pub fn pool(&self, limits: Limits) -> Share {
        self.share(limits, 1_000 - self.floor_per_mille, 1)
    }

    /// One seat's share of a customer's limits.
    #[must_use]
    pub fn floor(&self, limits: Limits) -> Share {
        self.share(limits, self.floor_per_mille, self.seats)
    }

    fn share(&self, limits: Limits, per_mille: u16, parts: u16) -> Share {
        // One millisecond more, since an interval between instants, which are rounded down, may
        // exceed the true one by as much.
        let late = self.drift.safe_wait(GRANT_LIFETIME) + Duration::from_millis(1);
        let (rate, burst) = (u128::from(limits.rate), u128::from(limits.burst));
        let per_milli = NANOS as u128 / 1_000;
        let cap = burst * NANOS as u128 - rate * per_milli * late.as_millis();
        // A fast clock counts up to 1 + drift times the true time.
        let rate =
            rate * per_milli * 1_000_000 / (1_000_000 + u128::from(self.drift.parts_per_million()));
        let part = |whole: u128| {
            let part = whole * u128::from(per_mille) / (1_000 * u128::from(parts));
            i64::try_from(part).unwrap_or(i64::MAX)
        };
        Share {
            rate: part(rate),
            cap: part(cap),
            late,
        }
    }
}

/// Rate and cap of one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Nanotokens per millisecond.
    pub(super) rate: i64,
    /// Nanotokens.
    pub(super) cap: i64,
    /// Longest time from a debit to the use of its grant, by any clock.
    pub(super) late: Duration,
}

impl Share {
    /// Largest amount that the bucket can ever admit at once, in whole tokens.
    #[must_use]
    pub const fn largest(&self) -> u64 {
        (self.cap / NANOS).unsigned_abs()
    }
}
