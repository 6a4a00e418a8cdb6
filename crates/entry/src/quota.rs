//! One limit a customer, counted alike by all hosts.
//!
//! Two bounds hold at once. In a sliding window no customer gets more than its rate over the window
//! plus its burst; a customer may use that in any shape, so that short bursts refuse nothing below the
//! limit. A token bucket bounds how much of it goes at once, so that even hosts that all lost their
//! memory together stay within the window.
//!
//! Generations leave a reserve for the customer's plain calls, which are sixty times smaller: without
//! it a customer beyond its limit gets none of either.
//!
//! Every host counts its own admissions at once and those of its peers when it hears of them. A host
//! that cannot hear a peer takes it to use its equal share of what was left of the limit when it was
//! heard last, so that parts of a divided fleet stay below the limit together.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use berylknot_coordination::clock::Instant;

/// Length of a counting period in milliseconds.
const PERIOD_MS: u64 = 250;
/// Seconds of the rate that may be used at once beyond the burst. After the loss of all hosts the
/// window starts anew; with this much the sum before and after stays within one window's limit.
const BURST_SECONDS: f64 = 1.5;
/// Seconds of the rate that a restarted host may use before it has heard its peers.
const RESTART_SECONDS: f64 = 0.5;
/// Debt that is remembered, in seconds of the rate.
const LARGEST_DEBT_SECONDS: f64 = 4.0;

/// Share of the plain calls' tokens in the window that generations leave free beside them, since
/// calls do not arrive evenly.
const RESERVED_SHARE: f64 = 0.3;
/// Plain calls that generations always leave room for.
const RESERVED_CALLS: f64 = 4.0;

/// Share of the hosts that may be unheard without being a part of their own; the overshoot that is
/// allowed covers what they use twice.
const TOLERATED: f64 = 0.05;

/// What a request is counted as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A call to a plain service.
    Plain,
    /// A generation.
    Generation,
}

/// Why a request is over the limit: time until its tokens are there.
pub type Wait = Duration;

/// Result of an admission.
pub type Result<T> = std::result::Result<T, Wait>;

/// Tokens of recent periods.
#[derive(Debug, Default)]
struct Window {
    periods: VecDeque<(u64, f64)>,
    used: f64,
}

impl Window {
    fn add(&mut self, now: Instant, tokens: f64) {
        let period = now.as_millis() / PERIOD_MS;
        match self.periods.back_mut() {
            Some((at, sum)) if *at == period => *sum += tokens,
            _ => self.periods.push_back((period, tokens)),
        }
        self.used += tokens;
    }

    /// Forgets periods that end before a time in milliseconds.
    fn forget(&mut self, start: u64) {
        while let Some((period, tokens)) = self.periods.front().copied() {
            if (period + 1) * PERIOD_MS > start {
                break;
            }
            self.periods.pop_front();
            self.used -= tokens;
        }
    }

    /// Tokens of the periods that begin before an instant.
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
    /// Level of the token bucket.
    level: f64,
    at: Instant,
    /// Tokens admitted on all hosts.
    all: Window,
    /// Part of them that plain calls of this host used.
    plain: Window,
    /// Tokens of the last plain call.
    plain_call: f64,
    /// Tokens that this host admitted since its start.
    admitted: i64,
}

/// Accounts of all customers.
#[derive(Debug)]
pub struct Quotas {
    accounts: HashMap<String, Account>,
    window_ms: u64,
    /// Whether buckets start full, as at the first start of a deployment.
    full_start: bool,
    /// Share of the hosts that are not heard, and so of what is left of each limit.
    unheard: f64,
    /// Since when more hosts than a few have not been heard.
    apart_since: Option<Instant>,
    /// Hosts of the deployment, over which the calls of a customer are spread.
    hosts: f64,
}

impl Quotas {
    /// Makes empty accounts with a sliding window in milliseconds.
    #[must_use]
    pub fn new(full_start: bool, window_ms: u64) -> Self {
        Self {
            accounts: HashMap::new(),
            window_ms,
            full_start,
            unheard: 0.0,
            apart_since: None,
            hosts: 1.0,
        }
    }

    /// Puts a customer's limit in force; a rate of 0 is no limit.
    pub fn configure(&mut self, now: Instant, customer: &str, rate: u64, burst: u64) {
        let (rate, burst) = (rate as f64, burst as f64);
        let full = self.full_start;
        let account = self
            .accounts
            .entry(customer.to_owned())
            .or_insert_with(|| Account {
                rate,
                burst,
                level: if full {
                    burst + rate * BURST_SECONDS
                } else {
                    rate * RESTART_SECONDS
                },
                at: now,
                all: Window::default(),
                plain: Window::default(),
                plain_call: 0.0,
                admitted: 0,
            });
        account.refill(now, self.unheard);
        account.rate = rate;
        account.burst = burst;
        account.level = account.level.min(account.largest());
    }

    /// Sets the number of hosts, and the share of them that are not heard: these are taken to use
    /// their equal share of what was left of each limit when they were heard last.
    pub fn set_hosts(&mut self, now: Instant, hosts: usize, unheard: f64) {
        self.hosts = hosts.max(1) as f64;
        let unheard = unheard.clamp(0.0, 1.0);
        if unheard.to_bits() == self.unheard.to_bits() {
            return;
        }
        for account in self.accounts.values_mut() {
            account.refill(now, self.unheard);
        }
        self.unheard = unheard;
        self.apart_since = if unheard > TOLERATED {
            self.apart_since.or(Some(now))
        } else {
            None
        };
    }

    /// Whether so many hosts are not heard that limits are shared with them unseen.
    #[must_use]
    pub const fn is_apart(&self) -> bool {
        self.apart_since.is_some()
    }

    /// Admits a request of a customer, or tells when its tokens will be there.
    ///
    /// # Errors
    /// Fails with the time until the request would be admitted.
    pub fn take(&mut self, now: Instant, customer: &str, tokens: u64, class: Class) -> Result<()> {
        let (unheard, window_ms, hosts) = (self.unheard, self.window_ms, self.hosts);
        let apart_since = self.apart_since;
        let Some(account) = self
            .accounts
            .get_mut(customer)
            .filter(|account| account.rate > 0.0)
        else {
            return Ok(());
        };
        account.refill(now, unheard);
        account.forget(now, window_ms);
        let wanted = tokens as f64;
        // A request larger than the bucket passes with a full one and leaves a debt.
        let reserve = match class {
            Class::Plain => 0.0,
            Class::Generation => account.reserve(hosts),
        };
        let needed = (wanted + reserve).min(account.largest());
        if account.level < needed {
            return Err(seconds((needed - account.level) / account.rate));
        }
        // What all hosts knew of the window is gone; of the rest each part has its share.
        let common = apart_since.map_or(0.0, |since| account.all.before(since));
        let limit = common + (account.limit(window_ms) - common) * (1.0 - unheard) - reserve;
        if account.all.used + wanted > limit && account.all.used > 0.0 {
            return Err(account.room_after(now, window_ms, account.all.used + wanted - limit));
        }
        account.level -= wanted;
        account.admitted += tokens.cast_signed();
        account.all.add(now, wanted);
        if class == Class::Plain {
            account.plain_call = wanted;
            account.plain.add(now, wanted);
        }
        Ok(())
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&mut self, now: Instant, customer: &str, tokens: u64) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        account.level = (account.level + tokens as f64).min(account.largest());
        account.admitted -= tokens.cast_signed();
        account.all.add(now, -(tokens as f64));
    }

    /// Counts what a peer admitted, or gave back, since its last report.
    pub fn admitted_elsewhere(&mut self, now: Instant, customer: &str, tokens: i64) {
        let unheard = self.unheard;
        if let Some(account) = self.accounts.get_mut(customer) {
            account.refill(now, unheard);
            let lowest = -LARGEST_DEBT_SECONDS * account.rate;
            account.level = (account.level - tokens as f64).clamp(lowest, account.largest());
            account.all.add(now, tokens as f64);
        }
    }

    /// Tokens that this host admitted since its start less those given back, by customer.
    pub fn report(&self) -> impl Iterator<Item = (&str, i64)> {
        self.accounts
            .iter()
            .filter(|(_, account)| account.admitted != 0)
            .map(|(customer, account)| (customer.as_str(), account.admitted))
    }
}

impl Account {
    fn largest(&self) -> f64 {
        self.burst + self.rate * BURST_SECONDS
    }

    fn limit(&self, window_ms: u64) -> f64 {
        self.rate * window_ms as f64 / 1_000.0 + self.burst
    }

    fn refill(&mut self, now: Instant, unheard: f64) {
        let seconds = now.since(self.at).as_secs_f64();
        self.level = (self.level + seconds * self.rate * (1.0 - unheard)).min(self.largest());
        self.at = now;
    }

    /// Forgets periods that lie wholly before the window.
    fn forget(&mut self, now: Instant, window_ms: u64) {
        let start = now.as_millis().saturating_sub(window_ms);
        self.all.forget(start);
        self.plain.forget(start);
    }

    /// Tokens that generations leave to the plain calls of all hosts.
    fn reserve(&self, hosts: f64) -> f64 {
        let share = self.plain.used * hosts * RESERVED_SHARE + self.plain_call * RESERVED_CALLS;
        share.min(self.largest() / 4.0)
    }

    /// Time until the window has room for that many more tokens.
    fn room_after(&self, now: Instant, window_ms: u64, mut excess: f64) -> Wait {
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
