//! Starts generations: admission to a decode engine, prefill, and decode up to the head of the
//! answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use http::HeaderMap;

use crate::aborts;
use crate::admission::{self, MIN_RETRY_AFTER, Query, Supplement, Verdict, millis_until};
use crate::call::{CONNECT_TIMEOUT, jittered_after, rejection};
use crate::directory::{Endpoint, Key, State};
use crate::fleet::{Kind, Route};
use crate::health::Suspicion;
use crate::http::{Error, Exchange, Timeouts};
use crate::ledger::{Run, remaining};
use crate::mix::Mix;
use crate::offers::Ask;
use crate::platform::{Cache, Dialect, Head, Outbound, Store, Tokens};
use crate::prefill::{self, KvHandle};
use crate::refusal::{Reason, STOPPING_RETRY_AFTER};
use crate::request::{Call, Classification, Reply, answer_headers};
use crate::state::{Host, Reservation, now};
use crate::stream::{RESUME_PRIORITY, Running, relay};
use crate::versions::Constraint;

/// Share of the latency objective that is reserved for prefill and KV transfer after admission.
const PREFILL_SHARE: f64 = 0.35;
/// Share of the latency objective within which the first event arrives after a start, with a margin
/// for a full engine. A start later than that is wasted on a caller who is about to leave.
const FIRST_EVENT_SHARE: f64 = 0.5;
/// Longest idle time of a connection that is reused for a stream which may not be resumed.
const UNREPEATABLE_MAX_IDLE: Duration = Duration::from_millis(1_500);
/// Maximum number of sends to decode engines per attempt of a caller, refused ones included.
pub(crate) const MAX_SENDS: usize = 4;
/// Share of the estimated decode time that must be left for a stream which its caller takes up. Estimates
/// are right at the median only, and a part of the answer is delivered already.
const TAKEN_UP_SHARE: f64 = 0.7;
/// Maximum number of refusals kept for the leader; it needs only some of each engine.
const MAX_REFUSED: usize = 64;
/// Token counts assumed for a request that states none.
pub(crate) const DEFAULT_TOKENS: Tokens = Tokens {
    prompt: 1_000,
    output: 1_000,
};

/// Upper bound on the duration of a request from its start at an endpoint: the route's timeout for a
/// plain call; for a generation the decode time of its largest output at the slowest recent pace plus the
/// latency objective, within that timeout.
fn max_duration(head: &Head, route: &Route, mix: &Mix) -> Duration {
    if route.kind != Kind::Streaming {
        return route.timeout;
    }
    let output = head.tokens.unwrap_or(DEFAULT_TOKENS).output;
    (mix.longest_decode_time(output) + route.latency_target).min(route.timeout)
}

/// Prompt tokens and expected output tokens: the caller's hint, or 60 % of the largest output.
pub(crate) fn expected_tokens(call: &Call) -> Tokens {
    let stated = call.head.tokens.unwrap_or(DEFAULT_TOKENS);
    let output = call
        .head
        .output_hint
        .map_or(stated.output * 6 / 10, |hint| hint.min(stated.output));
    Tokens {
        prompt: stated.prompt,
        output,
    }
}

/// Expected tokens of a generation, less the output that its caller has when it takes up a stream; that
/// is read with the prompt.
fn remaining_tokens<D, S>(host: &Host<D, S>, call: &Call) -> Tokens {
    let mut tokens = expected_tokens(call);
    let engine = admission::engine(host, &call.service);
    let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event);
    let events = call.head.last_event_id.unwrap_or_default();
    let delivered = u32::try_from(events).unwrap_or(u32::MAX);
    let delivered = delivered.saturating_mul(tokens_per_event);
    let largest = call.head.tokens.unwrap_or(DEFAULT_TOKENS).output;
    tokens.prompt = tokens.prompt.saturating_add(delivered.min(largest));
    tokens.output = remaining(tokens.output, delivered);
    tokens
}

/// Serves a generation; its events are relayed by a task.
pub(crate) async fn serve<D: Dialect, S: Store>(host: &Rc<Host<D, S>>, call: Rc<Call>) -> Reply {
    match start(host, &call).await {
        Ok(Started {
            run,
            headers,
            status,
        }) => {
            let (sender, events) = host.outbox.open(&call.head.id);
            actix_rt::spawn(relay(Rc::clone(host), call, run, sender));
            Reply::Stream {
                status,
                headers,
                events,
            }
        }
        Err(Failure::Answer(reply)) => reply,
        Err(Failure::Reason(reason, after)) => {
            let left = call.deadline().since(now());
            rejection(
                host,
                reason,
                after.map(|after| jittered_after(after).min(left / 3)),
            )
        }
    }
}

struct Started<D, S> {
    run: Running<D, S>,
    status: http::StatusCode,
    headers: HeaderMap,
}

/// Why a generation did not start.
pub(crate) enum Failure {
    /// An endpoint's answer that is passed on.
    Answer(Reply),
    /// A rejection with the time until a retry may succeed.
    Reason(Reason, Option<Duration>),
}

/// Requirements of a generation at its arrival.
pub(crate) fn first_demand<D, S>(host: &Host<D, S>, call: &Call) -> Demand {
    let tokens = remaining_tokens(host, call);
    Demand {
        tokens,
        priority: if call.head.last_event_id.is_some() {
            RESUME_PRIORITY
        } else {
            call.priority()
        },
        start_by: call.arrived + call.route().latency_target.mul_f64(1.0 - PREFILL_SHARE),
        hopeless_at: hopeless_at(host, call, tokens, call.arrived),
        is_first: true,
        has_begun: false,
        is_answered: false,
    }
}

/// Reserves capacity at a decode engine, prefills the prompt and starts the stream.
async fn start<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
) -> Result<Started<D, S>, Failure> {
    let mut demand = first_demand(host, call);
    let tokens = demand.tokens;
    let mut tried = Tried::default();
    let mut runs = 0;
    let mut sends = 0;
    let mut cache: Option<KvHandle<D, S>> = None;
    let mut parts_at = None;
    // The engine that was the first to refuse the KV cache.
    let mut refused_by: Option<String> = None;
    let mut last = None;
    while sends < MAX_SENDS && now() < call.deadline() {
        let reservation = match acquire(host, call, demand, &mut tried).await {
            Ok(reservation) => reservation,
            Err(refused) if demand.is_first => return Err(refused),
            Err(_) => break,
        };
        if sends > 0 && !host.may_retry(call) {
            break;
        }
        let Acquired {
            reservation,
            endpoint,
            prefill: prefill_engine,
            parts_at: kept_at,
        } = reservation;
        tried.ids.push(endpoint.id.clone());
        if demand.is_first {
            demand.is_first = false;
            parts_at = kept_at;
            cache = match prefill_engine {
                Some(engine) => prefill::run(host, call, tokens, &engine).await,
                None => None,
            };
        }
        if !is_ready(host, reservation.key) {
            continue;
        }
        if !can_finish(host, call) {
            break;
        }
        let fits = |handle: &KvHandle<D, S>| {
            handle.is_usable() && has_version(host, handle.cache.address, &endpoint)
        };
        let usable = cache.take().filter(fits);
        let source = match &usable {
            Some(handle) => KvSource::Handle(&handle.cache),
            None => parts_at
                .filter(|address| *address != endpoint.address)
                .filter(|address| has_version(host, *address, &endpoint))
                .map_or(KvSource::None, KvSource::Parts),
        };
        let sent_at = now();
        match decode(
            host,
            call,
            reservation.key,
            &endpoint,
            source,
            call.head.last_event_id,
            head_timeout(call),
        )
        .await
        {
            Decoded::Started(exchange) => {
                if let Some(handle) = usable {
                    handle.consumed();
                    if let Some(id) = refused_by {
                        note_refusal(host, id, tokens);
                    }
                }
                let status = exchange.status;
                let headers = answer_headers(&exchange.headers);
                let run = Running {
                    exchange: *exchange,
                    endpoint,
                    reservation,
                    sent_at,
                    runs: runs + 1,
                };
                return Ok(Started {
                    run,
                    status,
                    headers,
                });
            }
            Decoded::Answered(reply) => {
                sends += 1;
                runs += 1;
                let failed = reply.status().is_server_error();
                if failed {
                    // An engine that fails immediately looks idle and would attract all requests.
                    host.failed(reservation.key, Suspicion::Faulty);
                }
                if !failed || !call.route().resumable || runs >= call.route().max_attempts {
                    return Err(Failure::Answer(reply));
                }
                host.metrics.retry("endpoint_error");
                tried.failed = Some(endpoint.id);
                parts_at = Some(endpoint.address);
                last = Some(reply);
            }
            Decoded::Refused => {
                sends += 1;
                // Either the engine is full, or the KV cache is gone; the next engine tells which.
                match usable {
                    Some(handle) if !handle.offered && refused_by.is_none() => {
                        refused_by = Some(endpoint.id);
                        cache = Some(handle);
                    }
                    Some(handle) => {
                        if !handle.offered {
                            host.suspect(handle.key, Suspicion::Faulty);
                        }
                        parts_at = Some(handle.cache.address);
                    }
                    None => note_refusal(host, endpoint.id, tokens),
                }
                host.metrics.retry("refused");
            }
            Decoded::NotSent => {
                cache = usable;
                host.failed(reservation.key, Suspicion::Silent);
                host.metrics.retry("not_sent");
            }
            Decoded::Lost(suspicion) => {
                sends += 1;
                runs += 1;
                // An engine that failed immediately has not consumed the KV handle yet.
                cache = usable.map(KvHandle::offered);
                host.failed(reservation.key, suspicion);
                tried.failed = Some(endpoint.id);
                host.metrics.retry("lost");
                if !call.route().resumable || runs >= call.route().max_attempts {
                    return Err(Failure::Reason(Reason::EndpointLost, None));
                }
            }
        }
    }
    if let Some(reply) = last {
        return Err(Failure::Answer(reply));
    }
    if runs > 0 {
        return Err(Failure::Reason(Reason::EndpointLost, None));
    }
    // Refund the customer: the generation was charged and did not run.
    if let Some(customer) = call.customer_name() {
        host.quotas
            .borrow_mut()
            .refund(now(), customer, call.tokens);
    }
    if !can_finish(host, call) {
        return Err(Failure::Reason(
            Reason::Stopping,
            Some(STOPPING_RETRY_AFTER),
        ));
    }
    Err(Failure::Reason(
        Reason::EndpointsRefused,
        Some(MIN_RETRY_AFTER),
    ))
}

/// Whether a generation that starts now ends before the exit of this host.
fn can_finish<D, S>(host: &Host<D, S>, call: &Call) -> bool {
    host.shutdown.get().accepts(now(), longest_run(host, call))
}

fn longest_run<D, S>(host: &Host<D, S>, call: &Call) -> Duration {
    longest_run_of(
        host,
        &call.head,
        call.route(),
        &call.service,
        call.deadline(),
    )
}

/// Longest time that a request which has not run may take. An engine may exceed any estimate, so late in a
/// shutdown only the deadline counts: callers that still come can go elsewhere.
pub(crate) fn longest_run_of<D, S>(
    host: &Host<D, S>,
    head: &Head,
    route: &Route,
    service: &str,
    deadline: Instant,
) -> Duration {
    let now = now();
    if host.shutdown.get().is_late(now) {
        return deadline.since(now);
    }
    max_duration(head, route, &host.mix(service))
}

/// Whether the engine at an address runs the software version of another one: what two versions write
/// does not fit together.
fn has_version<D, S>(host: &Host<D, S>, address: SocketAddr, other: &Endpoint) -> bool {
    let directory = host.directory.borrow();
    let mut engines = directory.iter().map(|(_, engine)| engine);
    engines.any(|engine| engine.address == address && engine.version == other.version)
}

/// Records for the leader that an engine refused a generation.
fn note_refusal<D, S>(host: &Host<D, S>, endpoint: String, tokens: Tokens) {
    let mut refused = host.refused.borrow_mut();
    if refused.len() < MAX_REFUSED {
        refused.push((endpoint, tokens.prompt.saturating_add(tokens.output)));
    }
}

/// Capacity reserved at a decode engine.
pub(crate) struct Acquired<D, S> {
    pub(crate) reservation: Reservation<D, S>,
    pub(crate) endpoint: Endpoint,
    /// Id of the engine that prefills the prompt.
    prefill: Option<String>,
    /// Engine whose prefix cache may hold parts of the prompt.
    parts_at: Option<SocketAddr>,
}

/// Requirements of a generation for admission.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Prompt tokens and expected output tokens.
    pub(crate) tokens: Tokens,
    /// Priority; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Latest start that meets the latency objective.
    pub(crate) start_by: Instant,
    /// Latest useful start; the leader rejects the generation after it.
    pub(crate) hopeless_at: Instant,
    /// Whether this is the first admission of the request, the only one that is charged.
    pub(crate) is_first: bool,
    /// Whether an engine has begun the answer, so that the request does not crash engines.
    pub(crate) has_begun: bool,
    /// Whether the caller has the head of the answer: the generation can no longer be refused.
    pub(crate) is_answered: bool,
}

/// Engines that a request was sent to, which admission excludes, and the version to which it is bound.
#[derive(Debug, Default)]
pub(crate) struct Tried {
    pub(crate) ids: Vec<String>,
    /// Engine that failed the request since the last admission request.
    pub(crate) failed: Option<String>,
    /// Software version that began the stream, once it is known.
    pub(crate) version: Option<String>,
}

impl Tried {
    /// After a run at an engine that broke off, or fell silent, behind an event.
    pub(crate) fn after(endpoint: &Endpoint, last_event_id: Option<u64>) -> Self {
        Self {
            ids: vec![endpoint.id.clone()],
            failed: Some(endpoint.id.clone()),
            version: last_event_id.map(|_| endpoint.version.clone()),
        }
    }
}

/// Query to the leader for a generation.
pub(crate) fn query<D, S>(
    host: &Host<D, S>,
    call: &Call,
    demand: Demand,
    tried: &Tried,
    queried_at: Instant,
) -> Query {
    let tokens = demand.tokens;
    let run = Run {
        held: tokens.prompt,
        left: tokens.output,
    };
    let constraint = match &tried.version {
        Some(version) => Constraint::Version(version.clone()),
        None if call.head.last_event_id.is_some() => Constraint::TakenUp(call.head.resumes.clone()),
        None => Constraint::None,
    };
    Query {
        id: call.head.id.clone(),
        host: host.options.host.clone(),
        service: call.service.clone(),
        customer: call.customer_name().map(str::to_owned),
        tokens: if demand.is_first { call.tokens } else { 0 },
        run,
        priority: demand.priority,
        start_in_ms: millis_until(queried_at, demand.start_by),
        hopeless_in_ms: millis_until(queried_at, demand.hopeless_at),
        tried: tried.ids.clone(),
        barred: {
            let mut barred = host.barred();
            barred.extend(host.misplaced(call));
            barred
        },
        doubtful: host.suspected(),
        failed: None,
        refused: Vec::new(),
        prefill: demand.is_first,
        prompt: call.head.parts.clone(),
        constraint,
        // Only for streams that a caller resumes: other prompts are new to the engines, or were
        // prefilled too long ago to be cached.
        part: call
            .head
            .parts
            .last()
            .copied()
            .filter(|_| demand.is_first && call.head.last_event_id.is_some()),
    }
}

/// What follows the query.
pub(crate) fn supplement<D, S>(host: &Host<D, S>, call: &Call, demand: Demand) -> Supplement {
    Supplement {
        part_tokens: if demand.is_first {
            call.head.part_tokens.clone()
        } else {
            Vec::new()
        },
        // Numbered when it is sent; this host decides on it otherwise.
        ask: Some(Ask {
            incarnation: host.incarnation,
            number: 0,
        }),
    }
}

/// Reserves capacity at a decode engine through the admission leader.
pub(crate) async fn acquire<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    demand: Demand,
    tried: &mut Tried,
) -> Result<Acquired<D, S>, Failure> {
    let queried_at = now();
    if !demand.is_first && !demand.has_begun && host.is_crashing(call) {
        return Err(Failure::Reason(Reason::CrashesEndpoints, None));
    }
    let mut query = query(host, call, demand, tried, queried_at);
    query.failed = tried.failed.take();
    query.refused = host.refused.take();
    let (tokens, run) = (demand.tokens, query.run);
    let hopeless_in_ms = query.hopeless_in_ms;
    let is_taken_up = call.head.last_event_id.is_some();
    let longest_run = || {
        if demand.is_answered {
            max_duration(&call.head, call.route(), &host.mix(&call.service))
        } else {
            longest_run(host, call)
        }
    };
    let supplement = supplement(host, call, demand);
    let verdict = admission::admit(host, query, &supplement, longest_run).await;
    tracing::info!(
        id = call.head.id,
        resumes = call.head.resumes,
        after_event = call.head.last_event_id,
        version = tried.version,
        hopeless_in_ms,
        left_ms = call.deadline().since(queried_at).as_millis() as u64,
        output = tokens.output,
        ?verdict,
        customer = call.customer_name(),
        tokens = call.tokens,
        waited_ms = now().since(queried_at).as_millis() as u64,
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
                let parts_at = parts_at.and_then(|id| directory.find(&id));
                let parts_at = parts_at.filter(|(_, endpoint)| {
                    let places = host.places.borrow();
                    places.is_open(&endpoint.data_centre)
                        && places.is_home(call.homes(), &endpoint.data_centre)
                });
                let parts_at = parts_at.map(|(_, endpoint)| endpoint.address);
                (directory.find(&endpoint), parts_at)
            };
            // The leader may know an endpoint whose entry this host has not read yet.
            let (key, endpoint) =
                known.ok_or(Failure::Reason(Reason::NoEndpoint, Some(MIN_RETRY_AFTER)))?;
            if is_taken_up {
                tried.version = Some(endpoint.version.clone());
            }
            let reservation = Reservation::acquire(host, key, run, grant);
            Ok(Acquired {
                reservation,
                endpoint,
                prefill,
                parts_at,
            })
        }
        Verdict::Hopeless if !can_finish(host, call) => Err(Failure::Reason(
            Reason::Stopping,
            Some(STOPPING_RETRY_AFTER),
        )),
        verdict => {
            let (reason, after) = verdict.refusal();
            Err(Failure::Reason(reason, after))
        }
    }
}

/// Whether this host may send work to an engine, whatever the leader knows.
pub(crate) fn is_ready<D, S>(host: &Host<D, S>, key: Key) -> bool {
    !host.is_directory_expired(now())
        && host.admits(key)
        && host
            .directory
            .borrow()
            .get(key)
            .is_some_and(|endpoint| endpoint.state == State::Ready && host.is_open(endpoint))
}

/// Latest start for which the generation ends before its deadline and the first event arrives
/// before the stall timeout of the caller, whose last event came at `since`.
pub(crate) fn hopeless_at<D, S>(
    host: &Host<D, S>,
    call: &Call,
    tokens: Tokens,
    since: Instant,
) -> Instant {
    let start = call.route().latency_target.mul_f64(FIRST_EVENT_SHARE);
    let abandoned = since + call.route().stall_timeout();
    let mut decode_time = host.mix(&call.service).decode_time(tokens.output);
    if call.head.last_event_id.is_some() {
        decode_time = decode_time.mul_f64(TAKEN_UP_SHARE);
    }
    earlier(call.deadline(), decode_time + start).min(earlier(abandoned, start))
}

/// Latest time at which a stream whose caller has had no event since `last_event` may still send a request that
/// brings the next one in time.
pub(crate) fn latest_question<D, S>(
    host: &Host<D, S>,
    call: &Call,
    last_event: Instant,
) -> Instant {
    let answer = call.route().latency_target.mul_f64(FIRST_EVENT_SHARE);
    let abandoned = last_event + call.route().stall_timeout();
    let latest = earlier(call.deadline().min(abandoned), answer);
    let exit = host.shutdown.get().latest_start(answer);
    exit.map_or(latest, |exit| exit.min(latest))
}

fn earlier(instant: Instant, by: Duration) -> Instant {
    Instant::from_millis(instant.as_millis().saturating_sub(by.as_millis() as u64))
}

/// Outcome of a decode request up to the head of its answer.
pub(crate) enum Decoded {
    Started(Box<Exchange>),
    Answered(Reply),
    Refused,
    NotSent,
    Lost(Suspicion),
}

/// Source from which a decode engine can take the KV cache of a prompt.
#[derive(Clone, Copy)]
pub(crate) enum KvSource<'a> {
    None,
    /// KV cache that a prefill engine holds for this request.
    Handle(&'a Cache),
    /// An engine whose prefix cache may hold parts of the prompt.
    Parts(SocketAddr),
}

/// Longest wait for the head of an answer where another engine may get the request.
pub(crate) fn head_timeout(call: &Call) -> Duration {
    let left = call.deadline().since(now());
    if call.route().resumable {
        left.min(call.route().first_event_timeout())
    } else {
        left
    }
}

/// Sends a decode request and waits up to `head` for the head of its answer.
pub(crate) async fn decode<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    key: Key,
    endpoint: &Endpoint,
    source: KvSource<'_>,
    last_event_id: Option<u64>,
    head: Duration,
) -> Decoded {
    let started = now();
    let (cache, parts_at) = match source {
        KvSource::None => (None, None),
        KvSource::Handle(cache) => (Some(cache), None),
        KvSource::Parts(address) => (None, Some(address)),
    };
    let outbound = Outbound {
        cache,
        parts_at,
        last_event_id,
        ..call.addressed(endpoint, started)
    };
    let Ok(request) = call.outbound::<D>(&outbound) else {
        return Decoded::NotSent;
    };
    let left = call.deadline().since(started);
    let max_idle = if call.route().resumable {
        Duration::MAX
    } else {
        UNREPEATABLE_MAX_IDLE
    };
    let timeouts = Timeouts {
        connect: CONNECT_TIMEOUT.min(left),
        head,
        max_idle,
    };
    let id = Some(call.head.id.as_str());
    let sent = host
        .pool
        .send_to_endpoint(endpoint.destination(), id, request, timeouts);
    let mut exchange = match sent.await {
        Ok(exchange) => exchange,
        Err(Error::NotSent(_)) => return Decoded::NotSent,
        Err(error) => {
            if matches!(error, Error::Lost(_)) {
                aborts::strike(host, call, endpoint);
            }
            if error.is_closed_by_peer() {
                aborts::crash(host, call, endpoint, started);
            }
            tracing::info!(id = call.head.id, endpoint = endpoint.id, parts = call.parts(), %error, "decode: no answer from the engine; the request may have run");
            return Decoded::Lost(Suspicion::from(&error));
        }
    };
    let answer = D::answer(exchange.status, &exchange.headers);
    let classification = call.classify(&answer, exchange.status, &exchange.headers);
    host.note_answer(key, &answer, classification, started);
    tracing::info!(
        id = call.head.id,
        endpoint = endpoint.id,
        version = endpoint.version,
        status = exchange.status.as_u16(),
        answered_id = answer.id,
        connection = exchange.number,
        requests = exchange.requests,
        framing = ?exchange.framing(),
        ?classification,
        cached = cache.is_some(),
        parts_at = parts_at.map(tracing::field::display),
        prompt = call.head.tokens.map(|tokens| tokens.prompt),
        after_event = last_event_id,
        waited_ms = started.since(call.arrived).as_millis() as u64,
        "decode: answered"
    );
    host.note_framing(call, exchange.framing());
    let is_success = exchange.status.is_success();
    if classification != Classification::Mismatched {
        exchange.accept(classification == Classification::NotRun || !is_success);
    }
    match classification {
        Classification::Valid if is_success => return Decoded::Started(Box::new(exchange)),
        Classification::Valid => {}
        Classification::Mismatched => return Decoded::Lost(Suspicion::Faulty),
        Classification::NotRun => {
            // Drain the body so that the connection can be reused.
            drop(
                exchange
                    .read(prefill::MAX_ANSWER_BYTES, CONNECT_TIMEOUT)
                    .await,
            );
            return Decoded::Refused;
        }
    }
    let status = exchange.status;
    let headers = answer_headers(&exchange.headers);
    let left = head.saturating_sub(now().since(started));
    match exchange.read(prefill::MAX_ANSWER_BYTES, left).await {
        Ok(body) => Decoded::Answered(Reply::Whole {
            status,
            headers,
            body,
        }),
        Err(_) => Decoded::Lost(Suspicion::Faulty),
    }
}
