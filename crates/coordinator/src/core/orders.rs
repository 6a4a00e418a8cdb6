//! Orders to engines, while this host holds the controller shard.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use berylknot_border::engine::{self, LoadReport, OrderRequest, OrderResponse};
use berylknot_border::platform::WeightRequest;
use berylknot_coordination::clock::Instant;
use berylknot_coordination::lease::{Shard, Subject};
use berylknot_coordination::order::{
    Action, Limits, Observed, Order, Planner, Role, Route, State, TIMEOUT,
};
use berylknot_coordination::record::Position;
use berylknot_settings::Fleet;
use berylknot_settings::fleet::Kind;

use super::Core;
use crate::platform::Platform;

/// Time between two steps.
pub(super) const INTERVAL: Duration = Duration::from_millis(250);

/// Engines that load from the weight store at the same time.
const LOADS: usize = 2;

/// Engines of a route that change at the same time.
const CHANGES: usize = 1;

/// Serving engines that a route keeps, if it is wanted to have any.
const SERVING: usize = 1;

/// The controller's side of the engines.
#[derive(Default)]
pub(super) struct Orders {
    /// Planner with its fencing token and the version of the settings that it works by.
    planner: Option<(Position, Position, Planner)>,
    client: awc::Client,
    /// Version that an engine reported last; orders keep it.
    versions: HashMap<String, String>,
}

impl std::fmt::Debug for Orders {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Orders")
            .field("planner", &self.planner)
            .finish_non_exhaustive()
    }
}

impl Orders {
    /// The planner, as long as the controller role has not changed hands since `token`.
    fn planner(&mut self, token: Position) -> Option<&mut Planner> {
        let (held, _, planner) = self.planner.as_mut()?;
        (*held == token).then_some(planner)
    }
}

/// States that the settings want. The settings name no version: it is left out of the comparison.
fn wanted(fleet: &Fleet) -> (Limits, BTreeMap<String, State>) {
    let mut states = BTreeMap::new();
    let mut serving = BTreeMap::new();
    for (_, endpoint) in fleet.endpoints() {
        let role = match endpoint.kind {
            Kind::Prefill => Role::Prefill,
            Kind::Decode => Role::Decode,
            Kind::Service => continue,
        };
        if endpoint.leaving {
            continue;
        }
        let route = Route {
            model: endpoint.model.clone(),
            role,
        };
        serving.insert(route.clone(), SERVING);
        let version = String::new();
        states.insert(endpoint.name.clone(), State { route, version });
    }
    let limits = Limits {
        loads: LOADS,
        changes: CHANGES,
        serving,
    };
    (limits, states)
}

fn observed(report: LoadReport) -> Observed {
    let role = match report.role {
        engine::Role::Prefill => Role::Prefill,
        engine::Role::Decode => Role::Decode,
    };
    let route = Route {
        model: report.model,
        role,
    };
    let version = String::new();
    Observed {
        state: State { route, version },
        serving: true,
    }
}

impl<P: Platform> Core<P> {
    /// Fencing token and end of the own lease of the controller shard.
    fn controller(&self) -> Option<(Position, Instant)> {
        let (now, table) = (self.clock.now(), self.replica.leases());
        let subject = Subject::Shard(Shard::CONTROLLER);
        let left = self.holder.remaining(now, table, subject)?;
        Some((table.holding(subject).since, now + left))
    }

    fn engine_address(&self, endpoint: &str) -> Option<SocketAddr> {
        let configuration = self.published.borrow();
        let mut endpoints = configuration.fleet.endpoints();
        endpoints.find_map(|(_, found)| (found.name == endpoint).then_some(found.address))
    }

    /// Reads the engines and orders what the settings want.
    pub(super) fn step_orders(&mut self, context: &mut Context<Self>) {
        let Some((token, lease_until)) = self.controller() else {
            self.orders.planner = None;
            return;
        };
        let configuration = self.published.borrow().clone();
        let current = |(held, version, _): &(Position, Position, Planner)| {
            *held == token && *version == configuration.version
        };
        if !self.orders.planner.as_ref().is_some_and(current) {
            let (limits, states) = wanted(&configuration.fleet);
            let kept = self.orders.planner.take();
            let kept = kept.filter(|(held, ..)| *held == token);
            let mut planner = kept.map_or_else(
                || {
                    tracing::info!(
                        token = token.as_u64(),
                        "orders: this host is the controller"
                    );
                    Planner::new(token.as_u64(), limits.clone())
                },
                |(_, _, planner)| planner,
            );
            planner.configure(limits, states);
            self.orders.planner = Some((token, configuration.version, planner));
        }
        let now = self.clock.now();
        let planner = self.orders.planner(token);
        for action in planner.map_or_else(Vec::new, |planner| planner.poll(now, lease_until)) {
            match action {
                Action::Read(endpoint) => self.read_engine(token, endpoint, context),
                Action::Send(order) => self.prepare_order(token, order, context),
            }
        }
    }

    fn read_engine(&self, token: Position, endpoint: String, context: &mut Context<Self>) {
        let Some(address) = self.engine_address(&endpoint) else {
            return;
        };
        let asked = self.clock.now();
        let client = self.orders.client.clone();
        let read = async move {
            let request = client.get(format!("http://{address}/v1/load"));
            let mut response = request.timeout(TIMEOUT).send().await.ok()?;
            response.json::<LoadReport>().await.ok()
        };
        context.spawn(read.into_actor(self).map(move |report, core, _| {
            if let Some(report) = &report {
                let version = report.version.clone();
                core.orders.versions.insert(endpoint.clone(), version);
            }
            if let Some(planner) = core.orders.planner(token) {
                planner.observed(asked, &endpoint, report.map(observed));
            }
        }));
    }

    /// Asks the weight store for a load first, if the engine gets another model. A refused load
    /// leaves the order to a later plan.
    fn prepare_order(&self, token: Position, order: Order, context: &mut Context<Self>) {
        let planner = self.orders.planner.as_ref();
        let mut differing = planner
            .into_iter()
            .flat_map(|(.., planner)| planner.differing());
        let model = &order.state.route.model;
        let loads = differing.any(|(endpoint, seen)| {
            *endpoint == order.endpoint && seen.is_none_or(|seen| seen.route.model != *model)
        });
        let version = self.orders.versions.get(&order.endpoint);
        let version = version.cloned().unwrap_or_default();
        let weights = WeightRequest {
            model: model.clone(),
            version: version.clone(),
        };
        let platform = self.platform.clone();
        let prepare =
            async move { !loads || platform.load_weights(&weights).await.unwrap_or(false) };
        context.spawn(prepare.into_actor(self).map(move |ready, core, context| {
            if ready {
                core.send_order(token, &order, version, context);
            }
        }));
    }

    fn send_order(
        &mut self,
        token: Position,
        order: &Order,
        version: String,
        context: &mut Context<Self>,
    ) {
        let Some((held, lease_until)) = self.controller().filter(|(held, _)| *held == token) else {
            return;
        };
        let Some(address) = self.engine_address(&order.endpoint) else {
            return;
        };
        let now = self.clock.now();
        let planner = self.orders.planner(held);
        if !planner.is_some_and(|planner| planner.send(now, lease_until, order)) {
            return;
        }
        let role = match order.state.route.role {
            Role::Prefill => engine::Role::Prefill,
            Role::Decode => engine::Role::Decode,
        };
        let request = OrderRequest {
            fencing_token: order.token,
            model: order.state.route.model.clone(),
            role,
            version,
        };
        let endpoint = order.endpoint.clone();
        tracing::info!(endpoint = %endpoint, %role, model = %request.model, "orders: order is sent");
        let client = self.orders.client.clone();
        let send = async move {
            // The connection is not kept: a late order could otherwise wait in its buffer.
            let post = client.post(format!("http://{address}/v1/order"));
            let post = post.force_close().timeout(TIMEOUT);
            let mut response = post.send_json(&request).await.ok()?;
            response.json::<OrderResponse>().await.ok()
        };
        context.spawn(send.into_actor(self).map(move |answer, _, _| match answer {
            Some(answer) if answer.accepted => {}
            Some(answer) => {
                tracing::warn!(endpoint = %endpoint, reason = ?answer.reason, "orders: refused");
            }
            None => tracing::warn!(endpoint = %endpoint, "orders: engine does not answer"),
        }));
    }
}
