//! Lease of the host that sends stage-change orders to engines.
//!
//! Claims are records of a log. A host appends its claim with a compare-and-append on the tail offset
//! it has read, and the offset of the claim is its fencing token. The holder sends orders only during
//! the first part of the lease. Another host claims only after the last lease has expired with a
//! margin, and then waits for one more lease duration, so that orders of two holders are always at
//! least one lease apart. This holds when a holder freezes or an answer of the store is lost.
//!
//! A restored store may have lost the last claim. Fencing tokens include the era of the store, so that
//! they do not repeat, and a host that may have missed a claim waits as if another host had made one.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::history::{Era, Position};

/// Share of the lease in which the holder may send orders; the rest covers slow sends.
const USABLE_SHARE: f64 = 0.7;
/// Safety margin after a lease's expiry for claims and orders that arrive late.
const EXPIRY_MARGIN: Duration = Duration::from_millis(300);

/// Next action of a host that wants to send an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the log from the known tail on.
    Read,
    /// Append a claim, on the condition that the log still ends at this position.
    Claim(Position),
    /// Neither claim nor send orders yet.
    Wait,
    /// The host holds the lease; orders carry this fencing token.
    Hold(u64),
}

/// One host's view of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: String,
    duration: Duration,
    /// Last known tail of the log.
    tail: Option<Tail>,
    /// Last claim of this host.
    claim: Option<Claim>,
    /// Whether the last claim in the log may be an unconfirmed one of this host, which hides whose
    /// claim was the one before.
    is_unconfirmed: bool,
    /// Era of the store in its last known answer.
    era: Option<Era>,
    /// Whether the log may lack a claim of another host, since the store may have been restored.
    may_lack_claims: bool,
}

#[derive(Clone, Debug)]
struct Tail {
    end: Position,
    /// Holder of the last claim in the log.
    holder: Option<String>,
    read: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    at: Position,
    sent: Instant,
    /// Earliest time of an order.
    orders_from: Instant,
}

impl Lease {
    /// Creates a view without knowledge of the log. `first_start` says that no host has claimed yet.
    #[must_use]
    pub fn new(holder: String, duration: Duration, first_start: bool) -> Self {
        Self {
            holder,
            duration,
            tail: None,
            claim: None,
            is_unconfirmed: false,
            era: None,
            may_lack_claims: !first_start,
        }
    }

    /// Name that the host writes into its claims.
    #[must_use]
    pub fn holder(&self) -> &str {
        &self.holder
    }

    /// Last known end of the log; `None` before the first read.
    #[must_use]
    pub fn end(&self) -> Option<Position> {
        self.tail.as_ref().map(|tail| tail.end)
    }

    /// Next action towards sending an order.
    #[must_use]
    pub fn step(&self, now: Instant) -> Step {
        if let Some(token) = self.token(now) {
            return Step::Hold(token);
        }
        if let Some(claim) = &self.claim
            && now < claim.sent + self.duration
        {
            // Before the first or after the last time at which orders may be sent under this claim.
            return Step::Wait;
        }
        match &self.tail {
            None => Step::Read,
            Some(tail) if self.is_free(tail, now) => Step::Claim(tail.end),
            Some(_) => Step::Wait,
        }
    }

    /// The fencing token, or `None` if no order may be sent at `now`.
    #[must_use]
    pub fn token(&self, now: Instant) -> Option<u64> {
        let claim = self.claim?;
        (now >= claim.orders_from
            && now
                < claim.sent
                    + self.duration.mul_f64(USABLE_SHARE)
                    + claim.orders_from.since(claim.sent))
        .then_some(claim.at.token())
    }

    fn is_free(&self, tail: &Tail, now: Instant) -> bool {
        let is_other = tail
            .holder
            .as_ref()
            .is_some_and(|name| *name != self.holder);
        let may_be_held = is_other || self.may_lack_claims;
        !may_be_held || now >= tail.read + self.last_order_delay() + EXPIRY_MARGIN
    }

    /// Longest time from a claim to its holder's last order: the wait before the first order plus the
    /// usable share of the lease.
    fn last_order_delay(&self) -> Duration {
        self.duration + self.duration.mul_f64(USABLE_SHARE)
    }

    /// Records the end of the log and the holder of its last claim.
    pub fn read(&mut self, now: Instant, end: Position, holder: Option<String>) {
        self.observe(end.era);
        let unchanged = self.tail.as_ref().is_some_and(|tail| tail.end == end);
        if unchanged {
            return;
        }
        if self.claim.is_some_and(|claim| claim.at.after(1) != end) {
            self.claim = None;
        }
        self.tail = Some(Tail {
            end,
            holder,
            read: now,
        });
    }

    /// Records that the claim sent at `sent` was appended at the position `at`.
    pub fn claimed(&mut self, sent: Instant, at: Position) {
        let before = self.tail.as_ref().and_then(|tail| tail.holder.as_ref());
        let other = before.is_some_and(|holder| *holder != self.holder);
        let wait = if other || self.is_unconfirmed || self.may_lack_claims {
            self.duration
        } else {
            Duration::ZERO
        };
        self.is_unconfirmed = false;
        self.may_lack_claims = false;
        self.claim = Some(Claim {
            at,
            sent,
            orders_from: sent + wait,
        });
        self.tail = Some(Tail {
            end: at.after(1),
            holder: Some(self.holder.clone()),
            read: sent,
        });
    }

    /// Records that a claim got no answer or lost the race; the log has to be read again.
    pub fn claim_failed(&mut self) {
        self.tail = None;
        self.claim = None;
        self.is_unconfirmed = true;
    }

    /// Records the era of the store. After a restore the log may lack claims, and has to be read again.
    pub fn observe(&mut self, era: Era) {
        let known = self.era.replace(era);
        if known.is_some_and(|known| known != era) {
            self.claim_failed();
            self.may_lack_claims = true;
        }
    }

    /// Records that an engine rejected an order because it has seen a higher fencing token.
    pub fn fenced(&mut self) {
        self.claim_failed();
    }
}
