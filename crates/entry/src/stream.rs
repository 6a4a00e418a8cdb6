//! Relays event streams to callers and resumes broken streams at another engine.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::ending::{Ending, Framing};
use berylknot_coordination::origin::Beginning;
use tokio::time::timeout;

use crate::aborts;
use crate::admission::engine;
use crate::call::{CONNECT_TIMEOUT, accepts_connection};
use crate::completion::{
    Acquired, DEFAULT_TOKENS, Decoded, Demand, KvSource, MAX_SENDS, Tried, acquire, decode,
    expected_tokens, hopeless_at, is_ready,
};
use crate::directory::{Endpoint, Key};
use crate::ending::{Conclusion, UNPROVEN_END, conclude};
use crate::events::{MAX_EVENT_BYTES, SMALL_BYTES, Splitter};
use crate::health::Suspicion;
use crate::http::Exchange;
use crate::http::memory::Charge;
use crate::ledger::remaining;
use crate::listings;
use crate::metrics::Label;
use crate::mix::Pace;
use crate::outbox::{self, Sender};
use crate::platform::{Dialect, Store};
use crate::request::{Call, Cut};
use crate::state::{Host, Reservation, now};

/// Largest piece in which bytes are passed to a caller.
pub(crate) const PIECE_BYTES: usize = 16 * 1_024;

/// A generation that runs at a decode engine.
pub(crate) struct Running<D, S> {
    pub(crate) exchange: Exchange,
    pub(crate) endpoint: Endpoint,
    pub(crate) reservation: Reservation<D, S>,
    /// Time at which the engine got the request.
    pub(crate) sent_at: Instant,
    /// Number of engines that ran the request.
    pub(crate) runs: u32,
}

impl<D, S> Running<D, S> {
    /// Closes the connection, which cancels the request at the engine, and gives up its place there.
    fn close(self) -> Closed {
        Closed {
            key: self.reservation.key,
            framing: self.exchange.framing(),
            endpoint: self.endpoint,
            runs: self.runs,
        }
    }
}

/// A run whose connection is closed.
struct Closed {
    key: Key,
    endpoint: Endpoint,
    framing: Framing,
    /// Number of engines that ran the request.
    runs: u32,
}

/// Events after which the crash of an engine no longer counts against the exact request: requests that
/// crash engines do so when these begin to run them.
const MAX_EVENTS_OF_A_CRASH: u32 = 1;
/// Reason to end a stream whose caller does not read.
const TOO_SLOW: Cut = Cut("caller does not read");
/// Reason to end a stream before its first event: its caller could not take it up where it began.
const NOT_LISTED: &str = "not listed";
/// Longest time for which a stream stays open at a silent engine after the request to go on with it was sent to
/// another one, which may work on it before it sends the head of its answer. Two engines may do so for 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(300);
/// Cause of a break when no event came within the maximum gap.
const NO_EVENT: &str = "no event";

/// Relays the events until the stream ends or its caller disconnects.
pub(crate) async fn relay<D: Dialect, S: Store>(
    host: Rc<Host<D, S>>,
    call: Rc<Call>,
    run: Running<D, S>,
    sender: Sender,
) {
    tokio::select! {
        () = note_exit(&host, &call) => {}
        () = sender.ended() => cut(&host, &call, &sender, TOO_SLOW),
        () = sender.closed() => tracing::info!(id = call.head.id, "stream: caller disconnected; generation cancelled"),
        end = relay_events(&host, &call, run, &sender) => match end {
            Ok(()) => {}
            Err(reason) => cut(&host, &call, &sender, reason),
        }
    }
}

fn cut<D, S>(host: &Host<D, S>, call: &Call, sender: &Sender, cut: Cut) {
    let label = Label { reason: cut.0 };
    host.metrics.cuts.get_or_create(&label).inc();
    tracing::info!(id = call.head.id, reason = cut.0, "stream: cut");
    sender.cut(cut);
}

/// Logs a stream that is open shortly before the exit of the process, which may cut it; never ends.
async fn note_exit<D, S>(host: &Host<D, S>, call: &Call) {
    host.shutdown.answers_due().await;
    tracing::info!(
        id = call.head.id,
        arrived_after_signal_ms = host.shutdown.get().started_before(call.arrived).map(millis),
        open_ms = millis(now().since(call.arrived)),
        "stream: open shortly before the exit of this host"
    );
    std::future::pending::<()>().await;
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Passes bytes to a caller, large ones in copies of pieces: a piece that waits for a slow caller does not
/// keep the memory of the whole.
///
/// # Errors
/// Fails when the caller is gone, or is ended since it does not read.
pub(crate) async fn forward(sender: &Sender, mut bytes: bytes::Bytes) -> Result<(), outbox::Error> {
    if bytes.len() <= SMALL_BYTES {
        return sender.send(bytes).await;
    }
    while !bytes.is_empty() {
        let piece = bytes.split_to(PIECE_BYTES.min(bytes.len()));
        sender.send(bytes::Bytes::copy_from_slice(&piece)).await?;
    }
    Ok(())
}

/// Reads the next bytes of a stream. An event that becomes large first gets memory for its largest size.
async fn next(
    exchange: &mut Exchange,
    events: &mut Splitter,
    charge: &mut Option<Charge>,
) -> crate::http::Result<Option<bytes::Bytes>> {
    if charge.is_none() && events.buffered() > SMALL_BYTES {
        *charge = Some(exchange.claim(MAX_EVENT_BYTES).await?);
        events.reserve();
    }
    exchange.next().await
}

/// What an engine sent.
enum Read {
    /// Bytes up to the end of an event.
    Events(bytes::Bytes),
    Malformed,
    End,
    Failed(crate::http::Error),
}

/// Reads up to the end of an event. Keeps what it has read when it is dropped before.
async fn next_events(
    exchange: &mut Exchange,
    events: &mut Splitter,
    charge: &mut Option<Charge>,
) -> Read {
    loop {
        let data = match next(exchange, events, charge).await {
            Ok(Some(data)) => data,
            Ok(None) => return Read::End,
            Err(error) => return Read::Failed(error),
        };
        match events.push(&data) {
            Ok(complete) if complete.is_empty() => {}
            Ok(complete) => return Read::Events(complete),
            Err(_) => return Read::Malformed,
        }
    }
}

async fn relay_events<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    mut run: Running<D, S>,
    sender: &Sender,
) -> Result<(), Cut> {
    let mut events = Splitter::after(call.head.last_event_id);
    let tokens_per_event = engine(host, &call.service).map_or(1, |engine| engine.tokens_per_event);
    let max_output = call.head.tokens.unwrap_or(DEFAULT_TOKENS).output;
    let mut delivered = 0;
    // `None` after a break: the gap says nothing about the engine's speed.
    let mut pace = Some(Pace::default());
    let mut last_event = now();
    let mut gap_start = last_event;
    let mut charge = None;
    let mut ending = Ending::new(call.route().resumable);
    let mut was_asked = false;
    let mut is_silent = false;
    loop {
        let left = call.deadline().since(now());
        if left.is_zero() {
            return Err(Cut("route timeout"));
        }
        // The gap counts from the last whole event with an id: a stalled engine may go on sending single
        // bytes or comments.
        let max_gap = if call.route().resumable {
            left.min((gap_start + call.route().resume_gap()).since(now()))
        } else {
            left
        };
        events.set_unframed(run.exchange.framing() == Framing::Close);
        let read = timeout(
            max_gap,
            next_events(&mut run.exchange, &mut events, &mut charge),
        );
        let read = match read.await {
            Ok(read) => read,
            Err(_) if max_gap >= left => continue,
            Err(_) => {
                pace = None;
                if !is_silent {
                    is_silent = true;
                    note_silence(host, call, &run, &events);
                }
                let point = ResumePoint {
                    last_event_id: events.last(),
                    produced: delivered * tokens_per_event,
                    since: last_event,
                    // An unresponsive engine would delay the KV transfer.
                    parts_at: None,
                };
                // Boxed, as what follows an end or a break is: the task of every stream would have room for it.
                let seeking = seek(host, call, run, &mut events, &mut charge, point);
                match Box::pin(seeking).await {
                    Sought::Read(same, read) => {
                        run = same;
                        read
                    }
                    Sought::Moved(next) => {
                        ending.failed();
                        events.discard_tail();
                        charge = None;
                        run = next;
                        is_silent = false;
                        gap_start = now();
                        continue;
                    }
                    Sought::Nothing(same) if may_go_on(host, call, &same).await => {
                        run = same;
                        gap_start = now();
                        continue;
                    }
                    Sought::Nothing(_) | Sought::Lost => return Err(Cut(NO_EVENT)),
                }
            }
        };
        let mut is_end_credible = false;
        let cause = match read {
            Read::Events(complete) => {
                let produced = events.count() - delivered;
                // A comment is no event.
                if delivered == 0 && produced > 0 {
                    host.began(call);
                    let beginning = listings::begin(host, call, &run.endpoint);
                    match Box::pin(beginning).await {
                        Beginning::Allowed => {}
                        Beginning::Elsewhere => {
                            let closed = run.close();
                            run = begin_elsewhere(host, call, &closed).await?;
                            events = Splitter::after(call.head.last_event_id);
                            (charge, pace) = (None, None);
                            (is_silent, gap_start) = (false, now());
                            continue;
                        }
                        Beginning::Doubtful => return Err(Cut(NOT_LISTED)),
                    }
                }
                delivered += produced;
                if produced > 0 {
                    last_event = now();
                    gap_start = last_event;
                    is_silent = false;
                    if was_asked {
                        pace = None;
                    }
                    if ending.progressed() {
                        note_rest(host, call, &run, &events);
                    }
                    if let Some(pace) = &mut pace {
                        pace.record(last_event, delivered);
                    }
                }
                run.reservation.progress(
                    produced * tokens_per_event,
                    max_output.saturating_sub(delivered * tokens_per_event),
                );
                match timeout(left, forward(sender, complete)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(outbox::Error::Gone)) => return Ok(()),
                    Ok(Err(outbox::Error::TooSlow)) => return Err(TOO_SLOW),
                    Err(_) => return Err(Cut("route timeout")),
                }
                if events.buffered() <= SMALL_BYTES {
                    charge = None;
                }
                continue;
            }
            Read::Malformed => "malformed events",
            Read::End if events.last().is_none() => {
                if run.exchange.framing() == Framing::Close {
                    aborts::crash(host, call, &run.endpoint, run.sent_at);
                }
                "no event before the end"
            }
            Read::End if events.is_at_boundary() => {
                let concluding = conclude(host, call, &mut run, &mut ending, &events, last_event);
                match Box::pin(concluding).await? {
                    Conclusion::Finished => {
                        finish(host, call, &run.close(), &events, pace);
                        return Ok(());
                    }
                    Conclusion::GoesOn => {
                        events.discard_tail();
                        gap_start = now();
                        was_asked = true;
                        continue;
                    }
                    Conclusion::Unproven { is_credible } => {
                        is_end_credible = is_credible;
                        UNPROVEN_END
                    }
                }
            }
            Read::End => {
                let mut health = host.health.borrow_mut();
                health.breaks_mut().record(now(), run.reservation.key);
                "incomplete event"
            }
            Read::Failed(error) => {
                if delivered <= MAX_EVENTS_OF_A_CRASH {
                    aborts::strike(host, call, &run.endpoint);
                }
                if delivered == 0 && error.is_closed_by_peer() {
                    aborts::crash(host, call, &run.endpoint, run.sent_at);
                }
                "connection lost"
            }
        };
        note_break(call, &run, &events, cause);
        if call.deadline() <= now() && !is_end_credible {
            return Err(Cut("route timeout"));
        }
        if cause != UNPROVEN_END {
            ending.failed();
            host.failed(run.reservation.key, Suspicion::Faulty);
        }
        events.discard_tail();
        charge = None;
        pace = None;
        let point = ResumePoint {
            last_event_id: events.last(),
            produced: delivered * tokens_per_event,
            since: last_event,
            parts_at: Some(run.endpoint.address),
        };
        let tried = Tried::after(&run.endpoint, point.last_event_id);
        let closed = run.close();
        run = match Box::pin(resume(host, call, &closed, point, tried)).await {
            Some(next) => next,
            None if is_end_credible => {
                finish(host, call, &closed, &events, None);
                return Ok(());
            }
            None => return Err(Cut(cause)),
        };
        is_silent = false;
        gap_start = now();
    }
}

/// Starts a stream anew whose first event its caller did not get, since the log could not list it.
async fn begin_elsewhere<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    closed: &Closed,
) -> Result<Running<D, S>, Cut> {
    let point = ResumePoint {
        last_event_id: None,
        produced: 0,
        since: call.arrived,
        parts_at: Some(closed.endpoint.address),
    };
    let tried = Tried {
        ids: vec![closed.endpoint.id.clone()],
        ..Tried::default()
    };
    let resuming = resume(host, call, closed, point, tried);
    Box::pin(resuming).await.ok_or(Cut(NOT_LISTED))
}

fn note_break<D, S>(call: &Call, run: &Running<D, S>, events: &Splitter, cause: &'static str) {
    tracing::info!(
        id = call.head.id,
        endpoint = run.endpoint.id,
        version = run.endpoint.version,
        framing = ?run.exchange.framing(),
        reason = cause,
        after_event = events.last(),
        parts = call.parts(),
        "stream: broken"
    );
}

/// Records that an engine which was asked for the rest of a stream has sent more of it: it broke the stream off.
fn note_rest<D, S>(host: &Host<D, S>, call: &Call, run: &Running<D, S>, events: &Splitter) {
    let mut health = host.health.borrow_mut();
    health.breaks_mut().record(now(), run.reservation.key);
    tracing::info!(
        id = call.head.id,
        endpoint = run.endpoint.id,
        last_event = events.last(),
        "stream: engine has sent more after an end"
    );
}

/// Records an engine whose stream has had no event for the longest gap.
fn note_silence<D, S>(host: &Rc<Host<D, S>>, call: &Call, run: &Running<D, S>, events: &Splitter) {
    tracing::info!(
        id = call.head.id,
        endpoint = run.endpoint.id,
        version = run.endpoint.version,
        after_event = events.last(),
        "stream: silent; another engine is sought"
    );
    host.metrics.silent_streams.inc();
    host.failed(run.reservation.key, Suspicion::Silent);
}

/// What comes first at a silent stream.
enum Sought<D, S> {
    /// Its engine goes on.
    Read(Running<D, S>, Read),
    /// Another engine goes on with it.
    Moved(Running<D, S>),
    /// No other engine takes it.
    Nothing(Running<D, S>),
    /// The engine that was to go on with it may have run it and is lost.
    Lost,
}

/// Looks for another engine beside a silent stream, which stays open until one has accepted it: the silent engine
/// may go on, and the other one may refuse the request.
async fn seek<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    mut run: Running<D, S>,
    events: &mut Splitter,
    charge: &mut Option<Charge>,
    point: ResumePoint,
) -> Sought<D, S> {
    let mut tried = Tried::after(&run.endpoint, point.last_event_id);
    for _ in 0..MAX_SENDS {
        let place = tokio::select! {
            read = next_events(&mut run.exchange, events, charge) => return Sought::Read(run, read),
            place = find_place(host, call, run.runs, point, &mut tried) => place,
        };
        let Some(place) = place else {
            return Sought::Nothing(run);
        };
        tried.ids.push(place.endpoint.id.clone());
        if !is_ready(host, place.reservation.key) {
            continue;
        }
        let head = call.deadline().since(now());
        let from = run.endpoint.clone();
        let mut beginning = pin!(begin(host, call, &from, run.runs, place, point, head));
        // What the silent engine sends meanwhile is read if the other one refuses: to cancel a request that may
        // have begun would leave both at work on the stream.
        match timeout(MAX_OVERLAP, &mut beginning).await {
            Ok(Begun::Started(next)) => {
                note_break(call, &run, events, NO_EVENT);
                return Sought::Moved(*next);
            }
            Ok(Begun::Refused) => {}
            Ok(Begun::Lost) => return Sought::Lost,
            Err(_) => {
                note_break(call, &run, events, NO_EVENT);
                let closed = run.close();
                let next = match beginning.await {
                    Begun::Started(next) => Some(*next),
                    Begun::Refused => resume(host, call, &closed, point, tried).await,
                    Begun::Lost => None,
                };
                return next.map_or(Sought::Lost, Sought::Moved);
            }
        }
    }
    Sought::Nothing(run)
}

/// Whether a silent stream that no other engine takes stays open. A sound engine may pause, and its caller
/// leaves by itself; a stream of an engine that is gone ends, so that its caller can take it up elsewhere. A
/// stopping host ends none, since a sound engine may refuse a connection as well.
async fn may_go_on<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    run: &Running<D, S>,
) -> bool {
    if host.is_stopping() {
        return true;
    }
    let left = call.deadline().since(now());
    if run.exchange.relay.is_some() {
        return accepts_connection(host, &run.exchange, &run.endpoint, left).await;
    }
    let destination = run.endpoint.destination();
    host.pool
        .lives(destination, CONNECT_TIMEOUT.min(left))
        .await
}

/// Records a whole stream; `pace` is that of a stream which did not break.
fn finish<D, S>(
    host: &Host<D, S>,
    call: &Call,
    run: &Closed,
    events: &Splitter,
    pace: Option<Pace>,
) {
    host.answered(run.key, 1.0);
    if let Some(tokens) = call.head.tokens {
        let tokens_per_event =
            engine(host, &call.service).map_or(1, |engine| engine.tokens_per_event);
        let mut mix = host.mix(&call.service);
        let pace = pace.and_then(|pace| pace.ms_per_token(tokens_per_event));
        mix.add(tokens.prompt, events.count() * tokens_per_event, pace);
        host.mixes.borrow_mut().insert(call.service.clone(), mix);
    }
    tracing::info!(
        id = call.head.id,
        endpoint = run.endpoint.id,
        version = run.endpoint.version,
        framing = ?run.framing,
        events = events.count(),
        last_event = events.last(),
        hint = call.head.output_hint,
        took_ms = now().since(call.arrived).as_millis() as u64,
        "stream: finished"
    );
}

/// Where to resume a broken stream.
#[derive(Clone, Copy, Debug)]
struct ResumePoint {
    /// Id of the last event that the caller has.
    last_event_id: Option<u64>,
    /// Output tokens that the caller has.
    produced: u32,
    /// Time of the last event, or of the start of the stream.
    since: Instant,
    /// Engine whose prefix cache may hold the prompt.
    parts_at: Option<SocketAddr>,
}

/// Priority of a resumed stream: its prompt was prefilled, and its caller waits for the next event.
pub(crate) const RESUME_PRIORITY: u8 = 0;

/// Reserves capacity for a stream at another engine, within the retry budget and the attempts of the route.
async fn find_place<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    runs: u32,
    point: ResumePoint,
    tried: &mut Tried,
) -> Option<Acquired<D, S>> {
    if !call.route().resumable || runs >= call.route().max_attempts {
        return None;
    }
    let mut tokens = expected_tokens(call);
    tokens.prompt += point.produced;
    tokens.output = remaining(tokens.output, point.produced);
    let hopeless_at = hopeless_at(host, call, tokens, point.since);
    let demand = Demand {
        tokens,
        priority: RESUME_PRIORITY,
        start_by: hopeless_at,
        hopeless_at,
        is_first: false,
        has_begun: point.last_event_id.is_some(),
        is_answered: true,
    };
    let acquired = acquire(host, call, demand, tried).await.ok()?;
    host.may_retry(call).then_some(acquired)
}

/// Resumes a broken stream at another engine.
async fn resume<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    broken: &Closed,
    point: ResumePoint,
    mut tried: Tried,
) -> Option<Running<D, S>> {
    for _ in 0..MAX_SENDS {
        let place = find_place(host, call, broken.runs, point, &mut tried).await?;
        tried.ids.push(place.endpoint.id.clone());
        if !is_ready(host, place.reservation.key) {
            continue;
        }
        // No further engine gets the stream, so there is no reason to give this one up early.
        let head = call.deadline().since(now());
        let from = &broken.endpoint;
        match begin(host, call, from, broken.runs, place, point, head).await {
            Begun::Started(run) => return Some(*run),
            Begun::Refused => {}
            Begun::Lost => return None,
        }
    }
    None
}

/// Outcome of a request to go on with a stream.
enum Begun<D, S> {
    Started(Box<Running<D, S>>),
    /// The engine has not run it.
    Refused,
    /// The engine may have run it.
    Lost,
}

/// Asks an engine to go on with a stream of another one, and waits up to `head` for the head of its answer.
async fn begin<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    from: &Endpoint,
    runs: u32,
    place: Acquired<D, S>,
    point: ResumePoint,
    head: Duration,
) -> Begun<D, S> {
    let source = point.parts_at.map_or(KvSource::None, KvSource::Parts);
    let Acquired {
        reservation,
        endpoint,
        ..
    } = place;
    let sent_at = now();
    let decoded = decode(
        host,
        call,
        reservation.key,
        &endpoint,
        source,
        point.last_event_id,
        head,
    );
    match decoded.await {
        Decoded::Started(exchange) => {
            host.metrics.retry("resumed");
            tracing::info!(
                id = call.head.id,
                from = from.id,
                to = endpoint.id,
                version = endpoint.version,
                after_event = point.last_event_id,
                "stream: resumed"
            );
            Begun::Started(Box::new(Running {
                exchange: *exchange,
                endpoint,
                reservation,
                sent_at,
                runs: runs + 1,
            }))
        }
        Decoded::Refused | Decoded::NotSent => Begun::Refused,
        Decoded::Answered(_) | Decoded::Lost(_) => Begun::Lost,
    }
}
