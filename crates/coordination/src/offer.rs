//! Offers whose askers may not take them: places that a host grants, and what it charges for them.
//!
//! An asker that gives up a query, or whose own caller leaves, cannot know whether it was granted. It declines
//! the query as soon as the host that it asked answers again, and that host takes the offer back, whether it
//! grants before or after it is told. The lack of a report about an offer proves nothing, since reports are lost
//! and late as well; what was charged by a host that nobody reaches stays charged.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Instant;

/// Time for which an offer or a declined query is kept: an asker gives up within half a second, and declines
/// twice a second until it is answered.
const KEPT_TIME: Duration = Duration::from_secs(3);
/// Most queries that are kept; the oldest give way.
const MAX_QUERIES: usize = 16_384;

/// What is known of a query.
#[derive(Clone, Debug)]
enum Query<V> {
    Offered(V),
    Declined,
}

/// Offers of a host by query, and the queries that were declined.
#[derive(Clone, Debug)]
pub struct Offers<K, V> {
    queries: HashMap<K, Query<V>>,
    /// Queries in the order in which they became known.
    known: VecDeque<(Instant, K)>,
}

impl<K, V> Default for Offers<K, V> {
    fn default() -> Self {
        Self {
            queries: HashMap::new(),
            known: VecDeque::new(),
        }
    }
}

impl<K: Copy + Eq + Hash, V> Offers<K, V> {
    /// Records what was granted to a query; returns it if the query is declined already.
    pub fn offer(&mut self, now: Instant, query: K, value: V) -> Option<V> {
        if self.is_declined(query) {
            return Some(value);
        }
        self.insert(now, query, Query::Offered(value));
        None
    }

    /// Records that nobody uses what a query is granted; returns it if it was granted already.
    pub fn decline(&mut self, now: Instant, query: K) -> Option<V> {
        match self.insert(now, query, Query::Declined) {
            Some(Query::Offered(value)) => Some(value),
            Some(Query::Declined) | None => None,
        }
    }

    /// Whether a query is declined, so that nothing need be granted.
    #[must_use]
    pub fn is_declined(&self, query: K) -> bool {
        matches!(self.queries.get(&query), Some(Query::Declined))
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        while let Some((at, query)) = self.known.front() {
            if now.since(*at) <= KEPT_TIME && self.known.len() <= MAX_QUERIES {
                return;
            }
            self.queries.remove(query);
            self.known.pop_front();
        }
    }

    fn insert(&mut self, now: Instant, query: K, known: Query<V>) -> Option<Query<V>> {
        let before = self.queries.insert(query, known);
        if before.is_none() {
            self.known.push_back((now, query));
            self.expire(now);
        }
        before
    }
}
