//! Per-customer token rate limits over all hosts: one shared pool and one floor per seat.
//!
//! The tokens that all hosts together admit in any interval of true time are at most the burst plus
//! the rate times the interval's length. Returned tokens do not count. Prompt tokens above the
//! estimate are the only exception: they become a debt, which the refill pays off before new
//! admissions.
//!
//! At every instant, a [`Bucket`]'s level, its later credited returns and its donations in flight
//! add up to at most its cap. In any interval it therefore admits at most its cap plus its refill.
//! The caps of the pool and all floors add up to the burst minus the refill of one
//! [`GRANT_LIFETIME`], because a [`Grant`] may be used that long after its debit. The bucket of a
//! new owner starts empty, so a change of owner adds no tokens.

mod bucket;
mod floor;
mod grant;
mod limits;
mod pool;

use std::time::Duration;

pub use bucket::Bucket;
pub use floor::Floor;
pub use grant::{Approval, Donation, Expired, Grant, Handover, Hold, Ticket};
pub use limits::{Error, Limits, Result, Share, Split};
pub use pool::Pool;

/// Lifetime of a grant, counted from before its request was sent.
///
/// It covers one round trip with transport retries, and takes only half a second of the rate off
/// the burst.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(500);

/// Lifetime of a donation ticket at the pool that issued it.
pub const TICKET_LIFETIME: Duration = Duration::from_millis(500);

/// Age of a hold at which returns of its unused tokens are no longer credited.
pub const HOLD_LIFETIME: Duration = Duration::from_secs(10);

/// A request for more tokens than the bucket's level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the token bucket has fewer tokens than requested")]
pub struct Refused {
    retry_after: Option<Duration>,
}

impl Refused {
    /// Time until the refill covers the request if no other tokens are taken; `None` when the
    /// amount exceeds the bucket's cap.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
