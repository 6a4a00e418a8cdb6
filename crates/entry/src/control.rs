//! Orders engines to change between prefill and decode while this host holds the lease.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::history::Position;
use http::StatusCode;

use crate::admission;
use crate::directory::{Endpoint, Key, Stage};
use crate::lease::{Lease, Step};
use crate::orders::{self, State};
use crate::own::{self, Terms};
use crate::platform::{Dialect, Log, Order, Result, Store};
use crate::stages::{self, Debounce};
use crate::state::{Host, now};

/// Interval between checks of the prefill/decode split.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of an order. It is short against the lease, which an order must not outlive.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which an order without an answer is taken for lost, beyond the duration of the stage
/// change; it may be executed seconds later.
const LOST_ORDER_TIME: Duration = Duration::from_secs(8);
/// Time until the entry of an engine shows a complete change: three heartbeats, and the read.
const ENTRY_DELAY: Duration = Duration::from_secs(6);
/// Time after the first start of a deployment in which the split changes without hysteresis;
/// traffic begins about 10 s after the start (deploy pages).
const FIRST_START_WINDOW: Duration = Duration::from_secs(8);
/// Maximum size of the answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// Checks the prefill/decode split periodically and orders changes while this host holds the lease.
pub(crate) async fn run<D: Dialect, S: Store>(host: Rc<Host<D, S>>) {
    let options = &host.options;
    let mut lease = Lease::new(
        options.host.clone(),
        options.bounds.lease(),
        options.first_start,
    );
    let mut debounces = HashMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if host.is_stopping() || !has_lowest_address(&host) || is_cut_off(&host) {
            continue;
        }
        lease.observe(host.store.era());
        while let Some((key, stage)) = next_change(&host, &mut debounces) {
            match lease.step(now()) {
                Step::Wait => break,
                Step::Read => read(&host, &mut lease).await,
                Step::Claim(end) => claim(&host, &mut lease, end).await,
                Step::Hold(token) => {
                    order(&host, &mut lease, key, stage, token).await;
                    continue;
                }
            }
            break;
        }
    }
}

/// Whether this host has lost contact with its peers or with the store. It would plan from old
/// knowledge, and could not tell the others of its orders.
fn is_cut_off<D, S>(host: &Host<D, S>) -> bool {
    host.count_hosts(now());
    host.quotas.borrow().is_partitioned() || host.refresh.get().is_late(now())
}

/// Whether this host has the lowest address of all live hosts that are not leaving. Only that host
/// claims the lease, which avoids races.
fn has_lowest_address<D, S>(host: &Host<D, S>) -> bool {
    let own = host.options.address;
    host.view
        .borrow()
        .live(now())
        .all(|(address, report)| report.leaving || own < address.ip())
}

/// The next stage change, unless enough engines are changing.
fn next_change<D, S>(
    host: &Host<D, S>,
    debounces: &mut HashMap<String, Debounce>,
) -> Option<(Key, Stage)> {
    let now = now();
    let fleet = host.fleet.borrow().clone()?;
    for (name, service) in &fleet.services {
        let Some(properties) = service.engine else {
            continue;
        };
        let (engines, changing) = engines(host, name);
        // At the first start all engines are present and idle.
        let is_starting = host.options.first_start && host.uptime(now) < FIRST_START_WINDOW;
        if changing >= stages::max_changing(engines.len()) && !is_starting {
            continue;
        }
        let mix = host.mix(name);
        let (demand, delay) = if is_starting {
            (f64::INFINITY, Duration::ZERO)
        } else {
            let delay = stages::debounce_time(properties.stage_change, mix.duration());
            (demand(host, name, now), delay)
        };
        let change = stages::next_change(&engines, mix.throughput(&properties), demand);
        let debounce = debounces.entry(name.clone()).or_default();
        let wanted = change.map(|(_, stage)| stage);
        if debounce.is_due(now, wanted, &engines, delay) {
            return change;
        }
    }
    None
}

/// Engines of a service with the stages that they will have, and the number that are changing.
fn engines<D, S>(host: &Host<D, S>, service: &str) -> (Vec<stages::Engine>, usize) {
    let now = now();
    let directory = host.directory.borrow();
    let ledger = host.ledger.borrow();
    let orders = host.orders.borrow();
    let mut data_centres: Vec<&str> = Vec::new();
    let mut engines = Vec::new();
    let mut changing = 0;
    for (key, endpoint) in directory.ready(service) {
        // Engines that get no work serve no stage, and nothing is sent to them.
        if !host.is_open(endpoint) {
            continue;
        }
        let order = orders.pending(now, endpoint);
        changing += usize::from(order.is_some());
        let Some(stage) = order.map(|order| order.stage).or(endpoint.stage) else {
            continue;
        };
        let position = data_centres
            .iter()
            .position(|known| *known == endpoint.data_centre);
        let data_centre = position.unwrap_or_else(|| {
            data_centres.push(&endpoint.data_centre);
            data_centres.len() - 1
        });
        engines.push(stages::Engine {
            key,
            stage,
            data_centre,
            requests: ledger.requests(key),
            can_change: !orders.is_recent(now, endpoint),
        });
    }
    (engines, changing)
}

/// Generations per second that a service is asked for; infinite while some wait.
fn demand<D, S>(host: &Host<D, S>, service: &str, now: Instant) -> f64 {
    if admission::waits(host, service) {
        return f64::INFINITY;
    }
    let demand = host.demand.borrow();
    demand.get(service).map_or(0.0, |rate| rate.per_second(now))
}

async fn read<D: Dialect, S: Store>(host: &Host<D, S>, lease: &mut Lease) {
    match read_claims(host, lease.end()).await {
        Ok((holder, end)) => {
            tracing::info!(era = end.era.0, end = end.offset, holder, "lease: read");
            lease.read(now(), end, holder);
        }
        Err(error) => {
            lease.observe(host.store.era());
            tracing::warn!(%error, "lease: reading the lease log failed; no order sent");
        }
    }
}

/// Reads the claims from a position up to the end of the log; returns the holder of the last one, and the
/// end.
async fn read_claims<D, S: Store>(
    host: &Host<D, S>,
    mut from: Option<Position>,
) -> Result<(Option<String>, Position)> {
    let mut holder = None;
    loop {
        let tail = host.store.log_read(Log::Leases, from).await?;
        if let Some(record) = tail.records.last() {
            holder = Some(String::from_utf8_lossy(record).into_owned());
        }
        if tail.next.offset >= tail.end.offset {
            return Ok((holder, tail.end));
        }
        from = Some(tail.next);
    }
}

async fn claim<D: Dialect, S: Store>(host: &Host<D, S>, lease: &mut Lease, end: Position) {
    let sent = now();
    let holder = lease.holder().to_owned();
    let append = host
        .store
        .log_append(Log::Leases, Some(end), holder.as_bytes());
    match append.await {
        Ok(at) => {
            tracing::info!(token = at.token(), "lease: claimed");
            lease.claimed(sent, at);
        }
        Err(error) => {
            lease.observe(host.store.era());
            // A claim without an answer may have been appended; the next read of the log shows it.
            tracing::warn!(%error, "lease: claim failed or unconfirmed; reading the lease log again");
            lease.claim_failed();
        }
    }
}

async fn order<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    lease: &mut Lease,
    key: Key,
    stage: Stage,
    token: u64,
) {
    let Some(endpoint) = host.directory.borrow().get(key).cloned() else {
        return;
    };
    let (stage_change, longest_run) = change_times(host, &endpoint.service);
    let lost_after = stage_change + LOST_ORDER_TIME;
    host.orders.borrow_mut().apply(
        now(),
        orders::Order {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            stage,
            token,
            sender: lease.holder().to_owned(),
            state: State::Sent,
            left_ms: lost_after.as_millis() as u64,
        },
    );
    // The others learn of the order before the engine refuses requests.
    host.report_to_all();
    let order = Order {
        stage,
        holder: lease.holder().to_owned(),
        token,
    };
    let status = send::<D, S>(host, &endpoint, &order).await;
    tracing::info!(
        endpoint = endpoint.id,
        ?stage,
        token,
        ?status,
        "order: sent"
    );
    let (state, left) = match status {
        Ok(StatusCode::OK | StatusCode::ACCEPTED | StatusCode::CONFLICT) => {
            (State::Accepted, stage_change + longest_run + ENTRY_DELAY)
        }
        Ok(status) if status.is_client_error() => (State::Ended, lost_after),
        // The order may have been accepted, or may be carried out later.
        Ok(_) | Err(_) => (State::Sent, lost_after),
    };
    host.orders
        .borrow_mut()
        .set_state(now(), &endpoint.id, token, state, left);
    if matches!(status, Ok(StatusCode::PRECONDITION_FAILED)) {
        lease.fenced();
    }
}

/// Duration of a stage change of a service's engines, and of their longest run, which ends first.
fn change_times<D, S>(host: &Host<D, S>, service: &str) -> (Duration, Duration) {
    let Some(fleet) = host.fleet.borrow().clone() else {
        return (Duration::ZERO, Duration::ZERO);
    };
    let engine = fleet
        .services
        .get(service)
        .and_then(|service| service.engine);
    let routes = fleet
        .routes
        .iter()
        .filter(|route| route.services.iter().any(|(name, _)| name == service));
    let longest_run = routes.map(|route| route.timeout).max();
    (
        engine.map_or(Duration::ZERO, |engine| engine.stage_change),
        longest_run.unwrap_or_default(),
    )
}

async fn send<D: Dialect, S: Store>(
    host: &Host<D, S>,
    endpoint: &Endpoint,
    order: &Order,
) -> Result<StatusCode> {
    let terms = Terms {
        step_timeout: ORDER_TIMEOUT,
        // Opens a new connection: on a dead one the order would wait in the socket buffer.
        max_idle: Duration::ZERO,
        max_body_bytes: MAX_ANSWER_BYTES,
        // Engines take the host that a connection comes from for the holder of an order.
        directly: true,
    };
    let destination = endpoint.destination();
    let (status, _) = own::send::<D>(&host.pool, destination, D::order(order), terms).await?;
    Ok(status)
}
