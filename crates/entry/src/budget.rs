//! Retry budget shared by all hosts: in a sliding window, the retries for a service stay below a ratio
//! of its requests plus a slack.
//!
//! Peers' counts arrive with a delay. Until the next reports a host uses at most its equal share of the
//! remaining budget, so that a failure seen by all hosts at once does not spend the budget once per
//! host.

use std::collections::{HashMap, VecDeque};
use std::ops::AddAssign;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

/// Resolution of the sliding window, which is rounded up to whole periods.
const PERIOD_MS: u64 = 500;
/// Share of the configured budget that is used; the rest covers the delay of peers' counts.
const USABLE_SHARE: f64 = 0.7;

/// Number of requests and retries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests received from callers.
    pub requests: u64,
    /// Attempts beyond the first of each request.
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
    local: Count,
    /// Local retries that peers may not have received yet.
    unreported: VecDeque<Instant>,
}

/// Retry budgets of all services.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    slack: f64,
    window_periods: u64,
    services: HashMap<String, Window>,
    hosts: usize,
    /// Unreachable hosts; they are assumed to have used their equal share of the slack.
    unreachable: usize,
    /// Delay until peers' counts arrive.
    report_delay: Duration,
}

impl Budgets {
    /// Creates budgets that allow `ratio` retries per request plus `slack` in a window of `window_ms`.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window_ms: u64) -> Self {
        Self {
            ratio,
            slack,
            window_periods: window_ms.div_ceil(PERIOD_MS) + 1,
            services: HashMap::new(),
            hosts: 1,
            unreachable: 0,
            report_delay: Duration::ZERO,
        }
    }

    /// Sets the number of hosts, how many of them are unreachable, and the delay of peers' counts.
    pub fn set_hosts(&mut self, hosts: usize, unreachable: usize, report_delay: Duration) {
        self.report_delay = report_delay;
        self.hosts = hosts.max(1);
        self.unreachable = unreachable.min(self.hosts - 1);
    }

    /// Counts a request received by this host.
    pub fn request(&mut self, now: Instant, service: &str) {
        self.count(now, service, REQUEST, true);
    }

    /// Takes a retry from the budget; returns `false` if the budget is exhausted.
    pub fn try_retry(&mut self, now: Instant, service: &str) -> bool {
        let total = self.total(now, service);
        let unreachable = self.unreachable as f64 / self.hosts as f64;
        let slack = self.slack * (1.0 - unreachable);
        let bound = (self.ratio * total.requests as f64 + slack) * USABLE_SHARE;
        let remaining = bound - total.retries as f64;
        if remaining < 1.0 {
            return false;
        }
        if self.unreported(now, service) as f64 >= (remaining / self.hosts as f64).max(1.0) {
            return false;
        }
        if let Some(window) = self.services.get_mut(service) {
            window.unreported.push_back(now);
        }
        self.charge(now, service);
        true
    }

    /// Charges a retry that has already happened, such as a prefill that an engine refused.
    pub fn charge(&mut self, now: Instant, service: &str) {
        self.count(now, service, RETRY, true);
    }

    /// Adds what a peer has counted since its last report.
    pub fn counted_elsewhere(&mut self, now: Instant, service: &str, count: Count) {
        self.count(now, service, count, false);
    }

    fn count(&mut self, now: Instant, service: &str, count: Count, local: bool) {
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
        if local {
            window.local += count;
        }
    }

    /// Number of local retries that peers may not have received yet.
    fn unreported(&mut self, now: Instant, service: &str) -> usize {
        let report_delay = self.report_delay;
        let Some(window) = self.services.get_mut(service) else {
            return 0;
        };
        while window
            .unreported
            .front()
            .is_some_and(|at| now.since(*at) >= report_delay)
        {
            window.unreported.pop_front();
        }
        window.unreported.len()
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

    /// Local counts since the start of this host, by service.
    pub fn report(&self) -> impl Iterator<Item = (&str, Count)> {
        self.services
            .iter()
            .map(|(service, window)| (service.as_str(), window.local))
    }
}
