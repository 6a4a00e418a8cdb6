//! Retry budget that all hosts share: repeated sends in a sliding window stay below a share of the
//! requests for the service plus a slack.
//!
//! Counts of peers arrive late. Until the next reports a host uses at most its equal part of what
//! remains, so that a failure seen by all hosts at once does not spend the budget once for each.

use std::collections::{HashMap, VecDeque};
use std::ops::AddAssign;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

/// Length of a counting period in milliseconds; a window is a whole number of them.
const PERIOD_MS: u64 = 500;
/// Part of the bound that is used, since counts of peers arrive late.
const USED_SHARE: f64 = 0.7;

/// Requests and repeated sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests of callers.
    pub requests: u64,
    /// Sends beyond the first of a request.
    pub retries: u64,
}

const REQUEST: Count = Count {
    requests: 1,
    retries: 0,
};
const RETRY: Count = Count {
    requests: 0,
    retries: 1,
};

impl AddAssign for Count {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.retries += other.retries;
    }
}

#[derive(Debug, Default)]
struct Window {
    periods: Vec<(u64, Count)>,
    own: Count,
    /// Own repeats that the peers may not know of yet.
    recent: VecDeque<Instant>,
}

/// Budgets of all services.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    slack: f64,
    window_periods: u64,
    services: HashMap<String, Window>,
    /// Peers that are not heard are taken to have used their equal share of the slack.
    hosts: usize,
    unheard: usize,
    /// Time until counts of peers arrive.
    delay: Duration,
}

impl Budgets {
    /// Makes budgets with the users' bound: ratio, slack and window in milliseconds.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window_ms: u64) -> Self {
        Self {
            ratio,
            slack,
            window_periods: window_ms.div_ceil(PERIOD_MS) + 1,
            services: HashMap::new(),
            hosts: 1,
            unheard: 0,
            delay: Duration::ZERO,
        }
    }

    /// Sets how many hosts there are, how many of them are not heard, and how late counts arrive.
    pub fn set_hosts(&mut self, hosts: usize, unheard: usize, delay: Duration) {
        self.delay = delay;
        self.hosts = hosts.max(1);
        self.unheard = unheard.min(self.hosts - 1);
    }

    /// Counts a request of a caller at this host.
    pub fn request(&mut self, now: Instant, service: &str) {
        self.count(now, service, REQUEST, true);
    }

    /// Takes a repeated send from the budget; false when none is left.
    pub fn try_retry(&mut self, now: Instant, service: &str) -> bool {
        let total = self.total(now, service);
        let unheard = self.unheard as f64 / self.hosts as f64;
        let slack = self.slack * (1.0 - unheard);
        let bound = (self.ratio * total.requests as f64 + slack) * USED_SHARE;
        let remaining = bound - total.retries as f64;
        if remaining < 1.0 {
            return false;
        }
        if self.recent(now, service) as f64 >= (remaining / self.hosts as f64).max(1.0) {
            return false;
        }
        if let Some(window) = self.services.get_mut(service) {
            window.recent.push_back(now);
        }
        self.charge(now, service);
        true
    }

    /// Counts a send that turned out to be a repeat: a prompt that an engine refused to read.
    pub fn charge(&mut self, now: Instant, service: &str) {
        self.count(now, service, RETRY, true);
    }

    /// Counts what a peer reported since its last report.
    pub fn counted_elsewhere(&mut self, now: Instant, service: &str, count: Count) {
        self.count(now, service, count, false);
    }

    fn count(&mut self, now: Instant, service: &str, count: Count, own: bool) {
        let period = now.as_millis() / PERIOD_MS;
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Window::default());
        }
        let Some(window) = self.services.get_mut(service) else {
            return;
        };
        let periods = self.window_periods;
        window.periods.retain(|(at, _)| at + periods > period);
        match window.periods.last_mut() {
            Some((at, sum)) if *at == period => *sum += count,
            _ => window.periods.push((period, count)),
        }
        if own {
            window.own += count;
        }
    }

    /// Own repeats since the peers last heard of them.
    fn recent(&mut self, now: Instant, service: &str) -> usize {
        let delay = self.delay;
        let Some(window) = self.services.get_mut(service) else {
            return 0;
        };
        while window
            .recent
            .front()
            .is_some_and(|at| now.since(*at) >= delay)
        {
            window.recent.pop_front();
        }
        window.recent.len()
    }

    fn total(&self, now: Instant, service: &str) -> Count {
        let period = now.as_millis() / PERIOD_MS;
        let mut total = Count::default();
        let Some(window) = self.services.get(service) else {
            return total;
        };
        for (at, count) in &window.periods {
            if at + self.window_periods <= period {
                continue;
            }
            total += *count;
        }
        total
    }

    /// Counts of this host since its start, by service.
    pub fn report(&self) -> impl Iterator<Item = (&str, Count)> {
        self.services
            .iter()
            .map(|(service, window)| (service.as_str(), window.own))
    }
}
