//! Gives orders to engines while this host holds the lease.

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

/// Pause between looks at the split of the engines.
const PERIOD: Duration = Duration::from_millis(500);
/// Longest time for an order. It is short against the lease, whose end an order must not pass.
const ORDER_PATIENCE: Duration = Duration::from_millis(400);
/// Time beyond the change of stage in which an ordered engine is left alone; an order whose answer
/// was lost may be carried out seconds later.
const SETTLING: Duration = Duration::from_secs(8);
/// Time after the first start in which the split of the engines is changed without delay; traffic
/// begins about 10 s after it (deploy pages).
const FIRST_START: Duration = Duration::from_secs(8);
const ANSWER_BYTES: usize = 64 * 1_024;

/// Orders that were given and do not show yet.
#[derive(Debug, Default)]
struct Pending(Vec<(Key, Stage, Instant)>);

impl Pending {
    fn is_empty(&mut self, now: Instant, directory: &Directory) -> bool {
        self.0.retain(|(key, stage, until)| {
            let shows = directory
                .get(*key)
                .is_none_or(|endpoint| endpoint.stage == Some(*stage));
            !shows && *until > now
        });
        self.0.is_empty()
    }
}

/// Keeps the split of the engines while this host is the one to do so.
pub(crate) async fn run<D: Dialect, S: Store>(host: Rc<Host<D, S>>) {
    let mut lease = Lease::new(host.options.host.clone(), host.options.bounds.lease());
    let mut pending = Pending::default();
    let mut debounces = HashMap::new();
    loop {
        tokio::time::sleep(PERIOD).await;
        if host.is_stopping() || !is_first(&host) {
            continue;
        }
        let Some((key, stage)) = wanted(&host, &mut pending, &mut debounces) else {
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

/// Whether no other heard host comes before this one; it avoids races for the lease.
fn is_first<D, S>(host: &Host<D, S>) -> bool {
    let own = host.options.address;
    host.view
        .borrow()
        .live(now())
        .all(|(address, report)| report.leaving || own < address.ip())
}

/// The next engine to change, unless an order is still to show.
fn wanted<D, S>(
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
            let place = data_centres
                .iter()
                .position(|known| *known == endpoint.data_centre);
            let data_centre = place.unwrap_or_else(|| {
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
        let throughput: Throughput = host.mix.get().throughput(&engine);
        let change = stages::next(&engines, throughput);
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

/// Time for which a change must be wanted. At the first start of a deployment all engines are there
/// and no request is in the way.
fn debounce_time<D, S>(host: &Host<D, S>) -> Duration {
    let starting = host.options.first_start && host.uptime(now()) < FIRST_START;
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
        Err(error) => tracing::warn!(%error, "lease: not read"),
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
            // A claim without an answer may stand; the log tells.
            tracing::warn!(%error, "lease: not claimed");
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
    let change = host
        .fleet
        .borrow()
        .as_ref()
        .and_then(|fleet| fleet.services.get(&endpoint.service)?.engine)
        .map_or(Duration::ZERO, |engine| engine.stage_change);
    pending.0.push((key, stage, now() + change + SETTLING));
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
    // A connection of its own: an order must not wait in the buffer of a silent one.
    let max_idle = Duration::ZERO;
    let (status, _) = own::send::<D>(
        &host.pool,
        endpoint.address,
        Some(&endpoint.id),
        D::order(order),
        ORDER_PATIENCE,
        max_idle,
        ANSWER_BYTES,
    )
    .await?;
    Ok(status)
}
