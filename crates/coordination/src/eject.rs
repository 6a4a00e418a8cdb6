//! Outlier detection per route: ejects failing or slow endpoints, at most half of the route, and
//! readmits them after probes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;

/// Window of the moving averages of failure ratio and latency, in outcomes.
const AVERAGE_WINDOW: f64 = 16.0;
/// Minimum number of outcomes before the averages can eject an endpoint.
const MIN_OUTCOMES: u32 = 8;
/// Number of consecutive failures that ejects an endpoint.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Failure ratio that ejects an endpoint.
const MAX_FAILURE_RATIO: f64 = 0.5;
/// Ratio of an endpoint's latency to the median of the route's other endpoints that ejects it. It
/// exceeds 2 because a full decode batch has twice the step time of an empty one.
const MAX_LATENCY_RATIO: f64 = 2.5;
/// Duration of a first ejection; it doubles with each further one up to [`MAX_EJECTION`].
const MIN_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Interval between probes of an endpoint whose ejection has ended.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of successful probes that readmits an endpoint.
const PROBES_TO_READMIT: u32 = 3;
/// Interval without an ejection after which the next one lasts [`MIN_EJECTION`] again.
const BACKOFF_RESET: Duration = Duration::from_secs(120);

/// Outcome of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint answered. The latency must be comparable between the endpoints of the route:
    /// time between tokens for decode, lookup time for services.
    Answered {
        /// Latency in milliseconds.
        millis: f64,
    },
    /// The request failed or timed out.
    Failed,
}

/// Change of an endpoint's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint was ejected and gets only probes.
    Ejected,
    /// The endpoint was readmitted and gets requests again.
    Returned,
}

#[derive(Clone, Copy, Debug, Default)]
struct Track {
    outcomes: u32,
    /// Moving average of the failure ratio.
    failures: f64,
    consecutive_failures: u32,
    /// Moving average of the latency.
    millis: f64,
    ejected: Option<Ejection>,
    /// Number of ejections since the last [`BACKOFF_RESET`].
    ejections: u32,
    /// Time of the last ejection or readmission.
    last: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until: Instant,
    next_probe: Instant,
    /// Number of successful probes.
    successes: u32,
}

/// Maximum route size at which the median is computed at each outcome, without the endpoint that it
/// is compared with.
const SMALL_ROUTE: usize = 16;
/// Interval between computations of a larger route's median, which sort all endpoints.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(500);

/// Outlier detector for the endpoints of one route.
#[derive(Clone, Debug, Default)]
pub struct Detector<E> {
    tracks: BTreeMap<E, Track>,
    ejected: usize,
    /// Cached median latency of a large route, with the time of its computation.
    median: Option<(Instant, Option<f64>)>,
}

impl<E: Copy + Ord> Detector<E> {
    /// Creates a detector without endpoints.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            tracks: BTreeMap::new(),
            ejected: 0,
            median: None,
        }
    }

    /// Adds an endpoint to the route; no effect when it is already there.
    pub fn add(&mut self, endpoint: E) {
        self.tracks.entry(endpoint).or_default();
    }

    /// Forgets all outcomes and ejections, after failures that were not the endpoints'.
    pub fn reset(&mut self) {
        for track in self.tracks.values_mut() {
            *track = Track::default();
        }
        self.ejected = 0;
        self.median = None;
    }

    /// Removes an endpoint. Returns the endpoints readmitted so that at most half of the remaining
    /// route is ejected.
    pub fn remove(&mut self, endpoint: E) -> Vec<E> {
        if let Some(track) = self.tracks.remove(&endpoint) {
            self.ejected -= usize::from(track.ejected.is_some());
        }
        let mut returned = Vec::new();
        while self.ejected() > self.tracks.len() / 2 {
            // The endpoint whose ejection ends first is readmitted.
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

    /// Number of ejected endpoints, at most half of the route.
    #[must_use]
    pub const fn ejected(&self) -> usize {
        self.ejected
    }

    /// Whether the endpoint is ejected and gets only probes.
    #[must_use]
    pub fn is_ejected(&self, endpoint: E) -> bool {
        self.tracks
            .get(&endpoint)
            .is_some_and(|track| track.ejected.is_some())
    }

    /// End of an endpoint's ejection, after which it gets probes.
    #[must_use]
    pub fn ejected_until(&self, endpoint: E) -> Option<Instant> {
        Some(self.tracks.get(&endpoint)?.ejected?.until)
    }

    /// Endpoint that should get the next request as a probe; call before each endpoint selection.
    pub fn probe(&mut self, now: Instant) -> Option<E> {
        for (endpoint, track) in &mut self.tracks {
            let Some(ejection) = &mut track.ejected else {
                continue;
            };
            if now >= ejection.until && now >= ejection.next_probe {
                ejection.next_probe = now + PROBE_INTERVAL;
                return Some(*endpoint);
            }
        }
        None
    }

    /// Records the outcome of a request or probe; returns a resulting ejection or readmission.
    pub fn outcome(&mut self, now: Instant, endpoint: E, outcome: Outcome) -> Option<Change> {
        let median = self.reference_median(now, endpoint);
        let room = self.ejected() < self.tracks.len() / 2;
        let track = self.tracks.get_mut(&endpoint)?;
        let slow = |millis: f64| median.is_some_and(|median| millis > MAX_LATENCY_RATIO * median);
        if let Some(ejection) = &mut track.ejected {
            if now < ejection.until {
                return None;
            }
            match outcome {
                Outcome::Answered { millis } if !slow(millis) => {
                    ejection.successes += 1;
                    if ejection.successes < PROBES_TO_READMIT {
                        return None;
                    }
                    *track = Track {
                        ejections: track.ejections,
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
        let failing = track.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || track.outcomes >= MIN_OUTCOMES && track.failures >= MAX_FAILURE_RATIO;
        let outlier = track.outcomes >= MIN_OUTCOMES && slow(track.millis);
        if !room || !failing && !outlier {
            return None;
        }
        track.eject(now);
        self.ejected += 1;
        Some(Change::Ejected)
    }

    /// Median latency of the route's other endpoints; on a large route, a cached median of all.
    fn reference_median(&mut self, now: Instant, endpoint: E) -> Option<f64> {
        if self.tracks.len() <= SMALL_ROUTE {
            return self.median(Some(endpoint));
        }
        if let Some((at, median)) = self.median
            && now.since(at) < MEDIAN_INTERVAL
        {
            return median;
        }
        let median = self.median(None);
        self.median = Some((now, median));
        median
    }

    fn median(&self, without: Option<E>) -> Option<f64> {
        let mut latencies: Vec<f64> = self
            .tracks
            .iter()
            .filter(|(endpoint, track)| {
                Some(**endpoint) != without
                    && track.ejected.is_none()
                    && track.outcomes >= MIN_OUTCOMES
            })
            .map(|(_, track)| track.millis)
            .collect();
        latencies.sort_by(f64::total_cmp);
        latencies.get(latencies.len() / 2).copied()
    }
}

impl Track {
    fn count(&mut self, outcome: Outcome) {
        self.outcomes = self.outcomes.saturating_add(1);
        let weight = 1.0 / AVERAGE_WINDOW.min(f64::from(self.outcomes));
        match outcome {
            Outcome::Answered { millis } => {
                self.consecutive_failures = 0;
                self.failures -= self.failures * weight;
                self.millis += (millis - self.millis) * weight;
            }
            Outcome::Failed => {
                self.consecutive_failures += 1;
                self.failures += (1.0 - self.failures) * weight;
            }
        }
    }

    fn eject(&mut self, now: Instant) {
        if now.since(self.last) >= BACKOFF_RESET {
            self.ejections = 0;
        }
        let duration = MIN_EJECTION
            .saturating_mul(1 << self.ejections.min(8))
            .min(MAX_EJECTION);
        self.ejections += 1;
        self.last = now;
        self.ejected = Some(Ejection {
            until: now + duration,
            next_probe: now + duration,
            successes: 0,
        });
    }
}
