//! Detection of requests that crash the endpoints that run them.
//!
//! Such a request is retried with the same customer, path and body, at any host. A crash aborts all
//! requests of the endpoint, so one or two strikes prove little: a request is refused after it was
//! aborted at three endpoints.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::suspects::Source;

/// Endpoints at which a request must have been aborted to be refused (a requirement).
const MAX_STRIKES: usize = 3;
/// Retention of strikes (design page, section 5.10).
const RETENTION: Duration = Duration::from_secs(600);
/// Largest number of tracked requests; the oldest are evicted first.
const MAX_REQUESTS: usize = 4_096;
/// Time in which a local strike is repeated in reports, so that a lost report does no harm.
const REPORT_DURATION: Duration = Duration::from_secs(5);
/// Largest number of strikes in one report.
const MAX_REPORTED: usize = 16;

/// Hash of a request's customer, path and body. Hosts compute equal values only if they run the same
/// build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(customer: Option<&str>, target: &str, body: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        (customer, target, body).hash(&mut hasher);
        Self(hasher.finish())
    }
}

#[derive(Clone, Debug)]
struct Strike {
    endpoint: String,
    at: Instant,
    source: Source,
}

/// Strikes of recent requests.
#[derive(Debug, Default)]
pub struct Strikes {
    requests: HashMap<Fingerprint, Vec<Strike>>,
}

impl Strikes {
    /// Records that a request was aborted at an endpoint; `own` is true if this host observed it.
    pub fn strike(&mut self, now: Instant, request: Fingerprint, endpoint: &str, own: bool) {
        let source = if own { Source::Own } else { Source::Peer };
        self.record(now, request, endpoint, source);
    }

    /// Records that a request was aborted at an endpoint, or that this host lost its links; peers are not
    /// told before it is confirmed.
    pub fn observe(&mut self, now: Instant, request: Fingerprint, endpoint: &str) {
        self.record(now, request, endpoint, Source::Unconfirmed);
    }

    /// Confirms an observed strike.
    pub fn confirm(&mut self, request: Fingerprint, endpoint: &str) {
        let strikes = self.requests.get_mut(&request).into_iter().flatten();
        for strike in strikes {
            if strike.endpoint == endpoint && strike.source == Source::Unconfirmed {
                strike.source = Source::Own;
            }
        }
    }

    /// Removes an observed strike.
    pub fn retract(&mut self, request: Fingerprint, endpoint: &str) {
        let Some(strikes) = self.requests.get_mut(&request) else {
            return;
        };
        strikes
            .retain(|strike| strike.endpoint != endpoint || strike.source != Source::Unconfirmed);
        if strikes.is_empty() {
            self.requests.remove(&request);
        }
    }

    fn record(&mut self, now: Instant, request: Fingerprint, endpoint: &str, source: Source) {
        self.evict(now, request);
        let strikes = self.requests.entry(request).or_default();
        if strikes.len() >= MAX_STRIKES || strikes.iter().any(|known| known.endpoint == endpoint) {
            return;
        }
        strikes.push(Strike {
            endpoint: endpoint.to_owned(),
            at: now,
            source,
        });
    }

    fn evict(&mut self, now: Instant, request: Fingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(&request) {
            return;
        }
        self.requests
            .retain(|_, strikes| strikes.iter().any(|known| now.since(known.at) < RETENTION));
        let last = |strikes: &Vec<Strike>| strikes.iter().map(|strike| strike.at).max();
        let oldest = self
            .requests
            .iter()
            .min_by_key(|(_, strikes)| last(strikes))
            .map(|(key, _)| *key);
        if let Some(oldest) = oldest.filter(|_| self.requests.len() >= MAX_REQUESTS) {
            self.requests.remove(&oldest);
        }
    }

    /// Whether the request was aborted at too many endpoints to be sent again.
    #[must_use]
    pub fn is_refused(&self, now: Instant, request: Fingerprint) -> bool {
        self.requests.get(&request).is_some_and(|strikes| {
            strikes
                .iter()
                .filter(|strike| now.since(strike.at) < RETENTION)
                .count()
                >= MAX_STRIKES
        })
    }

    /// Recent local strikes, for the report to peers.
    pub fn report(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, &str)> {
        let own = self
            .requests
            .iter()
            .flat_map(|(request, strikes)| strikes.iter().map(move |strike| (*request, strike)));
        own.filter(move |(_, strike)| {
            strike.source == Source::Own && now.since(strike.at) < REPORT_DURATION
        })
        .map(|(request, strike)| (request, strike.endpoint.as_str()))
        .take(MAX_REPORTED)
    }
}
