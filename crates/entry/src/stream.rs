//! Streams on their way to the caller, and how a broken one goes on.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::admission::engine;
use crate::completion::{
    Acquired, Decoded, Memory, SENDS, Tried, UNSTATED, Wish, acquire, decode, expected, hopeless_at,
};
use crate::directory::Endpoint;
use crate::events::Events;
use crate::health::Suspicion;
use crate::http::Exchange;
use crate::metrics::Label;
use crate::platform::{Dialect, Store};
use crate::request::{Call, Cut};
use crate::state::{Host, Reservation, now};

/// Longest pause between events, after which a resumable stream goes on elsewhere. Callers leave after
/// 3.6 s.
pub(crate) const PAUSE: Duration = Duration::from_millis(1_500);
/// Events that wait for a slow caller.
pub(crate) const BUFFERED_EVENTS: usize = 16;

/// A generation that runs at a decode engine.
pub(crate) struct Running<D, S> {
    pub(crate) exchange: Exchange,
    pub(crate) endpoint: Endpoint,
    pub(crate) reservation: Reservation<D, S>,
    /// Engines that ran the request.
    pub(crate) runs: u32,
}

/// Why a stream that fell silent is broken.
const NO_EVENT: &str = "no event";

pub(crate) type Sender = mpsc::Sender<Result<bytes::Bytes, Cut>>;

/// Passes the events on until the stream ends or its caller leaves.
pub(crate) async fn relay<D: Dialect, S: Store>(
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
                    run.reservation.progress(
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
                host.answered(run.reservation.key, 1.0);
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
        let suspicion = if broken == NO_EVENT {
            Suspicion::Silent
        } else {
            Suspicion::Faulty
        };
        host.failed(run.reservation.key, suspicion);
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
        reservation,
        runs,
    } = broken;
    // The engine stops when the connection closes.
    drop(exchange);
    drop(reservation);
    if !call.route().resumable || runs >= call.route().max_attempts {
        return None;
    }
    let mut tried = Tried {
        ids: vec![endpoint.id.clone()],
        failed: Some(endpoint.id.clone()),
    };
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
        let acquired = acquire(host, call, wish, &mut tried).await.ok()?;
        if !host.may_retry(call) {
            return None;
        }
        let Acquired {
            reservation,
            endpoint: next,
            ..
        } = acquired;
        tried.ids.push(next.id.clone());
        match decode(host, call, reservation.key, &next, memory, after_event).await {
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
                    reservation,
                    runs: runs + 1,
                });
            }
            Decoded::Refused | Decoded::NotSent => {}
            Decoded::Answered(_) | Decoded::Lost(_) => return None,
        }
    }
    None
}
