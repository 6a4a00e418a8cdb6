//! Calls to plain services: attempts, repeats and true refusals.

use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use crate::directory::{Endpoint, Key};
use crate::fleet::Kind;
use crate::health::Suspicion;
use crate::http::{Error, Timeouts};
use crate::ledger::Run;
use crate::metrics::Label;
use crate::peer;
use crate::platform::{Dialect, Store};
use crate::refusal::Reason;
use crate::request::{Call, Classification, Reply, answer_headers};
use crate::state::{Host, LAST_RESORT_COST, NO_GRANT, Reservation, jitter, now};

/// Time until a connection stands. Links take a few milliseconds; a lost packet is sent again after
/// a second, and another endpoint is tried before that.
pub(crate) const CONNECT: Duration = Duration::from_millis(250);
/// Largest body of a plain answer in bytes.
const LARGEST_BODY: usize = 8 * 1_024 * 1_024;
/// Idle time up to which a connection carries a request that cannot be repeated.
const FRESH_CONNECTION: Duration = Duration::from_millis(1_500);
/// Part of the latency objective after which a lookup is sent to another endpoint.
const LOOKUP_PATIENCE: f64 = 2.5;
/// Sends of one attempt of a caller, refused ones included.
const SENDS: usize = 4;
/// Random cost in a choice, as a share of an endpoint's slots.
const JITTER: f64 = 0.05;

/// How one send ended.
enum Attempt {
    /// The endpoint answered.
    Answered {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    },
    /// It states that the request did not run.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// It may have run.
    Lost(Error),
    /// The answer is not one to this request.
    Foreign,
}

impl Attempt {
    const fn name(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::Refused => "refused",
            Self::NotSent => "not_sent",
            Self::Lost(_) => "lost",
            Self::Foreign => "foreign_answer",
        }
    }

    fn error(&self) -> Option<String> {
        match self {
            Self::Lost(error) => Some(error.to_string()),
            _ => None,
        }
    }
}

/// Serves a call to a plain service.
pub(crate) async fn serve<D: Dialect, S: Store>(host: &Rc<Host<D, S>>, call: &Call) -> Reply {
    let idempotent = call.route().kind == Kind::Idempotent;
    let mut tried: Vec<Key> = Vec::new();
    let mut runs = 0;
    let mut sent = 0;
    let mut last = None;
    let mut reason = Reason::NoEndpoint;
    for _ in 0..SENDS {
        let now = now();
        let left = call.deadline().since(now);
        if left.is_zero() {
            let reason = if runs > 0 {
                Reason::TimedOut
            } else {
                Reason::Hopeless
            };
            return refused(host, reason, None);
        }
        let Some((key, endpoint)) = choose(host, call, &tried) else {
            break;
        };
        if sent > 0 && !host.may_retry(call) {
            break;
        }
        tried.push(key);
        let more = idempotent && runs + 1 < call.route().max_attempts;
        let patience = if more {
            left.min(call.route().latency_target.mul_f64(LOOKUP_PATIENCE))
                .min(left / 2)
        } else {
            left
        };
        let attempt = attempt(host, call, key, &endpoint, patience).await;
        tracing::info!(
            id = call.head.id,
            endpoint = endpoint.id,
            entry = endpoint.sequence,
            left_ms = left.as_millis() as u64,
            outcome = attempt.name(),
            error = attempt.error(),
            "call: attempt"
        );
        match attempt {
            Attempt::Answered {
                status,
                headers,
                body,
            } => {
                runs += 1;
                sent += 1;
                let failed = status.is_server_error();
                let reply = Reply::Whole {
                    status,
                    headers,
                    body,
                };
                if !failed || !idempotent || runs >= call.route().max_attempts {
                    return reply;
                }
                host.metrics.retry("endpoint_error");
                last = Some(reply);
            }
            Attempt::Refused => {
                sent += 1;
                host.metrics.retry("refused");
                reason = Reason::EndpointsRefused;
            }
            Attempt::NotSent => {
                host.metrics.retry("not_sent");
                reason = Reason::EndpointsRefused;
            }
            Attempt::Lost(_) | Attempt::Foreign => {
                runs += 1;
                sent += 1;
                host.metrics.retry("lost");
                if !idempotent || runs >= call.route().max_attempts {
                    return last.unwrap_or_else(|| refused(host, Reason::EndpointLost, None));
                }
            }
        }
    }
    if let Some(last) = last {
        return last;
    }
    if runs > 0 {
        return refused(host, Reason::EndpointLost, None);
    }
    let left = call.deadline().since(now());
    refused(host, reason, Some(spread(RETRY_SOON).min(left / 3)))
}

/// Time after which a refused call may find room; plain calls take tens of milliseconds.
const RETRY_SOON: Duration = Duration::from_millis(150);

/// A random time around a mean, so that refused callers do not return together.
pub(crate) fn spread(mean: Duration) -> Duration {
    mean.mul_f64(0.5 + jitter(1.0))
}

/// A random time after an instant at which there is room, so that refused callers neither come too
/// early nor together.
pub(crate) fn spread_after(earliest: Duration) -> Duration {
    earliest.mul_f64(1.0 + jitter(0.5))
}

/// An answer of the system's own, counted by its reason.
pub(crate) fn refused<D, S>(host: &Host<D, S>, reason: Reason, after: Option<Duration>) -> Reply {
    let label = Label {
        reason: reason.code(),
    };
    host.metrics.refusals.get_or_create(&label).inc();
    reason.reply(after)
}

fn choose<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    tried: &[Key],
) -> Option<(Key, Endpoint)> {
    if tried.is_empty()
        && call.route().kind == Kind::Idempotent
        && let Some(key) = host.probe(&call.service, None)
        && let Some(endpoint) = host.directory.borrow().get(key)
        && endpoint.state == crate::directory::State::Ready
    {
        return Some((key, endpoint.clone()));
    }
    peer::refresh_peer_load(host);
    let ledger = host.ledger.borrow();
    let cost = |key, endpoint: &Endpoint, suspicion: Option<Suspicion>| {
        let counted = f64::from(ledger.requests(key)) / f64::from(endpoint.slots.max(1));
        let share = counted.max(host.health.borrow().reported_load(now(), key));
        let last = if suspicion.is_some() {
            LAST_RESORT_COST
        } else {
            0.0
        };
        Some(share + host.distance_cost(endpoint) + last + jitter(JITTER))
    };
    let fresh = host.choose(&call.service, None, tried, cost);
    // A second send may go to the same endpoint when there is no other.
    fresh.or_else(|| {
        let last = tried.last().copied();
        host.choose(&call.service, None, &[], cost)
            .filter(|(key, _)| Some(*key) != last || tried.len() == 1)
    })
}

async fn attempt<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    key: Key,
    endpoint: &Endpoint,
    patience: Duration,
) -> Attempt {
    let started = now();
    let Ok(request) = call.outbound::<D>(&call.addressed(endpoint, started)) else {
        return Attempt::NotSent;
    };
    let max_idle = if call.route().kind == Kind::Idempotent {
        Duration::MAX
    } else {
        FRESH_CONNECTION
    };
    let patience = Timeouts {
        connect: CONNECT.min(patience),
        head: patience,
        max_idle,
    };
    let _reservation = Reservation::acquire(host, key, Run::default(), NO_GRANT);
    let attempt = exchange::<D, S>(host, call, key, endpoint, request, patience, started).await;
    match &attempt {
        Attempt::Answered { status, .. } if status.is_server_error() => host.server_error(key),
        Attempt::Answered { .. } => {
            host.answered(key, now().since(started).as_secs_f64() * 1_000.0);
        }
        Attempt::Refused => {}
        Attempt::Lost(error) => {
            if matches!(error, Error::Lost(_) | Error::Broken(_)) {
                host.strike(call, endpoint);
            }
            host.failed(key, Suspicion::from(error));
        }
        Attempt::NotSent => host.failed(key, Suspicion::Silent),
        Attempt::Foreign => host.failed(key, Suspicion::Faulty),
    }
    attempt
}

async fn exchange<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    key: Key,
    endpoint: &Endpoint,
    request: http::Request<http_body_util::Full<Bytes>>,
    patience: Timeouts,
    started: Instant,
) -> Attempt {
    let mut exchange = match host.pool.send(endpoint.address, request, patience).await {
        Ok(exchange) => exchange,
        Err(Error::NotSent(_)) => return Attempt::NotSent,
        Err(error) => return Attempt::Lost(error),
    };
    let answer = D::answer(exchange.status, &exchange.headers);
    let classification = call.classify(&answer, exchange.status, &exchange.headers);
    host.note_answer(key, &answer, classification);
    match classification {
        Classification::Valid => {}
        Classification::Mismatched => return Attempt::Foreign,
        Classification::NotRun => {
            let left = patience.head.saturating_sub(now().since(started));
            // The body is read so that the connection can be used again.
            drop(exchange.read(LARGEST_BODY, left).await);
            return Attempt::Refused;
        }
    }
    let left = patience.head.saturating_sub(now().since(started));
    match exchange.read(LARGEST_BODY, left).await {
        Ok(body) => Attempt::Answered {
            status: exchange.status,
            headers: answer_headers(&exchange.headers),
            body,
        },
        Err(error) => Attempt::Lost(error),
    }
}
