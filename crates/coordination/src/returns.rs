//! Times at which refused callers may return.
//!
//! The load is a burst in which many calls are refused. With a random time for each, those that were refused last
//! return before those that were refused first, and all of them meet within the same fraction of a second. Here a
//! host gives out one time after the other, as far apart as the service has room for the callers of this host, so
//! callers return in the order in which they were refused. One that repeats at once gets a later time.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Instant;

/// Share of the longest time over which callers are spread for whom no time is left before it.
const OVERFLOW_SHARE: f64 = 0.25;

/// When the refused callers of each service return. `G` identifies a service.
#[derive(Clone, Debug)]
pub struct Returns<G> {
    last: HashMap<G, Instant>,
}

impl<G> Default for Returns<G> {
    fn default() -> Self {
        Self {
            last: HashMap::new(),
        }
    }
}

/// Terms on which a refused caller returns.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Earliest time in which there may be room.
    pub earliest: Duration,
    /// Latest time that the caller accepts.
    pub latest: Duration,
    /// Time in which the service has room for one caller of this host.
    pub spacing: Duration,
}

impl<G: Clone + Eq + Hash> Returns<G> {
    /// Time after which a refused caller of a service may return; `draw` is uniform in 0..1.
    pub fn next(&mut self, now: Instant, group: &G, terms: Terms, draw: f64) -> Duration {
        let latest = now + terms.latest;
        let last = self.last.get(group).copied().unwrap_or_default();
        let earliest = now + terms.earliest.min(terms.latest);
        // Hosts with the same picture do not all begin with the same time.
        let at = (last + terms.spacing).max(earliest + terms.spacing.mul_f64(draw));
        if at >= latest {
            let overflow = terms.latest.mul_f64(OVERFLOW_SHARE);
            return terms.latest - overflow.mul_f64(draw);
        }
        self.last.insert(group.clone(), at);
        at.since(now)
    }

    /// Forgets the services whose callers have returned.
    pub fn expire(&mut self, now: Instant) {
        self.last.retain(|_, last| *last > now);
    }
}
