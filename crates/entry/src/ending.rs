//! Finds out whether a stream that ended with its connection is whole: asks its engine for the rest as soon as
//! that takes a request, and otherwise weighs what speaks against the end.

use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::ending::{Access, Ending, Entry, Question, Step, Unproven};

use crate::aborts;
use crate::call::accepts_connection;
use crate::completion::{Decoded, KvSource, decode, head_timeout, latest_question};
use crate::directory::{Key, State};
use crate::events::Splitter;
use crate::health::Suspicion;
use crate::metrics::Label;
use crate::permit;
use crate::platform::{Dialect, Store};
use crate::request::{Call, Cut};
use crate::state::{Host, now};
use crate::stream::Running;

/// Cause of a break when a stream ended with its connection and its engine did not prove that it is whole.
pub(crate) const UNPROVEN_END: &str = "unproven end";
/// Least pause before a question that had to wait is looked at again.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// What the end of an engine's answer means for the stream.
pub(crate) enum Conclusion {
    /// The stream is whole.
    Finished,
    /// The engine goes on with it.
    GoesOn,
    /// Another engine has to prove the end, or go on.
    Unproven {
        /// Whether the end is believed if no other engine takes the stream.
        is_credible: bool,
    },
}

/// Result of a question for the rest.
type Result<T> = std::result::Result<T, Unproven>;

/// Finds out whether a stream whose engine ended it after a whole event is whole; its caller had that event at
/// `last_event`.
pub(crate) async fn conclude<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    run: &mut Running<D, S>,
    ending: &mut Ending,
    events: &Splitter,
    last_event: Instant,
) -> std::result::Result<Conclusion, Cut> {
    match ending.ended(run.exchange.framing(), events.count()) {
        Step::Finish => return Ok(Conclusion::Finished),
        Step::Break => return Ok(Conclusion::Unproven { is_credible: false }),
        Step::Reach if is_reachable(host, call, run, events).await => {
            return Ok(Conclusion::Finished);
        }
        Step::Reach => {
            ending.unproven();
            return Ok(Conclusion::Unproven { is_credible: false });
        }
        Step::AskForRest => {}
    }
    let ended_at = now();
    let ask_by = latest_question(host, call, last_event);
    // An engine that leaves may be gone when the question has waited, so it is reached for at once.
    let mut is_alive = None;
    if question(host, run).within(ask_by.since(ended_at)) != Question::Ask {
        is_alive = Some(is_reachable(host, call, run, events).await);
    }
    let reason = match is_alive {
        Some(false) => Unproven::NoAnswer,
        Some(true) | None => match ask(host, call, run, events.last(), ask_by).await {
            Ok(()) => return Ok(Conclusion::GoesOn),
            Err(reason) => reason,
        },
    };
    let key = run.reservation.key;
    let has_broken_off = host.health.borrow().breaks().is_recent(now(), key);
    let mut is_credible = ending.is_credible(reason) && !has_broken_off;
    if is_credible && is_alive.is_none() {
        is_credible = is_reachable(host, call, run, events).await;
    }
    let label = Label {
        reason: reason.name(),
    };
    host.metrics.unproven_ends.get_or_create(&label).inc();
    tracing::info!(
        id = call.head.id,
        endpoint = run.endpoint.id,
        version = run.endpoint.version,
        after_event = events.last(),
        reason = reason.name(),
        waited_ms = now().since(ended_at).as_millis() as u64,
        has_broken_off,
        is_credible,
        "stream: end not proved by its engine"
    );
    // Without a budget no other engine can be asked either.
    match reason {
        Unproven::Budget if is_credible => Ok(Conclusion::Finished),
        Unproven::Budget => Err(Cut(UNPROVEN_END)),
        _ => {
            ending.unproven();
            Ok(Conclusion::Unproven { is_credible })
        }
    }
}

/// Whether the engine of a stream that has ended still accepts connections.
async fn is_reachable<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    run: &Running<D, S>,
    events: &Splitter,
) -> bool {
    let left = call.deadline().since(now());
    if accepts_connection(host, &run.exchange, &run.endpoint, left).await {
        return true;
    }
    host.failed(run.reservation.key, Suspicion::Silent);
    if events.count() == 0 {
        aborts::crash(host, call, &run.endpoint, run.sent_at);
    }
    false
}

/// When the engine of a stream may be asked for the rest.
fn question<D, S>(host: &Host<D, S>, run: &Running<D, S>) -> Question {
    access(host, run).question()
}

fn access<D, S>(host: &Host<D, S>, run: &Running<D, S>) -> Access {
    let now = now();
    let engine = &run.endpoint;
    let directory = host.directory.borrow();
    let Some((key, known)) = directory.find(&engine.id) else {
        let mut others = directory.iter();
        let is_replaced = others.any(|(_, other)| other.address == engine.address);
        return Access::new(if is_replaced {
            Entry::Replaced
        } else {
            Entry::Gone
        });
    };
    if known.incarnation != engine.incarnation {
        return Access::new(Entry::Replaced);
    }
    let refresh = host.refresh.get();
    let leaves_in = (known.state == State::Draining).then(|| leaves_in(host, key));
    // A notice of the engine itself that it leaves does not bind requests that were sent to it before.
    let is_late = leaves_in.is_none() && host.is_directory_expired(now);
    Access {
        entry: Entry::Same,
        leaves_in,
        entry_due_in: is_late.then(|| refresh.query_pause()),
        is_open: host.is_open(&known),
        pause_left: host.health.borrow().notices().pause_left(now, key),
        is_limited: host.limits.borrow().rate(&engine.id).is_some(),
    }
}

/// Time left to send requests to an engine whose entry says that it leaves.
fn leaves_in<D, S>(host: &Host<D, S>, key: Key) -> Duration {
    let ready_at = host.health.borrow().last_ready(key);
    let refresh = host.refresh.get();
    ready_at.map_or(Duration::ZERO, |at| refresh.leaves_in(now(), at))
}

/// Asks the engine of a stream for the rest as soon as it takes a request, until `ask_by`.
async fn ask<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    run: &mut Running<D, S>,
    last_event_id: Option<u64>,
    ask_by: Instant,
) -> Result<()> {
    loop {
        let patience = ask_by.since(now());
        let mut question = question(host, run).within(patience);
        if question == Question::AskWithPermit {
            let engine = (run.reservation.key, run.endpoint.clone());
            question = match permit::take(host, &call.service, vec![engine]).await {
                Ok(_) => Question::Ask,
                Err(wait) => Question::Wait(wait, Unproven::Limited).within(patience),
            };
        }
        match question {
            Question::Skip(reason) => return Err(reason),
            Question::Wait(pause, _) => tokio::time::sleep(pause.max(MIN_PAUSE)).await,
            Question::Ask | Question::AskWithPermit => break,
        }
    }
    if !host.may_retry(call) {
        return Err(Unproven::Budget);
    }
    host.metrics.retry("unproven_end");
    ask_for_rest(host, call, run, last_event_id).await
}

/// Asks the engine of a stream to go on after its last event, in the place that the stream has there.
async fn ask_for_rest<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    run: &mut Running<D, S>,
    last_event_id: Option<u64>,
) -> Result<()> {
    let (key, source) = (run.reservation.key, KvSource::None);
    let sent_at = now();
    match decode(
        host,
        call,
        key,
        &run.endpoint,
        source,
        last_event_id,
        head_timeout(call),
    )
    .await
    {
        Decoded::Started(exchange) => {
            run.exchange = *exchange;
            run.sent_at = sent_at;
            Ok(())
        }
        Decoded::Refused => Err(Unproven::Refused),
        Decoded::NotSent => {
            host.failed(key, Suspicion::Silent);
            Err(Unproven::NoAnswer)
        }
        // Says nothing about the engine, which may have forgotten a run that has ended.
        Decoded::Answered(_) => Err(Unproven::NoAnswer),
        Decoded::Lost(suspicion) => {
            host.failed(key, suspicion);
            Err(Unproven::NoAnswer)
        }
    }
}
