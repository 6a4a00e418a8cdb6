//! Validated customer limits and their division into a pool and per-seat floors.

use std::time::Duration;

use crate::clock::Drift;
use crate::quota::GRANT_LIFETIME;

/// Result of validating limits or a split.
pub type Result<T> = std::result::Result<T, Error>;

/// Nanotokens in a token.
pub(super) const NANOTOKENS_PER_TOKEN: i64 = 1_000_000_000;

/// Invalid customer limits or an invalid split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The rate is zero.
    #[error("the rate must be at least 1 token per second")]
    RateZero,
    /// The burst exceeds [`Limits::MAX_BURST`].
    #[error(
        "a burst of {burst} tokens exceeds the maximum of {}",
        Limits::MAX_BURST
    )]
    BurstTooHigh {
        /// The refused burst in tokens.
        burst: u64,
    },
    /// The burst is below one second of the rate.
    #[error("a burst of {burst} tokens is below one second of the rate, which is {rate} tokens")]
    BurstBelowRate {
        /// The refused burst in tokens.
        burst: u64,
        /// The rate in tokens per second.
        rate: u64,
    },
    /// The split has zero seats.
    #[error("the number of seats must be at least 1")]
    NoSeats,
    /// The floors' fraction is 1000 per mille or more, which leaves nothing for the pool.
    #[error("the floors' fraction must be below 1000 per mille, not {per_mille}")]
    FloorTooHigh {
        /// The refused fraction in thousandths.
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
    /// Maximum burst in tokens. Sums of it in nanotokens still fit in 64 bits; the whole fleet
    /// generates 6.9 million tokens per second.
    pub const MAX_BURST: u64 = 1_000_000_000;

    /// Creates limits from a rate in tokens per second and a burst in tokens.
    ///
    /// # Errors
    ///
    /// Refuses a zero rate, a burst above [`Limits::MAX_BURST`], and a burst below one second of
    /// the rate: half a second of the rate is set aside for outstanding grants, and little would be
    /// left.
    pub const fn new(rate: u64, burst: u64) -> Result<Self> {
        if rate == 0 {
            return Err(Error::RateZero);
        }
        if burst > Self::MAX_BURST {
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
/// that divide by different numbers could together exceed the floors' fraction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    floor_per_mille: u16,
    seats: u16,
    drift: Drift,
}

impl Split {
    /// Default fraction of the floors in thousandths. A quarter lets each host serve small requests
    /// while a pool has no owner.
    pub const FLOOR_PER_MILLE: u16 = 250;

    /// Creates a split; `floor_per_mille` must be equal on all hosts of a running fleet.
    ///
    /// # Errors
    ///
    /// Refuses zero seats, and a floor fraction of 1000 per mille or more.
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

    /// Bound on the drift of the hosts' clocks.
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
        // One millisecond more: instants are rounded down, so a measured interval may exceed the
        // true one by that much.
        let max_grant_age = self.drift.safe_wait(GRANT_LIFETIME) + Duration::from_millis(1);
        let (rate, burst) = (u128::from(limits.rate), u128::from(limits.burst));
        let nanotokens_per_ms = NANOTOKENS_PER_TOKEN as u128 / 1_000;
        let cap = burst * NANOTOKENS_PER_TOKEN as u128
            - rate * nanotokens_per_ms * max_grant_age.as_millis();
        // A fast clock measures up to 1 + drift times the true time.
        let rate = rate * nanotokens_per_ms * 1_000_000
            / (1_000_000 + u128::from(self.drift.parts_per_million()));
        let part = |whole: u128| {
            let part = whole * u128::from(per_mille) / (1_000 * u128::from(parts));
            i64::try_from(part).unwrap_or(i64::MAX)
        };
        Share {
            rate: part(rate),
            cap: part(cap),
            max_grant_age,
        }
    }
}

/// Rate and cap of one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Nanotokens per millisecond.
    pub(super) rate: i64,
    /// Maximum level in nanotokens.
    pub(super) cap: i64,
    /// Maximum time from a debit to the use of its grant, by any clock.
    pub(super) max_grant_age: Duration,
}

impl Share {
    /// Maximum amount of a single take from a full bucket, in whole tokens.
    #[must_use]
    pub const fn max_take(&self) -> u64 {
        (self.cap / NANOTOKENS_PER_TOKEN).unsigned_abs()
    }
}
