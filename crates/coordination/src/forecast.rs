//! Forecast of the time in which an endpoint answers a call, from the load that it states.
//!
//! The load is a burst of calls at endpoints whose machines run at different and changing speeds. Endpoints
//! take a call until their queue is full, so without a forecast calls wait for as long as the slowest queue is.
//! With it calls go where they end first, and the part that would end too late everywhere is refused at arrival,
//! so that the rest is not.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Instant;

/// Time constant with which a stated load fades to an idle endpoint of the usual pace. Endpoints state it
/// many times a second, and a queue empties in less.
const FADING_TIME: Duration = Duration::from_millis(400);
/// Age from which a stated load is forgotten.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Bounds of a pace; what an endpoint states beyond them is no measurement.
const PACE_BOUNDS: (f64, f64) = (0.1, 20.0);
/// Most requests that a stated load may name.
const MAX_REQUESTS: u32 = 100_000;
/// Weight of a new answer in the moving average of the usual time.
const AVERAGE_WEIGHT: f64 = 1.0 / 16.0;
/// Share of the time for which a call is useful up to which it is always admitted, and that from which none is. In
/// between, the share of admitted calls falls, so that hosts with the same picture do not all refuse at once, and
/// queues settle below that time whatever the excess is.
const ADMISSION_RANGE: (f64, f64) = (0.45, 0.9);

/// Load that an endpoint states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
    /// Time that work takes at this moment, as a multiple of the usual.
    pub pace: f64,
}

impl Load {
    /// Checks a stated load; `None` if it is no measurement.
    #[must_use]
    pub fn checked(self) -> Option<Self> {
        let (slowest, quickest) = (PACE_BOUNDS.1, PACE_BOUNDS.0);
        let is_sound = self.pace.is_finite()
            && (quickest..=slowest).contains(&self.pace)
            && self.slots > 0
            && self.running.max(self.waiting).max(self.slots) <= MAX_REQUESTS;
        is_sound.then_some(self)
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    load: Load,
    at: Instant,
    /// Whether this host got the answer that stated it.
    is_own: bool,
}

/// Expected course of a call at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Time until the call starts.
    pub wait: Duration,
    /// Time until it is answered.
    pub end: Duration,
    /// Busy part of the endpoint's slots, weighed by its pace.
    pub fill: f64,
    /// Time that work takes, as a multiple of the usual.
    pub pace: f64,
}

/// Stated loads of endpoints, and the usual time of a call in each group of them.
#[derive(Clone, Debug)]
pub struct Forecast<K, G> {
    known: HashMap<K, Known>,
    usual_ms: HashMap<G, f64>,
}

impl<K, G> Default for Forecast<K, G> {
    fn default() -> Self {
        Self {
            known: HashMap::new(),
            usual_ms: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash, G: Clone + Eq + Hash> Forecast<K, G> {
    /// Records the load that an endpoint stated at `at`, to this host or to a peer; older ones are ignored.
    pub fn stated(&mut self, key: K, load: Load, at: Instant, is_own: bool) {
        let known = Known { load, at, is_own };
        let entry = self.known.entry(key).or_insert(known);
        if at >= entry.at {
            *entry = known;
        }
    }

    /// Records a call that was answered in `took` while no other one waited.
    pub fn answered(&mut self, group: &G, took: Duration, load: Load) {
        if load.waiting > 0 {
            return;
        }
        let usual = took.as_secs_f64() * 1_000.0 / load.pace;
        match self.usual_ms.get_mut(group) {
            Some(average) => *average += (usual - *average) * AVERAGE_WEIGHT,
            None => {
                self.usual_ms.insert(group.clone(), usual);
            }
        }
    }

    /// Load that an endpoint has stated to this host just now; `None` if a peer's is newer.
    #[must_use]
    pub fn own(&self, now: Instant, key: K) -> Option<Load> {
        let known = self.known.get(&key)?;
        let is_fresh = known.is_own && now.since(known.at) < FADING_TIME;
        is_fresh.then_some(known.load)
    }

    /// Usual time of a call; `None` before the first answer.
    #[must_use]
    pub fn usual(&self, group: &G) -> Option<Duration> {
        let millis = self.usual_ms.get(group)?;
        Some(Duration::from_secs_f64(millis.max(0.0) / 1_000.0))
    }

    /// Pace of an endpoint, which fades to the usual one; `None` if it has not stated one lately.
    #[must_use]
    pub fn pace(&self, now: Instant, key: K) -> Option<f64> {
        let known = self.known.get(&key)?;
        let freshness = freshness(now, known.at)?;
        Some(1.0 + (known.load.pace - 1.0) * freshness)
    }

    /// Whether as many requests wait at an endpoint as run there, by what it has stated within the fading time.
    #[must_use]
    pub fn is_queued(&self, now: Instant, key: K) -> bool {
        let known = self.known.get(&key);
        known.is_some_and(|known| {
            known.load.waiting >= known.load.slots && now.since(known.at) < FADING_TIME
        })
    }

    /// Outlook of a call at an endpoint with `own` requests of this host on the way, whose work usually takes
    /// `usual`; `None` if the endpoint has not stated its load lately.
    #[must_use]
    pub fn outlook(&self, now: Instant, key: K, own: u32, usual: Duration) -> Option<Outlook> {
        let known = self.known.get(&key)?;
        let freshness = freshness(now, known.at)?;
        let slots = f64::from(known.load.slots);
        let stated = f64::from(known.load.running) + f64::from(known.load.waiting);
        let busy = (stated * freshness).max(f64::from(own));
        let pace = 1.0 + (known.load.pace - 1.0) * freshness;
        let work = usual.as_secs_f64() * pace;
        let ahead = (busy + 1.0 - slots).max(0.0);
        let wait = ahead / slots * work;
        Some(Outlook {
            wait: Duration::from_secs_f64(wait),
            end: Duration::from_secs_f64(wait + work),
            fill: (busy + 1.0) / slots * pace,
            pace,
        })
    }

    /// Loads that endpoints have stated to this host since `since`, newest first, for its peers.
    pub fn own_since(&self, since: Instant) -> Vec<(K, Load, Instant)> {
        let own = self.known.iter();
        let own = own.filter(|(_, known)| known.is_own && known.at >= since);
        let mut own: Vec<_> = own
            .map(|(key, known)| (*key, known.load, known.at))
            .collect();
        own.sort_unstable_by_key(|(_, _, at)| std::cmp::Reverse(*at));
        own
    }

    /// Forgets an endpoint that has left or restarted.
    pub fn remove(&mut self, key: K) {
        self.known.remove(&key);
    }
}

/// Weight of a load by its age, from 1 to 0; `None` if it is too old.
fn freshness(now: Instant, at: Instant) -> Option<f64> {
    let age = now.since(at);
    (age < MAX_AGE).then(|| (-age.as_secs_f64() / FADING_TIME.as_secs_f64()).exp())
}

/// Random part of the cost of an endpoint in milliseconds, for a `draw` uniform in 0..1. With it, the endpoint of
/// the lowest cost is chosen with a weight that falls by `e` for each usual time of a call that it ends later
/// (the Gumbel-max method), so that hosts with the same picture spread over the endpoints.
#[must_use]
pub fn spread_ms(draw: f64, usual: Duration) -> f64 {
    let draw = draw.clamp(f64::EPSILON, 1.0 - f64::EPSILON);
    usual.as_secs_f64() * 1_000.0 * (-draw.ln()).ln()
}

/// Share of the calls that are admitted where the earliest end is `end`, and that are useful for
/// `useful`. `precedence` moves the bounds: 0 for the most urgent calls, up to 1 for the least urgent ones.
#[must_use]
pub fn admitted_share(end: Duration, useful: Duration, precedence: f64) -> f64 {
    let (all, none) = ADMISSION_RANGE;
    let shift = precedence.clamp(0.0, 1.0) * (none - all) / 2.0;
    let (all, none) = (all - shift, none - shift);
    let position = end.as_secs_f64() / useful.as_secs_f64().max(0.001);
    ((none - position) / (none - all)).clamp(0.0, 1.0)
}
