//! A seat's part of a customer's rate.

use std::collections::VecDeque;

use super::limits::NANOS;
use super::{Approval, Bucket, Donation, Hold, Limits, Refused, Split, TICKET_LIFETIME, Ticket};
use crate::clock::{Drift, Instant};
use crate::lease::{Seat, Subject};
use crate::record::Position;

/// A customer's floor at the host that holds a seat.
///
/// The caller asks [`crate::lease::Holder::usable`] for the seat before each call and drops the
/// floor when the seat or its `since` changes. A floor of a new holder is empty.
#[derive(Clone, Debug)]
pub struct Floor {
    subject: Subject,
    since: Position,
    drift: Drift,
    bucket: Bucket,
    /// Donations that the receiver may still accept: time until which, and nanotokens.
    in_flight: VecDeque<(Instant, i64)>,
}

impl Floor {
    /// Highest number of donations in flight.
    pub const DONATIONS: usize = 16;

    /// Makes an empty floor. `now` is a time at which the lease of the seat is usable, and `since`
    /// the position from which this host holds it.
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
        self.land(now);
        let number = self.bucket.take(now, tokens)?;
        let hold = Hold {
            subject: self.subject,
            since: self.since,
            number,
        };
        Ok(Approval { hold, tokens })
    }

    /// Returns the unused tokens of a hold, as a total for this hold, and says how many nanotokens
    /// were credited. Returns to an earlier seat are dropped.
    pub fn give_back(&mut self, now: Instant, hold: Hold, unused: u64) -> u64 {
        self.land(now);
        if hold.subject != self.subject || hold.since != self.since {
            return 0;
        }
        self.bucket.give_back(now, hold.number, unused)
    }

    /// Charges tokens used beyond a hold, as a total for this hold. Those of an earlier seat's
    /// hold are charged here in full.
    pub fn charge_extra(&mut self, now: Instant, hold: Hold, extra: u64) {
        self.land(now);
        if hold.subject != self.subject || hold.since != self.since {
            self.bucket.charge(now, extra);
            return;
        }
        self.bucket.charge_extra(now, hold.number, extra);
    }

    /// Debits what exceeds half the cap and returns it as a donation, to be sent after this call.
    ///
    /// `received` is a time after the ticket was received. The amount counts against the floor's
    /// cap until the pool has surely refused it as too old. `None` when the floor has less than
    /// one token to spare, the ticket is too old or too many donations are in flight.
    pub fn donate(&mut self, now: Instant, ticket: Ticket, received: Instant) -> Option<Donation> {
        self.land(now);
        let spare = self.bucket.nanotokens(now) - self.bucket.share().cap / 2;
        if spare < NANOS
            || self.in_flight.len() == Self::DONATIONS
            || now.since(received) >= TICKET_LIFETIME
        {
            return None;
        }
        self.bucket.send(now, spare);
        let until = received + self.drift.safe_wait(TICKET_LIFETIME);
        self.in_flight.push_back((until, spare));
        Some(Donation {
            ticket,
            nanotokens: spare.unsigned_abs(),
        })
    }

    /// Puts changed limits in force.
    pub fn set_limits(&mut self, now: Instant, limits: Limits, split: Split) {
        self.land(now);
        self.drift = split.drift();
        self.bucket.resize(now, split.floor(limits));
    }

    /// The bucket, for reports.
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

    /// Ends the counting of donations that can no longer be accepted.
    fn land(&mut self, now: Instant) {
        let mut landed = 0;
        self.in_flight.retain(|(until, amount)| {
            if now >= *until {
                landed += amount;
            }
            now < *until
        });
        self.bucket.landed(now, landed);
    }
}
