//! Requests that crash the endpoints that run them.
//!
//! Such a request comes again with the same customer, path and body, at any host. An endpoint that
//! crashes breaks off all of its requests, so a few strikes prove little: a request is refused once
//! it was broken off at three endpoints.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use berylknot_coordination::clock::Instant;

/// Endpoints at which a request may be broken off before it is refused (users' bound).
const ENDPOINTS: usize = 3;
/// Time for which strikes are remembered (design page, section 5.10).
const LIFETIME: Duration = Duration::from_secs(600);
/// Requests that are remembered; the oldest go first.
const REQUESTS: usize = 4_096;
/// Time for which an own strike is reported; several reports, so that a lost one does no harm.
const REPORTED_FOR: Duration = Duration::from_secs(5);
/// Strikes in one report.
const REPORTED: usize = 16;

/// Hash of a request's customer, path and body. Hosts with the same build compute the same one.
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
    own: bool,
}

/// Strikes of all recent requests.
#[derive(Debug, Default)]
pub struct Strikes {
    requests: HashMap<Fingerprint, Vec<Strike>>,
}

impl Strikes {
    /// Counts that a request was broken off at an endpoint; `own` says whether this host saw it.
    pub fn strike(&mut self, now: Instant, request: Fingerprint, endpoint: &str, own: bool) {
        self.make_room(now, request);
        let strikes = self.requests.entry(request).or_default();
        if strikes.len() >= ENDPOINTS || strikes.iter().any(|known| known.endpoint == endpoint) {
            return;
        }
        strikes.push(Strike {
            endpoint: endpoint.to_owned(),
            at: now,
            own,
        });
    }

    fn make_room(&mut self, now: Instant, request: Fingerprint) {
        if self.requests.len() < REQUESTS || self.requests.contains_key(&request) {
            return;
        }
        self.requests
            .retain(|_, strikes| strikes.iter().any(|known| now.since(known.at) < LIFETIME));
        let last = |strikes: &Vec<Strike>| strikes.iter().map(|strike| strike.at).max();
        let oldest = self
            .requests
            .iter()
            .min_by_key(|(_, strikes)| last(strikes))
            .map(|(key, _)| *key);
        if let Some(oldest) = oldest.filter(|_| self.requests.len() >= REQUESTS) {
            self.requests.remove(&oldest);
        }
    }

    /// Whether the request has crashed too many endpoints to be sent again.
    #[must_use]
    pub fn is_refused(&self, now: Instant, request: Fingerprint) -> bool {
        self.requests.get(&request).is_some_and(|strikes| {
            strikes
                .iter()
                .filter(|strike| now.since(strike.at) < LIFETIME)
                .count()
                >= ENDPOINTS
        })
    }

    /// Own strikes of the last seconds, for the report to peers.
    pub fn report(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, &str)> {
        let own = self
            .requests
            .iter()
            .flat_map(|(request, strikes)| strikes.iter().map(move |strike| (*request, strike)));
        own.filter(move |(_, strike)| strike.own && now.since(strike.at) < REPORTED_FOR)
            .map(|(request, strike)| (request, strike.endpoint.as_str()))
            .take(REPORTED)
    }
}
