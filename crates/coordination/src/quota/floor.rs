//! A seat's floor: its fixed part of a customer's rate.

use std::collections::VecDeque;

use super::limits::NANOTOKENS_PER_TOKEN;
use super::{Approval, Bucket, Donation, Hold, Limits, Refused, Split, TICKET_LIFETIME, Ticket};
use crate::clock::{Drift, Instant};
use crate::lease::{Seat, Subject};
use crate::record::Position;

/// A customer's floor at the host that holds a seat.
///
/// The caller checks [`crate::lease::Holder::usable`] for the seat before each call and drops the
/// floor when the seat or its `since` changes. The floor of a new holder starts empty.
#[derive(Clone, Debug)]
pub struct Floor {
    subject: Subject,
    since: Position,
    drift: Drift,
    bucket: Bucket,
    /// Donations that the pool may still accept: expiry and nanotokens.
    in_flight: VecDeque<(Instant, i64)>,
}

impl Floor {
    /// Maximum number of donations in flight; beyond it the floor donates nothing.
    pub const MAX_DONATIONS_IN_FLIGHT: usize = 16;

    /// Creates an empty floor. The seat's lease must be usable at `now`; `since` is the log
    /// position of its acquisition by this host.
    #[must_use]
    pub fn new(now: Instant, limits: Limits, split: Split, seat: Seat, since: Position) -> Self {
        Self {
            subject: Subject::Seat(seat),
            since,
            drift: split.drift(),
            bucket: Bucket::new(now, split.floor(limits)),
            in_flight: VecDeque::new(),
        }
    }

    /// Debits tokens for a request.
    ///
    /// # Errors
    ///
    /// Refuses an amount above the level, with the time until the refill reaches it.
    pub fn acquire(&mut self, now: Instant, tokens: u64) -> Result<Approval, Refused> {
        self.expire_donations(now);
        let number = self.bucket.take(now, tokens)?;
        let hold = Hold {
            subject: self.subject,
            since: self.since,
            number,
        };
        Ok(Approval { hold, tokens })
    }

    /// Returns the unused tokens of a hold; `unused` is cumulative for the hold. The result is the
    /// number of nanotokens credited. Returns to an earlier seat's hold are dropped.
    pub fn give_back(&mut self, now: Instant, hold: Hold, unused: u64) -> u64 {
        self.expire_donations(now);
        if hold.subject != self.subject || hold.since != self.since {
            return 0;
        }
        self.bucket.give_back(now, hold.number, unused)
    }

    /// Charges tokens used beyond a hold; `extra` is cumulative for the hold. It is charged in full
    /// when the hold belongs to an earlier seat.
    pub fn charge_extra(&mut self, now: Instant, hold: Hold, extra: u64) {
        self.expire_donations(now);
        if hold.subject != self.subject || hold.since != self.since {
            self.bucket.charge(now, extra);
            return;
        }
        self.bucket.charge_extra(now, hold.number, extra);
    }

    /// Debits the level above half the cap and returns it as a donation, to be sent after this
    /// call.
    ///
    /// `received` is a time at or after the ticket's receipt. The amount counts against the floor's
    /// cap until the ticket has expired at the pool under any clock drift. `None` when the floor
    /// has less than one token to spare, the ticket has expired or too many donations are in
    /// flight.
    pub fn donate(&mut self, now: Instant, ticket: Ticket, received: Instant) -> Option<Donation> {
        self.expire_donations(now);
        let spare = self.bucket.nanotokens(now) - self.bucket.share().cap / 2;
        if spare < NANOTOKENS_PER_TOKEN
            || self.in_flight.len() == Self::MAX_DONATIONS_IN_FLIGHT
            || now.since(received) >= TICKET_LIFETIME
        {
            return None;
        }
        self.bucket.debit_transfer(now, spare);
        let until = received + self.drift.safe_wait(TICKET_LIFETIME);
        self.in_flight.push_back((until, spare));
        Some(Donation {
            ticket,
            nanotokens: spare.unsigned_abs(),
        })
    }

    /// Applies changed limits and a changed split at `now`.
    pub fn set_limits(&mut self, now: Instant, limits: Limits, split: Split) {
        self.expire_donations(now);
        self.drift = split.drift();
        self.bucket.resize(now, split.floor(limits));
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
            + self.in_flight.capacity() * size_of::<(Instant, i64)>()
    }

    /// Stops counting donations whose tickets have expired at the pool.
    fn expire_donations(&mut self, now: Instant) {
        let mut expired = 0;
        self.in_flight.retain(|(until, amount)| {
            if now >= *until {
                expired += amount;
            }
            now < *until
        });
        self.bucket.end_transfer(now, expired);
    }
}
