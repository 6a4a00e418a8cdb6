//! Simulation of controllers that order engines: whichever late orders arrive, engines converge to
//! the wanted states and routes keep their minimum of serving engines.

mod support {
    pub(crate) mod log;
    pub(crate) mod network;
    pub(crate) mod run;
}

use std::cell::Cell;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::order::{
    Action, Limits, Observed, Order, Planner, RECONCILE_INTERVAL, Role, Route, State, TIMEOUT,
};
use proptest::prelude::*;
use support::log::Log;
use support::network::Network;
use support::run::{Result, catches, holds};

const HOSTS: usize = 2;
const ENGINES: usize = 9;
const ROUTES: usize = 3;
const MINIMUM: usize = 2;
const LOADS: usize = 2;
const TICK_MS: u64 = 100;
const LEASE_MS: u64 = 5_000;
/// Time within which the controller has observed a state over a fault-free network.
const OBSERVED_WITHIN_MS: u64 = 2_500;
/// Time within which a wrong state is corrected. An order may be in flight during the first read;
/// the second read shows its effect.
const CORRECTED_WITHIN_MS: u64 =
    2 * RECONCILE_INTERVAL.as_millis() as u64 + TIMEOUT.as_millis() as u64 + 500;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Controllers ignore observations once all engines have reached their wanted states.
    NoReconcile,
    /// Engines that check fencing tokens obey older ones.
    TokenIgnored,
    /// The lease is not checked before an order is sent.
    LeaseIgnored,
    /// Routes have no minimum number of serving engines.
    NoMinimum,
    /// Any number of engines of a route change at the same time.
    ManyChanges,
    /// Any number of engines load from the weight store at the same time.
    NoBudget,
}

#[derive(Clone, Debug)]
enum Step {
    Want {
        engine: usize,
        state: usize,
    },
    /// Sets the wanted version of all engines.
    Upgrade(usize),
    Pause {
        host: usize,
        millis: u64,
    },
    Crash {
        engine: usize,
    },
    /// Sets the percentage of messages that are lost or delayed.
    Faults(u32),
    Wait(u64),
}

#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    /// Engines that check fencing tokens.
    checks: [bool; ENGINES],
    steps: Vec<Step>,
}

fn plans() -> impl Strategy<Value = Plan> {
    let step = prop_oneof![
        6 => (0..ENGINES, 0..2 * ROUTES).prop_map(|(engine, state)| Step::Want { engine, state }),
        2 => (0..HOSTS, 500_u64..12_000).prop_map(|(host, millis)| Step::Pause { host, millis }),
        1 => (0_usize..2).prop_map(Step::Upgrade),
        1 => (0..ENGINES).prop_map(|engine| Step::Crash { engine }),
        2 => prop_oneof![Just(0_u32), 0_u32..40].prop_map(Step::Faults),
        5 => (0_u64..4_000).prop_map(Step::Wait),
        1 => (0_u64..20_000).prop_map(Step::Wait),
    ];
    let steps = proptest::collection::vec(step, 5..40);
    let checks = proptest::array::uniform9(any::<bool>());
    (any::<u64>(), checks, steps).prop_map(|(seed, checks, steps)| Plan {
        seed,
        checks,
        steps,
    })
}

/// One of six states: three routes with two versions each.
fn state(number: usize) -> State {
    let (model, role) = [
        ("m", Role::Prefill),
        ("m", Role::Decode),
        ("n", Role::Decode),
    ][number % ROUTES];
    let route = Route {
        model: model.to_owned(),
        role,
    };
    State {
        route,
        version: (number / ROUTES).to_string(),
    }
}

#[derive(Clone)]
enum Message {
    Read(usize, u64, usize, Instant),
    Seen(usize, u64, usize, Instant, Option<Observed>),
    /// An order that its host is about to send.
    Decided(usize, Order),
    Order(Order, u64),
}

struct Engine {
    state: State,
    token: u64,
    /// Time from which the engine serves; it loads until then.
    serves_ms: u64,
    /// Whether a late order set the state.
    late: bool,
    /// Whether the current load was caused by a late order or corrects one.
    caused_by_late: bool,
    /// Time of the last change of the state or of the wanted state.
    reached_ms: u64,
    /// Whether a late order took the engine out of the wanted state.
    regressed: bool,
    /// Time since which the controller could have corrected the regression.
    regressed_ms: Option<u64>,
}

struct World {
    fault: Fault,
    checks: [bool; ENGINES],
    now_ms: u64,
    log: Log,
    network: Network<Message>,
    engines: Vec<Engine>,
    wanted: Vec<State>,
    planner: Vec<Option<(u64, Planner)>>,
    paused_until: [u64; HOSTS],
    holder: usize,
    token: u64,
    lease_until: u64,
    /// Time of the last crash or late order.
    disturbed_ms: u64,
    /// Time since which the controller has been in its term, not paused, over a fault-free network.
    calm_ms: u64,
    orders: usize,
    late: usize,
}

impl World {
    fn new(plan: &Plan, fault: Fault) -> Self {
        let engine = |number| Engine {
            state: state(number % ROUTES),
            token: 0,
            serves_ms: 0,
            late: false,
            caused_by_late: false,
            reached_ms: 0,
            regressed: false,
            regressed_ms: None,
        };
        let mut world = Self {
            fault,
            checks: plan.checks,
            now_ms: 1_000_000,
            log: Log::new(u64::MAX / 2),
            network: Network::new(plan.seed, 0),
            engines: (0..ENGINES).map(engine).collect(),
            wanted: (0..ENGINES).map(|number| state(number % ROUTES)).collect(),
            planner: vec![None; HOSTS],
            paused_until: [0; HOSTS],
            holder: 0,
            token: 0,
            lease_until: 0,
            disturbed_ms: 0,
            calm_ms: 0,
            orders: 0,
            late: 0,
        };
        world.take(0);
        world
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    /// A host takes over the controller shard; the offset of its record is the fencing token.
    fn take(&mut self, host: usize) {
        self.log.append(self.now_ms, Vec::new());
        let read = self.log.read(1);
        self.token = read
            .entries
            .last()
            .map_or(read.oldest, |entry| entry.offset);
        self.holder = host;
        self.lease_until = self.now_ms + LEASE_MS;
        self.calm_ms = self.now_ms;
        self.planner[host] = Some((self.token, Planner::new(self.token, self.limits())));
        self.configure();
    }

    fn limits(&self) -> Limits {
        let minimum = if self.fault == Fault::NoMinimum {
            0
        } else {
            MINIMUM
        };
        Limits {
            loads: if self.fault == Fault::NoBudget {
                100
            } else {
                LOADS
            },
            changes: if self.fault == Fault::ManyChanges {
                100
            } else {
                1
            },
            serving: (0..ROUTES)
                .map(|number| (state(number).route, minimum))
                .collect(),
        }
    }

    fn want(&mut self, engine: usize, state: State) {
        self.wanted[engine] = state;
        self.engines[engine].reached_ms = self.now_ms;
        self.engines[engine].regressed = false;
        self.configure();
    }

    fn configure(&mut self) {
        let wanted = self.wanted.iter().enumerate();
        let wanted = wanted
            .map(|(engine, state)| (engine.to_string(), state.clone()))
            .collect();
        let limits = self.limits();
        if let Some((_, planner)) = &mut self.planner[self.holder] {
            planner.configure(limits, wanted);
        }
    }

    fn poll(&mut self, host: usize) {
        let now = self.now();
        let holds = self.holder == host;
        let ignored = self.fault == Fault::LeaseIgnored;
        let lease = if ignored {
            u64::MAX
        } else if holds {
            self.lease_until
        } else {
            0
        };
        let lease = Instant::from_millis(lease);
        let Some((term, planner)) = &mut self.planner[host] else {
            return;
        };
        for action in planner.poll(now, lease) {
            match action {
                Action::Read(endpoint) => {
                    let engine = endpoint.parse().expect("a number");
                    let message = Message::Read(host, *term, engine, now);
                    self.network.send(self.now_ms, 1_500, &message);
                }
                Action::Send(order) => {
                    // The host may be paused between the decision and the sending.
                    let pause = if self.network.inject_fault() {
                        9_000
                    } else {
                        0
                    };
                    let message = Message::Decided(host, order);
                    self.network.send(self.now_ms + pause, 20, &message);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) -> Result {
        match message {
            Message::Read(host, term, engine, read_at) => {
                let node = &self.engines[engine];
                let up = self.now_ms >= node.serves_ms;
                let seen = Observed {
                    state: node.state.clone(),
                    serving: up,
                };
                let message = Message::Seen(host, term, engine, read_at, Some(seen));
                self.network.send(self.now_ms, 1_500, &message);
            }
            Message::Seen(host, term, engine, read_at, mut seen) => {
                if self.now().since(read_at) > TIMEOUT {
                    seen = None;
                }
                let Some((current, planner)) = &mut self.planner[host] else {
                    return Ok(());
                };
                let ignored = self.fault == Fault::NoReconcile && planner.differing().count() == 0;
                if *current == term && !ignored {
                    planner.observed(read_at, &engine.to_string(), seen);
                }
            }
            Message::Decided(host, order) => {
                let lease = if self.holder == host {
                    self.lease_until
                } else {
                    0
                };
                let lease = Instant::from_millis(lease);
                let now = self.now();
                let planner = self.planner[host].as_mut();
                let allowed = planner.is_some_and(|(_, planner)| planner.send(now, lease, &order));
                if allowed || self.fault == Fault::LeaseIgnored {
                    // Invariant: only the leaseholder sends, and its lease outlives the order's
                    // timeout.
                    if self.now() + TIMEOUT >= lease {
                        return Err(format!("host {host} sends {order:?} without the lease"));
                    }
                    // A connection's buffer may delay an order beyond its timeout.
                    let message = Message::Order(order, self.now_ms);
                    self.network.send(self.now_ms, 15_000, &message);
                }
            }
            Message::Order(order, sent_ms) => self.execute(order, sent_ms)?,
        }
        Ok(())
    }

    fn execute(&mut self, order: Order, sent_ms: u64) -> Result {
        let engine: usize = order.endpoint.parse().expect("a number");
        let checked = self.checks[engine] && self.fault != Fault::TokenIgnored;
        if checked && order.token < self.engines[engine].token {
            return Ok(());
        }
        let timeout_ms = TIMEOUT.as_millis() as u64;
        let late = order.token < self.token || self.now_ms > sent_ms + timeout_ms;
        let same = self.engines[engine].state == order.state;
        if !late && !same {
            self.check_limits(engine, &order)?;
        }
        let node = &mut self.engines[engine];
        if order.token < node.token && self.checks[engine] {
            return Err(format!(
                "engine {engine} obeys token {} after {}",
                order.token, node.token
            ));
        }
        node.token = node.token.max(order.token);
        self.orders += 1;
        self.late += usize::from(late);
        if !same {
            // The controller has observed the wanted state, so it must detect the regression.
            let known = self.now_ms >= node.reached_ms.max(self.calm_ms) + OBSERVED_WITHIN_MS;
            node.regressed = late && known && node.state == self.wanted[engine];
            node.reached_ms = self.now_ms;
            node.state = order.state;
            node.serves_ms = self.now_ms + 2_000;
            node.caused_by_late = late || node.late;
            node.late = late;
            if late {
                self.disturbed_ms = self.now_ms;
            }
        }
        Ok(())
    }

    fn serving(&self, except: usize, route: &Route) -> usize {
        let others = self
            .engines
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != except);
        let serving = others.filter(|(_, node)| node.state.route == *route && self.up(node));
        serving.count()
    }

    fn up(&self, engine: &Engine) -> bool {
        engine.serves_ms <= self.now_ms
    }

    /// Invariant: an order of the current term keeps each route's minimum and the limits on changes
    /// and loads.
    fn check_limits(&self, engine: usize, order: &Order) -> Result {
        // Not checked for 12 s after a crash or late order, which the controller cannot know at
        // once.
        if self.now_ms < self.disturbed_ms + 12_000 {
            return Ok(());
        }
        let node = &self.engines[engine];
        let route = &node.state.route;
        if self.up(node) && self.serving(engine, route) < MINIMUM {
            return Err(format!(
                "engine {engine} leaves {route:?} below its minimum"
            ));
        }
        let others = self
            .engines
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != engine);
        let loading: Vec<_> = others
            .filter(|(_, node)| !self.up(node) && !node.caused_by_late)
            .collect();
        if loading.len() >= LOADS {
            return Err(format!(
                "engine {engine} loads besides {} others",
                loading.len()
            ));
        }
        let routes = [route, &order.state.route];
        let beside = loading
            .iter()
            .find(|(_, other)| routes.contains(&&other.state.route));
        if let Some((other, _)) = beside {
            return Err(format!(
                "engines {engine} and {other} of a route change together"
            ));
        }
        Ok(())
    }

    /// Invariant: a wrong state caused by a late order is corrected within [`CORRECTED_WITHIN_MS`].
    fn check_corrections(&mut self) -> Result {
        if self.paused_until[self.holder] > self.now_ms || self.network.fault_percent > 0 {
            self.calm_ms = self.now_ms;
        }
        let loading = self.engines.iter().filter(|node| !self.up(node)).count();
        for number in 0..ENGINES {
            let node = &self.engines[number];
            let blocked = loading >= LOADS || self.serving(number, &node.state.route) < MINIMUM;
            let wrong = node.regressed && node.state != self.wanted[number];
            if !wrong || blocked || self.calm_ms == self.now_ms {
                self.engines[number].regressed &= wrong;
                self.engines[number].regressed_ms = None;
                continue;
            }
            let since = *self.engines[number].regressed_ms.get_or_insert(self.now_ms);
            if self.now_ms > since + CORRECTED_WITHIN_MS {
                return Err(format!(
                    "engine {number} keeps an older term's state since {since}"
                ));
            }
        }
        Ok(())
    }

    fn advance(&mut self, millis: u64) -> Result {
        for _ in 0..millis / TICK_MS {
            self.now_ms += TICK_MS;
            while let Some(message) = self.network.receive(self.now_ms) {
                self.deliver(message)?;
            }
            let other = (self.holder + 1) % HOSTS;
            if self.paused_until[self.holder] <= self.now_ms && self.now_ms < self.lease_until {
                self.lease_until = self.now_ms + LEASE_MS;
            } else if self.now_ms >= self.lease_until && self.paused_until[other] <= self.now_ms {
                self.take(other);
            }
            for host in 0..HOSTS {
                if self.paused_until[host] <= self.now_ms {
                    self.poll(host);
                }
            }
            self.check_corrections()?;
        }
        Ok(())
    }
}

fn run(plan: &Plan, fault: Fault) -> std::result::Result<World, String> {
    let mut world = World::new(plan, fault);
    for step in &plan.steps {
        match *step {
            Step::Want {
                engine,
                state: number,
            } => world.want(engine, state(number)),
            Step::Upgrade(version) => {
                for engine in 0..ENGINES {
                    let wanted = State {
                        version: version.to_string(),
                        ..world.wanted[engine].clone()
                    };
                    world.want(engine, wanted);
                }
            }
            Step::Pause { host, millis } => world.paused_until[host] = world.now_ms + millis,
            Step::Crash { engine } => {
                world.engines[engine].serves_ms = world.now_ms + 3_000;
                world.disturbed_ms = world.now_ms;
            }
            Step::Faults(percent) => world.network.fault_percent = percent,
            Step::Wait(millis) => world.advance(millis)?,
        }
    }
    world.network.fault_percent = 0;
    world.advance(30_000)?;
    Ok(world)
}

/// Guards against engines left in the state of an earlier controller's order, and against routes
/// that lose too many engines at once.
#[test]
fn engines_converge_to_wanted_state() {
    let seen = Cell::new((0, 0));
    holds(1_000, plans(), |plan| {
        let world = run(&plan, Fault::None)?;
        seen.set((seen.get().0 + world.orders, seen.get().1 + world.late));
        Ok(())
    });
    let seen = seen.get();
    assert!(
        seen.0 > 2_000 && seen.1 > 20,
        "too few orders or late orders were executed: {seen:?}"
    );
}

/// Guards against invariant checks that miss the fault they are meant to detect.
#[yare::parameterized(
    no_reconcile = { Fault::NoReconcile, "keeps an older term's state" },
    token_ignored = { Fault::TokenIgnored, "obeys token" },
    lease_ignored = { Fault::LeaseIgnored, "without the lease" },
    no_minimum = { Fault::NoMinimum, "below its minimum" },
    many_changes = { Fault::ManyChanges, "change together" },
    no_budget = { Fault::NoBudget, "loads besides" },
)]
fn invariants_detect_fault(fault: Fault, violation: &str) {
    catches(&plans(), violation, |plan| run(&plan, fault).map(|_| ()));
}
