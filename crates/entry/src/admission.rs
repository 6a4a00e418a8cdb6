//! Admission of generations: one host, the leader, assigns them to engines for all hosts.
//!
//! With gossip alone each host learns the others' reservations one report late, and at sixty hosts
//! engines were overloaded in every burst. The leader keeps the queue and counts every reservation at
//! once. Leadership needs no consensus: each host queries the live host with the lowest address, and
//! when that host does not answer, the next one or itself. Two leaders at a time only cause some
//! refusals by engines.

use std::collections::HashMap;
use std::io::Cursor;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::origin::Progress;
use berylknot_coordination::prefix;
use berylknot_coordination::share::{Shares, Tag};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::assignment::{Reading, best_decode, best_prefill, held, holder};
use crate::backlog;
use crate::directory::{Key, Stage};
use crate::fleet::Engine;
use crate::health::Suspicion;
use crate::http::{Error as ExchangeError, Timeouts};
use crate::ledger::{Grant, Run, peak};
use crate::listings;
use crate::locate;
use crate::offers::{self, Ask};
use crate::own;
use crate::parts::Part;
use crate::platform::{Dialect, Store};
use crate::quota::Class;
use crate::refusal::Reason;
use crate::state::{Host, now};
use crate::versions::{self, Constraint};
use crate::waiting::{MAX_LATE_FILL, Queue, Refusal, Ticket, Waiter};

/// Largest queue of one service. The expected wait usually bounds the queue long before.
const QUEUE_LIMIT: usize = 1_024;
/// Longest time the leader holds a query (long poll). The sender then repeats it with its original
/// deadlines, so a failed leader is detected within this time.
pub(crate) const LONG_POLL: Duration = Duration::from_millis(350);
/// Timeout of a query beyond the long poll.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Shortest wait for tokens of a customer.
const MIN_QUOTA_WAIT: Duration = Duration::from_millis(10);
/// Cooldown of a leader that did not answer.
const LEADER_COOLDOWN: Duration = Duration::from_secs(2);
/// Interval between checks whether a host that has just started has heard from its peers.
const INTRODUCTION_POLL: Duration = Duration::from_millis(20);
/// Lifetime of a grant whose holder has not reported it.
const GRANT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Largest accepted response of the leader.
const MAX_ANSWER_BYTES: usize = 16 * 1_024;

/// Request to the leader to assign a generation to engines.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Query {
    /// Id of the request.
    pub(crate) id: String,
    /// Name of the sending host.
    pub(crate) host: String,
    pub(crate) service: String,
    /// Customer to charge.
    pub(crate) customer: Option<String>,
    /// Tokens to charge; 0 if the generation has already been charged.
    pub(crate) tokens: u64,
    pub(crate) run: Run,
    pub(crate) priority: u8,
    /// Time left until the latest start that meets the latency objective; negative once passed.
    pub(crate) start_in_ms: i64,
    /// Time left until the latest start that can finish before the deadline.
    pub(crate) hopeless_in_ms: i64,
    /// Endpoints to exclude because the request already failed there.
    pub(crate) tried: Vec<String>,
    /// Endpoints that want no requests of the sender.
    pub(crate) barred: Vec<String>,
    /// Endpoints that the sender currently suspects.
    pub(crate) doubtful: Vec<(String, Suspicion)>,
    /// Id of the engine that has failed the request since the previous query.
    pub(crate) failed: Option<String>,
    /// Engines that have refused generations of the sender since its previous query, and the tokens
    /// that each of these would have occupied.
    pub(crate) refused: Vec<(String, u32)>,
    /// Whether to choose a prefill engine too.
    pub(crate) prefill: bool,
    /// Parts of the prompt.
    pub(crate) prompt: Vec<Part>,
    /// Software versions of engines at which the generation may start.
    pub(crate) constraint: Constraint,
    /// Last part of the prompt, if an engine may still have the prompt in its KV cache.
    pub(crate) part: Option<Part>,
}

/// What follows a [`Query`] in the same body. Builds up to 8a62be6 read the query and leave it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Supplement {
    /// Tokens of the parts of the prompt.
    pub(crate) part_tokens: Vec<u32>,
    /// The query's number, which follows the rest. Builds up to 06854e7 do not state it; they neither list
    /// streams that have begun nor decline what they do not use.
    #[serde(skip)]
    pub(crate) ask: Option<Ask>,
}

/// Answer to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Verdict {
    /// Capacity reserved at an engine; the holder reports the grant number with its run.
    Granted {
        endpoint: String,
        grant: Grant,
        prefill: Option<String>,
        /// Engine that has parts of the prompt in its KV cache; may differ from `endpoint`.
        parts_at: Option<String>,
    },
    /// No capacity within the long poll; query again.
    Pending,
    /// The queue is full; `wait_ms` is the expected time until it drains.
    Full { wait_ms: u64 },
    /// The generation cannot finish before its deadline.
    Hopeless,
    /// The stream that the caller takes up began at a software version that nobody knows.
    UnknownVersion,
    /// The store would have to tell that version, or to list the stream, and does not answer.
    StoreAway,
    /// No engine is left of the software version that began the stream.
    VersionGone,
    /// Engines crash on a part of the prompt.
    Crashes { part: Part },
    /// The customer exceeds its quota; `wait_ms` is the time until its tokens are available.
    OverQuota { wait_ms: u64 },
}

/// Minimum `Retry-After` of a rejected generation, by when an engine may have room.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(800);

impl Verdict {
    /// How a verdict without a grant is told to the caller: the reason, and the time until a retry may succeed.
    pub(crate) fn refusal(&self) -> (Reason, Option<Duration>) {
        match self {
            Self::Granted { .. } | Self::Pending => {
                (Reason::EndpointsRefused, Some(MIN_RETRY_AFTER))
            }
            Self::Full { wait_ms } => {
                let wait = Duration::from_millis(*wait_ms).max(MIN_RETRY_AFTER);
                (Reason::QueueFull, Some(wait))
            }
            Self::OverQuota { wait_ms } => {
                (Reason::OverQuota, Some(Duration::from_millis(*wait_ms)))
            }
            Self::StoreAway => (Reason::StoreAway, Some(MIN_RETRY_AFTER)),
            Self::UnknownVersion => (Reason::UnknownVersion, None),
            Self::VersionGone => (Reason::VersionGone, None),
            Self::Crashes { .. } => (Reason::CrashesEndpoints, None),
            Self::Hopeless => (Reason::Hopeless, None),
        }
    }
}

impl From<Refusal> for Verdict {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Full(wait) => Self::Full {
                wait_ms: wait.as_millis() as u64,
            },
            Refusal::Hopeless => Self::Hopeless,
        }
    }
}

/// Generations of a service that wait for the same engines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Line {
    service: String,
    /// Software version of the engines; `None` if any will do.
    version: Option<String>,
}

impl Line {
    pub(crate) const fn new(service: String, version: Option<String>) -> Self {
        Self { service, version }
    }

    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    pub(crate) fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }
}

/// Whether generations of a service are queued.
pub(crate) fn waits<D, S>(host: &Host<D, S>, service: &str) -> bool {
    let waitlists = host.waitlists.borrow();
    let mut lines = waitlists.iter();
    lines.any(|(line, waitlist)| line.service == service && !waitlist.is_empty())
}

/// Whether generations of a line are queued.
pub(crate) fn is_waiting<D, S>(host: &Host<D, S>, line: &Line) -> bool {
    let waitlists = host.waitlists.borrow();
    let waitlist = waitlists.get(line);
    waitlist.is_some_and(|waitlist| !waitlist.is_empty())
}

/// Queued generations of one line and the tasks that wait for them.
#[derive(Debug)]
pub(crate) struct Waitlist {
    queue: Queue,
    entries: HashMap<Ticket, Entry>,
    /// Shares of the customers, by request id.
    shares: Shares<String, String>,
}

/// Queue entry: the task that waits for the generation, and the constraints on its engine.
#[derive(Debug)]
struct Entry {
    sender: oneshot::Sender<(Key, Grant)>,
    /// Engines to exclude.
    tried: Vec<Key>,
    /// Engine that has parts of the prompt in its KV cache.
    cached_at: Option<Key>,
}

impl Waitlist {
    fn new() -> Self {
        Self {
            queue: Queue::new(QUEUE_LIMIT),
            entries: HashMap::new(),
            shares: Shares::default(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) const fn queue(&self) -> &Queue {
        &self.queue
    }

    pub(crate) const fn shares(&self) -> &Shares<String, String> {
        &self.shares
    }
}

/// Removes a generation from the queue when its task ends, also when the sender disconnects.
struct QueueGuard<'a, D, S> {
    host: &'a Rc<Host<D, S>>,
    line: Line,
    ticket: Ticket,
    request: String,
}

impl<D, S> Drop for QueueGuard<'_, D, S> {
    fn drop(&mut self) {
        if let Some(waitlist) = self.host.waitlists.borrow_mut().get_mut(&self.line) {
            if let Some(waiter) = waitlist.queue.remove(self.ticket) {
                let request = std::mem::take(&mut self.request);
                waitlist.shares.park(now(), request, waiter.turn);
            }
            waitlist.entries.remove(&self.ticket);
        }
    }
}

/// The host to query; `None` if this host decides itself.
pub(crate) fn leader<D, S>(host: &Host<D, S>) -> Option<SocketAddr> {
    let now = now();
    let cooldowns = host.leader_cooldowns.borrow();
    let is_cooling = |address| cooldowns.get(&address).is_some_and(|until| *until > now);
    host.view
        .borrow()
        .leader(now, host.options.address, host.rank(now), is_cooling)
}

/// Requests admission of a generation that runs for at most `longest_run`: queries the leader until it
/// grants or refuses. A stopping host waits only for as long as the generation still ends before its exit.
pub(crate) async fn admit<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    mut query: Query,
    supplement: &Supplement,
    longest_run: impl Fn() -> Duration,
) -> Verdict {
    let started = now();
    let (start_in, hopeless_in) = (query.start_in_ms, query.hopeless_in_ms);
    loop {
        let latest_start = host.shutdown.get().latest_start(longest_run());
        if latest_start.is_some_and(|latest| now() > latest) {
            return Verdict::Hopeless;
        }
        if host.is_introducing(now()) {
            tokio::time::sleep(INTRODUCTION_POLL).await;
            host.count_hosts(now());
            continue;
        }
        let waited = now().since(started).as_millis() as i64;
        query.start_in_ms = start_in - waited;
        let exit_in = latest_start.map_or(i64::MAX, |latest| millis_until(now(), latest));
        query.hopeless_in_ms = (hopeless_in - waited).min(exit_in);
        let leader = leader(host);
        // A leader of an older build goes by the engines that it assigned, so this host finds the version.
        if leader.is_some()
            && host.published.leader_is_older.get()
            && let Constraint::TakenUp(_) = query.constraint
        {
            match version(host, &query).await {
                Ok(Some(version)) => query.constraint = Constraint::Version(version),
                Ok(None) => {}
                Err(verdict) => return verdict,
            }
        }
        let verdict = match leader {
            None => decide(host, &query, supplement).await,
            Some(leader) => match query_leader(host, leader, &query, supplement).await {
                Ok(verdict) => verdict,
                Err(error) => {
                    tracing::info!(%leader, %error, "admission: leader lost");
                    cool_down(host, leader);
                    continue;
                }
            },
        };
        if verdict != Verdict::Pending {
            return verdict;
        }
        // The host that answered has counted the failure.
        query.failed = None;
        query.refused.clear();
    }
}

/// Skips a leader that did not answer for a while.
pub(crate) fn cool_down<D, S>(host: &Host<D, S>, leader: SocketAddr) {
    host.leader_cooldowns
        .borrow_mut()
        .insert(leader, now() + LEADER_COOLDOWN);
}

async fn query_leader<D, S>(
    host: &Host<D, S>,
    leader: SocketAddr,
    query: &Query,
    supplement: &Supplement,
) -> eyre::Result<Verdict> {
    let pending = host.offers.begin(host.incarnation, leader);
    let supplement = Supplement {
        ask: Some(pending.ask),
        ..supplement.clone()
    };
    let body = encode(query, &supplement)?;
    let timeouts = Timeouts {
        connect: ANSWER_TIMEOUT,
        head: LONG_POLL + ANSWER_TIMEOUT,
        max_idle: Duration::MAX,
    };
    let (read, limit) = (ANSWER_TIMEOUT, MAX_ANSWER_BYTES);
    let answer = own::ask_with(&host.pool, leader, PATH, body, timeouts, read, limit).await;
    let is_unsent =
        |error: &eyre::Report| matches!(error.downcast_ref(), Some(ExchangeError::NotSent(_)));
    // Otherwise the leader may decide on it later, for nobody.
    if answer.as_ref().err().is_none_or(is_unsent) {
        pending.end();
    }
    answer
}

/// Encodes a query and what follows it.
pub(crate) fn encode(query: &Query, supplement: &Supplement) -> eyre::Result<Vec<u8>> {
    let mut body = rmp_serde::to_vec(query)?;
    body.extend(rmp_serde::to_vec(supplement)?);
    body.extend(rmp_serde::to_vec(&supplement.ask)?);
    Ok(body)
}

/// Decodes a query and what follows it; `None` if it is malformed.
pub(crate) fn decode(body: &[u8]) -> Option<(Query, Supplement)> {
    let mut cursor = Cursor::new(body);
    let query: Query = rmp_serde::from_read(&mut cursor).ok()?;
    let mut supplement: Supplement = rmp_serde::from_read(&mut cursor).unwrap_or_default();
    supplement.ask = rmp_serde::from_read(&mut cursor).unwrap_or_default();
    Some((query, supplement))
}

/// Path of admission queries between hosts.
pub(crate) const PATH: &str = "/v1/place";

/// Answers the query of another host; `None` if it is malformed.
pub(crate) async fn answer<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    body: &[u8],
) -> Option<Bytes> {
    let (query, supplement) = decode(body)?;
    for (id, suspicion) in &query.doubtful {
        let key = host.directory.borrow().key(id);
        if let Some(key) = key {
            host.suspect(key, *suspicion);
            if *suspicion == Suspicion::Silent {
                host.found_silent(key, &query.host);
            }
        }
    }
    let verdict = if offers::is_declined(host, supplement.ask) {
        Verdict::Pending
    } else {
        decide(host, &query, &supplement).await
    };
    offers::note(host, supplement.ask, &query, &verdict);
    tracing::info!(
        id = query.id,
        host = query.host,
        customer = query.customer,
        ?verdict,
        "admission: decided for a peer"
    );
    rmp_serde::to_vec(&verdict).ok().map(Bytes::from)
}

/// Charges the customer and admits the generation; refunds the charge unless a grant results.
async fn decide<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    query: &Query,
    supplement: &Supplement,
) -> Verdict {
    let now = now();
    let failed = query.failed.as_deref();
    if let Some(key) = failed.and_then(|id| host.directory.borrow().key(id)) {
        host.health.borrow_mut().request_failed(now, key);
    }
    note_refusals(host, now, &query.refused);
    let may_try = query.tried.is_empty() && !host.quotas.borrow().is_partitioned();
    let version = match version(host, query).await {
        Ok(version) => version,
        Err(verdict) => return verdict,
    };
    let admitted = host
        .suspects
        .borrow_mut()
        .admit(now, &query.id, &query.prompt, may_try);
    if let Err(part) = admitted {
        return Verdict::Crashes { part };
    }
    if let Some(customer) = query.customer.as_deref().filter(|_| query.tokens > 0) {
        let taken = match query.constraint {
            Constraint::None => host.charge(now, customer, query.tokens, Class::Generation),
            Constraint::Version(_) | Constraint::TakenUp(_) => {
                charge_resumption(host, query, customer, now).await
            }
        };
        if let Err(wait) = taken {
            let hopeless_at = shifted(now, query.hopeless_in_ms);
            if query.constraint != Constraint::None && self::now() + wait < hopeless_at {
                return Verdict::Pending;
            }
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
    let prompt = prompt(query, supplement);
    let mut verdict = grant_or_queue(host, query, &prompt, version, now).await;
    if let Verdict::Granted {
        endpoint, grant, ..
    } = &verdict
        && let Err(refused) = list(host, query, supplement, endpoint, now).await
    {
        host.ledger.borrow_mut().settle(*grant);
        host.capacity_freed.notify_one();
        verdict = refused;
    }
    if query.prefill && matches!(verdict, Verdict::Granted { .. }) {
        let mut demand = host.demand.borrow_mut();
        let demand = demand.entry(query.service.clone()).or_default();
        demand.count(self::now());
    }
    refund.due = !matches!(verdict, Verdict::Granted { .. });
    verdict
}

/// Software version to which a generation is bound; `None` if any will do.
///
/// # Errors
/// Fails with the verdict on a stream whose version is not known, or that no engine runs.
pub(crate) async fn version<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    query: &Query,
) -> Result<Option<String>, Verdict> {
    let version = match &query.constraint {
        Constraint::None => return Ok(None),
        Constraint::Version(version) => version.clone(),
        Constraint::TakenUp(stream) => {
            let find = versions::find(host, &query.service, stream.as_deref());
            match timeout(LONG_POLL, find).await {
                Ok(Ok(Some(version))) => version,
                Ok(Ok(None)) => return Err(Verdict::UnknownVersion),
                Ok(Err(error)) => {
                    tracing::info!(id = query.id, %error, "versions: origin of the stream not read");
                    return Err(Verdict::StoreAway);
                }
                Err(_) => return Err(Verdict::StoreAway),
            }
        }
    };
    if !serves(host, &query.service, &version) {
        return Err(Verdict::VersionGone);
    }
    Ok(Some(version))
}

/// Keeps a stream listed that its caller takes up. Lists one that begins only for a host of an older build:
/// others do so when its first event comes.
///
/// # Errors
/// Fails with the verdict that replaces the grant when the log does not list it in time.
async fn list<D, S>(
    host: &Host<D, S>,
    query: &Query,
    supplement: &Supplement,
    endpoint: &str,
    arrived: Instant,
) -> Result<(), Verdict> {
    let found = host.directory.borrow().find(endpoint);
    let Some((_, endpoint)) = found else {
        return Err(Verdict::Pending);
    };
    match &query.constraint {
        Constraint::TakenUp(Some(stream)) => {
            listings::renew(host, &query.service, stream, &endpoint.version);
            return Ok(());
        }
        Constraint::None if supplement.ask.is_none() => {}
        Constraint::None | Constraint::TakenUp(None) | Constraint::Version(_) => return Ok(()),
    }
    let deadline = arrived + LONG_POLL + ANSWER_TIMEOUT / 2;
    let listing = listings::assign(host, &query.service, &query.id, &endpoint.version, deadline);
    match listing.await {
        Progress::Listed => Ok(()),
        Progress::Pending | Progress::Told | Progress::Refused => Err(Verdict::Pending),
        Progress::Doubtful => Err(Verdict::StoreAway),
    }
}

/// Tokens of a customer that a stream waits for, to be resumed; they are reserved until dropped.
struct Awaited<'a, D, S> {
    host: &'a Rc<Host<D, S>>,
    customer: &'a str,
    tokens: u64,
}

impl<D, S> Drop for Awaited<'_, D, S> {
    fn drop(&mut self) {
        let mut quotas = self.host.quotas.borrow_mut();
        quotas.end_wait(self.customer, self.tokens);
    }
}

/// Charges the customer for a stream that is to be resumed, and waits for the tokens within the long
/// poll: its caller has read a part of the answer and returns only a few times.
async fn charge_resumption<D, S>(
    host: &Rc<Host<D, S>>,
    query: &Query,
    customer: &str,
    arrived: Instant,
) -> crate::quota::Result<()> {
    let charge = || host.charge(now(), customer, query.tokens, Class::Resumption);
    let Err(mut wait) = charge() else {
        return Ok(());
    };
    host.quotas.borrow_mut().begin_wait(customer, query.tokens);
    let _awaited = Awaited {
        host,
        customer,
        tokens: query.tokens,
    };
    let until = arrived + LONG_POLL;
    loop {
        let left = until.since(now());
        if left.is_zero() {
            return Err(wait);
        }
        tokio::time::sleep(wait.clamp(MIN_QUOTA_WAIT, left.max(MIN_QUOTA_WAIT))).await;
        match charge() {
            Ok(()) => return Ok(()),
            Err(longer) => wait = longer,
        }
    }
}

/// Whether a decode engine of a software version accepts work.
fn serves<D, S>(host: &Host<D, S>, service: &str, version: &str) -> bool {
    let directory = host.directory.borrow();
    let mut ready = directory.ready(service);
    ready.any(|(_, endpoint)| endpoint.stage == Some(Stage::Decode) && endpoint.version == version)
}

/// Bounds what the engines get that have refused generations.
fn note_refusals<D, S>(host: &Host<D, S>, now: Instant, refused: &[(String, u32)]) {
    for (id, tokens) in refused {
        let Some(key) = host.directory.borrow().key(id) else {
            continue;
        };
        // The refused generation still counts as a grant.
        let mut runs: Vec<Run> = host.ledger.borrow().runs(key).collect();
        let held = peak(&mut runs).saturating_sub(u64::from(*tokens));
        host.saturation.borrow_mut().refused(now, key, held);
        tracing::info!(
            endpoint = id,
            held,
            "admission: engine refused a generation; bounded"
        );
    }
}

/// Refunds the customer's tokens on drop unless capacity was granted, also when the sender
/// disconnects.
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

/// Keys of endpoints by id.
pub(crate) fn keys<'a, D, S>(host: &Host<D, S>, ids: impl Iterator<Item = &'a String>) -> Vec<Key> {
    let directory = host.directory.borrow();
    ids.filter_map(|id| directory.key(id)).collect()
}

/// Parts of a prompt with their tokens; empty if the tokens are not known.
pub(crate) fn prompt(query: &Query, supplement: &Supplement) -> Vec<prefix::Part<Part>> {
    if query.prompt.len() != supplement.part_tokens.len() {
        return Vec::new();
    }
    let parts = query.prompt.iter().zip(&supplement.part_tokens);
    parts
        .map(|(id, tokens)| prefix::Part {
            id: *id,
            tokens: *tokens,
        })
        .collect()
}

async fn grant_or_queue<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    query: &Query,
    prompt: &[prefix::Part<Part>],
    version: Option<String>,
    now: Instant,
) -> Verdict {
    let line = Line::new(query.service.clone(), version);
    let waiting = is_waiting(host, &line);
    let tried = keys(host, query.tried.iter().chain(&query.barred));
    let is_retry = !query.tried.is_empty();
    let cached_at = match query.part {
        Some(part) => locate::find_engine(host, &query.service, part).await,
        None => None,
    };
    let preferred = cached_at.or_else(|| holder(host, now, query, prompt));
    let free = if waiting && !is_retry {
        None
    } else {
        best_decode(host, &line, query.run, &tried, preferred, f64::INFINITY)
    };
    if let Some(key) = free {
        let grant = host
            .ledger
            .borrow_mut()
            .grant(key, query.run, now + GRANT_LIFETIME);
        return grant_verdict(host, query, prompt, key, grant, cached_at);
    }
    match wait(host, query, line, tried, preferred, now).await {
        Ok((key, grant)) => grant_verdict(host, query, prompt, key, grant, cached_at),
        Err(verdict) => verdict,
    }
}

fn grant_verdict<D, S>(
    host: &Host<D, S>,
    query: &Query,
    prompt: &[prefix::Part<Part>],
    key: Key,
    grant: Grant,
    cached_at: Option<Key>,
) -> Verdict {
    let directory = host.directory.borrow();
    let Some(endpoint) = directory.get(key).cloned() else {
        return Verdict::Pending;
    };
    host.health.borrow_mut().assigned(now(), key);
    let cached_at = cached_at.and_then(|cached_at| directory.get(cached_at));
    // What two versions write does not fit together.
    let cached_at = cached_at.filter(|cached_at| cached_at.version == endpoint.version);
    let parts_at = cached_at.map(|cached_at| cached_at.id.clone());
    drop(directory);
    let prefill = if query.prefill && parts_at.is_none() {
        let barred = keys(host, query.barred.iter());
        let reading = Reading {
            service: &query.service,
            tokens: query.run.held,
            prompt,
            decode_key: key,
            decode: &endpoint,
        };
        let prefill = best_prefill(host, query, reading, &barred);
        if prefill.is_none() {
            let missing = query
                .run
                .held
                .saturating_sub(held(host, now(), key, prompt));
            let time = backlog::decode_read_time(missing);
            host.backlogs.borrow_mut().add(now(), key, time);
        }
        if let Some(engine) = engine(host, &query.service) {
            let mut prefixes = host.prefixes.borrow_mut();
            prefixes.read(now(), key, prompt, engine.capacity);
        }
        prefill
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

/// Turn of a generation among those that wait, by the share of its customer; the same for all where customers do
/// not share the queue.
fn turn<D, S>(host: &Host<D, S>, waitlist: &mut Waitlist, query: &Query, now: Instant) -> Tag {
    let Some(customer) = query.customer.as_deref() else {
        return Tag::default();
    };
    if !host.options.features.competing_callers {
        return Tag::default();
    }
    if waitlist.is_empty() {
        waitlist.shares.clear();
    }
    let fleet = host.fleet.borrow();
    let mut customers = fleet.iter().flat_map(|fleet| &fleet.customers);
    let known = customers.find(|known| known.name == customer);
    let weight = known.map_or(0.0, |customer| customer.rate as f64);
    let cost = f64::from(query.run.held) + f64::from(query.run.left);
    let customer = customer.to_owned();
    host.metrics.shared_turns.inc();
    waitlist.shares.tag(now, &query.id, customer, cost, weight)
}

/// Place that a generation takes in the queue, without its turn.
pub(crate) fn waiter(query: &Query, now: Instant) -> Waiter {
    Waiter {
        turn: Tag::default(),
        priority: query.priority,
        start_by: shifted(now, query.start_in_ms),
        hopeless_at: shifted(now, query.hopeless_in_ms),
        run: query.run,
    }
}

/// Queues the generation and waits for a grant, until the long poll ends.
async fn wait<D, S>(
    host: &Rc<Host<D, S>>,
    query: &Query,
    line: Line,
    tried: Vec<Key>,
    cached_at: Option<Key>,
    now: Instant,
) -> Result<(Key, Grant), Verdict> {
    let (sender, receiver) = oneshot::channel();
    let ticket = {
        let mut waitlists = host.waitlists.borrow_mut();
        let waitlist = waitlists.entry(line.clone()).or_insert_with(Waitlist::new);
        let waiter = Waiter {
            turn: turn(host, waitlist, query, now),
            ..waiter(query, now)
        };
        let ticket = waitlist.queue.push(now, waiter)?;
        let entry = Entry {
            sender,
            tried,
            cached_at,
        };
        waitlist.entries.insert(ticket, entry);
        ticket
    };
    let _guard = QueueGuard {
        host,
        line,
        ticket,
        request: query.id.clone(),
    };
    host.capacity_freed.notify_one();
    let left = (now + LONG_POLL).since(self::now());
    match timeout(left, receiver).await {
        Ok(Ok(reserved)) => Ok(reserved),
        Ok(Err(_)) => Err(Verdict::Hopeless),
        Err(_) => Err(Verdict::Pending),
    }
}

/// Milliseconds from one instant to another; negative if it has passed.
pub(crate) fn millis_until(from: Instant, to: Instant) -> i64 {
    to.as_millis().cast_signed() - from.as_millis().cast_signed()
}

fn shifted(now: Instant, by_ms: i64) -> Instant {
    Instant::from_millis(now.as_millis().saturating_add_signed(by_ms))
}

/// Configured properties of a service's engines.
pub(crate) fn engine<D, S>(host: &Host<D, S>, service: &str) -> Option<Engine> {
    host.fleet.borrow().as_ref()?.services.get(service)?.engine
}

/// Grants free capacity to queued generations in queue order; streams that have begun go first.
pub(crate) fn dispatch<D, S>(host: &Host<D, S>) {
    let now = now();
    let mut lines: Vec<Line> = host.waitlists.borrow().keys().cloned().collect();
    lines.sort_unstable_by_key(|line| line.version.is_none());
    for line in lines {
        while let Some((ticket, waiter, on_time)) = next_waiter(host, &line, now) {
            let fill = if on_time {
                f64::INFINITY
            } else {
                MAX_LATE_FILL
            };
            let mut waitlists = host.waitlists.borrow_mut();
            let Some(waitlist) = waitlists.get_mut(&line) else {
                break;
            };
            let Some(entry) = waitlist.entries.get(&ticket) else {
                waitlist.queue.remove(ticket);
                continue;
            };
            let reserved =
                best_decode(host, &line, waiter.run, &entry.tried, entry.cached_at, fill);
            let Some(key) = reserved else {
                break;
            };
            waitlist.queue.start(now, ticket);
            waitlist.shares.started(waiter.turn);
            let Some(entry) = waitlist.entries.remove(&ticket) else {
                continue;
            };
            let mut ledger = host.ledger.borrow_mut();
            let grant = ledger.grant(key, waiter.run, now + GRANT_LIFETIME);
            if entry.sender.send((key, grant)).is_err() {
                ledger.settle(grant);
            }
        }
    }
}

/// Drops the generations that can no longer finish in time and returns the head of the queue.
fn next_waiter<D, S>(
    host: &Host<D, S>,
    line: &Line,
    now: Instant,
) -> Option<(Ticket, Waiter, bool)> {
    let mut waitlists = host.waitlists.borrow_mut();
    let waitlist = waitlists.get_mut(line)?;
    for ticket in waitlist.queue.expire(now) {
        waitlist.entries.remove(&ticket);
    }
    waitlist.queue.first(now)
}
