//! Limits on the requests that an endpoint in need takes from all hosts together.
//!
//! Endpoints state the limit in their answers. Hosts that each kept to it alone would exceed it by their
//! number, and equal shares of one request a second are useless at hundreds of hosts. So one host, the
//! leader, counts the sends to such endpoints for all: a token bucket per endpoint. A host that has
//! lost contact with others uses the share of those that it hears.
//!
//! An endpoint that has just started is cold for a time and crashes if it gets many more requests than it
//! tolerates. That is a limit too, with a smaller bucket, since it holds in each second.

use std::collections::HashMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use serde::{Deserialize, Serialize};

/// Burst of a bucket: a number of requests, and what the limit allows in some time. Two buckets that
/// both are full, as after a change of the leader, still stay below one and a half times the limit and
/// five requests in 4 s.
const BURST_REQUESTS: f64 = 2.0;
const BURST_SECONDS: f64 = 1.0;
/// Share of what a cold endpoint tolerates that is granted, and the burst of its bucket as a number of requests
/// and in seconds of that rate. Two leaders that both grant all of it for a second, and requests that a prefill
/// has delayed by another second, stay below one and a half times what the endpoint tolerates.
const COLD_SHARE: f64 = 0.35;
const COLD_BURST_REQUESTS: f64 = 1.0;
const COLD_BURST_SECONDS: f64 = 0.1;
/// Smallest rate in requests a second; without requests the end of a limit would not be noticed.
const MIN_RATE: f64 = 0.1;
/// Time in which an own finding is repeated in reports, so that a lost report does no harm.
const REPORT_DURATION: Duration = Duration::from_secs(5);
/// Queries of all hosts together for each request that the endpoints take, while they take fewer than
/// callers send.
const MAX_QUERIES_PER_REQUEST: f64 = 10.0;
/// Bounds of the time for which a denied host asks no more.
const DENIAL_BOUNDS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// Largest number of limits in a report.
const MAX_REPORTED: usize = 32;

/// Limit of an endpoint, as hosts tell each other.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Limit {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Requests a second that it takes from all hosts together; `None` for no limit.
    pub rate: Option<f64>,
    /// Time since the answer that said so, in milliseconds.
    pub age_ms: u64,
}

/// Time for which a host asks no more after a denial, `wait` being the time until the next request is
/// taken. With many hosts it is longer, since each gets one of `hosts` requests of the `rate` that the
/// endpoints take per second, and the leader answers all.
#[must_use]
pub fn denial_time(wait: Duration, hosts: usize, rate: f64) -> Duration {
    let (shortest, longest) = DENIAL_BOUNDS;
    let interval = hosts as f64 / (rate.max(MIN_RATE) * MAX_QUERIES_PER_REQUEST);
    let interval = Duration::from_secs_f64(interval).clamp(shortest, longest);
    wait.max(interval)
}

/// What is known of an endpoint's limit.
#[derive(Clone, Copy, Debug)]
struct Known {
    rate: Option<f64>,
    heard_at: Instant,
    /// Whether this host got the answer.
    own: bool,
    tokens: f64,
    refilled_at: Instant,
    cold: Option<Cold>,
}

/// Coldness of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Cold {
    /// Requests a second that the endpoint tolerates meanwhile.
    rate: f64,
    until: Instant,
    /// End that the endpoint has told this host. Only that is told to peers: hosts that repeated each other's
    /// word would add the delay of each report to it.
    told_until: Option<Instant>,
}

impl Known {
    fn new(now: Instant, rate: Option<f64>, heard_at: Instant, own: bool) -> Self {
        Self {
            rate,
            heard_at,
            own,
            tokens: 0.0,
            refilled_at: now,
            cold: None,
        }
    }

    /// The limit in force: what the endpoint states, or what it tolerates while it is cold.
    fn limit(&self) -> Option<f64> {
        let cold = self.cold.map(|cold| cold.rate * COLD_SHARE);
        match (self.rate, cold) {
            (Some(rate), Some(cold)) => Some(rate.min(cold)),
            (rate, cold) => rate.or(cold),
        }
    }

    /// Rate that the bucket refills with, for a host that may use `share` of the limit.
    fn refill_rate(&self, share: f64) -> Option<f64> {
        Some(self.limit()?.max(MIN_RATE) * share)
    }

    fn tokens_at(&self, now: Instant, rate: f64) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let size = if self.cold.is_some() {
            COLD_BURST_REQUESTS + rate * COLD_BURST_SECONDS
        } else {
            BURST_REQUESTS + rate * BURST_SECONDS
        };
        (self.tokens + elapsed * rate).min(size)
    }
}

/// Limits of all endpoints by id.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<String, Known>,
}

impl Limits {
    /// Records what an answer to a request that was sent at `sent_at` states. An answer without a limit
    /// ends an earlier one unless its request is older. Returns whether the limit has changed.
    pub fn heard(
        &mut self,
        now: Instant,
        endpoint: &str,
        rate: Option<f64>,
        sent_at: Instant,
    ) -> bool {
        let Some(known) = self.known.get_mut(endpoint) else {
            if rate.is_some() {
                let known = Known::new(now, rate, now, true);
                self.known.insert(endpoint.to_owned(), known);
            }
            return rate.is_some();
        };
        if rate.is_none() && sent_at < known.heard_at {
            return false;
        }
        let has_changed = known.rate != rate;
        known.rate = rate;
        known.heard_at = now;
        known.own = true;
        has_changed
    }

    /// Applies the limit that a peer has heard, unless a newer one is known. Returns whether it changes
    /// what is known.
    pub fn apply(&mut self, now: Instant, limit: &Limit) -> bool {
        let heard_at = Instant::from_millis(now.as_millis().saturating_sub(limit.age_ms));
        let Some(known) = self.known.get_mut(&limit.endpoint) else {
            if limit.rate.is_some() {
                let known = Known::new(now, limit.rate, heard_at, false);
                self.known.insert(limit.endpoint.clone(), known);
            }
            return limit.rate.is_some();
        };
        if heard_at <= known.heard_at {
            return false;
        }
        let has_changed = known.rate != limit.rate;
        known.rate = limit.rate;
        known.heard_at = heard_at;
        known.own = false;
        has_changed
    }

    /// Records that an endpoint which tolerates `rate` requests a second is cold for `left`; an earlier end is
    /// ignored, since entries are late. `is_own` is whether the endpoint has told this host and not a peer. Returns
    /// whether it was not known to be cold.
    pub fn chill(
        &mut self,
        now: Instant,
        endpoint: &str,
        rate: f64,
        left: Duration,
        is_own: bool,
    ) -> bool {
        if left.is_zero() || !rate.is_finite() || rate <= 0.0 {
            return false;
        }
        let known = self.known.entry(endpoint.to_owned());
        let known = known.or_insert_with(|| Known::new(now, None, Instant::default(), false));
        let until = now + left;
        let before = known.cold.filter(|cold| cold.until > now);
        let was_cold = before.is_some();
        let told_before = before.and_then(|cold| cold.told_until);
        known.cold = Some(Cold {
            rate,
            until: before.map_or(until, |cold| cold.until.max(until)),
            told_until: told_before.max(is_own.then_some(until)),
        });
        if !was_cold {
            known.tokens = known.tokens.min(0.0);
            known.refilled_at = now;
        }
        !was_cold
    }

    /// Endpoints that have told this host that they are cold, and the time left.
    pub fn told_cold(&self, now: Instant) -> impl Iterator<Item = (&str, Duration)> {
        self.known.iter().filter_map(move |(endpoint, known)| {
            let until = known.cold?.told_until.filter(|until| *until > now)?;
            Some((endpoint.as_str(), until.since(now)))
        })
    }

    /// Whether an endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant, endpoint: &str) -> bool {
        let cold = self.known.get(endpoint).and_then(|known| known.cold);
        cold.is_some_and(|cold| cold.until > now)
    }

    /// The limit of an endpoint, if it has one.
    #[must_use]
    pub fn rate(&self, endpoint: &str) -> Option<f64> {
        self.known.get(endpoint)?.limit()
    }

    /// Time until an endpoint takes a request, for a host that may use `share` of its limit.
    #[must_use]
    pub fn wait(&self, now: Instant, endpoint: &str, share: f64) -> Duration {
        let known = self.known.get(endpoint);
        let wait = known.and_then(|known| {
            let rate = known.refill_rate(share)?;
            let missing = 1.0 - known.tokens_at(now, rate);
            Some(Duration::from_secs_f64((missing / rate).max(0.0)))
        });
        wait.unwrap_or_default()
    }

    /// Whether no endpoint has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.values().all(|known| known.limit().is_none())
    }

    /// Whether an endpoint takes a request now, for a host that may use `share` of its limit.
    #[must_use]
    pub fn takes(&self, now: Instant, endpoint: &str, share: f64) -> bool {
        self.wait(now, endpoint, share).is_zero()
    }

    /// Limits of the given endpoints, for a query to the leader.
    pub fn describe<'a>(
        &self,
        now: Instant,
        endpoints: impl Iterator<Item = &'a str>,
    ) -> Vec<Limit> {
        let known = endpoints.filter_map(|id| Some((id, self.known.get(id)?)));
        known
            .map(|(id, known)| Limit {
                endpoint: id.to_owned(),
                rate: known.rate,
                age_ms: now.since(known.heard_at).as_millis() as u64,
            })
            .collect()
    }

    /// Takes one request of an endpoint's limit, for a host that may use `share` of it.
    ///
    /// # Errors
    /// Fails with the time until the endpoint takes a request.
    pub fn take(&mut self, now: Instant, endpoint: &str, share: f64) -> Result<(), Duration> {
        let wait = self.wait(now, endpoint, share);
        if !wait.is_zero() {
            return Err(wait);
        }
        if let Some(known) = self.known.get_mut(endpoint)
            && let Some(rate) = known.refill_rate(share)
        {
            known.tokens = known.tokens_at(now, rate) - 1.0;
            known.refilled_at = now;
        }
        Ok(())
    }

    /// Forgets an endpoint that has restarted.
    pub fn remove(&mut self, endpoint: &str) {
        self.known.remove(endpoint);
    }

    /// Forgets the endpoints for which `is_known` does not hold, and the limits that ended long ago.
    pub fn expire(&mut self, now: Instant, is_known: impl Fn(&str) -> bool) {
        self.known.retain(|endpoint, known| {
            known.cold = known.cold.filter(|cold| cold.until > now);
            let is_due = known.limit().is_some() || now.since(known.heard_at) < REPORT_DURATION;
            is_due && is_known(endpoint)
        });
    }

    /// Limits and ends of limits that this host has heard recently, for the report to peers.
    pub fn report(&self, now: Instant) -> Vec<Limit> {
        let own = self
            .known
            .iter()
            .filter(|(_, known)| known.own && now.since(known.heard_at) < REPORT_DURATION);
        own.take(MAX_REPORTED)
            .map(|(endpoint, known)| Limit {
                endpoint: endpoint.clone(),
                rate: known.rate,
                age_ms: now.since(known.heard_at).as_millis() as u64,
            })
            .collect()
    }
}
