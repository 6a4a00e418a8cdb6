//! Health of each endpoint as seen by this host: suspicions, outlier ejections, failure rates and
//! reported loads.

use std::collections::HashMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::eject::{Change, Detector, Outcome};
use berylknot_coordination::ending::Breaks;
use berylknot_coordination::notice::Notices;
use serde::{Deserialize, Serialize};

use crate::directory::{Endpoint, Key, Stage};
use crate::http::Error;

/// Duration of a suspicion after a failed connection or a lost response.
const SUSPICION_TIME: Duration = Duration::from_millis(800);
/// Duration of a suspicion after another endpoint answered at the address: three heartbeats, after
/// which the directory has removed the stale entry.
const MISDIRECTION_TIME: Duration = Duration::from_millis(3_600);
/// Time constant of the exponential decay of failure rates.
const FAILURE_DECAY: Duration = Duration::from_secs(4);
/// Time after which a reported load is ignored; calls take tens of milliseconds.
const REPORTED_LOAD_LIFETIME: Duration = Duration::from_millis(1_500);

/// Why an endpoint is less preferred than others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Suspicion {
    /// It refused or aborted a request. The next request is likely to be served, and fails fast
    /// otherwise.
    Faulty,
    /// It did not answer, another endpoint answered at its address, or it is ejected.
    Silent,
}

impl From<&Error> for Suspicion {
    fn from(error: &Error) -> Self {
        match error {
            Error::Lost(_)
            | Error::Broken(_)
            | Error::Status(_)
            | Error::Unproven
            | Error::TooLarge => Self::Faulty,
            Error::NotSent(_) | Error::TimedOut => Self::Silent,
        }
    }
}

/// Group of endpoints whose failures and latencies are compared for outlier detection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Group {
    /// Name of the service.
    pub service: String,
    /// Stage of the engines; `None` for plain services.
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

/// Exponentially decaying counts of the requests assigned to an endpoint and of those that failed.
#[derive(Clone, Copy, Debug)]
struct Tally {
    assigned: f64,
    failed: f64,
    updated: Instant,
}

impl Tally {
    fn decay(&mut self, now: Instant) {
        let decay = (-now.since(self.updated).as_secs_f64() / FAILURE_DECAY.as_secs_f64()).exp();
        self.assigned *= decay;
        self.failed *= decay;
        self.updated = now;
    }
}

/// Health of all endpoints.
#[derive(Debug, Default)]
pub struct Health {
    tallies: HashMap<Key, Tally>,
    detectors: HashMap<Group, Detector<Key>>,
    suspects: HashMap<Key, (Instant, Suspicion)>,
    reported_loads: HashMap<Key, (Instant, f64)>,
    notices: Notices<Key>,
    breaks: Breaks<Key>,
    /// Latest time at which the entry of an endpoint that leaves was certainly that of one that does not.
    last_ready: HashMap<Key, Instant>,
}

impl Health {
    /// Adds an endpoint to a group.
    pub fn add(&mut self, key: Key, group: Group) {
        self.detectors.entry(group).or_default().add(key);
    }

    /// Clears suspicion and failure rate of a restarted endpoint.
    pub fn restarted(&mut self, key: Key) {
        self.suspects.remove(&key);
        self.tallies.remove(&key);
        self.notices.remove(key);
        self.breaks.remove(key);
        self.last_ready.remove(&key);
    }

    /// Forgets all failures, since the links of this host caused them. What the endpoints have said stays.
    pub fn reset(&mut self) {
        for detector in self.detectors.values_mut() {
            detector.reset();
        }
        self.suspects.clear();
        self.tallies.clear();
    }

    /// Removes all state of an endpoint, but for its recent breaks: its streams may end later.
    pub fn remove(&mut self, key: Key) {
        for detector in self.detectors.values_mut() {
            detector.remove(key);
        }
        self.suspects.remove(&key);
        self.reported_loads.remove(&key);
        self.tallies.remove(&key);
        self.notices.remove(key);
        self.last_ready.remove(&key);
    }

    fn tally(&mut self, now: Instant, key: Key) -> &mut Tally {
        let tally = self.tallies.entry(key).or_insert(Tally {
            assigned: 0.0,
            failed: 0.0,
            updated: now,
        });
        tally.decay(now);
        tally
    }

    /// What the endpoints have told this host of the requests that they want from it.
    #[must_use]
    pub const fn notices(&self) -> &Notices<Key> {
        &self.notices
    }

    /// What the endpoints have told this host, to add to it.
    pub const fn notices_mut(&mut self) -> &mut Notices<Key> {
        &mut self.notices
    }

    /// Records that the entry of an endpoint says it leaves; at `ready_at` it certainly did not.
    pub fn leaves(&mut self, key: Key, ready_at: Instant) {
        self.last_ready.entry(key).or_insert(ready_at);
    }

    /// Latest time at which an endpoint whose entry says that it leaves certainly did not.
    #[must_use]
    pub fn last_ready(&self, key: Key) -> Option<Instant> {
        self.last_ready.get(&key).copied()
    }

    /// Endpoints that broke answers off.
    #[must_use]
    pub const fn breaks(&self) -> &Breaks<Key> {
        &self.breaks
    }

    /// Endpoints that broke answers off, to add to them.
    pub const fn breaks_mut(&mut self) -> &mut Breaks<Key> {
        &mut self.breaks
    }

    /// Counts a request that this host assigned to an endpoint, for itself or another host.
    pub fn assigned(&mut self, now: Instant, key: Key) {
        self.tally(now, key).assigned += 1.0;
    }

    /// Counts an assigned request that failed.
    pub fn request_failed(&mut self, now: Instant, key: Key) {
        self.tally(now, key).failed += 1.0;
    }

    /// Share of recently assigned requests that failed, in 0..1.
    #[must_use]
    pub fn failure_rate(&self, now: Instant, key: Key) -> f64 {
        let Some(mut tally) = self.tallies.get(&key).copied() else {
            return 0.0;
        };
        tally.decay(now);
        tally.failed / (tally.assigned.max(tally.failed) + 1.0)
    }

    /// Records the load reported by an endpoint: running requests, queued requests and slots.
    pub fn record_load(
        &mut self,
        now: Instant,
        key: Key,
        (running, waiting, slots): (u32, u32, u32),
    ) {
        let share = (f64::from(running) + f64::from(waiting)) / f64::from(slots.max(1));
        self.reported_loads.insert(key, (now, share));
    }

    /// Last reported load as a share of the endpoint's slots, decaying linearly with its age.
    #[must_use]
    pub fn reported_load(&self, now: Instant, key: Key) -> f64 {
        let Some((at, share)) = self.reported_loads.get(&key) else {
            return 0.0;
        };
        let age = now.since(*at).as_secs_f64() / REPORTED_LOAD_LIFETIME.as_secs_f64();
        share * (1.0 - age).max(0.0)
    }

    /// Suspects an endpoint for a short time.
    pub fn suspect(&mut self, now: Instant, key: Key, suspicion: Suspicion) {
        self.suspect_until(now, key, now + SUSPICION_TIME, suspicion);
    }

    /// Suspects an endpoint at whose address another one answered, until its entry changes or the stale
    /// entry expires.
    pub fn misdirected(&mut self, now: Instant, key: Key) {
        self.suspect_until(now, key, now + MISDIRECTION_TIME, Suspicion::Silent);
    }

    fn suspect_until(&mut self, now: Instant, key: Key, until: Instant, suspicion: Suspicion) {
        let known = self.suspects.entry(key).or_insert((until, suspicion));
        if known.0 <= now || suspicion > known.1 {
            *known = (until, suspicion);
        } else if suspicion == known.1 {
            known.0 = until.max(known.0);
        }
    }

    /// Currently suspected endpoints.
    pub fn suspected(&self, now: Instant) -> impl Iterator<Item = (Key, Suspicion)> {
        let suspects = self.suspects.iter();
        suspects
            .filter(move |(_, (until, _))| *until > now)
            .map(|(key, (_, suspicion))| (*key, *suspicion))
    }

    /// Records a response with its latency in milliseconds; returns [`Change::Returned`] if it ends an
    /// ejection.
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

    /// Records a failed request and suspects the endpoint; returns [`Change::Ejected`] if it is ejected.
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

    /// Records a server error of the endpoint. A single one raises no suspicion, since some calls fail
    /// at every endpoint.
    pub fn server_error(&mut self, now: Instant, key: Key, group: &Group) -> Option<Change> {
        let detector = self.detectors.get_mut(group)?;
        detector.outcome(now, key, Outcome::Failed)
    }

    /// Current suspicion of an endpoint, if any.
    ///
    /// Engines get no probe requests, so an ejected engine is used again when its ejection time is over;
    /// the next failure ejects it for twice as long.
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

    /// An ejected endpoint that is due for a probe.
    pub fn probe(&mut self, now: Instant, group: &Group) -> Option<Key> {
        self.detectors.get_mut(group)?.probe(now)
    }
}
