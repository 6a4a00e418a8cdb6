//! Orders to engines: one controller plans them, and engines end in the planned state.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Time after which an order without an answer is given up and its connection closed.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the controller reads each engine's state.
pub const RECONCILE: Duration = Duration::from_secs(1);

/// Age up to which an engine's observed state counts, from before it was asked for.
pub const OBSERVED: Duration = Duration::from_secs(3);

/// Time without an answer after which a change of an engine no longer blocks its route.
pub const LOST: Duration = Duration::from_secs(10);

/// Role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Group of engines that can replace each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Name of the model.
    pub model: String,
    /// Role of the engines.
    pub role: Role,
}

/// Absolute state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct State {
    /// Model and role.
    pub route: Route,
    /// Version of the model, adapters included.
    pub version: String,
}

/// What an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observed {
    /// State that the engine serves or is changing to.
    pub state: State,
    /// Whether it serves requests; false while it loads.
    pub serving: bool,
}

/// Limits of the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Engines that load from the weight store at the same time.
    pub loads: usize,
    /// Engines of a route that change at the same time.
    pub changes: usize,
    /// Least number of serving engines of each route; zero for routes that are not listed.
    pub serving: BTreeMap<Route, usize>,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the engine.
    pub endpoint: String,
    /// Position of the record that made the sender the controller.
    pub token: u64,
    /// Wanted state; a repeat changes nothing.
    pub state: State,
    decided: Instant,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the engine's state and call [`Planner::observed`], also when the read fails.
    Read(String),
    /// Call [`Planner::send`] and, if it allows, send the order with [`TIMEOUT`].
    Send(Order),
}

#[derive(Clone, Debug)]
struct Engine {
    wanted: State,
    observed: Option<Observed>,
    observed_at: Option<Instant>,
    /// Whether a read was answered or failed.
    looked: bool,
    asked_at: Option<Instant>,
    /// Routes that the current change takes, and the time of its last order. The change lasts for
    /// [`TIMEOUT`] at least, since until then the order may take effect.
    change: Option<([Route; 2], Instant)>,
    /// Whether an order for the wanted state was sent by this planner or the state was reached.
    settled: bool,
}

impl Engine {
    fn fresh(&self, now: Instant) -> Option<&Observed> {
        let fresh = self.observed_at.is_some_and(|at| now.since(at) <= OBSERVED);
        self.observed.as_ref().filter(|_| fresh)
    }

    fn serves(&self, now: Instant, route: &Route) -> bool {
        let observed = self.fresh(now);
        self.change.is_none()
            && observed.is_some_and(|one| one.serving && one.state.route == *route)
    }

    fn loads(&self, now: Instant) -> bool {
        self.change.is_some() || self.fresh(now).is_some_and(|observed| !observed.serving)
    }

    /// Routes that this engine's change takes, including a change that another controller began.
    fn changing(&self, now: Instant) -> impl Iterator<Item = &Route> {
        let own = self.change.iter().flat_map(|(routes, _)| routes);
        let seen = self.fresh(now).filter(|observed| !observed.serving);
        own.chain(seen.map(|observed| &observed.state.route))
    }
}

/// Plans the orders of one controller term.
///
/// A new term needs a new planner: it starts without knowledge and reads all engines first.
#[derive(Clone, Debug)]
pub struct Planner {
    token: u64,
    limits: Limits,
    engines: BTreeMap<String, Engine>,
}

impl Planner {
    /// Makes the planner of a term; `token` is the position of the record that gave the host the
    /// controller shard.
    #[must_use]
    pub const fn new(token: u64, limits: Limits) -> Self {
        Self {
            token,
            limits,
            engines: BTreeMap::new(),
        }
    }

    /// Sets the limits and wanted states of a configuration; other engines are left alone.
    pub fn configure(&mut self, limits: Limits, wanted: BTreeMap<String, State>) {
        self.limits = limits;
        self.engines
            .retain(|endpoint, _| wanted.contains_key(endpoint));
        for (endpoint, wanted) in wanted {
            if let Some(engine) = self.engines.get_mut(&endpoint) {
                engine.settled &= engine.wanted == wanted;
                engine.wanted = wanted;
                continue;
            }
            let engine = Engine {
                wanted,
                observed: None,
                observed_at: None,
                looked: false,
                asked_at: None,
                change: None,
                settled: false,
            };
            self.engines.insert(endpoint, engine);
        }
    }

    /// Takes the result of a read that was sent at `asked`; none when there was no answer.
    pub fn observed(&mut self, asked: Instant, endpoint: &str, seen: Option<Observed>) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.looked = true;
        let Some(seen) = seen else {
            return;
        };
        if engine.observed_at.is_some_and(|at| at > asked) {
            return;
        }
        let reached = seen.state == engine.wanted;
        // An order may take effect until its timeout; what was seen earlier says nothing about it.
        let change = engine.change.as_ref();
        let after = change.is_none_or(|(_, sent)| asked >= *sent + TIMEOUT);
        engine.settled |= after && reached;
        if after && reached && seen.serving {
            engine.change = None;
        }
        engine.observed = Some(seen);
        engine.observed_at = Some(asked);
    }

    /// Decides what to read and order. `lease_until` is the first instant at which the own lease of
    /// the controller shard is no longer usable.
    pub fn poll(&mut self, now: Instant, lease_until: Instant) -> Vec<Action> {
        if now >= lease_until {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for (endpoint, engine) in &mut self.engines {
            if engine.asked_at.is_none_or(|at| now.since(at) >= RECONCILE) {
                engine.asked_at = Some(now);
                actions.push(Action::Read(endpoint.clone()));
            }
            if let Some((_, sent)) = engine.change
                && now.since(engine.observed_at.max(Some(sent)).unwrap_or(sent)) >= LOST
            {
                // When it comes back, its change must be planned again.
                engine.change = None;
                engine.settled = false;
            }
        }
        // Without a first look at every engine, changes under way would be missed.
        if !self.engines.values().all(|engine| engine.looked) {
            return actions;
        }
        // Engines that left a state which this planner had set come first.
        let (again, first): (Vec<_>, Vec<_>) = self
            .engines
            .keys()
            .cloned()
            .partition(|endpoint| self.engines[endpoint].settled);
        for endpoint in again.into_iter().chain(first) {
            actions.extend(self.order(now, lease_until, &endpoint).map(Action::Send));
        }
        actions
    }

    /// Decides immediately before an order is sent, for instance when a connection is ready; true
    /// permits one sending.
    ///
    /// The lease must outlive the order's [`TIMEOUT`]: an engine that ignores tokens, or that has not
    /// met the next controller's token yet, would obey an order that arrives after the lease. An
    /// order that waited for [`TIMEOUT`] is out of date, since by then the engine is planned anew.
    pub fn send(&mut self, now: Instant, lease_until: Instant, order: &Order) -> bool {
        let Some(engine) = self.engines.get_mut(&order.endpoint) else {
            return false;
        };
        let Some((_, sent)) = &mut engine.change else {
            return false;
        };
        let current = *sent == order.decided && engine.wanted == order.state;
        let in_time = now.since(order.decided) < TIMEOUT && outlives(now, lease_until);
        if order.token != self.token || !current || !in_time {
            return false;
        }
        *sent = now;
        true
    }

    /// Engines whose state differs from the wanted one, with the last state seen.
    pub fn differing(&self) -> impl Iterator<Item = (&String, Option<&State>)> {
        let engines = self.engines.iter().map(|(endpoint, engine)| {
            let seen = engine.observed.as_ref().map(|observed| &observed.state);
            (endpoint, seen, &engine.wanted)
        });
        let differing = engines.filter(|(_, seen, wanted)| *seen != Some(*wanted));
        differing.map(|(endpoint, seen, _)| (endpoint, seen))
    }

    fn order(&mut self, now: Instant, lease_until: Instant, endpoint: &str) -> Option<Order> {
        let engine = self.engines.get(endpoint)?;
        let seen = engine.fresh(now)?;
        let wanted = &engine.wanted;
        if seen.state == *wanted || !outlives(now, lease_until) {
            return None;
        }
        if let Some((_, sent)) = &engine.change
            && engine.observed_at < Some(*sent + TIMEOUT)
        {
            // The order may still take effect, so what was seen says nothing about it.
            return None;
        }
        let routes = [seen.state.route.clone(), wanted.route.clone()];
        // An engine that left the plan, for instance by an older controller's late order, does not
        // wait for another change of its routes.
        let changes = engine.settled || self.may_change(now, endpoint, &routes);
        if !changes || seen.serving && !self.may_leave(now, endpoint, &routes[0]) {
            return None;
        }
        let loading = self.engines.values().filter(|one| one.loads(now)).count();
        if !engine.loads(now) && loading >= self.limits.loads {
            return None;
        }
        let order = Order {
            endpoint: endpoint.to_owned(),
            token: self.token,
            state: wanted.clone(),
            decided: now,
        };
        let engine = self.engines.get_mut(endpoint)?;
        engine.change = Some((routes, now));
        engine.settled = true;
        Some(order)
    }

    fn others(&self, endpoint: &str) -> impl Iterator<Item = &Engine> {
        let others = self
            .engines
            .iter()
            .filter(move |(other, _)| *other != endpoint);
        others.map(|(_, engine)| engine)
    }

    fn may_change(&self, now: Instant, endpoint: &str, routes: &[Route; 2]) -> bool {
        routes.iter().all(|route| {
            let others = self.others(endpoint);
            let changing = others.filter(|one| one.changing(now).any(|of| of == route));
            changing.count() < self.limits.changes
        })
    }

    fn may_leave(&self, now: Instant, endpoint: &str, route: &Route) -> bool {
        let serving = self.others(endpoint).filter(|one| one.serves(now, route));
        serving.count() >= self.limits.serving.get(route).copied().unwrap_or(0)
    }
}

fn outlives(now: Instant, lease_until: Instant) -> bool {
    now + TIMEOUT < lease_until
}
