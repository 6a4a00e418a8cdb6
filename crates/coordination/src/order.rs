//! Control loop that orders engines into their wanted states (model, version and role).
//!
//! The holder of the controller shard runs one [`Planner`]. It reconciles the observed states with
//! the wanted ones and limits concurrent changes, so that routes keep serving. Orders carry a
//! fencing token.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Timeout of an order; when it passes, the connection is closed.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the controller reads each engine's state.
pub const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum age of an engine's observed state, counted from the start of the read.
pub const OBSERVATION_LIFETIME: Duration = Duration::from_secs(3);

/// Timeout after which a change of an unreachable engine no longer blocks its routes.
pub const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Group of interchangeable engines: a model and a role.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Model that the engines serve.
    pub model: String,
    /// Role in which they serve it.
    pub role: Role,
}

/// Complete state of an engine, as wanted or observed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct State {
    /// Model and role that the engine serves.
    pub route: Route,
    /// Version of the model, including its adapters.
    pub version: String,
}

/// Result of reading an engine's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observed {
    /// State that the engine serves or is loading.
    pub state: State,
    /// Whether the engine serves requests; false while it loads.
    pub serving: bool,
}

/// Limits on concurrent changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of engines that load from the weight store at the same time.
    pub loads: usize,
    /// Maximum number of engines of a route that change at the same time.
    pub changes: usize,
    /// Minimum number of serving engines of each route; zero for routes that are not listed.
    pub serving: BTreeMap<Route, usize>,
}

/// Order to an engine to enter a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the engine that the order is for.
    pub endpoint: String,
    /// Fencing token: position of the log record that gave the sender the controller shard.
    pub token: u64,
    /// Wanted state; repeating the order has no further effect.
    pub state: State,
    decided: Instant,
}

/// Output of [`Planner::poll`], to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the engine's state and call [`Planner::observed`], even if the read fails.
    Read(String),
    /// Call [`Planner::send`] and, if it returns true, send the order with [`TIMEOUT`].
    Send(Order),
}

#[derive(Clone, Debug)]
struct Engine {
    wanted: State,
    observed: Option<Observed>,
    /// Start of the read that returned `observed`.
    observed_at: Option<Instant>,
    /// Whether the first read has completed, successfully or not.
    is_read: bool,
    /// Start of the last read.
    read_at: Option<Instant>,
    /// Source and target route of the change in progress, and the time of its last order. The
    /// change lasts for [`TIMEOUT`] at least, since the order may take effect until then.
    change: Option<([Route; 2], Instant)>,
    /// Whether this planner has sent an order for the wanted state or has observed that state.
    settled: bool,
}

impl Engine {
    /// The last observation, unless it is older than [`OBSERVATION_LIFETIME`].
    fn fresh(&self, now: Instant) -> Option<&Observed> {
        let fresh = self
            .observed_at
            .is_some_and(|at| now.since(at) <= OBSERVATION_LIFETIME);
        self.observed.as_ref().filter(|_| fresh)
    }

    fn serves(&self, now: Instant, route: &Route) -> bool {
        let observed = self.fresh(now);
        self.change.is_none()
            && observed.is_some_and(|observed| observed.serving && observed.state.route == *route)
    }

    fn loads(&self, now: Instant) -> bool {
        self.change.is_some() || self.fresh(now).is_some_and(|observed| !observed.serving)
    }

    /// Routes affected by this engine's change, including one that an earlier controller started.
    fn changing(&self, now: Instant) -> impl Iterator<Item = &Route> {
        let own = self.change.iter().flat_map(|(routes, _)| routes);
        let seen = self.fresh(now).filter(|observed| !observed.serving);
        own.chain(seen.map(|observed| &observed.state.route))
    }
}

/// Plans the orders of one controller term.
///
/// Each term needs a new planner, which reads all engines before it sends the first order.
#[derive(Clone, Debug)]
pub struct Planner {
    token: u64,
    limits: Limits,
    engines: BTreeMap<String, Engine>,
}

impl Planner {
    /// Makes the planner of a term. `token` is its fencing token: the position of the log record
    /// that gave this host the controller shard.
    #[must_use]
    pub const fn new(token: u64, limits: Limits) -> Self {
        Self {
            token,
            limits,
            engines: BTreeMap::new(),
        }
    }

    /// Sets the limits and wanted states. Engines without a wanted state get no orders.
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
                is_read: false,
                read_at: None,
                change: None,
                settled: false,
            };
            self.engines.insert(endpoint, engine);
        }
    }

    /// Takes the result of a read started at `read_at`; `None` if the engine did not answer.
    pub fn observed(&mut self, read_at: Instant, endpoint: &str, seen: Option<Observed>) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.is_read = true;
        let Some(seen) = seen else {
            return;
        };
        if engine.observed_at.is_some_and(|at| at > read_at) {
            return;
        }
        let reached = seen.state == engine.wanted;
        // An order may take effect until its timeout, so an earlier observation may be outdated.
        let change = engine.change.as_ref();
        let after = change.is_none_or(|(_, sent)| read_at >= *sent + TIMEOUT);
        engine.settled |= after && reached;
        if after && reached && seen.serving {
            engine.change = None;
        }
        engine.observed = Some(seen);
        engine.observed_at = Some(read_at);
    }

    /// Decides what to read and order. `lease_until` is the expiry of this host's lease of the
    /// controller shard; after it the result is empty.
    pub fn poll(&mut self, now: Instant, lease_until: Instant) -> Vec<Action> {
        if now >= lease_until {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for (endpoint, engine) in &mut self.engines {
            if engine
                .read_at
                .is_none_or(|at| now.since(at) >= RECONCILE_INTERVAL)
            {
                engine.read_at = Some(now);
                actions.push(Action::Read(endpoint.clone()));
            }
            if let Some((_, sent)) = engine.change
                && now.since(engine.observed_at.max(Some(sent)).unwrap_or(sent)) >= CHANGE_TIMEOUT
            {
                // If the engine recovers, its change must be planned again.
                engine.change = None;
                engine.settled = false;
            }
        }
        // Until every engine has been read once, changes in progress may be unknown.
        if !self.engines.values().all(|engine| engine.is_read) {
            return actions;
        }
        // Engines that have left the state that this planner ordered come first.
        let (regressed, pending): (Vec<_>, Vec<_>) = self
            .engines
            .keys()
            .cloned()
            .partition(|endpoint| self.engines[endpoint].settled);
        for endpoint in regressed.into_iter().chain(pending) {
            actions.extend(self.order(now, lease_until, &endpoint).map(Action::Send));
        }
        actions
    }

    /// Whether an order may be sent now, once; call it immediately before sending, for instance
    /// when a connection is ready.
    ///
    /// The lease must outlive the order's [`TIMEOUT`]: an engine that ignores fencing tokens, or
    /// has not received the next controller's token yet, would obey an order that arrives after the
    /// lease. An order that waited for [`TIMEOUT`] is stale, since the engine is planned again by
    /// then.
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

    /// Engines whose last observed state differs from the wanted one, with that observed state.
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
            // The order may still take effect, so the observation may be outdated.
            return None;
        }
        let routes = [seen.state.route.clone(), wanted.route.clone()];
        // An engine that left its wanted state, for instance by a late order of an earlier
        // controller, does not wait for other changes of its routes.
        let changes = engine.settled || self.may_change(now, endpoint, &routes);
        if !changes || seen.serving && !self.may_leave(now, endpoint, &routes[0]) {
            return None;
        }
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.loads(now))
            .count();
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

    /// Whether the routes' limits allow one more change.
    fn may_change(&self, now: Instant, endpoint: &str, routes: &[Route; 2]) -> bool {
        routes.iter().all(|route| {
            let others = self.others(endpoint);
            let changing =
                others.filter(|other| other.changing(now).any(|changing| changing == route));
            changing.count() < self.limits.changes
        })
    }

    /// Whether the route keeps its minimum of serving engines without this one.
    fn may_leave(&self, now: Instant, endpoint: &str, route: &Route) -> bool {
        let serving = self
            .others(endpoint)
            .filter(|other| other.serves(now, route));
        serving.count() >= self.limits.serving.get(route).copied().unwrap_or(0)
    }
}

/// Whether the lease outlives an order that is sent now.
fn outlives(now: Instant, lease_until: Instant) -> bool {
    now + TIMEOUT < lease_until
}
