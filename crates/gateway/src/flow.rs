//! The course of one model request: admission, prefill, decode, and release at every exit.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use berylknot_border::caller::Usage;
use berylknot_border::engine::{DecodeRequest, PrefillRequest, PrefillResponse};
use berylknot_border::event::Event;
use berylknot_wire::local::{Admit, Admitted, End, Prefilled, Request, Response, Settle};
use tokio::sync::mpsc;

use crate::connection::Connection;
use crate::engine::{self, Cancel, Decode, Events, Prefill};
use crate::metrics::Reason;
use crate::refusal::Refusal;
use crate::state::State;

/// Attempts per request, including the first.
const ATTEMPT_LIMIT: u32 = 3;

/// Tries to cancel a request at an engine.
const CANCEL_LIMIT: u32 = 8;

/// Pause after the first cancel; doubled after each.
const CANCEL_DELAY: Duration = Duration::from_millis(50);

/// Description of a model request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request_id: String,
    pub(crate) customer: String,
    pub(crate) key_id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: std::num::NonZeroU32,
    pub(crate) fingerprint: u64,
    /// Hashes of the prompt's prefixes, one for each complete cache piece.
    pub(crate) pieces: Vec<u64>,
}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Piece {
    /// Text of the next token.
    Token(String),
    /// The answer is whole.
    Finished {
        /// Why the answer ended.
        finish_reason: String,
        /// Token counts.
        usage: Usage,
    },
    /// The request ended without a whole answer.
    Failed(Refusal),
}

/// Why a request was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interruption {
    CallerGone,
    CallerStalled,
    KeyWithdrawn,
}

impl Interruption {
    const fn reason(self) -> &'static str {
        match self {
            Self::CallerGone => "caller_gone",
            Self::CallerStalled => "caller_stalled",
            Self::KeyWithdrawn => "key_withdrawn",
        }
    }
}

/// Progress of a request that survives its interruption.
#[derive(Debug, Default)]
struct Progress {
    /// Engines that may hold memory for the request.
    engines: Vec<SocketAddr>,
    admitted: bool,
    delivered: u32,
    prompt_tokens: u32,
}

enum Ended {
    Finished { finish_reason: String },
    Refused(Refusal),
    Interrupted(Interruption),
}

/// Runs a model request; pieces of the answer go to `sender`.
pub(crate) async fn run(
    state: State,
    job: Job,
    connection: Option<Connection>,
    sender: mpsc::Sender<Piece>,
) {
    state.shared.metrics.open_requests.inc();
    let mut progress = Progress::default();
    let ended = {
        let drive = drive(&state, &job, &sender, &mut progress);
        tokio::select! {
            biased;
            interruption = interrupted(&state, &job, connection.as_ref(), &sender) => {
                Ended::Interrupted(interruption)
            }
            ended = drive => ended,
        }
    };
    let end = report(&state, &job, &progress, ended, &sender).await;
    if progress.admitted {
        settle(&state, &job, progress.delivered, end).await;
    }
    if end != End::Finished {
        release(&state, &job, progress.engines).await;
    }
    state.shared.metrics.open_requests.dec();
}

async fn report(
    state: &State,
    job: &Job,
    progress: &Progress,
    ended: Ended,
    sender: &mpsc::Sender<Piece>,
) -> End {
    let metrics = &state.shared.metrics;
    match ended {
        Ended::Finished { finish_reason } => {
            metrics.finished.inc();
            let usage = Usage {
                prompt_tokens: progress.prompt_tokens,
                completion_tokens: progress.delivered,
                total_tokens: progress.prompt_tokens + progress.delivered,
            };
            let _ = sender
                .send(Piece::Finished {
                    finish_reason,
                    usage,
                })
                .await;
            End::Finished
        }
        Ended::Refused(refusal) => {
            metrics.count_refusal(refusal.code);
            tracing::info!(request = %job.request_id, code = refusal.code, "flow: refused");
            let _ = sender.send(Piece::Failed(refusal)).await;
            End::Failed
        }
        Ended::Interrupted(interruption) => {
            let reason = interruption.reason();
            metrics.cancelled.get_or_create(&Reason { reason }).inc();
            tracing::info!(request = %job.request_id, reason, "flow: cancelled");
            if interruption == Interruption::KeyWithdrawn {
                let message = "the key was withdrawn while the request ran";
                let refusal =
                    Refusal::may_have_run("key_withdrawn", StatusCode::UNAUTHORIZED, message);
                let _ = sender.try_send(Piece::Failed(refusal));
            }
            End::Cancelled
        }
    }
}

/// Waits until the caller is gone or its key is withdrawn.
async fn interrupted(
    state: &State,
    job: &Job,
    connection: Option<&Connection>,
    sender: &mpsc::Sender<Piece>,
) -> Interruption {
    let stall = Duration::from_millis(state.shared.options.limits.caller_stall_ms);
    let gone = async {
        match connection {
            Some(connection) => connection.closed().await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = gone => Interruption::CallerGone,
        () = sender.closed() => Interruption::CallerGone,
        () = stalled(sender, stall) => Interruption::CallerStalled,
        () = withdrawn(state, &job.key_id) => Interruption::KeyWithdrawn,
    }
}

/// Waits until the caller has accepted no data for the given time although data was waiting.
async fn stalled(sender: &mpsc::Sender<Piece>, limit: Duration) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(500);
    let mut full_since: Option<Instant> = None;
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        if sender.capacity() > 0 {
            full_since = None;
            continue;
        }
        if full_since.get_or_insert_with(Instant::now).elapsed() >= limit {
            return;
        }
    }
}

async fn withdrawn(state: &State, key_id: &str) {
    let mut configuration = state.shared.configuration.clone();
    let gone = configuration
        .wait_for(|current| current.fleet.key(key_id).is_none_or(|key| key.withdrawn))
        .await;
    if gone.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn drive(
    state: &State,
    job: &Job,
    sender: &mpsc::Sender<Piece>,
    progress: &mut Progress,
) -> Ended {
    let started = Instant::now();
    let (mut avoid, mut refused) = (Vec::new(), false);
    state.shared.budgets.model.request();
    for attempt in 0..ATTEMPT_LIMIT {
        let admitted = match admit(state, job, &avoid, refused).await {
            Ok(admitted) => admitted,
            Err(refusal) => return Ended::Refused(partly_run(refusal, progress)),
        };
        progress.admitted = true;
        let failure =
            match try_once(state, job, attempt, &admitted, sender, progress, started).await {
                Ok(finish_reason) => return Ended::Finished { finish_reason },
                Err(failure) => failure,
            };
        let reason = failure.reason();
        tracing::info!(request = %job.request_id, attempt, reason, error = %failure.error, "flow: attempt failed");
        state
            .shared
            .metrics
            .retries
            .get_or_create(&Reason { reason })
            .inc();
        let broken = address(state, &failure.endpoint).ok();
        let endpoint = &failure.endpoint;
        crate::strike::report(state, &job.request_id, endpoint, broken, &failure.error).await;
        refused = matches!(failure.error, engine::Error::Refused { .. });
        avoid.push(failure.endpoint);
        settle(state, job, progress.delivered, End::Failed).await;
        progress.admitted = false;
        let engines = std::mem::take(&mut progress.engines);
        actix_rt::spawn(release_owned(state.clone(), job.clone(), engines));
        if attempt + 1 < ATTEMPT_LIMIT && !state.shared.budgets.model.retry() {
            let denied = &state.shared.metrics.retries_denied;
            denied.get_or_create(&Reason { reason }).inc();
            break;
        }
    }
    let refusal = Refusal::may_have_run(
        "endpoints_failed",
        StatusCode::BAD_GATEWAY,
        "the endpoints failed and no attempt is left",
    );
    Ended::Refused(refusal)
}

fn partly_run(refusal: Refusal, progress: &Progress) -> Refusal {
    if progress.prompt_tokens == 0 && progress.delivered == 0 {
        return refusal;
    }
    Refusal {
        outcome: berylknot_border::caller::Outcome::MayHaveRun,
        ..refusal
    }
}

struct Failure {
    endpoint: String,
    error: engine::Error,
}

impl Failure {
    const fn reason(&self) -> &'static str {
        match self.error {
            engine::Error::Unreachable(_) => "endpoint_unreachable",
            engine::Error::Refused { .. } => "endpoint_refused",
            engine::Error::Broken(_) => "endpoint_broken",
            engine::Error::Silent => "endpoint_silent",
        }
    }
}

async fn admit(
    state: &State,
    job: &Job,
    avoid: &[String],
    refused: bool,
) -> Result<Admitted, Refusal> {
    let admit = Admit {
        request: job.request_id.clone(),
        customer: job.customer.clone(),
        model: job.model.clone(),
        prompt_tokens: job.prompt_tokens,
        max_tokens: job.max_tokens.get(),
        pieces: job.pieces.clone(),
        fingerprint: job.fingerprint,
        avoid: avoid.to_vec(),
        refused,
    };
    match state.control.send(Request::Admit(admit)).await {
        Ok(Response::Admitted(admitted)) => Ok(admitted),
        Ok(Response::Refused(refused)) => {
            Err(refusal_of(&refused.code).retry_after_ms(refused.retry_after_ms))
        }
        Ok(_) | Err(_) => Err(Refusal::not_run(
            "coordinator_unavailable",
            StatusCode::SERVICE_UNAVAILABLE,
            "admission is not available on this host",
        )
        .retry_after_ms(Some(1_000))),
    }
}

fn refusal_of(code: &str) -> Refusal {
    const CODES: [(&str, StatusCode, &str); 10] = [
        (
            "rate_exceeded",
            StatusCode::TOO_MANY_REQUESTS,
            "the customer's rate is used up",
        ),
        (
            "request_too_large",
            StatusCode::BAD_REQUEST,
            "the request exceeds the customer's burst",
        ),
        (
            "quota_unavailable",
            StatusCode::SERVICE_UNAVAILABLE,
            "the customer's quota has no owner",
        ),
        (
            "grant_expired",
            StatusCode::SERVICE_UNAVAILABLE,
            "the customer's quota answered too late",
        ),
        (
            "no_capacity",
            StatusCode::SERVICE_UNAVAILABLE,
            "no endpoint has capacity",
        ),
        (
            "too_many_requests",
            StatusCode::SERVICE_UNAVAILABLE,
            "this host has too many requests",
        ),
        (
            "request_crashes_endpoints",
            StatusCode::UNPROCESSABLE_ENTITY,
            "the request crashed endpoints before",
        ),
        (
            "customer_queue_full",
            StatusCode::SERVICE_UNAVAILABLE,
            "too many of the customer's requests wait",
        ),
        (
            "queue_full",
            StatusCode::SERVICE_UNAVAILABLE,
            "too many requests wait",
        ),
        (
            "queue_too_long",
            StatusCode::SERVICE_UNAVAILABLE,
            "the request would wait for too long",
        ),
    ];
    for (known, status, message) in CODES {
        if known == code {
            return Refusal::not_run(known, status, message);
        }
    }
    Refusal::not_run(
        "refused",
        StatusCode::SERVICE_UNAVAILABLE,
        "the request was refused",
    )
}

async fn try_once(
    state: &State,
    job: &Job,
    attempt: u32,
    admitted: &Admitted,
    sender: &mpsc::Sender<Piece>,
    progress: &mut Progress,
    started: Instant,
) -> Result<String, Failure> {
    let prefill_address = address(state, &admitted.prefill)?;
    let decode_address = address(state, &admitted.decode)?;
    let fail = |endpoint: &str| {
        let endpoint = endpoint.to_owned();
        move |error| Failure { endpoint, error }
    };
    progress.engines.push(prefill_address);
    let prefilled = prefill(state, job, attempt, admitted, prefill_address)
        .await
        .map_err(fail(&admitted.prefill))?;
    progress.prompt_tokens = prefilled.prompt_tokens;
    progress.engines.push(decode_address);
    let request = DecodeRequest {
        request_id: job.request_id.clone(),
        attempt,
        model: job.model.clone(),
        kv_handle: prefilled.kv_handle,
        prefill_address: prefill_address.to_string(),
        max_tokens: job.max_tokens,
        resume_from: progress.delivered,
        priority: admitted.priority,
        sampling: serde_json::Map::new(),
    };
    let events = state.engine.decode(decode_address, &request).await;
    let mut events = events.map_err(fail(&admitted.decode))?;
    let pumped = pump(state, job, attempt, &mut events, sender, progress, started).await;
    pumped.map_err(fail(&admitted.decode))
}

async fn prefill(
    state: &State,
    job: &Job,
    attempt: u32,
    admitted: &Admitted,
    address: SocketAddr,
) -> engine::Result<PrefillResponse> {
    let request = PrefillRequest {
        request_id: job.request_id.clone(),
        attempt,
        model: job.model.clone(),
        prompt: job.prompt.clone(),
        priority: admitted.priority,
    };
    let prefilled = state.engine.prefill(address, &request).await?;
    let report = Prefilled {
        request: job.request_id.clone(),
        prompt_tokens: prefilled.prompt_tokens,
        cached_tokens: prefilled.cached_tokens,
    };
    let control = state.control.clone();
    actix_rt::spawn(async move {
        let _ = control.send(Request::Prefilled(report)).await;
    });
    Ok(prefilled)
}

async fn pump<E: Events>(
    state: &State,
    job: &Job,
    attempt: u32,
    events: &mut E,
    sender: &mpsc::Sender<Piece>,
    progress: &mut Progress,
    started: Instant,
) -> engine::Result<String> {
    let metrics = &state.shared.metrics;
    let mut last: Option<Instant> = None;
    while let Some(event) = events.next().await? {
        match event {
            Event::Token {
                request_id,
                attempt: from,
                index,
                text,
            } => {
                let expected = request_id == job.request_id && from == attempt;
                if !expected || index != progress.delivered {
                    continue;
                }
                let now = Instant::now();
                match last {
                    Some(last) => metrics.tpot.observe((now - last).as_secs_f64()),
                    None if progress.delivered == 0 => {
                        metrics.ttft.observe((now - started).as_secs_f64());
                    }
                    None => {}
                }
                last = Some(now);
                progress.delivered += 1;
                metrics.tokens.inc();
                let _ = sender.send(Piece::Token(text.into_owned())).await;
            }
            Event::Finish {
                request_id,
                attempt: from,
                count,
                finish_reason,
            } => {
                if request_id != job.request_id || from != attempt {
                    continue;
                }
                if count != progress.delivered {
                    return Err(engine::Error::Broken("the answer has gaps".to_owned()));
                }
                return Ok(finish_reason.into_owned());
            }
        }
    }
    Err(engine::Error::Broken("the stream ended early".to_owned()))
}

fn address(state: &State, endpoint: &str) -> Result<SocketAddr, Failure> {
    let fleet = state.shared.configuration.borrow().fleet.clone();
    let Some(key) = fleet.endpoint_named(endpoint) else {
        let error = engine::Error::Unreachable("endpoint is not configured".to_owned());
        return Err(Failure {
            endpoint: endpoint.to_owned(),
            error,
        });
    };
    Ok(fleet.endpoint(key).address)
}

async fn settle(state: &State, job: &Job, completion_tokens: u32, end: End) {
    let settle = Settle {
        request: job.request_id.clone(),
        completion_tokens,
        end,
    };
    if let Err(error) = state.control.send(Request::Settle(settle)).await {
        tracing::warn!(request = %job.request_id, %error, "flow: settlement was not delivered");
    }
}

async fn release_owned(state: State, job: Job, engines: Vec<SocketAddr>) {
    release(&state, &job, engines).await;
}

/// Cancels the request at every engine that may hold memory for it.
async fn release(state: &State, job: &Job, engines: Vec<SocketAddr>) {
    let cancels = engines
        .into_iter()
        .map(|address| cancel(state, job, address));
    futures_util::future::join_all(cancels).await;
}

async fn cancel(state: &State, job: &Job, address: SocketAddr) {
    let mut delay = CANCEL_DELAY;
    for _ in 0..CANCEL_LIMIT {
        // The submit may still be under way when the engine does not know the request.
        if state.engine.cancel(address, &job.request_id).await == Ok(true) {
            return;
        }
        actix_rt::time::sleep(delay).await;
        delay *= 2;
    }
}
