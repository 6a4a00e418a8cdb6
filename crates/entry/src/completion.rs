//! Generations: room at a decode engine, prefill, decode, and resume of a broken stream.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use http::HeaderMap;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::admission::{self, Ask, Verdict, engine};
use crate::call::{CONNECT, refused, spread_after};
use crate::directory::{Endpoint, Key, State};
use crate::events::Events;
use crate::fleet::{Kind, Route};
use crate::health::Doubt;
use crate::http::{Error, Exchange, Patience};
use crate::ledger::Run;
use crate::metrics::Label;
use crate::mix::TOKEN_MS;
use crate::own;
use crate::platform::{Cache, Dialect, Head, Outbound, Store, Tokens};
use crate::refusal::Reason;
use crate::request::{Call, Cut, Reply, answer_headers};
use crate::state::{Host, NO_GRANT, Place, now};

/// Part of the latency objective kept for prefill and transfer once room is found.
const START_SHARE: f64 = 0.35;
/// Part of the latency objective within which the first event of a start without delay arrives, with
/// room for a full engine; a later start is lost on a caller who is about to leave.
const LATEST_START_SHARE: f64 = 0.5;
/// Longest time from a decode request to the head of its answer, after which a resumable stream starts
/// elsewhere. It arrives with the first event, usually within 0.1 s.
const FIRST_EVENT: Duration = Duration::from_millis(1_200);
/// Longest time for a prefill beyond its backlog.
const PREFILL_PATIENCE: Duration = Duration::from_millis(1_500);
/// Longest pause between events, after which a resumable stream goes on elsewhere. Callers leave after
/// 3.6 s.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Sends to decode engines for one attempt of a caller, refused ones included.
const SENDS: usize = 4;
/// Margin before a handle expires within which it is not used any more.
const HANDLE_MARGIN: Duration = Duration::from_millis(60);
/// Largest answer of a prefill in bytes.
const PREFILL_ANSWER_BYTES: usize = 64 * 1_024;
/// Events that wait for a slow caller.
const BUFFERED_EVENTS: usize = 16;
/// Output tokens of a request that does not say how many, and prompt tokens likewise.
const UNSTATED: Tokens = Tokens {
    prompt: 1_000,
    output: 1_000,
};

/// Longest time that a request may reasonably take: the route's timeout for a call, and the time of
/// the largest output for a generation.
pub(crate) fn longest(head: &Head, route: &Route) -> Duration {
    if route.kind != Kind::Streaming {
        return route.timeout;
    }
    let output = head.tokens.unwrap_or(UNSTATED).output;
    (duration(output) + route.target).min(route.timeout)
}

/// Time in which a busy engine makes that many tokens.
fn duration(output: u32) -> Duration {
    Duration::from_secs_f64(f64::from(output) * TOKEN_MS / 1_000.0)
}

/// Tokens of a generation, with the expected output.
fn expected(call: &Call) -> Tokens {
    let stated = call.head.tokens.unwrap_or(UNSTATED);
    let output = call
        .head
        .output_hint
        .map_or(stated.output * 6 / 10, |hint| hint.min(stated.output));
    Tokens {
        prompt: stated.prompt,
        output,
    }
}

/// Serves a generation.
pub(crate) async fn serve<D: Dialect, S: Store>(host: &Rc<Host<D, S>>, call: Rc<Call>) -> Reply {
    match start(host, &call).await {
        Ok(Started {
            run,
            headers,
            status,
        }) => {
            let (sender, events) = mpsc::channel(BUFFERED_EVENTS);
            actix_rt::spawn(relay(Rc::clone(host), call, run, sender));
            Reply::Stream {
                status,
                headers,
                events,
            }
        }
        Err(Failed::Answer(reply)) => reply,
        Err(Failed::Reason(reason, after)) => {
            let left = call.deadline().since(now());
            refused(
                host,
                reason,
                after.map(|after| spread_after(after).min(left / 3)),
            )
        }
    }
}

/// A generation that runs at a decode engine.
struct Running<D, S> {
    exchange: Exchange,
    endpoint: Endpoint,
    place: Place<D, S>,
    runs: u32,
}

struct Started<D, S> {
    run: Running<D, S>,
    status: http::StatusCode,
    headers: HeaderMap,
}

enum Failed {
    Answer(Reply),
    Reason(Reason, Option<Duration>),
}

/// Finds room, reads the prompt and starts the stream.
async fn start<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
) -> Result<Started<D, S>, Failed> {
    let tokens = expected(call);
    let mut wish = Wish {
        tokens,
        priority: call.priority(),
        start_by: call.arrived + call.route().target.mul_f64(1.0 - START_SHARE),
        hopeless_at: hopeless_at(call, tokens, call.arrived),
        is_first: true,
    };
    let mut tried = Vec::new();
    let mut runs = 0;
    let mut sends = 0;
    let mut cache: Option<Kept<D, S>> = None;
    let mut parts_at = None;
    while sends < SENDS && now() < call.deadline() {
        let place = match acquire(host, call, wish, &tried).await {
            Ok(place) => place,
            Err(refused) if wish.is_first => return Err(refused),
            Err(_) => break,
        };
        if sends > 0 && !host.may_repeat(call) {
            break;
        }
        let Acquired {
            place,
            endpoint,
            prefill: reader,
            parts_at: kept_at,
        } = place;
        tried.push(endpoint.id.clone());
        if wish.is_first {
            wish.is_first = false;
            parts_at = kept_at;
            cache = match reader {
                Some(reader) => prefill(host, call, tokens, &reader).await,
                None => None,
            };
        }
        if !is_ready(host, place.key) {
            continue;
        }
        let usable = cache.take().filter(Kept::is_usable);
        let memory = match &usable {
            Some(kept) => Memory::Handle(&kept.cache),
            None => parts_at
                .filter(|address| *address != endpoint.address)
                .map_or(Memory::None, Memory::Parts),
        };
        match decode(host, call, &endpoint, memory, call.head.after_event).await {
            Decoded::Started(exchange) => {
                if let Some(kept) = usable {
                    kept.taken();
                }
                let status = exchange.status;
                let headers = answer_headers(&exchange.headers);
                let run = Running {
                    exchange,
                    endpoint,
                    place,
                    runs: runs + 1,
                };
                return Ok(Started {
                    run,
                    status,
                    headers,
                });
            }
            Decoded::Answered(reply) => return Err(Failed::Answer(reply)),
            Decoded::Refused => {
                sends += 1;
                // Either the engine is full, or the handle lapsed before its time.
                if let Some(kept) = usable {
                    if !kept.offered {
                        host.suspect(kept.key, Doubt::Faulty);
                    }
                    parts_at = Some(kept.cache.address);
                }
                host.metrics.retry("refused");
            }
            Decoded::NotSent => {
                cache = usable;
                host.failed(place.key, Doubt::Silent);
                host.metrics.retry("not_sent");
            }
            Decoded::Lost(doubt) => {
                sends += 1;
                runs += 1;
                // An engine that broke off at once has not taken the prompt yet.
                cache = usable.map(Kept::offered);
                host.failed(place.key, doubt);
                host.metrics.retry("lost");
                if !call.route().resumable || runs >= call.route().attempts {
                    return Err(Failed::Reason(Reason::EndpointLost, None));
                }
            }
        }
    }
    if runs > 0 {
        return Err(Failed::Reason(Reason::EndpointLost, None));
    }
    // The generation was charged and did not run.
    if let Some(customer) = call.customer_name() {
        host.quotas
            .borrow_mut()
            .give_back(now(), customer, call.tokens);
    }
    Err(Failed::Reason(Reason::EndpointsRefused, Some(RETRY)))
}

/// A place at a decode engine.
struct Acquired<D, S> {
    place: Place<D, S>,
    endpoint: Endpoint,
    /// Id of the engine that reads the prompt.
    prefill: Option<String>,
    /// The engine that keeps parts of the prompt.
    parts_at: Option<SocketAddr>,
}

/// What a generation needs.
#[derive(Clone, Copy, Debug)]
struct Wish {
    /// Tokens with the expected output.
    tokens: Tokens,
    /// Rank; 0 is the most urgent.
    priority: u8,
    /// Latest start that meets the latency objective.
    start_by: Instant,
    /// Latest start that is of use.
    hopeless_at: Instant,
    /// Whether it is the first place of the request; the customer is charged for that one only.
    is_first: bool,
}

/// Gets a place at a decode engine.
async fn acquire<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    wish: Wish,
    tried: &[String],
) -> Result<Acquired<D, S>, Failed> {
    let asked = now();
    let tokens = wish.tokens;
    let run = Run {
        held: tokens.prompt,
        left: tokens.output,
    };
    let ask = Ask {
        id: call.head.id.clone(),
        host: host.options.host.clone(),
        service: call.service.clone(),
        customer: call.customer_name().map(str::to_owned),
        tokens: if wish.is_first { call.tokens } else { 0 },
        run,
        priority: wish.priority,
        start_in_ms: until(asked, wish.start_by),
        hopeless_in_ms: until(asked, wish.hopeless_at),
        tried: tried.to_vec(),
        doubtful: host.suspected(),
        prefill: wish.is_first,
        // Other prompts are new to the engines, or were read too long ago.
        part: call
            .head
            .last_part
            .filter(|_| wish.is_first && call.head.after_event.is_some()),
    };
    let verdict = admission::ask(host, ask).await;
    tracing::info!(
        id = call.head.id,
        ?verdict,
        customer = call.customer_name(),
        tokens = call.tokens,
        waited_ms = now().since(asked).as_millis() as u64,
        configuration = call.fleet.version,
        "admission: decided"
    );
    match verdict {
        Verdict::Granted {
            endpoint,
            grant,
            prefill,
            parts_at,
        } => {
            let (known, parts_at) = {
                let directory = host.directory.borrow();
                let known = directory
                    .key(&endpoint)
                    .and_then(|key| Some((key, directory.get(key)?.clone())));
                let parts_at = parts_at
                    .and_then(|id| directory.get(directory.key(&id)?))
                    .map(|endpoint| endpoint.address);
                (known, parts_at)
            };
            // The leader may know an endpoint that this host has not read of yet.
            let (key, endpoint) = known.ok_or(Failed::Reason(Reason::NoEndpoint, Some(RETRY)))?;
            let place = Place::take(host, key, run, grant);
            Ok(Acquired {
                place,
                endpoint,
                prefill,
                parts_at,
            })
        }
        Verdict::Full { wait_ms } => Err(Failed::Reason(
            Reason::QueueFull,
            Some(Duration::from_millis(wait_ms).max(RETRY)),
        )),
        Verdict::OverQuota { wait_ms } => Err(Failed::Reason(
            Reason::OverQuota,
            Some(Duration::from_millis(wait_ms)),
        )),
        Verdict::Hopeless => Err(Failed::Reason(Reason::Hopeless, None)),
        Verdict::Pending => Err(Failed::Reason(Reason::EndpointsRefused, Some(RETRY))),
    }
}

/// Milliseconds from one instant to another; negative if it has passed.
fn until(from: Instant, to: Instant) -> i64 {
    to.as_millis().cast_signed() - from.as_millis().cast_signed()
}

/// Time after which a refused generation may find room.
const RETRY: Duration = Duration::from_millis(800);

fn is_ready<D, S>(host: &Host<D, S>, key: Key) -> bool {
    host.directory
        .borrow()
        .get(key)
        .is_some_and(|endpoint| endpoint.state == State::Ready)
}

/// Latest start that ends before the deadline and begins before the caller, who has had nothing since
/// an instant, abandons the stream.
fn hopeless_at(call: &Call, tokens: Tokens, since: Instant) -> Instant {
    let start = call.route().target.mul_f64(LATEST_START_SHARE);
    let abandoned = since + call.route().patience();
    earlier(call.deadline(), duration(tokens.output) + start).min(earlier(abandoned, start))
}

fn earlier(instant: Instant, by: Duration) -> Instant {
    Instant::from_millis(instant.as_millis().saturating_sub(by.as_millis() as u64))
}

/// KV cache at a prefill engine; it is freed there unless it was taken.
struct Kept<D: Dialect, S: Store> {
    host: Rc<Host<D, S>>,
    cache: Cache,
    /// The engine that keeps it.
    key: Key,
    until: Instant,
    /// Whether an engine may have taken it already.
    offered: bool,
    taken: bool,
}

impl<D: Dialect, S: Store> Kept<D, S> {
    fn is_usable(&self) -> bool {
        now() + HANDLE_MARGIN < self.until
    }

    fn offered(mut self) -> Self {
        self.offered = true;
        self
    }

    fn taken(mut self) {
        self.taken = true;
    }
}

impl<D: Dialect, S: Store> Drop for Kept<D, S> {
    fn drop(&mut self) {
        if self.taken || now() >= self.until {
            return;
        }
        let release = D::release(&self.cache.handle);
        let (pool, address) = (self.host.pool.clone(), self.cache.address);
        actix_rt::spawn(async move {
            let reuse = Duration::MAX;
            let freed = own::send::<D>(
                &pool,
                address,
                None,
                release,
                CONNECT,
                reuse,
                PREFILL_ANSWER_BYTES,
            );
            if let Err(error) = freed.await {
                // The handle expires by itself.
                tracing::debug!(%error, "prefill: handle not freed");
            }
        });
    }
}

/// Has the prompt read at a prefill engine.
async fn prefill<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    tokens: Tokens,
    reader: &str,
) -> Option<Kept<D, S>> {
    let hold = engine(host, &call.service)?.hold;
    let (key, endpoint) = {
        let directory = host.directory.borrow();
        let key = directory.key(reader)?;
        (key, directory.get(key)?.clone())
    };
    let place = Place::take(
        host,
        key,
        Run {
            held: tokens.prompt,
            left: 0,
        },
        NO_GRANT,
    );
    let started = now();
    let outbound = Outbound {
        deadline: call.caller_deadline.since(started),
        endpoint: &endpoint.id,
        customer: call.customer_name(),
        prefill: true,
        cache: None,
        parts_at: None,
        after_event: call.head.after_event,
    };
    let request = call.outbound::<D>(&outbound).ok()?;
    let head = PREFILL_PATIENCE.min(call.deadline().since(started));
    let patience = Patience {
        connect: CONNECT,
        head,
        reuse: Duration::MAX,
    };
    let sent = async {
        let mut exchange = host.pool.send(endpoint.address, request, patience).await?;
        let body = exchange.read(PREFILL_ANSWER_BYTES, head).await?;
        Ok::<_, Error>((
            exchange.status,
            D::answer(exchange.status, &exchange.headers),
            body,
        ))
    };
    let result = sent.await;
    drop(place);
    let (status, answer, body) = match result {
        Ok(result) => result,
        Err(error) => {
            host.budgets.borrow_mut().charge(now(), &call.service);
            host.failed(key, Doubt::from(&error));
            tracing::info!(id = call.head.id, endpoint = endpoint.id, %error, "prefill: failed");
            return None;
        }
    };
    if answer.misdirected {
        host.health.borrow_mut().misdirected(now(), key);
    }
    if !status.is_success() || answer.id.is_some_and(|id| id != call.head.id) {
        host.budgets.borrow_mut().charge(now(), &call.service);
        host.suspect(key, Doubt::Faulty);
        tracing::info!(
            id = call.head.id,
            endpoint = endpoint.id,
            status = status.as_u16(),
            "prefill: refused"
        );
        return None;
    }
    let handle = match D::prefilled(&body) {
        Ok(handle) => handle,
        Err(error) => {
            tracing::warn!(id = call.head.id, endpoint = endpoint.id, %error, "prefill: malformed answer");
            return None;
        }
    };
    host.answered(key, 1.0);
    let cache = Cache {
        address: endpoint.address,
        handle,
    };
    Some(Kept {
        host: Rc::clone(host),
        cache,
        key,
        until: now() + hold,
        offered: false,
        taken: false,
    })
}

/// How a decode request ended up to the head of its answer.
enum Decoded {
    Started(Exchange),
    Answered(Reply),
    Refused,
    NotSent,
    Lost(Doubt),
}

/// What is left of the work on a prompt.
#[derive(Clone, Copy)]
enum Memory<'a> {
    None,
    /// KV cache that waits for this request.
    Handle(&'a Cache),
    /// An engine that may keep parts of the prompt.
    Parts(SocketAddr),
}

async fn decode<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    endpoint: &Endpoint,
    memory: Memory<'_>,
    after_event: Option<u64>,
) -> Decoded {
    let started = now();
    let (cache, parts_at) = match memory {
        Memory::None => (None, None),
        Memory::Handle(cache) => (Some(cache), None),
        Memory::Parts(address) => (None, Some(address)),
    };
    let outbound = Outbound {
        deadline: call.caller_deadline.since(started),
        endpoint: &endpoint.id,
        customer: call.customer_name(),
        prefill: false,
        cache,
        parts_at,
        after_event,
    };
    let Ok(request) = call.outbound::<D>(&outbound) else {
        return Decoded::NotSent;
    };
    let left = call.deadline().since(started);
    let head = if call.route().resumable {
        left.min(FIRST_EVENT)
    } else {
        left
    };
    let reuse = if call.route().resumable {
        Duration::MAX
    } else {
        PAUSE
    };
    let patience = Patience {
        connect: CONNECT.min(left),
        head,
        reuse,
    };
    let mut exchange = match host.pool.send(endpoint.address, request, patience).await {
        Ok(exchange) => exchange,
        Err(Error::NotSent(_)) => return Decoded::NotSent,
        Err(error) => {
            if matches!(error, Error::Lost(_)) {
                host.strike(call, endpoint);
            }
            tracing::info!(id = call.head.id, endpoint = endpoint.id, %error, "decode: lost");
            return Decoded::Lost(Doubt::from(&error));
        }
    };
    let answer = D::answer(exchange.status, &exchange.headers);
    if answer.id.as_deref().is_some_and(|id| id != call.head.id) {
        return Decoded::Lost(Doubt::Faulty);
    }
    tracing::info!(
        id = call.head.id,
        endpoint = endpoint.id,
        status = exchange.status.as_u16(),
        cached = cache.is_some(),
        parts_at = parts_at.map(tracing::field::display),
        prompt = call.head.tokens.map(|tokens| tokens.prompt),
        after_event,
        waited_ms = started.since(call.arrived).as_millis() as u64,
        "decode: answered"
    );
    if answer.misdirected
        && let Some(key) = host.directory.borrow().key(&endpoint.id)
    {
        host.health.borrow_mut().misdirected(now(), key);
    }
    if answer.not_run {
        drop(exchange.read(PREFILL_ANSWER_BYTES, CONNECT).await);
        return Decoded::Refused;
    }
    if answer.id.is_none()
        || exchange
            .headers
            .contains_key(http::header::CONTENT_ENCODING)
    {
        return Decoded::Lost(Doubt::Faulty);
    }
    if exchange.status.is_success() {
        return if answer.signed {
            Decoded::Started(exchange)
        } else {
            Decoded::Lost(Doubt::Faulty)
        };
    }
    let status = exchange.status;
    let headers = answer_headers(&exchange.headers);
    match exchange.read(PREFILL_ANSWER_BYTES, left).await {
        Ok(body) => Decoded::Answered(Reply::Whole {
            status,
            headers,
            body,
        }),
        Err(_) => Decoded::Lost(Doubt::Faulty),
    }
}

/// Why a stream that fell silent is broken.
const NO_EVENT: &str = "no event";

type Sender = mpsc::Sender<Result<bytes::Bytes, Cut>>;

/// Passes the events on until the stream ends or its caller leaves.
async fn relay<D: Dialect, S: Store>(
    host: Rc<Host<D, S>>,
    call: Rc<Call>,
    run: Running<D, S>,
    sender: Sender,
) {
    let gone = sender.clone();
    tokio::select! {
        () = gone.closed() => tracing::info!(id = call.head.id, "stream: caller left"),
        end = pump(&host, &call, run, &sender) => match end {
            Ok(()) => {}
            Err(cut) => {
                host.metrics.cuts.get_or_create(&Label { reason: cut.0 }).inc();
                tracing::info!(id = call.head.id, reason = cut.0, "stream: cut");
                // The caller may have left as well.
                drop(sender.send(Err(cut)).await);
            }
        }
    }
}

async fn pump<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    mut run: Running<D, S>,
    sender: &Sender,
) -> Result<(), Cut> {
    let mut events = Events::after(call.head.after_event);
    let tokens_per_event = engine(host, &call.service).map_or(1, |engine| engine.tokens_per_event);
    let most = call.head.tokens.unwrap_or(UNSTATED).output;
    let mut delivered = 0;
    let mut last_event = now();
    loop {
        let left = call.deadline().since(now());
        if left.is_zero() {
            return Err(Cut("route timeout"));
        }
        let patience = if call.route().resumable {
            left.min(PAUSE)
        } else {
            left
        };
        let broken = match timeout(patience, run.exchange.next()).await {
            Ok(Ok(Some(data))) => match events.push(&data) {
                Ok(whole) if whole.is_empty() => continue,
                Ok(whole) => {
                    let made = events.count() - delivered;
                    delivered += made;
                    last_event = now();
                    run.place.progress(
                        made * tokens_per_event,
                        most.saturating_sub(delivered * tokens_per_event),
                    );
                    if sender.send(Ok(whole)).await.is_err() {
                        return Ok(());
                    }
                    continue;
                }
                Err(_) => "malformed events",
            },
            Ok(Ok(None)) if events.is_whole() => {
                host.answered(run.place.key, 1.0);
                if let Some(tokens) = call.head.tokens {
                    let mut mix = host.mix.get();
                    mix.add(tokens.prompt, delivered * tokens_per_event);
                    host.mix.set(mix);
                }
                tracing::info!(
                    id = call.head.id,
                    endpoint = run.endpoint.id,
                    events = delivered,
                    hint = call.head.output_hint,
                    took_ms = now().since(call.arrived).as_millis() as u64,
                    "stream: finished"
                );
                return Ok(());
            }
            Ok(Ok(None)) => "incomplete event",
            Ok(Err(_)) => {
                host.strike(call, &run.endpoint);
                "connection lost"
            }
            Err(_) => NO_EVENT,
        };
        tracing::info!(
            id = call.head.id,
            endpoint = run.endpoint.id,
            reason = broken,
            after_event = events.last(),
            "stream: broken"
        );
        if call.deadline() <= now() {
            return Err(Cut("route timeout"));
        }
        let doubt = if broken == NO_EVENT {
            Doubt::Silent
        } else {
            Doubt::Faulty
        };
        host.failed(run.place.key, doubt);
        events.discard_tail();
        let made = delivered * tokens_per_event;
        let gap = Gap {
            after_event: events.last(),
            made,
            since: last_event,
            // A silent engine would hold up the copy.
            parts_at: (broken != NO_EVENT).then_some(run.endpoint.address),
        };
        run = resume(host, call, run, gap).await.ok_or(Cut(broken))?;
    }
}

/// Where a stream broke.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// Last event that the caller has.
    after_event: Option<u64>,
    /// Output tokens that the caller has.
    made: u32,
    /// When it got the last event, or when the stream began.
    since: Instant,
    /// Engine that may keep the prompt.
    parts_at: Option<SocketAddr>,
}

/// Rank of a stream that goes on: its prompt was read, and its caller waits for the next event.
const RESUME_PRIORITY: u8 = 0;

/// Goes on with a broken stream at another engine.
async fn resume<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    broken: Running<D, S>,
    gap: Gap,
) -> Option<Running<D, S>> {
    let Running {
        exchange,
        endpoint,
        place,
        runs,
    } = broken;
    // The engine stops when the connection closes.
    drop(exchange);
    drop(place);
    if !call.route().resumable || runs >= call.route().attempts {
        return None;
    }
    let mut tried = vec![endpoint.id.clone()];
    let memory = gap.parts_at.map_or(Memory::None, Memory::Parts);
    let after_event = gap.after_event;
    let mut tokens = expected(call);
    tokens.prompt += gap.made;
    tokens.output = tokens.output.saturating_sub(gap.made);
    let hopeless_at = hopeless_at(call, tokens, gap.since);
    let wish = Wish {
        tokens,
        priority: RESUME_PRIORITY,
        start_by: hopeless_at,
        hopeless_at,
        is_first: false,
    };
    for _ in 0..SENDS {
        let acquired = acquire(host, call, wish, &tried).await.ok()?;
        if !host.may_repeat(call) {
            return None;
        }
        let Acquired {
            place,
            endpoint: next,
            ..
        } = acquired;
        tried.push(next.id.clone());
        match decode(host, call, &next, memory, after_event).await {
            Decoded::Started(exchange) => {
                host.metrics.retry("resumed");
                tracing::info!(
                    id = call.head.id,
                    from = endpoint.id,
                    to = next.id,
                    after_event,
                    "stream: resumed"
                );
                return Some(Running {
                    exchange,
                    endpoint: next,
                    place,
                    runs: runs + 1,
                });
            }
            Decoded::Refused | Decoded::NotSent => {}
            Decoded::Answered(_) | Decoded::Lost(_) => return None,
        }
    }
    None
}
