//! Places for generations, given by one host for all.
//!
//! Answers fleets in which many hosts place on the same engines: with reports alone each host knows the
//! others' places a report late, and at sixty hosts engines were overfilled in every burst. One host,
//! the leader, keeps the queue and counts every place at once. Leadership needs no agreement: each
//! host asks the first one that it hears and trusts, and decides by itself when that one does not
//! answer. Two leaders for a while only mean that engines refuse some requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::directory::{Endpoint, Key, Stage};
use crate::fleet::Engine;
use crate::health::Suspicion;
use crate::http::Timeouts;
use crate::ledger::{Grant, Room, Run};
use crate::locate;
use crate::mix::PREFILL_MS_PER_TOKEN;
use crate::parts::Part;
use crate::peer;
use crate::platform::{Dialect, Store};
use crate::quota::Class;
use crate::state::{Host, LAST_RESORT_COST, jitter, now};
use crate::waiting::{LATE_FILL, Queue, Refusal, Ticket, Waiter};

/// Generations of one service that may wait. The expected wait bounds the queue long before.
const WAITING: usize = 1_024;
/// Longest time that the leader holds a question. The asker repeats it with its rank, so that a
/// silent leader is noticed in this time.
const ROUND: Duration = Duration::from_millis(350);
/// Longest time for the leader's answer beyond a round.
const ANSWER_PATIENCE: Duration = Duration::from_millis(150);
/// Time for which a leader that did not answer is not asked.
const DISTRUST: Duration = Duration::from_secs(2);
/// Time within which the holder of a grant must have reported it.
const GRANT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Random cost in a choice, as a share of an engine.
const JITTER: f64 = 0.03;
/// Random cost of a prefill engine, in milliseconds of backlog.
const JITTER_MS: f64 = 10.0;
/// Gain of an engine that keeps the prompt, as a share of an engine; elsewhere it has to be copied.
const KEPT: f64 = 0.2;
/// Cost of a faulty decode engine, as a share of an engine: a lost answer is repeated elsewhere in a
/// few milliseconds, which a wait for room is not worth.
const FAULTY: f64 = 0.4;
/// Cost of an engine at which all requests fail. It exceeds a whole engine, since an engine that fails
/// at once is always empty.
const FAILING: f64 = 1.5;
/// Largest answer in bytes.
const ANSWER_BYTES: usize = 16 * 1_024;

/// Question for a place.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Query {
    /// Id of the request.
    pub(crate) id: String,
    /// Name of the asking host.
    pub(crate) host: String,
    pub(crate) service: String,
    /// Customer to charge.
    pub(crate) customer: Option<String>,
    /// Tokens to charge; none when the generation was charged before.
    pub(crate) tokens: u64,
    pub(crate) run: Run,
    pub(crate) priority: u8,
    /// Time left until the latest start that meets the objective; negative when it has passed.
    pub(crate) start_in_ms: i64,
    /// Time left until it is hopeless.
    pub(crate) hopeless_in_ms: i64,
    /// Endpoints that are not to be given.
    pub(crate) tried: Vec<String>,
    /// Endpoints that the asker has had trouble with a moment ago.
    pub(crate) doubtful: Vec<(String, Suspicion)>,
    /// Id of the engine that failed the request since the question before.
    pub(crate) failed: Option<String>,
    /// Whether an engine that reads the prompt is wanted as well.
    pub(crate) prefill: bool,
    /// Last part of a prompt that an engine may keep still.
    pub(crate) part: Option<Part>,
}

/// Answer to a question for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Verdict {
    /// A place at an engine; the number is to be reported with the run.
    Granted {
        endpoint: String,
        grant: Grant,
        prefill: Option<String>,
        /// The engine that keeps parts of the prompt, which need not be the one above.
        parts_at: Option<String>,
    },
    /// Nothing yet; ask again.
    Pending,
    /// The queue is too long; the time until it is not.
    Full { wait_ms: u64 },
    /// It could not finish in time.
    Hopeless,
    /// The customer is over its limit; the time until it is not.
    OverQuota { wait_ms: u64 },
}

/// Waiting generations of one service.
#[derive(Debug)]
pub(crate) struct Waitlist {
    queue: Queue,
    turns: HashMap<Ticket, Turn>,
}

/// How a waiting generation gets its place.
#[derive(Debug)]
struct Turn {
    sender: oneshot::Sender<(Key, Grant)>,
    /// Engines that are not to be given.
    tried: Vec<Key>,
    /// The engine that keeps parts of the prompt.
    kept_at: Option<Key>,
}

impl Waitlist {
    fn new() -> Self {
        Self {
            queue: Queue::new(WAITING),
            turns: HashMap::new(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

/// Removes a waiting generation whose asker is gone.
struct Waiting<'a, D, S> {
    host: &'a Rc<Host<D, S>>,
    service: &'a str,
    ticket: Ticket,
}

impl<D, S> Drop for Waiting<'_, D, S> {
    fn drop(&mut self) {
        if let Some(waitlist) = self.host.waitlists.borrow_mut().get_mut(self.service) {
            waitlist.queue.remove(self.ticket);
            waitlist.turns.remove(&self.ticket);
        }
    }
}

/// The host to ask; `None` means this one.
pub(crate) fn leader<D, S>(host: &Host<D, S>) -> Option<SocketAddr> {
    let now = now();
    let own = host.options.address;
    let view = host.view.borrow();
    let leader_cooldowns = host.leader_cooldowns.borrow();
    let first = view
        .live(now)
        .filter(|(address, report)| {
            report.leads
                && !report.leaving
                && leader_cooldowns
                    .get(address)
                    .is_none_or(|until| *until <= now)
        })
        .map(|(address, _)| address)
        .min()?;
    (first.ip() < own || !host.leads(now)).then_some(first)
}

/// Asks for a place until there is one or none is to be had.
pub(crate) async fn place<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    mut query: Query,
) -> Verdict {
    let started = now();
    let (start_in, hopeless_in) = (query.start_in_ms, query.hopeless_in_ms);
    loop {
        let waited = now().since(started).as_millis() as i64;
        query.start_in_ms = start_in - waited;
        query.hopeless_in_ms = hopeless_in - waited;
        let verdict = match leader(host) {
            None => decide(host, &query).await,
            Some(leader) => match remote(host, leader, &query).await {
                Ok(verdict) => verdict,
                Err(error) => {
                    tracing::info!(%leader, %error, "admission: leader lost");
                    host.leader_cooldowns
                        .borrow_mut()
                        .insert(leader, now() + DISTRUST);
                    continue;
                }
            },
        };
        if verdict != Verdict::Pending {
            return verdict;
        }
        // It was counted by the host that answered.
        query.failed = None;
    }
}

async fn remote<D, S>(
    host: &Host<D, S>,
    leader: SocketAddr,
    query: &Query,
) -> eyre::Result<Verdict> {
    let body = rmp_serde::to_vec(query)?;
    let request = http::Request::post(PATH)
        .header(http::header::HOST, "peer")
        .body(http_body_util::Full::new(Bytes::from(body)))?;
    let patience = Timeouts {
        connect: ANSWER_PATIENCE,
        head: ROUND + ANSWER_PATIENCE,
        max_idle: Duration::MAX,
    };
    let mut exchange = host.pool.send(leader, request, patience).await?;
    let body = exchange.read(ANSWER_BYTES, ANSWER_PATIENCE).await?;
    if !exchange.status.is_success() {
        eyre::bail!("status {}", exchange.status);
    }
    Ok(rmp_serde::from_slice(&body)?)
}

/// Path of the question among hosts.
pub(crate) const PATH: &str = "/v1/place";

/// Answers the question of another host; `None` if it is malformed.
pub(crate) async fn answer<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    body: &[u8],
) -> Option<Bytes> {
    let query: Query = rmp_serde::from_slice(body).ok()?;
    for (id, suspicion) in &query.doubtful {
        let key = host.directory.borrow().key(id);
        if let Some(key) = key {
            host.suspect(key, *suspicion);
        }
    }
    let verdict = decide(host, &query).await;
    tracing::info!(
        id = query.id,
        host = query.host,
        customer = query.customer,
        ?verdict,
        "admission: decided for a peer"
    );
    rmp_serde::to_vec(&verdict).ok().map(Bytes::from)
}

/// Decides about a question.
async fn decide<D: Dialect, S: Store>(host: &Rc<Host<D, S>>, query: &Query) -> Verdict {
    let now = now();
    let failed = query.failed.as_deref();
    if let Some(key) = failed.and_then(|id| host.directory.borrow().key(id)) {
        host.health.borrow_mut().lost(now, key);
    }
    if let Some(customer) = query.customer.as_deref().filter(|_| query.tokens > 0) {
        let taken = host.charge(now, customer, query.tokens, Class::Generation);
        if let Err(wait) = taken {
            return Verdict::OverQuota {
                wait_ms: wait.as_millis() as u64,
            };
        }
    }
    let mut refund = Refund {
        host,
        query,
        due: true,
    };
    let verdict = place_or_queue(host, query, now).await;
    refund.due = !matches!(verdict, Verdict::Granted { .. });
    verdict
}

/// Gives the customer's tokens back unless a place was granted, also when the asker goes away.
struct Refund<'a, D, S> {
    host: &'a Rc<Host<D, S>>,
    query: &'a Query,
    due: bool,
}

impl<D, S> Drop for Refund<'_, D, S> {
    fn drop(&mut self) {
        let customer = self.query.customer.as_deref();
        if let Some(customer) = customer.filter(|_| self.due && self.query.tokens > 0) {
            self.host
                .quotas
                .borrow_mut()
                .refund(now(), customer, self.query.tokens);
        }
    }
}

async fn place_or_queue<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    query: &Query,
    now: Instant,
) -> Verdict {
    let waiting = host
        .waitlists
        .borrow()
        .get(&query.service)
        .is_some_and(|waitlist| !waitlist.is_empty());
    let tried: Vec<Key> = {
        let directory = host.directory.borrow();
        query
            .tried
            .iter()
            .filter_map(|id| directory.key(id))
            .collect()
    };
    let repeated = !query.tried.is_empty();
    let kept_at = match query.part {
        Some(part) => locate::find_engine(host, &query.service, part).await,
        None => None,
    };
    let free = if waiting && !repeated {
        None
    } else {
        best(
            host,
            &query.service,
            query.run,
            &tried,
            kept_at,
            f64::INFINITY,
        )
    };
    if let Some(key) = free {
        let grant = host
            .ledger
            .borrow_mut()
            .grant(key, query.run, now + GRANT_LIFETIME);
        return granted(host, query, key, grant, kept_at);
    }
    match wait(host, query, tried, kept_at, now).await {
        Ok((key, grant)) => granted(host, query, key, grant, kept_at),
        Err(verdict) => verdict,
    }
}

fn granted<D, S>(
    host: &Host<D, S>,
    query: &Query,
    key: Key,
    grant: Grant,
    kept_at: Option<Key>,
) -> Verdict {
    let directory = host.directory.borrow();
    let Some(endpoint) = directory.get(key).cloned() else {
        return Verdict::Pending;
    };
    host.health.borrow_mut().given(now(), key);
    let parts_at = kept_at.and_then(|kept_at| Some(directory.get(kept_at)?.id.clone()));
    drop(directory);
    let prefill = if query.prefill && kept_at.is_none() {
        prefill(host, query, &endpoint)
    } else {
        None
    };
    Verdict::Granted {
        endpoint: endpoint.id,
        grant,
        prefill,
        parts_at,
    }
}

/// Waits for a turn, until a round after the question came.
async fn wait<D, S>(
    host: &Rc<Host<D, S>>,
    query: &Query,
    tried: Vec<Key>,
    kept_at: Option<Key>,
    now: Instant,
) -> Result<(Key, Grant), Verdict> {
    let waiter = Waiter {
        priority: query.priority,
        start_by: shifted(now, query.start_in_ms),
        hopeless_at: shifted(now, query.hopeless_in_ms),
        run: query.run,
    };
    let (sender, turn) = oneshot::channel();
    let ticket = {
        let mut waitlists = host.waitlists.borrow_mut();
        let waitlist = waitlists
            .entry(query.service.clone())
            .or_insert_with(Waitlist::new);
        let ticket = waitlist
            .queue
            .push(now, waiter)
            .map_err(|refusal| match refusal {
                Refusal::Full(wait) => Verdict::Full {
                    wait_ms: wait.as_millis() as u64,
                },
                Refusal::Hopeless => Verdict::Hopeless,
            })?;
        let turn = Turn {
            sender,
            tried,
            kept_at,
        };
        waitlist.turns.insert(ticket, turn);
        ticket
    };
    let _waiting = Waiting {
        host,
        service: &query.service,
        ticket,
    };
    host.capacity_freed.notify_one();
    let left = (now + ROUND).since(self::now());
    match timeout(left, turn).await {
        Ok(Ok(place)) => Ok(place),
        Ok(Err(_)) => Err(Verdict::Hopeless),
        Err(_) => Err(Verdict::Pending),
    }
}

fn shifted(now: Instant, by_ms: i64) -> Instant {
    Instant::from_millis(now.as_millis().saturating_add_signed(by_ms))
}

/// Properties of the engines of a service.
pub(crate) fn engine<D, S>(host: &Host<D, S>, service: &str) -> Option<Engine> {
    host.fleet.borrow().as_ref()?.services.get(service)?.engine
}

/// The decode engine with the most room for a generation, filled to at most `fill`.
fn best<D, S>(
    host: &Host<D, S>,
    service: &str,
    run: Run,
    tried: &[Key],
    kept_at: Option<Key>,
    fill: f64,
) -> Option<Key> {
    let engine = engine(host, service)?;
    peer::refresh_peer_load(host);
    let now = now();
    let health = host.health.borrow();
    let ledger = host.ledger.borrow();
    let cost = |key, endpoint: &Endpoint, suspicion| {
        let fault = match suspicion {
            None => 0.0,
            Some(Suspicion::Faulty) => FAULTY,
            Some(Suspicion::Silent) => LAST_RESORT_COST,
        };
        let room = Room {
            slots: engine.slots.min(endpoint.slots),
            capacity: u64::from(engine.capacity),
        };
        let mut runs: Vec<Run> = ledger.runs(key).collect();
        runs.push(run);
        let share = room.share(&mut runs).filter(|share| *share <= fill)?;
        let failing = health.failing(now, key) * FAILING;
        let saved = if kept_at == Some(key) { KEPT } else { 0.0 };
        Some(share + fault + failing + jitter(JITTER) - saved)
    };
    host.choose(service, Some(Stage::Decode), tried, cost)
        .map(|(key, _)| key)
}

/// The engine that reads the prompt soonest, preferably in the data centre of the decode engine.
fn prefill<D, S>(host: &Host<D, S>, query: &Query, decode: &Endpoint) -> Option<String> {
    let now = now();
    let (key, endpoint) = {
        let backlogs = host.backlogs.borrow();
        let cost = |key, endpoint: &Endpoint, suspicion| {
            let is_near = endpoint.data_centre == decode.data_centre;
            Some(backlogs.cost(now, key, is_near, suspicion)? + jitter(JITTER_MS))
        };
        host.choose(&query.service, Some(Stage::Prefill), &[], cost)?
    };
    let time = Duration::from_secs_f64(f64::from(query.run.held) * PREFILL_MS_PER_TOKEN / 1_000.0);
    host.backlogs.borrow_mut().add(now, key, time);
    Some(endpoint.id)
}

/// Gives room to waiting generations, in the order of the queue.
pub(crate) fn dispatch<D, S>(host: &Host<D, S>) {
    let now = now();
    let services: Vec<String> = host.waitlists.borrow().keys().cloned().collect();
    for service in services {
        while let Some((ticket, waiter, timely)) = next(host, &service, now) {
            let fill = if timely { f64::INFINITY } else { LATE_FILL };
            let mut waitlists = host.waitlists.borrow_mut();
            let Some(waitlist) = waitlists.get_mut(&service) else {
                break;
            };
            let Some(turn) = waitlist.turns.get(&ticket) else {
                waitlist.queue.remove(ticket);
                continue;
            };
            let place = best(host, &service, waiter.run, &turn.tried, turn.kept_at, fill);
            let Some(key) = place else {
                break;
            };
            waitlist.queue.start(now, ticket);
            let Some(turn) = waitlist.turns.remove(&ticket) else {
                continue;
            };
            let mut ledger = host.ledger.borrow_mut();
            let grant = ledger.grant(key, waiter.run, now + GRANT_LIFETIME);
            if turn.sender.send((key, grant)).is_err() {
                ledger.settle(grant);
            }
        }
    }
}

/// The generation that goes next, after those without hope are taken out.
fn next<D, S>(host: &Host<D, S>, service: &str, now: Instant) -> Option<(Ticket, Waiter, bool)> {
    let mut waitlists = host.waitlists.borrow_mut();
    let waitlist = waitlists.get_mut(service)?;
    for ticket in waitlist.queue.expire(now) {
        waitlist.turns.remove(&ticket);
    }
    waitlist.queue.first(now)
}
