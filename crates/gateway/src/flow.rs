//! The course of one model request: admission, prefill, decode, and release at every exit.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use berylknot_border::caller::Usage;
use berylknot_border::engine::{DecodeRequest, PrefillRequest, PrefillResponse};
use berylknot_border::event::Event;
use berylknot_coordination::stream::{self, Action, Assembler, Body, Cause, Limits};
use berylknot_wire::local::{Admit, Admitted, End, Prefilled, Request, Response, Settle};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::connection::Connection;
use crate::control::Control;
use crate::engine::{self, Cancel, Decode, Events, Prefill};
use crate::freshness;
use crate::metrics::Reason;
use crate::refusal::Refusal;
use crate::state::State;
use crate::streams::Ticket;

/// Attempts per request, including the first.
const ATTEMPT_LIMIT: NonZeroU32 = NonZeroU32::new(3).unwrap();

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
    pub(crate) max_tokens: NonZeroU32,
    pub(crate) sampling: serde_json::Map<String, serde_json::Value>,
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
    PermitLapsed,
    Stale,
}

impl Interruption {
    const fn reason(self) -> &'static str {
        match self {
            Self::CallerGone => "caller_gone",
            Self::CallerStalled => "caller_stalled",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::PermitLapsed => "permit_lapsed",
            Self::Stale => freshness::CODE,
        }
    }
}

/// Progress of a request that survives its interruption.
#[derive(Debug)]
struct Progress {
    ticket: Ticket,
    assembler: Assembler,
    /// Engines that may hold memory for the request.
    engines: Vec<SocketAddr>,
    /// Question for admission that is not answered yet. An interrupted request waits for the answer
    /// and settles it, since its tokens would stay charged otherwise.
    asking: Option<JoinHandle<Result<Admitted, Refusal>>>,
    admitted: bool,
    /// Whether an engine may have begun the request under the current admission.
    begun: bool,
    /// Whether an engine may have begun the request under any admission.
    ran: bool,
    /// Delivered tokens that earlier settlements contain.
    settled_tokens: u32,
    prompt_tokens: u32,
}

impl Progress {
    fn new(state: &State, job: &Job, ticket: Ticket) -> Self {
        let limits = &state.shared.options.limits;
        // The engine client has its own deadline for each event. The assembler's clock also runs
        // while a slow caller takes no data, which is not the engine's silence.
        let idle = Duration::from_millis(limits.event_timeout_ms + limits.caller_stall_ms);
        let limits = Limits {
            max_tokens: job.max_tokens,
            max_attempts: ATTEMPT_LIMIT,
            idle,
        };
        Self {
            ticket,
            assembler: Assembler::new(job.request_id.as_str(), limits),
            engines: Vec::new(),
            asking: None,
            admitted: false,
            begun: false,
            ran: false,
            settled_tokens: 0,
            prompt_tokens: 0,
        }
    }

    /// Marks the request as possibly begun by an engine.
    const fn begin(&mut self) {
        self.begun = true;
        self.ran = true;
    }
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
    let Some(ticket) = state.shared.permission.ticket(&job.request_id) else {
        let refusal = no_permit();
        state.shared.metrics.count_refusal(refusal.code);
        let _ = sender.send(Piece::Failed(refusal)).await;
        return;
    };
    state.shared.metrics.open_requests.inc();
    let mut progress = Progress::new(&state, &job, ticket);
    let ended = {
        let drive = drive(&state, &job, &sender, &mut progress);
        tokio::select! {
            biased;
            interruption = interrupted(&state, &job, connection.as_ref(), &sender, ticket) => {
                Ended::Interrupted(interruption)
            }
            ended = drive => ended,
        }
    };
    let end = report(&state, &job, &progress, ended, &sender).await;
    if let Some(asking) = progress.asking.take() {
        progress.admitted = matches!(asking.await, Ok(Ok(_)));
    }
    if progress.admitted {
        settle(&state, &job, &mut progress, end).await;
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
                completion_tokens: progress.assembler.delivered(),
                total_tokens: progress.prompt_tokens + progress.assembler.delivered(),
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
            if interruption == Interruption::PermitLapsed {
                let message = "the host lost its permission to run requests";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let refusal = Refusal::not_run("permit_lapsed", status, message);
                let _ = sender.try_send(Piece::Failed(partly_run(refusal, progress)));
            }
            if interruption == Interruption::Stale {
                let refusal = freshness::refusal(progress.engines.is_empty());
                let _ = sender.try_send(Piece::Failed(refusal));
            }
            End::Cancelled
        }
    }
}

fn no_permit() -> Refusal {
    let message = "this host may not run requests now";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run("no_permit", status, message).retry_after_ms(Some(1_000))
}

/// Waits until the caller is gone or its key is withdrawn.
async fn interrupted(
    state: &State,
    job: &Job,
    connection: Option<&Connection>,
    sender: &mpsc::Sender<Piece>,
    ticket: Ticket,
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
        () = state.shared.permission.lapsed(ticket) => Interruption::PermitLapsed,
        () = withdrawn(state, &job.key_id) => Interruption::KeyWithdrawn,
        () = state.shared.stale() => Interruption::Stale,
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
    for attempt in 0..ATTEMPT_LIMIT.get() {
        let admitted = match admit_in_time(state, job, &avoid, refused, progress).await {
            Ok(admitted) => admitted,
            Err(refusal) => return Ended::Refused(partly_run(refusal, progress)),
        };
        let failure = match try_once(state, job, &admitted, sender, progress, started).await {
            Ok(finish_reason) => return Ended::Finished { finish_reason },
            Err(failure) => failure,
        };
        let reason = failure.reason();
        tracing::info!(request = %job.request_id, endpoint = %failure.endpoint, reason, error = %failure.error, "flow: attempt failed");
        count_retry(state, reason);
        let broken = address(state, &failure.endpoint).ok();
        let endpoint = &failure.endpoint;
        crate::strike::report(state, &job.request_id, endpoint, broken, &failure.error).await;
        refused = matches!(failure.error, engine::Error::Refused { .. });
        settle(state, job, progress, End::Failed).await;
        let engines = std::mem::take(&mut progress.engines);
        actix_rt::spawn(release_owned(state.clone(), job.clone(), engines));
        if progress.assembler.ended() {
            break;
        }
        if attempt + 1 < ATTEMPT_LIMIT.get() && !state.shared.budgets.model.retry() {
            let denied = &state.shared.metrics.retries_denied;
            denied.get_or_create(&Reason { reason }).inc();
            break;
        }
        avoid.push(failure.endpoint);
    }
    let status = StatusCode::BAD_GATEWAY;
    let message = "the endpoints failed and no attempt is left";
    let refusal = Refusal::not_run("endpoints_failed", status, message);
    Ended::Refused(partly_run(refusal, progress))
}

fn count_retry(state: &State, reason: &'static str) {
    let retries = &state.shared.metrics.retries;
    retries.get_or_create(&Reason { reason }).inc();
}

fn partly_run(refusal: Refusal, progress: &Progress) -> Refusal {
    if !progress.ran {
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

/// Asks for admission, and once more when the first answer comes after its lifetime. The caller
/// sends the prefill without another wait.
async fn admit_in_time(
    state: &State,
    job: &Job,
    avoid: &[String],
    refused: bool,
    progress: &mut Progress,
) -> Result<Admitted, Refusal> {
    const ASK_LIMIT: u32 = 2;
    for _ in 0..ASK_LIMIT {
        // The lifetime counts from before the question, which is the earliest possible grant.
        let asked = Instant::now();
        let question = admit(state.control.clone(), job, avoid, refused);
        let asking = progress.asking.insert(actix_rt::spawn(question));
        let answer = asking.await.unwrap_or_else(|_| Err(refusal_of("refused")));
        progress.asking = None;
        let admitted = answer?;
        progress.admitted = true;
        if asked.elapsed() < Duration::from_millis(admitted.lifetime_ms) {
            return Ok(admitted);
        }
        count_retry(state, "grant_expired");
        settle(state, job, progress, End::NotRun).await;
    }
    Err(refusal_of("grant_expired").retry_after_ms(Some(1_000)))
}

fn admit(
    control: Control,
    job: &Job,
    avoid: &[String],
    refused: bool,
) -> impl Future<Output = Result<Admitted, Refusal>> + use<> {
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
    async move {
        match control.send(Request::Admit(admit)).await {
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
}

fn refusal_of(code: &str) -> Refusal {
    const CODES: [(&str, StatusCode, &str); 11] = [
        (
            "overload",
            StatusCode::SERVICE_UNAVAILABLE,
            "the fleet is overloaded",
        ),
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
    let (before, attempt) = (progress.ran, progress.assembler.attempt() + 1);
    progress.begin();
    let prefilled = prefill(state, job, attempt, admitted, prefill_address).await;
    if prefilled.as_ref().is_err_and(engine::Error::surely_not_run) {
        (progress.begun, progress.ran) = (false, before);
    }
    let prefilled = prefilled.map_err(fail(&admitted.prefill))?;
    progress.prompt_tokens = prefilled.prompt_tokens;
    progress.engines.push(decode_address);
    let decode = |error| Failure {
        endpoint: admitted.decode.clone(),
        error,
    };
    let begun = progress.assembler.begin(state.shared.clock.now());
    let Some(attempt) = begun else {
        return Err(decode(engine::Error::Broken(
            "the answer takes no more attempts".to_owned(),
        )));
    };
    let request = DecodeRequest {
        request_id: job.request_id.clone(),
        attempt: attempt.number,
        model: job.model.clone(),
        kv_handle: prefilled.kv_handle,
        prefill_address: prefill_address.to_string(),
        max_tokens: job.max_tokens,
        resume_from: attempt.resume_from,
        priority: admitted.priority,
        sampling: job.sampling.clone(),
    };
    let pumped = match state.engine.decode(decode_address, &request).await {
        Ok(mut events) => pump(state, &mut events, sender, progress, started).await,
        Err(error) => Err(error),
    };
    if pumped.is_err() {
        // The failure is reported once more when the assembler itself gave up the attempt.
        let _ = progress.assembler.fail(attempt.number);
    }
    pumped.map_err(decode)
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
    events: &mut E,
    sender: &mpsc::Sender<Piece>,
    progress: &mut Progress,
    started: Instant,
) -> engine::Result<String> {
    let metrics = &state.shared.metrics;
    let ticket = progress.ticket;
    let assembler = &mut progress.assembler;
    let mut last: Option<Instant> = None;
    while let Some(event) = events.next().await? {
        // After a pause of this process the request may run nowhere any more.
        if !state.shared.permission.allows(ticket) {
            // The other branch of the request's select ends it.
            return std::future::pending().await;
        }
        match assembler.event(state.shared.clock.now(), &facts(&event)) {
            Action::Wait | Action::Drop(_) => {}
            Action::Deliver => {
                let Event::Token { text, .. } = event else {
                    continue;
                };
                let now = Instant::now();
                match last {
                    Some(last) => metrics.tpot.observe((now - last).as_secs_f64()),
                    None if assembler.delivered() == 1 => {
                        metrics.ttft.observe((now - started).as_secs_f64());
                    }
                    None => {}
                }
                last = Some(now);
                metrics.tokens.inc();
                let _ = sender.send(Piece::Token(text.into_owned())).await;
            }
            Action::Complete => {
                let Event::Finish { finish_reason, .. } = event else {
                    continue;
                };
                return Ok(finish_reason.into_owned());
            }
            Action::Resume(cause) | Action::Incomplete(cause) => {
                return Err(engine::Error::Broken(fault(cause).to_owned()));
            }
        }
    }
    Err(engine::Error::Broken("the stream ended early".to_owned()))
}

/// The part of an engine's event that the assembler decides about.
fn facts<'a>(event: &'a Event<'_>) -> stream::Event<'a> {
    match event {
        Event::Token {
            request_id,
            attempt,
            index,
            ..
        } => stream::Event {
            request: request_id,
            attempt: *attempt,
            body: Body::Token { index: *index },
        },
        Event::Finish {
            request_id,
            attempt,
            count,
            ..
        } => stream::Event {
            request: request_id,
            attempt: *attempt,
            body: Body::Finish { count: *count },
        },
    }
}

const fn fault(cause: Cause) -> &'static str {
    match cause {
        Cause::Idle => "the engine was silent",
        Cause::Failed => "the stream failed",
        Cause::Gap => "the answer has gaps",
        Cause::Short => "the answer is shorter than its final event states",
        Cause::Excess => "the answer is longer than its final event states",
        Cause::Limit => "the engine sent more tokens than were asked for",
        Cause::Abandoned => "the answer was given up",
    }
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

/// Settles the current admission with what was used under it.
async fn settle(state: &State, job: &Job, progress: &mut Progress, end: End) {
    let delivered = progress.assembler.delivered();
    let end = if progress.begun { end } else { End::NotRun };
    let settle = Settle {
        request: job.request_id.clone(),
        completion_tokens: delivered - progress.settled_tokens,
        end,
    };
    progress.settled_tokens = delivered;
    progress.admitted = false;
    progress.begun = false;
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
