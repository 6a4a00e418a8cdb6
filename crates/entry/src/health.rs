//! Health of each endpoint as this host sees it: suspicions, ejections and stated loads.

use std::collections::HashMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::eject::{Change, Detector, Outcome};
use serde::{Deserialize, Serialize};

use crate::directory::{Endpoint, Key, Stage};
use crate::http::Error;

/// Time for which an endpoint that failed a connection or lost an exchange is chosen last.
const SUSPICION: Duration = Duration::from_millis(800);
/// The same for an endpoint at whose address another one answered: three heartbeats, after which the
/// directory has removed its entry.
const MISDIRECTION: Duration = Duration::from_millis(3_600);
/// Time in which the record of an endpoint fades to a third.
const RECORD_LIFETIME: Duration = Duration::from_secs(4);
/// Time after which a stated load tells nothing any more; calls take tens of milliseconds.
const STATED_LOAD_LIFETIME: Duration = Duration::from_millis(1_500);

/// Why an endpoint is chosen later than others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Suspicion {
    /// It refused or broke off a request: the next one is likely to be served, and fails at once
    /// otherwise.
    Faulty,
    /// It did not answer, another endpoint answered at its address, or most requests failed there.
    Silent,
}

impl From<&Error> for Suspicion {
    fn from(error: &Error) -> Self {
        match error {
            Error::Lost(_) | Error::Broken(_) | Error::TooLarge => Self::Faulty,
            Error::NotSent(_) | Error::TimedOut => Self::Silent,
        }
    }
}

/// Endpoints whose failures and latencies are comparable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Group {
    /// Name of the service.
    pub service: String,
    /// Stage of the engines; none for plain services.
    pub stage: Option<Stage>,
}

impl Group {
    /// The group of an endpoint.
    #[must_use]
    pub fn of(endpoint: &Endpoint) -> Self {
        Self {
            service: endpoint.service.clone(),
            stage: endpoint.stage,
        }
    }
}

/// Requests that were given to an endpoint and those that failed there, both fading.
#[derive(Clone, Copy, Debug)]
struct Record {
    given: f64,
    failed: f64,
    at: Instant,
}

impl Record {
    fn fade(&mut self, now: Instant) {
        let fading = (-now.since(self.at).as_secs_f64() / RECORD_LIFETIME.as_secs_f64()).exp();
        self.given *= fading;
        self.failed *= fading;
        self.at = now;
    }
}

/// Health of all endpoints.
#[derive(Debug, Default)]
pub struct Health {
    records: HashMap<Key, Record>,
    detectors: HashMap<Group, Detector<Key>>,
    suspects: HashMap<Key, (Instant, Suspicion)>,
    stated: HashMap<Key, (Instant, f64)>,
}

impl Health {
    /// Adds an endpoint or follows a change of its entry.
    pub fn add(&mut self, key: Key, group: Group) {
        self.detectors.entry(group).or_default().add(key);
    }

    /// Clears what was suspected before an endpoint started anew.
    pub fn restarted(&mut self, key: Key) {
        self.suspects.remove(&key);
        self.records.remove(&key);
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, key: Key) {
        for detector in self.detectors.values_mut() {
            detector.remove(key);
        }
        self.suspects.remove(&key);
        self.stated.remove(&key);
        self.records.remove(&key);
    }

    fn record(&mut self, now: Instant, key: Key) -> &mut Record {
        let record = self.records.entry(key).or_insert(Record {
            given: 0.0,
            failed: 0.0,
            at: now,
        });
        record.fade(now);
        record
    }

    /// Counts a request that this host gave to an endpoint, for itself or another host.
    pub fn assigned(&mut self, now: Instant, key: Key) {
        self.record(now, key).given += 1.0;
    }

    /// Counts one of those that failed there.
    pub fn request_failed(&mut self, now: Instant, key: Key) {
        self.record(now, key).failed += 1.0;
    }

    /// Share of the requests given to an endpoint in the last seconds that failed there.
    #[must_use]
    pub fn failure_rate(&self, now: Instant, key: Key) -> f64 {
        let Some(mut record) = self.records.get(&key).copied() else {
            return 0.0;
        };
        record.fade(now);
        record.failed / (record.given.max(record.failed) + 1.0)
    }

    /// Notes the load that an endpoint stated: running requests, waiting requests and slots.
    pub fn note_load(
        &mut self,
        now: Instant,
        key: Key,
        (running, waiting, slots): (u32, u32, u32),
    ) {
        let share = f64::from(running + waiting) / f64::from(slots.max(1));
        self.stated.insert(key, (now, share));
    }

    /// Load that an endpoint stated a short while ago, as a share of its slots; less the older it is.
    #[must_use]
    pub fn reported_load(&self, now: Instant, key: Key) -> f64 {
        let Some((at, share)) = self.stated.get(&key) else {
            return 0.0;
        };
        let age = now.since(*at).as_secs_f64() / STATED_LOAD_LIFETIME.as_secs_f64();
        share * (1.0 - age).max(0.0)
    }

    /// Has an endpoint chosen later than others for a while.
    pub fn suspect(&mut self, now: Instant, key: Key, suspicion: Suspicion) {
        self.suspect_until(now, key, now + SUSPICION, suspicion);
    }

    /// Has an endpoint chosen last until its entry changes, but no longer than a stale entry stays.
    pub fn misdirected(&mut self, now: Instant, key: Key) {
        self.suspect_until(now, key, now + MISDIRECTION, Suspicion::Silent);
    }

    fn suspect_until(&mut self, now: Instant, key: Key, until: Instant, suspicion: Suspicion) {
        let known = self.suspects.entry(key).or_insert((until, suspicion));
        if known.0 <= now || suspicion > known.1 {
            *known = (until, suspicion);
        } else if suspicion == known.1 {
            known.0 = until.max(known.0);
        }
    }

    /// Endpoints that are suspected now.
    pub fn suspected(&self, now: Instant) -> impl Iterator<Item = (Key, Suspicion)> {
        let suspects = self.suspects.iter();
        suspects
            .filter(move |(_, (until, _))| *until > now)
            .map(|(key, (_, suspicion))| (*key, *suspicion))
    }

    /// Counts a request that was answered in that many milliseconds; tells whether the endpoint
    /// returned by it.
    pub fn answered(
        &mut self,
        now: Instant,
        key: Key,
        group: &Group,
        millis: f64,
    ) -> Option<Change> {
        let detector = self.detectors.get_mut(group)?;
        detector.outcome(now, key, Outcome::Answered { millis })
    }

    /// Counts a request that failed; tells whether the endpoint was ejected by it.
    pub fn failed(
        &mut self,
        now: Instant,
        key: Key,
        group: &Group,
        suspicion: Suspicion,
    ) -> Option<Change> {
        self.suspect(now, key, suspicion);
        self.server_error(now, key, group)
    }

    /// Counts an error of the endpoint's own. Some calls fail wherever they run, so a single one raises
    /// no doubt.
    pub fn server_error(&mut self, now: Instant, key: Key, group: &Group) -> Option<Change> {
        let detector = self.detectors.get_mut(group)?;
        detector.outcome(now, key, Outcome::Failed)
    }

    /// Why an endpoint should be chosen later than others.
    ///
    /// An ejected engine is tried again when its time is over, since requests for engines are not sent
    /// as probes; the next failure ejects it for twice as long.
    #[must_use]
    pub fn suspicion(&self, now: Instant, key: Key, group: &Group) -> Option<Suspicion> {
        let detector = self.detectors.get(group);
        if let Some(until) = detector.and_then(|detector| detector.ejected_until(key))
            && (group.stage.is_none() || now < until)
        {
            return Some(Suspicion::Silent);
        }
        let (until, suspicion) = self.suspects.get(&key)?;
        (*until > now).then_some(*suspicion)
    }

    /// An ejected endpoint whose turn for a probe has come.
    pub fn probe(&mut self, now: Instant, group: &Group) -> Option<Key> {
        self.detectors.get_mut(group)?.probe(now)
    }
}
