//! Generations up to the start of their stream: room at a decode engine, prefill, decode.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use http::HeaderMap;
use tokio::sync::mpsc;

use crate::admission::{self, Query, Verdict};
use crate::call::{CONNECT, refused, spread_after};
use crate::directory::{Endpoint, Key, State};
use crate::fleet::{Kind, Route};
use crate::health::Suspicion;
use crate::http::{Error, Exchange, Timeouts};
use crate::ledger::Run;
use crate::mix::DECODE_MS_PER_TOKEN;
use crate::platform::{Cache, Dialect, Head, Outbound, Store, Tokens};
use crate::prefill::{self, Kept};
use crate::refusal::Reason;
use crate::request::{Call, Classification, Reply, answer_headers};
use crate::state::{Host, Reservation, now};
use crate::stream::{BUFFERED_EVENTS, PAUSE, Running, relay};

/// Part of the latency objective kept for prefill and transfer once room is found.
const START_SHARE: f64 = 0.35;
/// Part of the latency objective within which the first event of a start without delay arrives, with
/// room for a full engine; a later start is lost on a caller who is about to leave.
const LATEST_START_SHARE: f64 = 0.5;
/// Longest time from a decode request to the head of its answer, after which a resumable stream starts
/// elsewhere. It arrives with the first event, usually within 0.1 s.
const FIRST_EVENT: Duration = Duration::from_millis(1_200);
/// Sends to decode engines for one attempt of a caller, refused ones included.
pub(crate) const SENDS: usize = 4;
/// Output tokens of a request that does not say how many, and prompt tokens likewise.
pub(crate) const UNSTATED: Tokens = Tokens {
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
    (duration(output) + route.latency_target).min(route.timeout)
}

/// Time in which a busy engine makes that many tokens.
fn duration(output: u32) -> Duration {
    Duration::from_secs_f64(f64::from(output) * DECODE_MS_PER_TOKEN / 1_000.0)
}

/// Tokens of a generation, with the expected output.
pub(crate) fn expected(call: &Call) -> Tokens {
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

struct Started<D, S> {
    run: Running<D, S>,
    status: http::StatusCode,
    headers: HeaderMap,
}

pub(crate) enum Failed {
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
        start_by: call.arrived + call.route().latency_target.mul_f64(1.0 - START_SHARE),
        hopeless_at: hopeless_at(call, tokens, call.arrived),
        is_first: true,
    };
    let mut tried = Tried::default();
    let mut runs = 0;
    let mut sends = 0;
    let mut cache: Option<Kept<D, S>> = None;
    let mut parts_at = None;
    let mut last = None;
    while sends < SENDS && now() < call.deadline() {
        let reservation = match acquire(host, call, wish, &mut tried).await {
            Ok(reservation) => reservation,
            Err(refused) if wish.is_first => return Err(refused),
            Err(_) => break,
        };
        if sends > 0 && !host.may_retry(call) {
            break;
        }
        let Acquired {
            reservation,
            endpoint,
            prefill: reader,
            parts_at: kept_at,
        } = reservation;
        tried.ids.push(endpoint.id.clone());
        if wish.is_first {
            wish.is_first = false;
            parts_at = kept_at;
            cache = match reader {
                Some(reader) => prefill::read(host, call, tokens, &reader).await,
                None => None,
            };
        }
        if !is_ready(host, reservation.key) {
            continue;
        }
        let usable = cache.take().filter(Kept::is_usable);
        let memory = match &usable {
            Some(kept) => Memory::Handle(&kept.cache),
            None => parts_at
                .filter(|address| *address != endpoint.address)
                .map_or(Memory::None, Memory::Parts),
        };
        match decode(
            host,
            call,
            reservation.key,
            &endpoint,
            memory,
            call.head.after_event,
        )
        .await
        {
            Decoded::Started(exchange) => {
                if let Some(kept) = usable {
                    kept.taken();
                }
                let status = exchange.status;
                let headers = answer_headers(&exchange.headers);
                let run = Running {
                    exchange,
                    endpoint,
                    reservation,
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
                    // An engine that fails at once looks idle and would draw all requests.
                    host.failed(reservation.key, Suspicion::Faulty);
                }
                if !failed || !call.route().resumable || runs >= call.route().max_attempts {
                    return Err(Failed::Answer(reply));
                }
                host.metrics.retry("endpoint_error");
                tried.failed = Some(endpoint.id);
                parts_at = Some(endpoint.address);
                last = Some(reply);
            }
            Decoded::Refused => {
                sends += 1;
                // Either the engine is full, or the handle lapsed before its time.
                if let Some(kept) = usable {
                    if !kept.offered {
                        host.suspect(kept.key, Suspicion::Faulty);
                    }
                    parts_at = Some(kept.cache.address);
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
                // An engine that broke off at once has not taken the prompt yet.
                cache = usable.map(Kept::offered);
                host.failed(reservation.key, suspicion);
                tried.failed = Some(endpoint.id);
                host.metrics.retry("lost");
                if !call.route().resumable || runs >= call.route().max_attempts {
                    return Err(Failed::Reason(Reason::EndpointLost, None));
                }
            }
        }
    }
    if let Some(reply) = last {
        return Err(Failed::Answer(reply));
    }
    if runs > 0 {
        return Err(Failed::Reason(Reason::EndpointLost, None));
    }
    // The generation was charged and did not run.
    if let Some(customer) = call.customer_name() {
        host.quotas
            .borrow_mut()
            .refund(now(), customer, call.tokens);
    }
    Err(Failed::Reason(Reason::EndpointsRefused, Some(RETRY)))
}

/// A place at a decode engine.
pub(crate) struct Acquired<D, S> {
    pub(crate) reservation: Reservation<D, S>,
    pub(crate) endpoint: Endpoint,
    /// Id of the engine that reads the prompt.
    prefill: Option<String>,
    /// The engine that keeps parts of the prompt.
    parts_at: Option<SocketAddr>,
}

/// What a generation needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wish {
    /// Tokens with the expected output.
    pub(crate) tokens: Tokens,
    /// Rank; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Latest start that meets the latency objective.
    pub(crate) start_by: Instant,
    /// Latest start that is of use.
    pub(crate) hopeless_at: Instant,
    /// Whether it is the first place of the request; the customer is charged for that one only.
    pub(crate) is_first: bool,
}

/// Engines that a request was sent to.
#[derive(Debug, Default)]
pub(crate) struct Tried {
    pub(crate) ids: Vec<String>,
    /// The one that failed it since the last question for a place.
    pub(crate) failed: Option<String>,
}

/// Gets a place at a decode engine.
pub(crate) async fn acquire<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    wish: Wish,
    tried: &mut Tried,
) -> Result<Acquired<D, S>, Failed> {
    let asked = now();
    let tokens = wish.tokens;
    let run = Run {
        held: tokens.prompt,
        left: tokens.output,
    };
    let query = Query {
        id: call.head.id.clone(),
        host: host.options.host.clone(),
        service: call.service.clone(),
        customer: call.customer_name().map(str::to_owned),
        tokens: if wish.is_first { call.tokens } else { 0 },
        run,
        priority: wish.priority,
        start_in_ms: until(asked, wish.start_by),
        hopeless_in_ms: until(asked, wish.hopeless_at),
        tried: tried.ids.clone(),
        doubtful: host.suspected(),
        failed: tried.failed.take(),
        prefill: wish.is_first,
        // Other prompts are new to the engines, or were read too long ago.
        part: call
            .head
            .last_part
            .filter(|_| wish.is_first && call.head.after_event.is_some()),
    };
    let verdict = admission::place(host, query).await;
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
                let parts_at = parts_at.and_then(|id| directory.find(&id));
                let parts_at = parts_at.map(|(_, endpoint)| endpoint.address);
                (directory.find(&endpoint), parts_at)
            };
            // The leader may know an endpoint that this host has not read of yet.
            let (key, endpoint) = known.ok_or(Failed::Reason(Reason::NoEndpoint, Some(RETRY)))?;
            let reservation = Reservation::acquire(host, key, run, grant);
            Ok(Acquired {
                reservation,
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
pub(crate) fn hopeless_at(call: &Call, tokens: Tokens, since: Instant) -> Instant {
    let start = call.route().latency_target.mul_f64(LATEST_START_SHARE);
    let abandoned = since + call.route().stall_timeout();
    earlier(call.deadline(), duration(tokens.output) + start).min(earlier(abandoned, start))
}

fn earlier(instant: Instant, by: Duration) -> Instant {
    Instant::from_millis(instant.as_millis().saturating_sub(by.as_millis() as u64))
}

/// How a decode request ended up to the head of its answer.
pub(crate) enum Decoded {
    Started(Exchange),
    Answered(Reply),
    Refused,
    NotSent,
    Lost(Suspicion),
}

/// What is left of the work on a prompt.
#[derive(Clone, Copy)]
pub(crate) enum Memory<'a> {
    None,
    /// KV cache that waits for this request.
    Handle(&'a Cache),
    /// An engine that may keep parts of the prompt.
    Parts(SocketAddr),
}

pub(crate) async fn decode<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    key: Key,
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
        cache,
        parts_at,
        after_event,
        ..call.addressed(endpoint, started)
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
    let max_idle = if call.route().resumable {
        Duration::MAX
    } else {
        PAUSE
    };
    let patience = Timeouts {
        connect: CONNECT.min(left),
        head,
        max_idle,
    };
    let mut exchange = match host.pool.send(endpoint.address, request, patience).await {
        Ok(exchange) => exchange,
        Err(Error::NotSent(_)) => return Decoded::NotSent,
        Err(error) => {
            if matches!(error, Error::Lost(_)) {
                host.strike(call, endpoint);
            }
            tracing::info!(id = call.head.id, endpoint = endpoint.id, %error, "decode: lost");
            return Decoded::Lost(Suspicion::from(&error));
        }
    };
    let answer = D::answer(exchange.status, &exchange.headers);
    let classification = call.classify(&answer, exchange.status, &exchange.headers);
    host.note_answer(key, &answer, classification);
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
    match classification {
        Classification::Valid if exchange.status.is_success() => return Decoded::Started(exchange),
        Classification::Valid => {}
        Classification::Mismatched => return Decoded::Lost(Suspicion::Faulty),
        Classification::NotRun => {
            // The body is read so that the connection can be used again.
            drop(exchange.read(prefill::ANSWER_BYTES, CONNECT).await);
            return Decoded::Refused;
        }
    }
    let status = exchange.status;
    let headers = answer_headers(&exchange.headers);
    match exchange.read(prefill::ANSWER_BYTES, left).await {
        Ok(body) => Decoded::Answered(Reply::Whole {
            status,
            headers,
            body,
        }),
        Err(_) => Decoded::Lost(Suspicion::Faulty),
    }
}
