//! Messages between requesters, pools and floors, and the requester's side of a grant.

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::lease::Subject;
use crate::quota::GRANT_LIFETIME;
use crate::record::Position;

/// Identity of tokens taken from a bucket, under which unused ones are returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Hold {
    /// Shard or seat under whose lease the tokens were debited.
    pub subject: Subject,
    /// Log position at which the bucket's owner acquired the subject.
    pub since: Position,
    /// Number of the hold within the bucket.
    pub number: u64,
}

/// Answer of a bucket's owner to a request whose tokens it has debited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Approval {
    /// Identity of the debited tokens.
    pub hold: Hold,
    /// Debited tokens.
    pub tokens: u64,
}

/// Permission to admit one request, held by the process that requested the tokens.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an unused grant must be returned"]
pub struct Grant {
    asked: Instant,
    approval: Approval,
}

impl Grant {
    /// Creates a grant from the owner's answer. `asked` is a time at or before the sending of the
    /// request, by the clock passed to [`Grant::admit`].
    ///
    /// The caller matches the answer to its request and uses it once: the network may deliver an
    /// answer twice, but the pool debited it once.
    pub const fn new(asked: Instant, approval: Approval) -> Self {
        Self { asked, approval }
    }

    /// Consumes the grant to admit the request at `now`.
    ///
    /// # Errors
    ///
    /// Refuses a grant at least [`GRANT_LIFETIME`] old. The request is not admitted, and the caller
    /// has to return all tokens.
    pub fn admit(self, now: Instant) -> Result<Hold, Expired> {
        let hold = self.approval.hold;
        if now.since(self.asked) >= GRANT_LIFETIME {
            return Err(Expired {
                hold,
                tokens: self.approval.tokens,
            });
        }
        Ok(hold)
    }
}

/// A grant that expired before its request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the grant expired before it was used")]
pub struct Expired {
    hold: Hold,
    tokens: u64,
}

impl Expired {
    /// The hold whose tokens the caller returns.
    #[must_use]
    pub const fn hold(&self) -> Hold {
        self.hold
    }

    /// Number of tokens to return, which is the whole grant.
    #[must_use]
    pub const fn unused(&self) -> u64 {
        self.tokens
    }
}

/// A pool's invitation to donate once, sent with its answers.
///
/// The pool measures the age of a donation from the issue of its ticket, because the clocks of
/// different hosts are not comparable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    /// Shard of the pool.
    pub subject: Subject,
    /// Log position at which the issuer acquired the shard.
    pub since: Position,
    /// Number of the ticket within the pool.
    pub number: u64,
}

/// Tokens that a floor has debited and sends to a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Donation {
    /// The pool's ticket that this donation uses.
    pub ticket: Ticket,
    /// Amount in nanotokens.
    pub nanotokens: u64,
}

/// Final level of a pool whose owner released the shard, sent to the successor named in the
/// release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// Shard of the pool.
    pub subject: Subject,
    /// Log position at which the former owner acquired the shard.
    pub since: Position,
    /// Level in nanotokens, negative for a debt.
    pub level: i64,
}
