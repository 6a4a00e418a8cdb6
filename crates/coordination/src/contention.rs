//! Admission of calls by the shares of their customers while the endpoints of a service cannot run all of them.
//!
//! The load is a customer that sends many times its usual to a service whose endpoints queue calls in the order of
//! arrival. Once the queues are full, all calls wait for nearly as long as callers accept, those of the other
//! customers too, and most are refused by one endpoint after the other. Here the hosts tell each other how many
//! calls each customer sends. While the calls exceed what the endpoints can run, a customer that sends more than
//! twice its share gets what the others leave, and its share at least; the rest of its calls is refused at arrival.
//! It delays itself and not the others, and the queues stay short for all.
//!
//! A burst in which all customers send more is none of this: nobody is refused by it.
//!
//! What the endpoints can run is not what they run one by one in calm: some slow down when they are full. So the
//! hosts tell each other too how many calls were answered, and while all endpoints have a queue that is what they
//! can run.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Instant;

/// Time constant of the rates: some thirty reports come in this time, whatever the number of hosts is.
const AVERAGING_TIME: Duration = Duration::from_millis(500);
/// Part of what the endpoints can run that is given away. Queues empty with the rest.
const TARGET_USE: f64 = 0.9;
/// Multiple of its share of the calls from which a customer is held to it.
const SURGE_FACTOR: f64 = 2.0;
/// Part a second by which a higher rate that the endpoints were seen to run is forgotten while they have a queue.
const FORGETTING_PER_S: f64 = 0.3;
/// Growth a second of what the endpoints were seen to run at most, once they no longer have a queue.
const RECOVERY_PER_S: f64 = 0.1;
/// Rate below which a customer is forgotten, in calls a second.
const MIN_RATE: f64 = 0.01;
/// Most customers of a service whose calls are counted apart.
const MAX_CUSTOMERS: usize = 1_024;
/// Most customers whose counts hosts tell each other, those that send most, and most services.
pub const MAX_TOLD: usize = 32;
/// Most hosts whose counts are kept.
const MAX_HOSTS: usize = 1_024;

/// Calls a second, as an average that decays.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_s: f64,
    at: Instant,
}

impl Rate {
    fn now(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.per_s * (-age).exp()
    }

    fn add(&mut self, now: Instant, calls: u64) {
        self.per_s = self.now(now) + calls as f64 / AVERAGING_TIME.as_secs_f64();
        self.at = now;
    }
}

/// Number of a customer's calls to a service that a host has got since its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Total<G, C> {
    /// Service.
    pub group: G,
    /// Customer.
    pub customer: C,
    /// Calls.
    pub calls: u64,
}

/// Calls of all customers at all hosts. `G` identifies a service, `C` a customer, `H` a host.
#[derive(Clone, Debug)]
pub struct Contention<G, C, H> {
    rates: HashMap<G, HashMap<C, Rate>>,
    own: HashMap<(G, C), u64>,
    heard: HashMap<H, Totals<G, C>>,
    /// Calls that were answered, at this host and at all.
    own_answered: HashMap<G, u64>,
    answered: HashMap<G, Rate>,
    /// Calls a second that the endpoints of a service were seen to run while all had a queue.
    seen: HashMap<G, (f64, Instant)>,
}

/// Last totals of another host.
#[derive(Clone, Debug)]
struct Totals<G, C> {
    calls: HashMap<(G, C), u64>,
    answered: HashMap<G, u64>,
}

impl<G, C> Default for Totals<G, C> {
    fn default() -> Self {
        Self {
            calls: HashMap::new(),
            answered: HashMap::new(),
        }
    }
}

/// What a total has grown by; a lower one is that of a host that has restarted.
fn growth(before: u64, total: u64) -> u64 {
    total.checked_sub(before).unwrap_or(total)
}

impl<G, C, H> Default for Contention<G, C, H> {
    fn default() -> Self {
        Self {
            rates: HashMap::new(),
            own: HashMap::new(),
            heard: HashMap::new(),
            own_answered: HashMap::new(),
            answered: HashMap::new(),
            seen: HashMap::new(),
        }
    }
}

impl<G: Clone + Eq + Hash, C: Clone + Eq + Hash, H: Eq + Hash> Contention<G, C, H> {
    /// Counts a call that has arrived at this host, whether or not it is admitted.
    pub fn arrived(&mut self, now: Instant, group: &G, customer: &C) {
        if !self.count(now, group, customer, 1) {
            return;
        }
        let key = (group.clone(), customer.clone());
        *self.own.entry(key).or_default() += 1;
    }

    /// Adds calls to the rate of a customer; returns whether it is counted apart.
    fn count(&mut self, now: Instant, group: &G, customer: &C, calls: u64) -> bool {
        let rates = self.rates.entry(group.clone()).or_default();
        if rates.len() >= MAX_CUSTOMERS && !rates.contains_key(customer) {
            return false;
        }
        let rate = rates.entry(customer.clone()).or_default();
        rate.add(now, calls);
        true
    }

    /// Counts a call that an endpoint has answered.
    pub fn answered(&mut self, now: Instant, group: &G) {
        *self.own_answered.entry(group.clone()).or_default() += 1;
        self.answered.entry(group.clone()).or_default().add(now, 1);
    }

    /// Records that all endpoints of a service have a queue, so that what they answer is what they can run.
    pub fn queued(&mut self, now: Instant, group: &G) {
        let Some(rate) = self.answered.get(group).map(|rate| rate.now(now)) else {
            return;
        };
        // The rate lags when a queue has just begun.
        let known = self.seen.get(group).map_or(0.0, |(seen, at)| {
            let forgotten = 1.0 - FORGETTING_PER_S * now.since(*at).as_secs_f64();
            seen * forgotten.max(0.0)
        });
        self.seen.insert(group.clone(), (rate.max(known), now));
    }

    /// Calls a second that the endpoints of a service can run, which is `nominal` in calm.
    #[must_use]
    pub fn capacity(&self, now: Instant, group: &G, nominal: f64) -> f64 {
        self.seen.get(group).map_or(nominal, |(seen, at)| {
            let recovered = 1.0 + RECOVERY_PER_S * now.since(*at).as_secs_f64();
            nominal.min(seen * recovered)
        })
    }

    /// Applies the totals of another host: of the calls that arrived there, and of those that were answered. The
    /// first ones count as what was before this host heard of it.
    pub fn heard(
        &mut self,
        now: Instant,
        host: H,
        calls: Vec<Total<G, C>>,
        answered: Vec<(G, u64)>,
    ) {
        if self.heard.len() >= MAX_HOSTS && !self.heard.contains_key(&host) {
            return;
        }
        let is_known = self.heard.contains_key(&host);
        let mut known = self.heard.remove(&host).unwrap_or_default();
        for total in calls {
            let key = (total.group.clone(), total.customer.clone());
            let before = known.calls.insert(key, total.calls).unwrap_or_default();
            let calls = growth(before, total.calls);
            if is_known && calls > 0 {
                self.count(now, &total.group, &total.customer, calls);
            }
        }
        for (group, total) in answered {
            let before = known.answered.insert(group.clone(), total);
            let answered = growth(before.unwrap_or_default(), total);
            if is_known && answered > 0 {
                self.answered.entry(group).or_default().add(now, answered);
            }
        }
        self.heard.insert(host, known);
    }

    /// Calls of each service that were answered at this host, for the others.
    pub fn told_answered(&self) -> impl Iterator<Item = (&G, u64)> {
        self.own_answered
            .iter()
            .map(|(group, answered)| (group, *answered))
    }

    /// Totals of this host for the others: of the customers that send most.
    #[must_use]
    pub fn told(&self, now: Instant) -> Vec<Total<G, C>> {
        let mut totals: Vec<(f64, Total<G, C>)> = Vec::new();
        for ((group, customer), calls) in &self.own {
            let rate = self.rates.get(group).and_then(|rates| rates.get(customer));
            let Some(rate) = rate else {
                continue;
            };
            let total = Total {
                group: group.clone(),
                customer: customer.clone(),
                calls: *calls,
            };
            totals.push((rate.now(now), total));
        }
        totals.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        totals.truncate(MAX_TOLD);
        totals.into_iter().map(|(_, total)| total).collect()
    }

    /// Share of a customer's calls that is admitted to a service whose endpoints can run `capacity` calls a second.
    /// `weights` has all customers with their weights, to which their shares are in proportion.
    #[must_use]
    pub fn admitted_share(
        &self,
        now: Instant,
        group: &G,
        customer: &C,
        capacity: f64,
        weights: &[(&C, f64)],
    ) -> f64 {
        let Some(rates) = self.rates.get(group) else {
            return 1.0;
        };
        let demand: f64 = rates.values().map(|rate| rate.now(now)).sum();
        let target = capacity * TARGET_USE;
        let all_weights: f64 = weights.iter().map(|(_, weight)| *weight).sum();
        if demand <= target || all_weights <= 0.0 {
            return 1.0;
        }
        let rate = |customer: &C| rates.get(customer).map_or(0.0, |rate| rate.now(now));
        let surging: Vec<(f64, f64)> = weights
            .iter()
            .map(|(customer, weight)| (rate(customer), *weight))
            .filter(|(rate, weight)| *rate / demand > SURGE_FACTOR * weight / all_weights)
            .collect();
        let own = weights.iter().find(|(known, _)| *known == customer);
        let Some((own_rate, own_weight)) = own.map(|(_, weight)| (rate(customer), *weight)) else {
            return 1.0;
        };
        if own_rate / demand <= SURGE_FACTOR * own_weight / all_weights {
            return 1.0;
        }
        let sent: f64 = surging.iter().map(|(rate, _)| rate).sum();
        let weight: f64 = surging.iter().map(|(_, weight)| weight).sum();
        let left = target - (demand - sent);
        let room = left.max(target * weight / all_weights);
        let level = level(room, &surging);
        (level * own_weight / own_rate).min(1.0)
    }

    /// Forgets customers that send nothing, and hosts for which `is_known` does not hold.
    pub fn expire(&mut self, now: Instant, is_known: impl Fn(&H) -> bool) {
        for rates in self.rates.values_mut() {
            rates.retain(|_, rate| rate.now(now) >= MIN_RATE);
        }
        self.rates.retain(|_, rates| !rates.is_empty());
        let rates = &self.rates;
        self.own.retain(|(group, customer), _| {
            rates
                .get(group)
                .is_some_and(|known| known.contains_key(customer))
        });
        self.heard.retain(|host, _| is_known(host));
        self.answered.retain(|_, rate| rate.now(now) >= MIN_RATE);
        let answered = &self.answered;
        self.own_answered
            .retain(|group, _| answered.contains_key(group));
        let calm = 1.0 / RECOVERY_PER_S;
        self.seen
            .retain(|_, (_, at)| now.since(*at).as_secs_f64() < calm);
    }
}

/// Rate for each unit of weight at which senders of the given rates and weights share `room`: those that send less
/// leave the rest to the others.
fn level(room: f64, senders: &[(f64, f64)]) -> f64 {
    let mut senders: Vec<(f64, f64)> = senders
        .iter()
        .copied()
        .filter(|(_, weight)| *weight > 0.0)
        .collect();
    senders.sort_by(|one, other| (one.0 / one.1).total_cmp(&(other.0 / other.1)));
    let mut room = room;
    let mut weights: f64 = senders.iter().map(|(_, weight)| weight).sum();
    for (rate, weight) in senders {
        let level = room / weights;
        if rate / weight > level {
            return level;
        }
        room -= rate;
        weights -= weight;
    }
    f64::INFINITY
}
