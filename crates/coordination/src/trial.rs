//! Circuit breaker of the host that assigns work to endpoints for all hosts.
//!
//! The load is a burst beyond the endpoints' room while some of them are dark: they look empty, so each request
//! that finds the others full goes there, one dark endpoint after the other, until its caller has left. A
//! suspicion that lapses after a while lets a whole burst through again. Here an endpoint that hosts have found
//! silent gets nothing for a time, and then one request at a time as a trial. Queued requests wait for the
//! others meanwhile.
//!
//! A host whose own links are lost finds all endpoints silent. Its word alone bars none, and if too many are
//! barred, none is.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Instant;

/// Time for which an endpoint gets nothing after a host has last found it silent.
pub const BARRED_TIME: Duration = Duration::from_millis(800);
/// Time in which a trial that fails is reported: the timeout of a connection, and the way to the leader.
pub const TRIAL_TIME: Duration = Duration::from_millis(600);
/// Time within which two hosts have to find an endpoint silent.
const AGREEMENT_TIME: Duration = Duration::from_secs(2);
/// Largest share of the endpoints that is barred. More are behind lost links, or are all that is left.
const MAX_BARRED_SHARE: f64 = 0.4;

/// Identity of a host that reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Witness(pub u64);

#[derive(Clone, Copy, Debug)]
struct Breaker {
    /// The last report.
    last: (Witness, Instant),
    /// Whether two hosts have agreed; that holds until a trial passes.
    is_agreed: bool,
    /// Start of the trial under way.
    trial: Option<Instant>,
}

impl Breaker {
    /// Whether the endpoint gets nothing now.
    fn is_open(&self, now: Instant) -> bool {
        let (_, last) = self.last;
        if !self.is_agreed || self.has_passed(now) {
            return false;
        }
        now.since(last) < BARRED_TIME
            || self
                .trial
                .is_some_and(|trial| now.since(trial) < TRIAL_TIME)
    }

    /// Whether a trial has ended without a report.
    fn has_passed(&self, now: Instant) -> bool {
        let (_, last) = self.last;
        self.trial
            .is_some_and(|trial| trial > last && now.since(trial) >= TRIAL_TIME)
    }
}

/// Breakers of all endpoints that were found silent.
#[derive(Clone, Debug)]
pub struct Trials<K> {
    breakers: HashMap<K, Breaker>,
}

impl<K> Default for Trials<K> {
    fn default() -> Self {
        Self {
            breakers: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Trials<K> {
    /// Records that a host has found an endpoint silent. Returns whether that bars it.
    pub fn silent(&mut self, now: Instant, key: K, witness: Witness) -> bool {
        let fresh = Breaker {
            last: (witness, now),
            is_agreed: false,
            trial: None,
        };
        let breaker = self.breakers.entry(key).or_insert(fresh);
        if breaker.has_passed(now) {
            *breaker = fresh;
        }
        let was_agreed = breaker.is_agreed;
        let (known, at) = breaker.last;
        breaker.is_agreed |= known != witness && now.since(at) <= AGREEMENT_TIME;
        breaker.last = (witness, now);
        breaker.trial = None;
        breaker.is_agreed && !was_agreed
    }

    /// Whether an endpoint, one of `endpoints` of its kind, gets nothing now.
    #[must_use]
    pub fn bars(&self, now: Instant, key: K, endpoints: usize) -> bool {
        let is_open = |breaker: &Breaker| breaker.is_open(now);
        if !self.breakers.get(&key).is_some_and(is_open) {
            return false;
        }
        let open = self.breakers.values().filter(|breaker| is_open(breaker));
        open.count() as f64 <= endpoints as f64 * MAX_BARRED_SHARE
    }

    /// Records that an endpoint gets a request, which is a trial if it was barred before.
    pub fn assigned(&mut self, now: Instant, key: K) {
        if let Some(breaker) = self.breakers.get_mut(&key)
            && breaker.is_agreed
        {
            breaker.trial = breaker.trial.or(Some(now));
        }
    }

    /// Forgets an endpoint that has left or restarted.
    pub fn remove(&mut self, key: K) {
        self.breakers.remove(&key);
    }

    /// Forgets the endpoints whose trial has passed, and old reports.
    pub fn expire(&mut self, now: Instant) {
        self.breakers.retain(|_, breaker| {
            let (_, last) = breaker.last;
            !breaker.has_passed(now) && now.since(last) < AGREEMENT_TIME * 5
        });
    }
}
