//! Token bucket whose returned tokens never raise its burst.

use std::collections::VecDeque;
use std::time::Duration;

use super::limits::NANOTOKENS_PER_TOKEN;
use super::{HOLD_LIFETIME, Refused, Share};
use crate::clock::Instant;

/// Tokens taken and not yet settled.
#[derive(Clone, Copy, Debug)]
struct Hold {
    taken: Instant,
    /// Nanotokens that can still be returned.
    returnable: i64,
    /// Nanotokens returned so far, credited or not.
    returned: i64,
    /// Nanotokens charged so far beyond the hold.
    extra: i64,
}

/// Highest sum of level and transfers from the taking of hold `first` to the start of the next
/// peak.
#[derive(Clone, Copy, Debug)]
struct Peak {
    first: u64,
    nanotokens: i64,
}

/// Token bucket with holds, which refills while holds are open.
///
/// At every instant, the level, the tokens in flight and the earlier takes that are credited back
/// later add up to at most the cap. The net tokens taken in any interval are therefore at most the
/// cap plus the refill. A return is credited up to the smallest gap between level and cap since its
/// tokens were taken; the part that the refill has already replaced is dropped.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: Share,
    /// Raised rate after a change of limits, and the time at which it takes effect.
    raised_rate: Option<(Instant, i64)>,
    /// Nanotokens, negative for a debt.
    level: i64,
    /// Nanotokens in flight to another bucket, which count against the cap.
    in_flight: i64,
    /// Time up to which `level` includes the refill.
    refilled: Instant,
    /// Number of the oldest hold in `holds`.
    first: u64,
    holds: VecDeque<Hold>,
    /// Peaks since the oldest open hold was taken, strictly descending: a peak that a later one
    /// reaches limits no return.
    peaks: VecDeque<Peak>,
}

impl Bucket {
    /// Maximum number of open holds; beyond it, the oldest is settled without a return. At the
    /// design's 22,000 requests/s over 790 customers, 10 s of holds are under 300 on average.
    pub const MAX_OPEN_HOLDS: usize = 16_384;
    /// Debt limit; charges beyond it are dropped.
    const MAX_DEBT_NANOTOKENS: i64 = NANOTOKENS_PER_TOKEN * 1_000_000_000;

    /// Creates an empty bucket that starts to refill one grant lifetime after `now`.
    ///
    /// Until then, grants of the former owner may still be used, and that owner's cap set aside
    /// only the refill of its own rate for them.
    #[must_use]
    pub fn new(now: Instant, share: Share) -> Self {
        Self {
            share,
            raised_rate: None,
            level: 0,
            in_flight: 0,
            // The delay also absorbs the rounding of `now`: the refill since the start never counts
            // more than the true time.
            refilled: now + share.max_grant_age,
            // Seeded from the time, so that a bucket that replaces another under the same lease
            // does not take the holds of the replaced bucket for its own.
            first: now.as_millis() << 20,
            holds: VecDeque::new(),
            peaks: VecDeque::new(),
        }
    }

    /// Takes tokens, opens a hold on them and returns the hold's number.
    ///
    /// # Errors
    ///
    /// Refuses an amount above the level, with the time until the refill reaches it.
    pub fn take(&mut self, now: Instant, tokens: u64) -> Result<u64, Refused> {
        self.refill(now);
        let amount = nanotokens(tokens);
        if amount > self.level {
            return Err(Refused {
                retry_after: self.refill_time(amount),
            });
        }
        Ok(self.open_hold(now, amount))
    }

    /// Returns the unused tokens of a hold. The result is the number of nanotokens credited.
    ///
    /// `unused` is cumulative for the hold, so repeated and reordered calls have no effect. Returns
    /// to a hold at least [`HOLD_LIFETIME`] old are dropped.
    pub fn give_back(&mut self, now: Instant, number: u64, unused: u64) -> u64 {
        self.refill(now);
        let Some(hold) = self.find(number) else {
            return 0;
        };
        let returned = (nanotokens(unused) - hold.returned).clamp(0, hold.returnable);
        hold.returnable -= returned;
        hold.returned += returned;
        let credited = self.credit_hold(number, returned);
        self.prune(now);
        credited.unsigned_abs()
    }

    /// Charges tokens used beyond a hold. The level may become negative, a debt that the refill
    /// pays off.
    ///
    /// `extra` is cumulative for the hold, so repeated calls have no effect while the hold is open.
    /// It is charged in full when the hold is unknown.
    pub fn charge_extra(&mut self, now: Instant, number: u64, extra: u64) {
        self.refill(now);
        let charged = match self.find(number) {
            Some(hold) => {
                let charged = (nanotokens(extra) - hold.extra).max(0);
                hold.extra += charged;
                charged
            }
            None => nanotokens(extra),
        };
        self.debit(charged);
    }

    /// Charges tokens that were used without a hold. The level may become negative.
    pub fn charge(&mut self, now: Instant, tokens: u64) {
        self.refill(now);
        self.debit(nanotokens(tokens));
    }

    /// Changes rate and cap at `now`. The level is cut to the new cap and never raised.
    ///
    /// A higher rate takes effect one maximum grant age later: grants issued before the change were
    /// debited under a cap that sets less aside for late use.
    pub fn resize(&mut self, now: Instant, share: Share) {
        self.refill(now);
        let rate = share.rate.min(self.share.rate);
        self.raised_rate = (rate < share.rate).then_some((now + share.max_grant_age, share.rate));
        // Returns to earlier holds stay limited by the gap to the former cap.
        for peak in &mut self.peaks {
            peak.nanotokens += share.cap - self.share.cap;
        }
        self.share = Share { rate, ..share };
        self.level = self.level.min(self.available_cap());
        self.note_peak();
    }

    /// Level at `now` in whole tokens, negative for a debt.
    #[must_use]
    pub fn level(&self, now: Instant) -> i64 {
        self.refilled_level(now).div_euclid(NANOTOKENS_PER_TOKEN)
    }

    /// Maximum amount of a single take from a full bucket, in whole tokens.
    #[must_use]
    pub const fn max_take(&self) -> u64 {
        self.share.max_take()
    }

    /// Memory in use, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>()
            + self.holds.capacity() * size_of::<Hold>()
            + self.peaks.capacity() * size_of::<Peak>()
    }

    /// Level at `now` in nanotokens, negative for a debt.
    pub(super) fn nanotokens(&mut self, now: Instant) -> i64 {
        self.refill(now);
        self.level
    }

    pub(super) const fn share(&self) -> Share {
        self.share
    }

    /// Adds nanotokens from another bucket, up to the cap, and returns the amount added.
    pub(super) fn credit(&mut self, now: Instant, amount: i64) -> i64 {
        self.refill(now);
        let added = amount.clamp(0, (self.available_cap() - self.level).max(0));
        self.level += added;
        self.note_peak();
        added
    }

    /// Debits nanotokens for a transfer; they count against the cap until [`Bucket::end_transfer`].
    pub(super) fn debit_transfer(&mut self, now: Instant, amount: i64) {
        self.refill(now);
        self.level -= amount;
        self.in_flight += amount;
    }

    /// Stops counting transferred nanotokens against the cap.
    pub(super) fn end_transfer(&mut self, now: Instant, amount: i64) {
        self.refill(now);
        self.in_flight -= amount;
    }

    /// Opens a hold without debiting the level, so that a later credit can use the gap to the cap.
    pub(super) fn open_unfunded_hold(&mut self, now: Instant, amount: i64) -> u64 {
        self.level += amount;
        self.open_hold(now, amount)
    }

    /// Credits or, if negative, debits an amount under a hold and settles the hold. False when the
    /// hold is unknown or already settled.
    pub(super) fn settle_once(&mut self, now: Instant, number: u64, amount: i64) -> bool {
        self.refill(now);
        let Some(hold) = self.find(number) else {
            return false;
        };
        if hold.returnable == 0 {
            return false;
        }
        hold.returnable = 0;
        if amount < 0 {
            self.debit(-amount);
        } else {
            self.credit_hold(number, amount);
        }
        true
    }

    fn find(&mut self, number: u64) -> Option<&mut Hold> {
        let index = usize::try_from(number.checked_sub(self.first)?).ok()?;
        self.holds.get_mut(index)
    }

    /// Cap minus tokens in flight.
    const fn available_cap(&self) -> i64 {
        self.share.cap - self.in_flight
    }

    /// Level at `now` after a refill at the current rate.
    fn refilled_level(&self, now: Instant) -> i64 {
        let elapsed = i128::try_from(now.since(self.refilled).as_millis()).unwrap_or(i128::MAX);
        let refilled = elapsed
            .saturating_mul(i128::from(self.share.rate))
            .saturating_add(i128::from(self.level));
        let level = refilled.min(i128::from(self.available_cap().max(self.level)));
        i64::try_from(level).unwrap_or(self.level)
    }

    fn refill_until(&mut self, now: Instant) {
        self.level = self.refilled_level(now);
        self.refilled = self.refilled.max(now);
    }

    fn refill(&mut self, now: Instant) {
        if let Some((from, rate)) = self.raised_rate
            && now >= from
        {
            self.refill_until(from);
            self.share.rate = rate;
            self.raised_rate = None;
        }
        self.refill_until(now);
        self.note_peak();
        self.prune(now);
    }

    fn debit(&mut self, amount: i64) {
        self.level = self
            .level
            .saturating_sub(amount)
            .max(-Self::MAX_DEBT_NANOTOKENS);
    }

    fn refill_time(&self, amount: i64) -> Option<Duration> {
        if amount > self.available_cap() {
            return None;
        }
        let missing = (amount - self.level).unsigned_abs();
        let millis = missing.div_ceil(self.share.rate.unsigned_abs().max(1));
        Some(Duration::from_millis(millis))
    }

    fn open_hold(&mut self, now: Instant, amount: i64) -> u64 {
        if self.holds.len() == Self::MAX_OPEN_HOLDS {
            self.holds.pop_front();
            self.first += 1;
        }
        let number = self.first + self.holds.len() as u64;
        self.level -= amount;
        self.holds.push_back(Hold {
            taken: now,
            returnable: amount,
            returned: 0,
            extra: 0,
        });
        self.peaks.push_back(Peak {
            first: number,
            nanotokens: self.level + self.in_flight,
        });
        number
    }

    /// Raises the last peak to the current sum of level and transfers, and merges the peaks that it
    /// reaches.
    fn note_peak(&mut self) {
        let current = self.level + self.in_flight;
        let mut first = None;
        while let Some(peak) = self.peaks.pop_back_if(|peak| peak.nanotokens <= current) {
            first = Some(peak.first);
        }
        if let Some(first) = first {
            self.peaks.push_back(Peak {
                first,
                nanotokens: current,
            });
        }
    }

    /// Credits a return up to the smallest gap to the cap since the hold was taken.
    fn credit_hold(&mut self, number: u64, returned: i64) -> i64 {
        let covering = self.peaks.partition_point(|peak| peak.first <= number);
        let Some(from) = covering.checked_sub(1) else {
            return 0;
        };
        let gap = self.share.cap - self.peaks[from].nanotokens;
        let credited = returned.min(gap).max(0);
        for peak in self.peaks.range_mut(from..) {
            peak.nanotokens += credited;
        }
        self.level += credited;
        // The raised peak may now reach earlier peaks, which then merge into it.
        let raised = self.peaks[from].nanotokens;
        let mut start = from;
        while start > 0 && self.peaks[start - 1].nanotokens <= raised {
            start -= 1;
        }
        self.peaks[from].first = self.peaks[start].first;
        self.peaks.drain(start..from);
        credited
    }

    /// Drops the oldest holds while they are settled or expired, and peaks that limit no open hold.
    fn prune(&mut self, now: Instant) {
        while let Some(hold) = self.holds.front() {
            if hold.returnable > 0 && now.since(hold.taken) < HOLD_LIFETIME {
                break;
            }
            self.holds.pop_front();
            self.first += 1;
        }
        while self
            .peaks
            .get(1)
            .is_some_and(|peak| peak.first <= self.first)
        {
            self.peaks.pop_front();
        }
        if self.holds.is_empty() {
            self.peaks.clear();
        }
    }
}

fn nanotokens(tokens: u64) -> i64 {
    // The maximum burst is at least one second of any rate, far above any request; capping at it
    // keeps sums within 64 bits.
    i64::try_from(tokens.min(super::Limits::MAX_BURST)).unwrap_or(0) * NANOTOKENS_PER_TOKEN
}
