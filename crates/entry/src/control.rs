//! Orders engines to change between prefill and decode while this host holds the lease.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::directory::{Directory, Endpoint, Key, Stage};
use crate::lease::{Lease, Step};
use crate::own;
use crate::platform::{Dialect, Order, Result, Store};
use crate::stages::{self, DEBOUNCE_TIME, Debounce, Throughput};
use crate::state::{Host, now};

/// Interval between checks of the prefill/decode split.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of an order. It is short against the lease, which an order must not outlive.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Cooldown after an order, beyond the duration of the stage change; an order whose answer was lost
/// may be executed seconds later.
const ORDER_COOLDOWN: Duration = Duration::from_secs(8);
/// Time after the first start of a deployment in which the split changes without hysteresis;
/// traffic begins about 10 s after the start (deploy pages).
const FIRST_START_WINDOW: Duration = Duration::from_secs(8);
/// Maximum size of the answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// Orders whose stage change is not in the directory yet and whose cooldown lasts.
#[derive(Debug, Default)]
struct Pending(Vec<(Key, Stage, Instant)>);

impl Pending {
    fn is_empty(&mut self, now: Instant, directory: &Directory) -> bool {
        self.0.retain(|(key, stage, until)| {
            let is_applied = directory
                .get(*key)
                .is_none_or(|endpoint| endpoint.stage == Some(*stage));
            !is_applied && *until > now
        });
        self.0.is_empty()
    }
}

/// Checks the prefill/decode split periodically and orders changes while this host holds the lease.
pub(crate) async fn run<D: Dialect, S: Store>(host: Rc<Host<D, S>>) {
    let mut lease = Lease::new(host.options.host.clone(), host.options.bounds.lease());
    let mut pending = Pending::default();
    let mut debounces = HashMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if host.is_stopping() || !has_lowest_address(&host) {
            continue;
        }
        let Some((key, stage)) = next_change(&host, &mut pending, &mut debounces) else {
            continue;
        };
        match lease.step(now()) {
            Step::Wait => {}
            Step::Read => read(&host, &mut lease).await,
            Step::Claim(end) => claim(&host, &mut lease, end).await,
            Step::Hold(token) => {
                order(&host, &mut lease, &mut pending, key, stage, token).await;
            }
        }
    }
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

/// The next stage change, unless an earlier order is still pending.
fn next_change<D, S>(
    host: &Host<D, S>,
    pending: &mut Pending,
    debounces: &mut HashMap<String, Debounce>,
) -> Option<(Key, Stage)> {
    let fleet = host.fleet.borrow().clone()?;
    let directory = host.directory.borrow();
    if !pending.is_empty(now(), &directory) {
        return None;
    }
    let ledger = host.ledger.borrow();
    for (name, service) in &fleet.services {
        let Some(engine) = service.engine else {
            continue;
        };
        let mut data_centres: Vec<&str> = Vec::new();
        let mut engines = Vec::new();
        for (key, endpoint) in directory.ready(name) {
            let Some(stage) = endpoint.stage else {
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
            });
        }
        let throughput: Throughput = host.mix(name).throughput(&engine);
        let change = stages::next_change(&engines, throughput);
        let debounce = debounces.entry(name.clone()).or_default();
        if debounce.is_due(
            now(),
            change.map(|(_, stage)| stage),
            &engines,
            debounce_time(host),
        ) {
            return change;
        }
    }
    None
}

/// Debounce delay of a stage change. At the first start of a deployment it is zero, since all
/// engines are present and idle.
fn debounce_time<D, S>(host: &Host<D, S>) -> Duration {
    let starting = host.options.first_start && host.uptime(now()) < FIRST_START_WINDOW;
    if starting {
        Duration::ZERO
    } else {
        DEBOUNCE_TIME
    }
}

async fn read<D: Dialect, S: Store>(host: &Host<D, S>, lease: &mut Lease) {
    match host.store.lease_tail(lease.end()).await {
        Ok((end, record)) => {
            let holder = record.map(|record| String::from_utf8_lossy(&record).into_owned());
            tracing::info!(end, holder, "lease: read");
            lease.read(now(), end, holder);
        }
        Err(error) => tracing::warn!(%error, "lease: reading the lease log failed; no order sent"),
    }
}

async fn claim<D: Dialect, S: Store>(host: &Host<D, S>, lease: &mut Lease, end: u64) {
    let sent = now();
    let holder = lease.holder().to_owned();
    match host.store.lease_append(end, holder.as_bytes()).await {
        Ok(token) => {
            tracing::info!(token, "lease: claimed");
            lease.claimed(sent, token);
        }
        Err(error) => {
            // A claim without an answer may have been appended; the next read of the log shows it.
            tracing::warn!(%error, "lease: claim failed or unconfirmed; reading the lease log again");
            lease.claim_failed();
        }
    }
}

async fn order<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    lease: &mut Lease,
    pending: &mut Pending,
    key: Key,
    stage: Stage,
    token: u64,
) {
    let Some(endpoint) = host.directory.borrow().get(key).cloned() else {
        return;
    };
    let stage_change = host
        .fleet
        .borrow()
        .as_ref()
        .and_then(|fleet| fleet.services.get(&endpoint.service)?.engine)
        .map_or(Duration::ZERO, |engine| engine.stage_change);
    pending
        .0
        .push((key, stage, now() + stage_change + ORDER_COOLDOWN));
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
    if matches!(status, Ok(http::StatusCode::PRECONDITION_FAILED)) {
        lease.fenced();
    }
}

async fn send<D: Dialect, S: Store>(
    host: &Host<D, S>,
    endpoint: &Endpoint,
    order: &Order,
) -> Result<http::StatusCode> {
    // Opens a new connection: on a dead one the order would wait in the socket buffer.
    let max_idle = Duration::ZERO;
    let (status, _) = own::send::<D>(
        &host.pool,
        endpoint.address,
        Some(&endpoint.id),
        D::order(order),
        ORDER_TIMEOUT,
        max_idle,
        MAX_ANSWER_BYTES,
    )
    .await?;
    Ok(status)
}
