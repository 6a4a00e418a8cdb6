//! Token rates of customers over all hosts, as pool and floor.
//!
//! Over all hosts, the tokens admitted in any interval of true time are at most the burst plus the
//! rate times the interval's length. Tokens that are returned do not count. Prompt tokens above the
//! estimate are the one exception: they are a debt, which later refill pays before new admissions.
//!
//! The argument: for each [`Bucket`], level plus tokens that will be credited as returned plus
//! donations in flight never exceed its cap, at any instant. So a bucket admits in an interval at
//! most its cap plus its refill. The caps of the pool and all floors add up to the burst less what
//! the rate brings in the lifetime of a [`Grant`], since a grant may be used that much later than
//! it was debited. A bucket of a new owner starts empty, so a change of owner adds nothing.

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

/// Time for which a grant may be used, counted from before it was asked for.
///
/// It covers one round trip with retries of the transport, and costs the burst only half a second
/// of the rate.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(500);

/// Time for which an invitation to donate is valid at the pool that issued it.
pub const TICKET_LIFETIME: Duration = Duration::from_millis(500);

/// Age from which the unused part of a hold can no longer be returned.
pub const HOLD_LIFETIME: Duration = Duration::from_secs(10);

/// A request for tokens that a bucket does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not enough tokens")]
pub struct Refused {
    retry_after: Option<Duration>,
}

impl Refused {
    /// Time after which the bucket has the tokens if nobody else takes any; `None` when the amount
    /// exceeds the bucket's cap.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
