//! Quota of each customer, enforced by all hosts together.
//!
//! Two limits apply. A sliding window bounds a customer to its rate times the window plus its burst, in
//! any shape, so that short bursts below the limit are not refused. A token bucket bounds how much of
//! that can be used at once, so that the window limit holds even if all hosts lose their state
//! together.
//!
//! Generations leave a reserve for the customer's plain calls, which are sixty times smaller; without
//! the reserve a customer beyond its limit would get no plain calls either. They also leave the
//! tokens for which resumed streams wait: after a loss of all hosts callers return to their streams at
//! once, and have read a part of the answer.
//!
//! Each host counts its own admissions at once and those of its peers when they are reported. An
//! unreachable peer is assumed to use its equal share of what was left of the limit at its last
//! report, so that both sides of a partition together stay below the limit.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use berylknot_coordination::clock::Instant;

/// Resolution of the sliding window.
const PERIOD_MS: u64 = 250;
/// Bucket size beyond the burst, in seconds of the rate. When all hosts lose their state the window
/// starts empty; with this size the use before and after the loss stays within one window's limit.
const BURST_SECONDS: f64 = 1.5;
/// Bucket level of a restarted host once it has heard from its peers, in seconds of the rate. Before
/// that the bucket is empty: all hosts may have lost their state, and each would use this level.
const RESTART_SECONDS: f64 = 0.5;
/// Largest refill beyond a full bucket that counts for what peers admitted, in seconds of the rate: the
/// report interval of 360 hosts.
const SPILL_SECONDS: f64 = 6.0;
/// Largest debt of a bucket, in seconds of the rate.
const MAX_DEBT_SECONDS: f64 = 4.0;

/// Reserve for plain calls, as a share of their tokens in the window; it absorbs uneven arrivals.
const RESERVED_SHARE: f64 = 0.3;
/// Minimum reserve for plain calls, as a number of calls.
const RESERVED_CALLS: f64 = 4.0;

/// Share of unreachable hosts up to which no partition is assumed; the permitted overshoot covers what
/// these hosts may admit in addition.
const MAX_UNREACHABLE_SHARE: f64 = 0.05;

/// Kind of a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A call to a plain service.
    Plain,
    /// A new generation.
    Generation,
    /// A generation whose stream had begun and is taken up by its caller.
    Resumption,
}

/// Time until a refused request would be admitted.
pub type Wait = Duration;

/// Result of an admission.
pub type Result<T> = std::result::Result<T, Wait>;

/// Sliding window of admitted tokens.
#[derive(Debug, Default)]
struct Window {
    periods: VecDeque<(u64, f64)>,
    used: f64,
}

impl Window {
    fn add(&mut self, now: Instant, tokens: f64) {
        self.add_to(now.as_millis() / PERIOD_MS, tokens);
    }

    /// Adds tokens that were admitted at an even rate from `start` to `end`, in milliseconds.
    fn add_between(&mut self, start: u64, end: u64, tokens: f64) {
        let periods = start / PERIOD_MS..=end / PERIOD_MS;
        let count = end / PERIOD_MS - start / PERIOD_MS + 1;
        for period in periods {
            self.add_to(period, tokens / count as f64);
        }
    }

    fn add_to(&mut self, period: u64, tokens: f64) {
        self.used += tokens;
        let index = self.periods.partition_point(|(at, _)| *at < period);
        match self.periods.get_mut(index) {
            Some((at, sum)) if *at == period => *sum += tokens,
            _ => self.periods.insert(index, (period, tokens)),
        }
    }

    /// Drops the periods that end at or before `start`, in milliseconds.
    fn expire(&mut self, start: u64) {
        while let Some((period, tokens)) = self.periods.front().copied() {
            if (period + 1) * PERIOD_MS > start {
                break;
            }
            self.periods.pop_front();
            self.used -= tokens;
        }
    }

    /// Tokens of the periods that begin before `instant`.
    fn before(&self, instant: Instant) -> f64 {
        let before = self
            .periods
            .iter()
            .take_while(|(period, _)| period * PERIOD_MS < instant.as_millis());
        before.map(|(_, tokens)| tokens).sum()
    }
}

#[derive(Debug)]
struct Account {
    rate: f64,
    burst: f64,
    /// Level of the token bucket; negative while in debt.
    level: f64,
    /// Refill that the full bucket did not take. What peers report was admitted before, and is taken
    /// from it first: at hundreds of hosts a report covers more seconds than the bucket holds.
    spilled: f64,
    refilled_at: Instant,
    /// Tokens admitted by all hosts.
    all: Window,
    /// Tokens of plain calls admitted by this host.
    plain: Window,
    /// Tokens of the last plain call.
    plain_call: f64,
    /// Tokens reserved for streams that wait to be resumed.
    awaited: f64,
    /// Tokens admitted by this host since its start, less refunds.
    admitted: i64,
}

/// Accounts of all customers.
#[derive(Debug)]
pub struct Quotas {
    accounts: HashMap<String, Account>,
    window_ms: u64,
    /// Whether buckets start full: true only at the first start of a deployment.
    full_start: bool,
    /// Share of the hosts that are unreachable; the same share of each limit is left to them.
    unreachable: f64,
    /// Start of the current partition, if any.
    partitioned_since: Option<Instant>,
    /// Number of hosts; a customer's plain calls are spread over all of them.
    hosts: f64,
    /// Whether this host has heard from its peers since its start.
    introduced: bool,
}

impl Quotas {
    /// Creates accounts without customers; `window_ms` is the length of the sliding window.
    #[must_use]
    pub fn new(full_start: bool, window_ms: u64) -> Self {
        Self {
            accounts: HashMap::new(),
            window_ms,
            full_start,
            unreachable: 0.0,
            partitioned_since: None,
            hosts: 1.0,
            introduced: full_start,
        }
    }

    /// Sets a customer's limit in tokens per second and tokens; a rate of 0 means unlimited.
    pub fn configure(&mut self, now: Instant, customer: &str, rate: u64, burst: u64) {
        let (rate, burst) = (rate as f64, burst as f64);
        let (full, introduced) = (self.full_start, self.introduced);
        let account = self
            .accounts
            .entry(customer.to_owned())
            .or_insert_with(|| Account {
                rate,
                burst,
                level: match (full, introduced) {
                    (true, _) => burst + rate * BURST_SECONDS,
                    (false, true) => rate * RESTART_SECONDS,
                    (false, false) => 0.0,
                },
                spilled: 0.0,
                refilled_at: now,
                all: Window::default(),
                plain: Window::default(),
                plain_call: 0.0,
                awaited: 0.0,
                admitted: 0,
            });
        account.refill(now, self.unreachable);
        account.rate = rate;
        account.burst = burst;
        account.level = account.level.min(account.bucket_size());
    }

    /// Sets the number of hosts and the share of them that is unreachable; these are assumed to use
    /// their equal share of what was left of each limit at their last report.
    pub fn set_hosts(&mut self, now: Instant, hosts: usize, unreachable: f64) {
        self.hosts = hosts.max(1) as f64;
        let unreachable = unreachable.clamp(0.0, 1.0);
        if !self.introduced && unreachable <= MAX_UNREACHABLE_SHARE {
            self.introduced = true;
            for account in self.accounts.values_mut() {
                account.level += account.rate * RESTART_SECONDS;
            }
        }
        if unreachable.to_bits() == self.unreachable.to_bits() {
            return;
        }
        for account in self.accounts.values_mut() {
            account.refill(now, self.unreachable);
        }
        self.unreachable = unreachable;
        self.partitioned_since = if unreachable > MAX_UNREACHABLE_SHARE {
            self.partitioned_since.or(Some(now))
        } else {
            None
        };
    }

    /// Whether a partition is assumed, so that unreachable hosts count with their share of each limit.
    #[must_use]
    pub const fn is_partitioned(&self) -> bool {
        self.partitioned_since.is_some()
    }

    /// Admits a request of a customer and deducts its tokens.
    ///
    /// # Errors
    /// Fails with the time until the request would be admitted.
    pub fn take(&mut self, now: Instant, customer: &str, tokens: u64, class: Class) -> Result<()> {
        self.check(now, customer, tokens, class)?;
        let Some(account) = self
            .accounts
            .get_mut(customer)
            .filter(|account| account.rate > 0.0)
        else {
            return Ok(());
        };
        let wanted = tokens as f64;
        account.level -= wanted;
        account.admitted += tokens.cast_signed();
        account.all.add(now, wanted);
        if class == Class::Plain {
            account.plain_call = wanted;
            account.plain.add(now, wanted);
        }
        Ok(())
    }

    /// Whether a request of a customer would be admitted.
    ///
    /// # Errors
    /// Fails with the time until the request would be admitted.
    pub fn check(&mut self, now: Instant, customer: &str, tokens: u64, class: Class) -> Result<()> {
        let (unreachable, window_ms, hosts) = (self.unreachable, self.window_ms, self.hosts);
        let partitioned_since = self.partitioned_since;
        let Some(account) = self
            .accounts
            .get_mut(customer)
            .filter(|account| account.rate > 0.0)
        else {
            return Ok(());
        };
        account.refill(now, unreachable);
        account.expire(now, window_ms);
        let wanted = tokens as f64;
        // A request larger than the bucket is admitted when the bucket is full and leaves a debt.
        let reserve = match class {
            Class::Plain => 0.0,
            Class::Resumption => account.reserve(hosts),
            Class::Generation => account.reserve(hosts) + account.awaited,
        };
        let needed = (wanted + reserve).min(account.bucket_size());
        if account.level < needed {
            return Err(seconds((needed - account.level) / account.rate));
        }
        // Use before the partition was counted by all hosts; the rest is divided between the sides.
        let used_before = partitioned_since.map_or(0.0, |since| account.all.before(since));
        let limit =
            used_before + (account.limit(window_ms) - used_before) * (1.0 - unreachable) - reserve;
        if account.all.used + wanted > limit && account.all.used > 0.0 {
            return Err(account.time_until_freed(
                now,
                window_ms,
                account.all.used + wanted - limit,
            ));
        }
        Ok(())
    }

    /// Reserves the tokens of a stream that waits to be resumed; [`Quotas::end_wait`] ends this.
    pub fn begin_wait(&mut self, customer: &str, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.awaited += tokens as f64;
        }
    }

    /// Ends the reservation of a stream that waited to be resumed.
    pub fn end_wait(&mut self, customer: &str, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.awaited = (account.awaited - tokens as f64).max(0.0);
        }
    }

    /// Refunds the tokens of a request that did not run.
    pub fn refund(&mut self, now: Instant, customer: &str, tokens: u64) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        account.level = (account.level + tokens as f64).min(account.bucket_size());
        account.admitted -= tokens.cast_signed();
        account.all.add(now, -(tokens as f64));
    }

    /// Adds the tokens that a peer admitted since its previous totals at `since`; negative for refunds.
    pub fn admitted_elsewhere(
        &mut self,
        now: Instant,
        since: Option<Instant>,
        customer: &str,
        tokens: i64,
    ) {
        let (unreachable, window_ms) = (self.unreachable, self.window_ms);
        if let Some(account) = self.accounts.get_mut(customer) {
            account.refill(now, unreachable);
            let tokens = tokens as f64;
            // Tokens from before the window do not matter; nor does refill that old.
            let oldest = now.as_millis().saturating_sub(window_ms);
            let since = since
                .unwrap_or(now)
                .as_millis()
                .clamp(oldest, now.as_millis());
            let elapsed = (now.as_millis() - since) as f64 / 1_000.0;
            let spilled = account.spilled.min(account.rate * elapsed);
            let covered = tokens.clamp(0.0, spilled);
            account.spilled -= covered;
            let lowest = -MAX_DEBT_SECONDS * account.rate;
            account.level = (account.level + covered - tokens).clamp(lowest, account.bucket_size());
            account.all.add_between(since, now.as_millis(), tokens);
        }
    }

    /// Tokens admitted by this host since its start, less refunds, by customer.
    pub fn report(&self) -> impl Iterator<Item = (&str, i64)> {
        self.accounts
            .iter()
            .filter(|(_, account)| account.admitted != 0)
            .map(|(customer, account)| (customer.as_str(), account.admitted))
    }
}

impl Account {
    fn bucket_size(&self) -> f64 {
        self.burst + self.rate * BURST_SECONDS
    }

    fn limit(&self, window_ms: u64) -> f64 {
        self.rate * window_ms as f64 / 1_000.0 + self.burst
    }

    fn refill(&mut self, now: Instant, unreachable: f64) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        let level = self.level + seconds * self.rate * (1.0 - unreachable);
        self.level = level.min(self.bucket_size());
        // Peers report at least once in this time, unless they are behind a partition.
        let most = self.rate * SPILL_SECONDS;
        self.spilled = (self.spilled + level - self.level).min(most);
        self.refilled_at = now;
    }

    /// Drops periods that lie entirely before the window.
    fn expire(&mut self, now: Instant, window_ms: u64) {
        let start = now.as_millis().saturating_sub(window_ms);
        self.all.expire(start);
        self.plain.expire(start);
    }

    /// Tokens that generations leave free for the plain calls at all hosts.
    fn reserve(&self, hosts: f64) -> f64 {
        let share = self.plain.used * hosts * RESERVED_SHARE + self.plain_call * RESERVED_CALLS;
        share.min(self.bucket_size() / 4.0)
    }

    /// Time until `excess` tokens have left the window.
    fn time_until_freed(&self, now: Instant, window_ms: u64, mut excess: f64) -> Wait {
        for (period, tokens) in &self.all.periods {
            excess -= tokens;
            if excess <= 0.0 {
                let leaves = (period + 1) * PERIOD_MS + window_ms;
                return Duration::from_millis(leaves.saturating_sub(now.as_millis()));
            }
        }
        Duration::from_millis(window_ms)
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}
