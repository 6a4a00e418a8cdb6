//! Order of waiting requests in which each customer gets its share of scarce room (start-time fair queuing).
//!
//! The load is a customer that sends many times its usual while there is too little room for all. In the order of
//! arrival its requests delay those of all others; here they delay each other. A request gets a tag when it first
//! waits: the virtual time, or the tag at which its customer's requests before it have used up their share, if
//! that is later. Requests start in the order of their tags, so one of a customer within its share waits for no
//! more than one request of each other customer that came before, and those that run.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Instant;

/// Time for which the tag of a request is kept that does not wait at present: it asks again after a long poll.
const PARKING_TIME: Duration = Duration::from_secs(2);
/// Lowest weight of a customer.
const MIN_WEIGHT: f64 = 1.0;

/// Units of virtual time for each unit of cost at weight 1.
const UNITS: f64 = 1_000_000.0;

/// Virtual time at which a request may start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag(u64);

/// Use of scarce room by customers. `C` identifies a customer, `R` a request.
#[derive(Clone, Debug)]
pub struct Shares<C, R> {
    virtual_time: Tag,
    /// Tag of the next request of each customer.
    next: HashMap<C, Tag>,
    parked: HashMap<R, (Tag, Instant)>,
}

impl<C, R> Default for Shares<C, R> {
    fn default() -> Self {
        Self {
            virtual_time: Tag::default(),
            next: HashMap::new(),
            parked: HashMap::new(),
        }
    }
}

impl<C: Eq + Hash, R: Eq + Hash> Shares<C, R> {
    /// The tag of a request that begins to wait, or goes on with it; `cost` counts against the share of its
    /// customer, which is in proportion to `weight`.
    pub fn tag(&mut self, now: Instant, request: &R, customer: C, cost: f64, weight: f64) -> Tag {
        self.parked
            .retain(|_, (_, at)| now.since(*at) < PARKING_TIME);
        if let Some((tag, _)) = self.parked.remove(request) {
            return tag;
        }
        let start = self.next(&customer);
        let share = cost.max(0.0) / weight.max(MIN_WEIGHT) * UNITS;
        let end = Tag(start.0.saturating_add(share as u64));
        self.next.insert(customer, end);
        start
    }

    /// The tag that a request of a customer would get if it began to wait.
    #[must_use]
    pub fn next(&self, customer: &C) -> Tag {
        let next = self.next.get(customer).copied().unwrap_or_default();
        self.virtual_time.max(next)
    }

    /// Keeps the tag of a request that no longer waits and has not started: it may ask again.
    pub fn park(&mut self, now: Instant, request: R, tag: Tag) {
        self.parked.insert(request, (tag, now));
    }

    /// Records that a request starts.
    pub fn started(&mut self, tag: Tag) {
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// Forgets everything while nothing waits: shares count only in times of scarcity.
    pub fn clear(&mut self) {
        self.virtual_time = Tag::default();
        self.next.clear();
        self.parked.clear();
    }
}
