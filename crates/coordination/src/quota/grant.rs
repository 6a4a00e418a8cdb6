//! Messages about tokens, and the requester's side of a grant.

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::lease::Subject;
use crate::quota::GRANT_LIFETIME;
use crate::record::Position;

/// Name of tokens that were taken from a bucket, by which their unused part is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Hold {
    /// Shard or seat under whose lease the tokens were given.
    pub subject: Subject,
    /// Position from which the giver held the subject.
    pub since: Position,
    /// Number within the bucket.
    pub number: u64,
}

/// Answer of a bucket's owner: the tokens are debited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Approval {
    /// Name of the debited tokens.
    pub hold: Hold,
    /// Tokens debited.
    pub tokens: u64,
}

/// Permission to admit one request, at the process that asked for it.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an unused grant must be returned"]
pub struct Grant {
    asked: Instant,
    approval: Approval,
}

impl Grant {
    /// Makes a grant from the owner's answer. `asked` is a time before the request for it was
    /// sent, by the clock that [`Grant::admit`] is called with.
    ///
    /// The caller matches the answer with its request and uses it once: a network may deliver an
    /// answer twice, and the pool debited it once.
    pub const fn new(asked: Instant, approval: Approval) -> Self {
        Self { asked, approval }
    }

    /// Uses the grant: the request is admitted at `now`.
    ///
    /// # Errors
    ///
    /// Refuses a grant older than [`GRANT_LIFETIME`]. Nothing was admitted then, and all tokens
    /// are to be returned.
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

/// A grant that came too late to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the grant expired before it was used")]
pub struct Expired {
    hold: Hold,
    tokens: u64,
}

impl Expired {
    /// The hold to return.
    #[must_use]
    pub const fn hold(&self) -> Hold {
        self.hold
    }

    /// Number of unused tokens: all of them.
    #[must_use]
    pub const fn unused(&self) -> u64 {
        self.tokens
    }
}

/// A pool's invitation to donate once, sent with its answers.
///
/// The pool measures the age of a donation by its ticket; a sender's clock cannot be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Ticket {
    /// Shard of the pool.
    pub subject: Subject,
    /// Position from which the issuer held the shard.
    pub since: Position,
    /// Number within the pool.
    pub number: u64,
}

/// Tokens that a floor debited and sends to a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Donation {
    /// The invitation.
    pub ticket: Ticket,
    /// Amount in nanotokens.
    pub nanotokens: u64,
}

/// Level of a pool that its owner gave up, for the successor that the owner named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// Shard of the pool.
    pub subject: Subject,
    /// Position from which the former owner held the shard.
    pub since: Position,
    /// Level in nanotokens, negative for a debt.
    pub level: i64,
}
