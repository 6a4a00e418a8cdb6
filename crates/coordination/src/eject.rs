//! Ejection of failing or slow endpoints of a route, with a floor and probes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;

/// Outcomes over which failures and latency are averaged.
const MEMORY: f64 = 16.0;
/// Outcomes that must have been seen before an endpoint is judged.
const FEWEST: u32 = 8;
/// Failures on end that eject an endpoint.
const FAILURES_IN_A_ROW: u32 = 5;
/// Share of failures that ejects an endpoint.
const FAILING: f64 = 0.5;
/// Ratio to the median latency of the route's other endpoints that ejects an endpoint. A full decode
/// batch has twice the step time of an empty one.
const SLOW: f64 = 2.5;
/// Time of a first ejection; it doubles with each further one up to [`LONGEST`].
const SHORTEST: Duration = Duration::from_secs(2);
const LONGEST: Duration = Duration::from_secs(60);
/// Time between two probes of an endpoint whose ejection time is over.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Good probes that bring an endpoint back.
const PROBES: u32 = 3;
/// Time without ejection after which the ejection time starts from the shortest again.
const FORGIVEN: Duration = Duration::from_secs(120);

/// Outcome of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It answered; the latency is in milliseconds, of a kind that is comparable between the
    /// endpoints of the route (time between tokens for decode, time of a lookup for services).
    Answered {
        /// Latency in milliseconds.
        millis: f64,
    },
    /// It failed or timed out.
    Failed,
}

/// Change of an endpoint's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint gets probes only.
    Ejected,
    /// The endpoint gets requests again.
    Returned,
}

#[derive(Clone, Copy, Debug, Default)]
struct Track {
    outcomes: u32,
    failures: f64,
    in_a_row: u32,
    millis: f64,
    ejected: Option<Ejection>,
    times: u32,
    last: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    next_probe: Instant,
    good: u32,
}

/// Route size up to which the median leaves out the judged endpoint, exactly and at each outcome.
const SMALL_ROUTE: usize = 16;
/// Time between two computations of the median of a larger route, which sort all endpoints.
const MEDIAN_PERIOD: Duration = Duration::from_millis(500);

/// Endpoints of one route.
#[derive(Clone, Debug, Default)]
pub struct Detector<E> {
    tracks: BTreeMap<E, Track>,
    ejected: usize,
    /// Median latency of a large route, and the time of its computation.
    median: Option<(Instant, Option<f64>)>,
}

impl<E: Copy + Ord> Detector<E> {
    /// Makes a detector without endpoints.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            tracks: BTreeMap::new(),
            ejected: 0,
            median: None,
        }
    }

    /// Adds an endpoint of the route.
    pub fn add(&mut self, endpoint: E) {
        self.tracks.entry(endpoint).or_default();
    }

    /// Removes an endpoint; returns those that must come back to keep half of the route.
    pub fn remove(&mut self, endpoint: E) -> Vec<E> {
        if let Some(track) = self.tracks.remove(&endpoint) {
            self.ejected -= usize::from(track.ejected.is_some());
        }
        let mut returned = Vec::new();
        while self.ejected() > self.tracks.len() / 2 {
            // The one whose ejection ends first comes back.
            let first = self
                .tracks
                .iter()
                .filter_map(|(endpoint, track)| Some((track.ejected?.until, *endpoint)))
                .min();
            let Some((_, endpoint)) = first else {
                break;
            };
            if let Some(track) = self.tracks.get_mut(&endpoint) {
                *track = Track::default();
                self.ejected -= 1;
            }
            returned.push(endpoint);
        }
        returned
    }

    /// Number of ejected endpoints, never more than half of the route.
    #[must_use]
    pub const fn ejected(&self) -> usize {
        self.ejected
    }

    /// Whether requests may go to the endpoint.
    #[must_use]
    pub fn is_ejected(&self, endpoint: E) -> bool {
        self.tracks
            .get(&endpoint)
            .is_some_and(|track| track.ejected.is_some())
    }

    /// End of an endpoint's ejection, from which on it gets probes.
    #[must_use]
    pub fn ejected_until(&self, endpoint: E) -> Option<Instant> {
        Some(self.tracks.get(&endpoint)?.ejected?.until)
    }

    /// An endpoint that should get the next request as a probe. Ask before each choice.
    pub fn probe(&mut self, now: Instant) -> Option<E> {
        for (endpoint, track) in &mut self.tracks {
            let Some(ejection) = &mut track.ejected else {
                continue;
            };
            if now >= ejection.until && now >= ejection.next_probe {
                ejection.next_probe = now + PROBE_PERIOD;
                return Some(*endpoint);
            }
        }
        None
    }

    /// Counts an outcome.
    pub fn outcome(&mut self, now: Instant, endpoint: E, outcome: Outcome) -> Option<Change> {
        let usual = self.usual(now, endpoint);
        let room = self.ejected() < self.tracks.len() / 2;
        let track = self.tracks.get_mut(&endpoint)?;
        let slow = |millis: f64| usual.is_some_and(|usual| millis > SLOW * usual);
        if let Some(ejection) = &mut track.ejected {
            if now < ejection.until {
                return None;
            }
            match outcome {
                Outcome::Answered { millis } if !slow(millis) => {
                    ejection.good += 1;
                    if ejection.good < PROBES {
                        return None;
                    }
                    *track = Track {
                        times: track.times,
                        last: now,
                        ..Track::default()
                    };
                    self.ejected -= 1;
                    return Some(Change::Returned);
                }
                Outcome::Answered { .. } | Outcome::Failed => track.eject(now),
            }
            return None;
        }
        track.count(outcome);
        let failing = track.in_a_row >= FAILURES_IN_A_ROW
            || track.outcomes >= FEWEST && track.failures >= FAILING;
        let late = track.outcomes >= FEWEST && slow(track.millis);
        if !room || !failing && !late {
            return None;
        }
        track.eject(now);
        self.ejected += 1;
        Some(Change::Ejected)
    }

    /// Median latency of the route's other endpoints; of a large route, a recent one of all.
    fn usual(&mut self, now: Instant, endpoint: E) -> Option<f64> {
        if self.tracks.len() <= SMALL_ROUTE {
            return self.median(Some(endpoint));
        }
        if let Some((at, median)) = self.median
            && now.since(at) < MEDIAN_PERIOD
        {
            return median;
        }
        let median = self.median(None);
        self.median = Some((now, median));
        median
    }

    fn median(&self, without: Option<E>) -> Option<f64> {
        let mut known: Vec<f64> = self
            .tracks
            .iter()
            .filter(|(endpoint, track)| {
                Some(**endpoint) != without && track.ejected.is_none() && track.outcomes >= FEWEST
            })
            .map(|(_, track)| track.millis)
            .collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }
}

impl Track {
    fn count(&mut self, outcome: Outcome) {
        self.outcomes = self.outcomes.saturating_add(1);
        let weight = 1.0 / MEMORY.min(f64::from(self.outcomes));
        match outcome {
            Outcome::Answered { millis } => {
                self.in_a_row = 0;
                self.failures -= self.failures * weight;
                self.millis += (millis - self.millis) * weight;
            }
            Outcome::Failed => {
                self.in_a_row += 1;
                self.failures += (1.0 - self.failures) * weight;
            }
        }
    }

    fn eject(&mut self, now: Instant) {
        if now.since(self.last) >= FORGIVEN {
            self.times = 0;
        }
        let time = SHORTEST.saturating_mul(1 << self.times.min(8)).min(LONGEST);
        self.times += 1;
        self.last = now;
        self.ejected = Some(Ejection {
            until: now + time,
            next_probe: now + time,
            good: 0,
        });
    }
}
