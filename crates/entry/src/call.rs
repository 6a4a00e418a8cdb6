//! Calls to plain services: endpoint selection, retries, and rejections of calls that did not run.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::ending::{Ending, Framing, Step};
use berylknot_coordination::forecast::spread_ms;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use crate::aborts;
use crate::choice::{self, Exclusion, Search};
use crate::directory::{Endpoint, Key};
use crate::fleet::Kind;
use crate::health::{Group, Suspicion};
use crate::http::memory::LARGE_BYTES;
use crate::http::{Error, Exchange, Timeouts};
use crate::ledger::Run;
use crate::metrics::Label;
use crate::overload::{hopeless, return_after, surplus};
use crate::peer;
use crate::permit;
use crate::platform::{Dialect, Store};
use crate::prefill;
use crate::refusal::{Reason, STOPPING_RETRY_AFTER};
use crate::request::{Call, Classification, Reply, answer_headers};
use crate::state::{Host, LAST_RESORT_COST, NO_GRANT, Reservation, jitter, now};

/// Connect timeout. Links take a few milliseconds; a lost packet is retransmitted only after a
/// second, and another endpoint is tried before that.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of a plain answer in bytes.
const MAX_BODY_BYTES: usize = LARGE_BYTES;
/// Longest idle time of a connection that is reused for a non-idempotent request.
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(1_500);
/// Timeout of an attempt that can be retried, as a multiple of the latency objective.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 2.5;
/// Maximum number of sends per attempt of a caller, refused ones included.
const MAX_SENDS: usize = 4;
/// Cost of an endpoint that limits its requests, as a share of its slots: it serves what would have to
/// queue elsewhere.
const LIMITED_COST: f64 = 1.0;
/// Random cost in the choice of an endpoint whose end of a call is forecast, as a share of the spread that the
/// forecast proposes for hosts that all have the same picture: each knows its own requests besides.
const SPREAD_SHARE: f64 = 0.5;
/// Maximum random cost in the choice of an endpoint, as a share of its slots.
const COST_JITTER: f64 = 0.05;

/// Outcome of one send.
enum Attempt {
    /// The endpoint answered.
    Answered {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
        framing: Framing,
    },
    /// The endpoint states that the request did not run.
    Refused,
    /// Nothing was sent to the endpoint.
    NotSent(io::Error),
    /// The request was sent and may have run.
    Lost(Error),
    /// The answer belongs to another request or was altered on the way.
    Mismatched,
}

impl Attempt {
    const fn name(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::Refused => "refused",
            Self::NotSent(_) => "not_sent",
            Self::Lost(_) => "lost",
            Self::Mismatched => "foreign_answer",
        }
    }

    const fn framing(&self) -> Option<Framing> {
        match self {
            Self::Answered { framing, .. } => Some(*framing),
            _ => None,
        }
    }

    fn error(&self) -> Option<String> {
        match self {
            Self::Lost(error) => Some(error.to_string()),
            Self::NotSent(error) => Some(error.to_string()),
            _ => None,
        }
    }
}

/// Serves a call to a plain service: retries within the deadline, the retry budget and the attempts
/// of the route.
pub(crate) async fn serve<D: Dialect, S: Store>(host: &Rc<Host<D, S>>, call: &Call) -> Reply {
    let idempotent = call.route().kind == Kind::Idempotent;
    let mut tried: Vec<Key> = Vec::new();
    let mut runs = 0;
    let mut sent = 0;
    let mut last = None;
    let mut reason = Reason::NoEndpoint;
    let mut retry_after = RETRY_AFTER;
    if let Some(earliest) = surplus(host, call) {
        let after = return_after(host, call, earliest);
        return rejection(host, Reason::Overloaded, Some(after));
    }
    if let Some(prospect) = hopeless(host, call) {
        let after = return_after(host, call, prospect.retry_after());
        return rejection(host, Reason::Overloaded, Some(after));
    }
    for _ in 0..MAX_SENDS {
        let now = now();
        let left = call.deadline().since(now);
        if left.is_zero() {
            let reason = if runs > 0 {
                Reason::TimedOut
            } else {
                Reason::Hopeless
            };
            return rejection(host, reason, None);
        }
        let (key, endpoint) = match acquire(host, call, &tried).await {
            Ok(chosen) => chosen,
            Err(Unavailable::None) => break,
            Err(Unavailable::Limited(wait)) => {
                reason = Reason::EndpointsLimited;
                retry_after = retry_after.max(wait);
                break;
            }
        };
        // A call that was taken before the signal, or that an endpoint refused since.
        if runs == 0 && !host.shutdown.get().ends_in_time(call.deadline()) {
            reason = Reason::Stopping;
            retry_after = STOPPING_RETRY_AFTER;
            break;
        }
        if sent > 0 && (host.is_crashing(call) || !host.may_retry(call)) {
            break;
        }
        tried.push(key);
        let may_retry = idempotent && runs + 1 < call.route().max_attempts;
        let timeout = if may_retry {
            left.min(call.route().latency_target.mul_f64(ATTEMPT_TIMEOUT_FACTOR))
                .min(left / 2)
        } else {
            left
        };
        let attempt = attempt(host, call, key, &endpoint, timeout).await;
        tracing::info!(
            id = call.head.id,
            endpoint = endpoint.id,
            entry = endpoint.sequence,
            pace = host.forecast.borrow().pace(self::now(), key),
            left_ms = left.as_millis() as u64,
            outcome = attempt.name(),
            error = attempt.error(),
            framing = attempt.framing().map(tracing::field::debug),
            "call: attempt"
        );
        match attempt {
            Attempt::Answered {
                status,
                headers,
                body,
                ..
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
            Attempt::NotSent(_) => {
                host.metrics.retry("not_sent");
                reason = Reason::EndpointsRefused;
            }
            Attempt::Lost(_) | Attempt::Mismatched => {
                runs += 1;
                sent += 1;
                host.metrics.retry("lost");
                if !idempotent || runs >= call.route().max_attempts {
                    return last.unwrap_or_else(|| rejection(host, Reason::EndpointLost, None));
                }
            }
        }
    }
    if let Some(last) = last {
        return last;
    }
    if runs > 0 {
        return rejection(host, Reason::EndpointLost, None);
    }
    let after = return_after(host, call, retry_after);
    rejection(host, reason, Some(after))
}

/// Mean `Retry-After` of rejected calls; plain calls take tens of milliseconds.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Applies jitter of ±50 % to a mean, so that rejected callers do not return together.
pub(crate) fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(0.5 + jitter(1.0))
}

/// Adds up to 50 % of jitter to the time until capacity is free, so that rejected callers return
/// neither too early nor together.
pub(crate) fn jittered_after(earliest: Duration) -> Duration {
    earliest.mul_f64(1.0 + jitter(0.5))
}

/// Builds the router's own answer to a request and counts it by its reason.
pub(crate) fn rejection<D, S>(host: &Host<D, S>, reason: Reason, after: Option<Duration>) -> Reply {
    let label = Label {
        reason: reason.code(),
    };
    host.metrics.refusals.get_or_create(&label).inc();
    reason.reply(after)
}

/// Why no endpoint takes a call.
enum Unavailable {
    /// None is ready, or all were tried.
    None,
    /// Those that are left limit their requests; the time until one takes a request.
    Limited(Duration),
}

/// Chooses an endpoint; one that limits its requests only with a permit.
async fn acquire<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    tried: &[Key],
) -> Result<(Key, Endpoint), Unavailable> {
    let chosen = choose(host, call, tried, true).ok_or_else(|| {
        let pause = host.pause_left(&call.service);
        pause.map_or(Unavailable::None, Unavailable::Limited)
    })?;
    if host.limits.borrow().rate(&chosen.1.id).is_none() {
        return Ok(chosen);
    }
    let denied_until = host.denials.borrow().get(&call.service).copied();
    let denied = denied_until.map(|until| until.since(now()));
    let wait = match denied.filter(|wait| !wait.is_zero()) {
        Some(wait) => wait,
        None => {
            let mut candidates = limited(host, call, tried);
            candidates.retain(|(key, _)| *key != chosen.0);
            candidates.insert(0, chosen);
            match permit::take(host, &call.service, candidates).await {
                Ok(granted) => return Ok(granted),
                Err(wait) => wait,
            }
        }
    };
    choose(host, call, tried, false).ok_or(Unavailable::Limited(wait))
}

/// Ready endpoints that limit their requests and are not suspected.
fn limited<D, S>(host: &Host<D, S>, call: &Call, tried: &[Key]) -> Vec<(Key, Endpoint)> {
    let directory = host.directory.borrow();
    let limits = host.limits.borrow();
    let health = host.health.borrow();
    let places = host.places.borrow();
    let now = now();
    let ready = directory.ready(&call.service);
    let limited = ready.filter(|(key, endpoint)| {
        let suspicion = health.suspicion(now, *key, &Group::of(endpoint));
        limits.rate(&endpoint.id).is_some()
            && suspicion.is_none()
            && !tried.contains(key)
            && health.notices().admits(now, *key)
            && places.is_open(&endpoint.data_centre)
            && places.is_home(call.homes(), &endpoint.data_centre)
    });
    limited
        .map(|(key, endpoint)| (key, endpoint.clone()))
        .collect()
}

/// The endpoint with the lowest cost; `with_limited` includes those that limit their requests.
fn choose<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    tried: &[Key],
    with_limited: bool,
) -> Option<(Key, Endpoint)> {
    if with_limited
        && tried.is_empty()
        && call.route().kind == Kind::Idempotent
        && let Some(key) = host.probe(&call.service, None)
        && let Some(endpoint) = host.directory.borrow().get(key)
        && endpoint.state == crate::directory::State::Ready
        && host.admits(key)
        && host.is_open(endpoint)
        && host
            .places
            .borrow()
            .is_home(call.homes(), &endpoint.data_centre)
    {
        return Some((key, endpoint.clone()));
    }
    peer::refresh_peer_load(host);
    let costs = Costs::new(host, call, with_limited, || jitter(1.0));
    let cost = |key, endpoint: &Endpoint, suspicion| costs.of(key, endpoint, suspicion);
    let search = Search {
        service: &call.service,
        stage: None,
        tried,
    };
    // Without another endpoint the second send may go to the same one.
    choice::cheapest(host, search, cost).or_else(|| {
        let last = tried.last().copied();
        let search = Search {
            tried: &[],
            ..search
        };
        choice::cheapest(host, search, cost)
            .filter(|(key, _)| Some(*key) != last || tried.len() == 1)
    })
}

/// Costs of the endpoints of a call.
pub(crate) struct Costs<'a, D, S> {
    host: &'a Host<D, S>,
    call: &'a Call,
    now: Instant,
    /// Usual time of a call, if it is known.
    usual: Option<Duration>,
    /// Whether endpoints that limit their requests are included.
    with_limited: bool,
    /// Draws a number that is uniform in 0..1.
    draw: fn() -> f64,
}

impl<'a, D, S> Costs<'a, D, S> {
    pub(crate) fn new(
        host: &'a Host<D, S>,
        call: &'a Call,
        with_limited: bool,
        draw: fn() -> f64,
    ) -> Self {
        Self {
            host,
            call,
            now: now(),
            usual: host.forecast.borrow().usual(&call.service),
            with_limited,
            draw,
        }
    }

    /// Forecast of the time until an endpoint answers the call; `None` if it does not state its load.
    pub(crate) fn end(&self, key: Key) -> Option<Duration> {
        let own = self.host.ledger.borrow().requests(key);
        let forecast = self.host.forecast.borrow();
        let outlook = forecast.outlook(self.now, key, own, self.usual?)?;
        Some(outlook.end)
    }

    /// Cost of an endpoint; in usual times of a call where its end is forecast, otherwise a share of its slots.
    pub(crate) fn of(
        &self,
        key: Key,
        endpoint: &Endpoint,
        suspicion: Option<Suspicion>,
    ) -> choice::Result<f64> {
        let Self { host, now, .. } = *self;
        let homes = self.call.homes();
        if !host.places.borrow().is_home(homes, &endpoint.data_centre) {
            return Err(Exclusion::NotHome);
        }
        let last = if suspicion.is_some() {
            LAST_RESORT_COST
        } else {
            0.0
        };
        let limited = match host.limits.borrow().rate(&endpoint.id) {
            Some(_) if self.with_limited => LIMITED_COST,
            Some(_) => return Err(Exclusion::Limited),
            None => 0.0,
        };
        let fixed = host.distance_cost(endpoint) + last + limited;
        if let (Some(usual), Some(end)) = (self.usual, self.end(key)) {
            // In units of the usual time, so that an endpoint elsewhere weighs as it does without a forecast.
            let usual_ms = (usual.as_secs_f64() * 1_000.0).max(1.0);
            let late_by = end.as_secs_f64() * 1_000.0 / usual_ms;
            let spread = spread_ms((self.draw)(), usual) / usual_ms * SPREAD_SHARE;
            return Ok(late_by + fixed + spread);
        }
        let own = host.ledger.borrow().requests(key);
        let counted = f64::from(own) / f64::from(endpoint.slots.max(1));
        let share = counted.max(host.health.borrow().reported_load(now, key));
        Ok(share + fixed + (self.draw)() * COST_JITTER)
    }
}

async fn attempt<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    key: Key,
    endpoint: &Endpoint,
    timeout: Duration,
) -> Attempt {
    let started = now();
    let Ok(request) = call.outbound::<D>(&call.addressed(endpoint, started)) else {
        return Attempt::NotSent(io::ErrorKind::InvalidInput.into());
    };
    let max_idle = match call.route().kind {
        Kind::Idempotent => Duration::MAX,
        Kind::NonIdempotent | Kind::Streaming => NON_IDEMPOTENT_MAX_IDLE,
    };
    let timeouts = Timeouts {
        connect: CONNECT_TIMEOUT.min(timeout),
        head: timeout,
        max_idle,
    };
    let _reservation = Reservation::acquire(host, key, Run::default(), NO_GRANT);
    let attempt = exchange::<D, S>(host, call, key, endpoint, request, timeouts, started).await;
    match &attempt {
        Attempt::Answered { status, .. } if status.is_server_error() => host.server_error(key),
        Attempt::Answered { .. } => {
            let took = now().since(started);
            host.answered(key, took.as_secs_f64() * 1_000.0);
            host.learn_usual_time(key, &call.service, took);
            if host.options.features.competing_callers {
                let mut contention = host.contention.borrow_mut();
                contention.answered(now(), &call.service);
            }
        }
        Attempt::Refused => {}
        Attempt::Lost(error) => {
            if matches!(error, Error::Lost(_) | Error::Broken(_)) {
                aborts::strike(host, call, endpoint);
            }
            host.failed(key, Suspicion::from(error));
        }
        Attempt::NotSent(_) => host.failed(key, Suspicion::Silent),
        Attempt::Mismatched => host.failed(key, Suspicion::Faulty),
    }
    attempt
}

/// Whether the endpoint of an answer that ended with its connection is still there.
pub(crate) async fn accepts_connection<D, S>(
    host: &Host<D, S>,
    exchange: &Exchange,
    endpoint: &Endpoint,
    left: Duration,
) -> bool {
    let connect = CONNECT_TIMEOUT.min(left);
    let pool = &host.pool;
    pool.accepts_connection(endpoint.destination(), exchange.relay, connect)
        .await
}

async fn exchange<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    key: Key,
    endpoint: &Endpoint,
    request: http::Request<http_body_util::Full<Bytes>>,
    timeouts: Timeouts,
    started: Instant,
) -> Attempt {
    let id = Some(call.head.id.as_str());
    let sent = host
        .pool
        .send_to_endpoint(endpoint.destination(), id, request, timeouts);
    let mut exchange = match sent.await {
        Ok(exchange) => exchange,
        Err(Error::NotSent(error)) => return Attempt::NotSent(error),
        Err(error) => return Attempt::Lost(error),
    };
    let answer = D::answer(exchange.status, &exchange.headers);
    let classification = call.classify(&answer, exchange.status, &exchange.headers);
    host.note_answer(key, &answer, classification, started);
    host.note_framing(call, exchange.framing());
    if classification != Classification::Valid {
        tracing::info!(
            id = call.head.id,
            endpoint = endpoint.id,
            status = exchange.status.as_u16(),
            answered_id = answer.id,
            connection = exchange.number,
            requests = exchange.requests,
            ?classification,
            "call: answer not passed on"
        );
    }
    match classification {
        Classification::Valid => exchange.accept(exchange.status.is_server_error()),
        Classification::Mismatched => return Attempt::Mismatched,
        Classification::NotRun => {
            exchange.accept(true);
            let left = timeouts.head.saturating_sub(now().since(started));
            // Drain the body so that the connection can be reused; one without end must not delay the
            // next attempt.
            let left = left.min(CONNECT_TIMEOUT);
            drop(exchange.read(prefill::MAX_ANSWER_BYTES, left).await);
            return Attempt::Refused;
        }
    }
    let left = timeouts.head.saturating_sub(now().since(started));
    let body = match exchange.read(MAX_BODY_BYTES, left).await {
        Ok(body) => body,
        Err(error) => return Attempt::Lost(error),
    };
    let framing = exchange.framing();
    let left = timeouts.head.saturating_sub(now().since(started));
    if Ending::new(false).ended(framing, 0) == Step::Reach
        && !accepts_connection(host, &exchange, endpoint, left).await
    {
        return Attempt::Lost(Error::Unproven);
    }
    Attempt::Answered {
        status: exchange.status,
        headers: answer_headers(&exchange.headers),
        body,
        framing,
    }
}
