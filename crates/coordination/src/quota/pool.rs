//! A customer's pool at its owner.

use std::collections::VecDeque;

use super::{
    Approval, Bucket, Donation, Handover, Hold, Limits, Refused, Split, TICKET_LIFETIME, Ticket,
};
use crate::clock::Instant;
use crate::lease::{Shard, Subject};
use crate::record::Position;

/// A customer's pool at the owner of the customer's shard.
///
/// The caller checks [`crate::lease::Holder::usable`] before each call and drops the pool when the
/// shard's `since` changes. The pool of a new owner starts empty.
#[derive(Clone, Debug)]
pub struct Pool {
    subject: Subject,
    since: Position,
    bucket: Bucket,
    /// Number of the hold under which the former owner's handover is credited.
    handover: u64,
    /// Open tickets by number, with their time of issue.
    tickets: VecDeque<(u64, Instant)>,
    next_ticket: u64,
}

impl Pool {
    /// Maximum number of open tickets: one for each seat of a fleet of 360 hosts.
    pub const MAX_OPEN_TICKETS: usize = 450;

    /// Creates an empty pool. The shard's lease must be usable at `now`; `since` is the log
    /// position of its acquisition by this host.
    #[must_use]
    pub fn new(now: Instant, limits: Limits, split: Split, shard: Shard, since: Position) -> Self {
        let share = split.pool(limits);
        let mut bucket = Bucket::new(now, share);
        // A handover is credited like a return of tokens taken when the pool was created.
        let handover = bucket.open_unfunded_hold(now, share.cap);
        Self {
            subject: Subject::Shard(shard),
            since,
            bucket,
            handover,
            tickets: VecDeque::new(),
            next_ticket: now.as_millis() << 20,
        }
    }

    /// Debits tokens for a request.
    ///
    /// # Errors
    ///
    /// Refuses an amount above the level, with the time until the refill reaches it.
    pub fn acquire(&mut self, now: Instant, tokens: u64) -> Result<Approval, Refused> {
        let number = self.bucket.take(now, tokens)?;
        let hold = Hold {
            subject: self.subject,
            since: self.since,
            number,
        };
        Ok(Approval { hold, tokens })
    }

    /// Returns the unused tokens of a hold; `unused` is cumulative for the hold. The result is the
    /// number of nanotokens credited. Returns to an earlier owner's hold are dropped.
    pub fn give_back(&mut self, now: Instant, hold: Hold, unused: u64) -> u64 {
        if hold.subject != self.subject || hold.since != self.since {
            return 0;
        }
        self.bucket.give_back(now, hold.number, unused)
    }

    /// Charges tokens used beyond a hold; `extra` is cumulative for the hold. It is charged in full
    /// when the hold belongs to an earlier owner.
    pub fn charge_extra(&mut self, now: Instant, hold: Hold, extra: u64) {
        if hold.subject != self.subject || hold.since != self.since {
            self.bucket.charge(now, extra);
            return;
        }
        self.bucket.charge_extra(now, hold.number, extra);
    }

    /// Issues an invitation to donate; `None` when the pool is full or [`Pool::MAX_OPEN_TICKETS`]
    /// are open.
    pub fn ticket(&mut self, now: Instant) -> Option<Ticket> {
        while let Some(&(_, issued)) = self.tickets.front() {
            if now.since(issued) < TICKET_LIFETIME {
                break;
            }
            self.tickets.pop_front();
        }
        if self.tickets.len() == Self::MAX_OPEN_TICKETS
            || self.bucket.nanotokens(now) >= self.bucket.share().cap
        {
            return None;
        }
        let number = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.push_back((number, now));
        Some(Ticket {
            subject: self.subject,
            since: self.since,
            number,
        })
    }

    /// Credits a donation up to the cap and returns the nanotokens credited. A ticket is valid for
    /// one donation, within [`TICKET_LIFETIME`].
    pub fn accept(&mut self, now: Instant, donation: Donation) -> u64 {
        let ticket = donation.ticket;
        if ticket.subject != self.subject || ticket.since != self.since {
            return 0;
        }
        let open = self
            .tickets
            .binary_search_by_key(&ticket.number, |(number, _)| *number);
        let Some((_, issued)) = open.ok().and_then(|index| self.tickets.remove(index)) else {
            return 0;
        };
        if now.since(issued) >= TICKET_LIFETIME {
            return 0;
        }
        let amount = i64::try_from(donation.nanotokens).unwrap_or(i64::MAX);
        self.bucket.credit(now, amount).unsigned_abs()
    }

    /// Applies changed limits and a changed split at `now`.
    pub fn set_limits(&mut self, now: Instant, limits: Limits, split: Split) {
        self.bucket.resize(now, split.pool(limits));
    }

    /// Closes the pool and returns its level, to be sent to the successor named in the shard's
    /// release.
    #[must_use]
    pub fn hand_over(mut self, now: Instant) -> Handover {
        let level = self.bucket.nanotokens(now);
        Handover {
            subject: self.subject,
            since: self.since,
            level,
        }
    }

    /// Credits the former owner's level, once and within 10 s of the pool's creation. The part that
    /// the refill has already replaced is dropped. `predecessor` comes from the shard's
    /// [`crate::lease::Holding`]. Returns whether the handover was applied.
    pub fn take_over(
        &mut self,
        now: Instant,
        handover: Handover,
        predecessor: Option<Position>,
    ) -> bool {
        handover.subject == self.subject
            && predecessor == Some(handover.since)
            && self.bucket.settle_once(now, self.handover, handover.level)
    }

    /// The underlying bucket, for reports.
    #[must_use]
    pub const fn bucket(&self) -> &Bucket {
        &self.bucket
    }

    /// Memory in use, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() - size_of::<Bucket>()
            + self.bucket.memory_bytes()
            + self.tickets.capacity() * size_of::<(u64, Instant)>()
    }
}
