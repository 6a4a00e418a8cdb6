//! Reconciles the engines with the settings by orders, while this host holds the controller shard.

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

/// Interval at which the planner runs.
pub(super) const INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of engines that load from the weight store concurrently.
const MAX_CONCURRENT_LOADS: usize = 2;

/// Maximum number of engines of a route that change concurrently.
const MAX_CHANGES_PER_ROUTE: usize = 1;

/// Minimum number of serving engines of a route that the settings give any engine.
const MIN_SERVING_PER_ROUTE: usize = 1;

/// State of the controller role.
#[derive(Default)]
pub(super) struct Orders {
    /// Fencing token, configuration version and planner.
    planner: Option<(Position, Position, Planner)>,
    client: awc::Client,
    /// Model version that each engine reported last; orders repeat it.
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
    /// The planner, if it still runs under the fencing token `token`.
    fn planner(&mut self, token: Position) -> Option<&mut Planner> {
        let (held_token, _, planner) = self.planner.as_mut()?;
        (*held_token == token).then_some(planner)
    }
}

/// Limits and desired engine states by the settings. The settings have no model version, so the
/// states leave it empty and it is not compared.
fn desired_states(fleet: &Fleet) -> (Limits, BTreeMap<String, State>) {
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
        serving.insert(route.clone(), MIN_SERVING_PER_ROUTE);
        let version = String::new();
        states.insert(endpoint.name.clone(), State { route, version });
    }
    let limits = Limits {
        loads: MAX_CONCURRENT_LOADS,
        changes: MAX_CHANGES_PER_ROUTE,
        serving,
    };
    (limits, states)
}

/// Converts a load report for the planner, without the model version.
fn to_observed(report: LoadReport) -> Observed {
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
    /// Fencing token and expiry of this host's lease of the controller shard, if it holds one.
    fn controller_lease(&self) -> Option<(Position, Instant)> {
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

    /// Runs the planner: reads the engines and sends the orders that are due.
    pub(super) fn step_orders(&mut self, context: &mut Context<Self>) {
        let Some((token, lease_until)) = self.controller_lease() else {
            self.orders.planner = None;
            return;
        };
        let configuration = self.published.borrow().clone();
        let is_current = |(held_token, version, _): &(Position, Position, Planner)| {
            *held_token == token && *version == configuration.version
        };
        if !self.orders.planner.as_ref().is_some_and(is_current) {
            let (limits, states) = desired_states(&configuration.fleet);
            let kept = self.orders.planner.take();
            let kept = kept.filter(|(held_token, ..)| *held_token == token);
            let mut planner = kept.map_or_else(
                || {
                    tracing::info!(
                        token = token.as_u64(),
                        "orders: this host became the controller and now orders engine changes"
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

    /// Reads an engine's state for the planner; a failed read is reported as well.
    fn read_engine(&self, token: Position, endpoint: String, context: &mut Context<Self>) {
        let Some(address) = self.engine_address(&endpoint) else {
            return;
        };
        let asked_at = self.clock.now();
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
                planner.observed(asked_at, &endpoint, report.map(to_observed));
            }
        }));
    }

    /// Sends an order, after asking the weight store for a load if the engine changes its model. If
    /// the store refuses the load, the planner orders again later.
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

    /// Sends an order if the lease of the controller shard still allows it.
    fn send_order(
        &mut self,
        token: Position,
        order: &Order,
        version: String,
        context: &mut Context<Self>,
    ) {
        let Some((held_token, lease_until)) = self
            .controller_lease()
            .filter(|(held_token, _)| *held_token == token)
        else {
            return;
        };
        let Some(address) = self.engine_address(&order.endpoint) else {
            return;
        };
        let now = self.clock.now();
        let planner = self.orders.planner(held_token);
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
        tracing::info!(
            endpoint = %endpoint,
            %role,
            model = %request.model,
            "orders: sending an order to the engine"
        );
        let client = self.orders.client.clone();
        let send = async move {
            // Closing the connection keeps a late order from waiting in its buffer.
            let post = client.post(format!("http://{address}/v1/order"));
            let post = post.force_close().timeout(TIMEOUT);
            let mut response = post.send_json(&request).await.ok()?;
            response.json::<OrderResponse>().await.ok()
        };
        context.spawn(send.into_actor(self).map(move |answer, _, _| match answer {
            Some(answer) if answer.accepted => {}
            Some(answer) => {
                tracing::warn!(
                    endpoint = %endpoint,
                    reason = ?answer.reason,
                    "orders: engine refused the order"
                );
            }
            None => tracing::warn!(
                endpoint = %endpoint,
                "orders: engine did not answer the order, which may still take effect"
            ),
        }));
    }
}
