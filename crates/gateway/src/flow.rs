//! Life cycle of a model request: admission, prefill, decode, and the release of engine resources.

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
use crate::memory::Charge;
use crate::metrics::Reason;
use crate::refusal::Refusal;
use crate::state::State;
use crate::streams::Ticket;

/// Maximum attempts per request, including the first.
const MAX_ATTEMPTS: NonZeroU32 = NonZeroU32::new(3).unwrap();

/// Maximum cancel calls per request and engine.
const MAX_CANCEL_ATTEMPTS: u32 = 8;

/// Backoff after the first cancel call; doubles after each further one.
const CANCEL_INITIAL_DELAY: Duration = Duration::from_millis(50);

/// A validated model request of an authenticated caller.
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
    /// Claim on the memory for the body.
    pub(crate) _charge: Option<Charge>,
    /// Hashes of the prompt's prefixes, one per complete piece of the prefix cache.
    pub(crate) prefix_hashes: Vec<u64>,
}

/// Part of a response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Chunk {
    /// Text of the next token.
    Token(String),
    /// The response is complete.
    Finished {
        /// Why the engine stopped generating.
        finish_reason: String,
        /// Token counts of prompt and completion.
        usage: Usage,
    },
    /// The request ended before the response was complete.
    Failed(Refusal),
}

/// Events outside the request that end it.
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

/// Progress of a request, kept across an interruption so that the request can be settled.
#[derive(Debug)]
struct Progress {
    ticket: Ticket,
    assembler: Assembler,
    /// Engines that may hold KV cache memory for the request.
    engines: Vec<SocketAddr>,
    /// Admission call in flight. An interrupted request awaits its result and settles it; otherwise
    /// the customer would stay charged for the tokens.
    pending_admission: Option<JoinHandle<Result<Admitted, Refusal>>>,
    admitted: bool,
    /// Whether an engine may have started the request under the current admission.
    may_have_started: bool,
    /// Whether an engine may have started the request under any admission.
    may_have_run: bool,
    /// Delivered tokens that were already settled under earlier admissions.
    settled_tokens: u32,
    prompt_tokens: u32,
}

impl Progress {
    fn new(state: &State, job: &Job, ticket: Ticket) -> Self {
        let limits = &state.shared.options.limits;
        // The engine client has its own timeout per event. The assembler's idle time also includes
        // backpressure from a slow caller, which must not count against the engine.
        let idle = Duration::from_millis(limits.event_timeout_ms + limits.caller_stall_ms);
        let limits = Limits {
            max_tokens: job.max_tokens,
            max_attempts: MAX_ATTEMPTS,
            idle,
        };
        Self {
            ticket,
            assembler: Assembler::new(job.request_id.as_str(), limits),
            engines: Vec::new(),
            pending_admission: None,
            admitted: false,
            may_have_started: false,
            may_have_run: false,
            settled_tokens: 0,
            prompt_tokens: 0,
        }
    }

    /// Records that an engine may have started the request.
    const fn mark_started(&mut self) {
        self.may_have_started = true;
        self.may_have_run = true;
    }
}

/// How a request ended.
enum Exit {
    Finished { finish_reason: String },
    Refused(Refusal),
    Interrupted(Interruption),
}

/// Runs a model request and sends the chunks of its response to `sender`.
pub(crate) async fn run(
    state: State,
    job: Job,
    connection: Option<Connection>,
    sender: mpsc::Sender<Chunk>,
) {
    let Some(ticket) = state.shared.permission.ticket(&job.request_id) else {
        let refusal = no_permit();
        state.shared.metrics.count_refusal(refusal.code);
        let _ = sender.send(Chunk::Failed(refusal)).await;
        return;
    };
    state.shared.metrics.open_requests.inc();
    let mut progress = Progress::new(&state, &job, ticket);
    let exit = {
        let run_attempts = run_attempts(&state, &job, &sender, &mut progress);
        tokio::select! {
            biased;
            interruption =
                wait_for_interruption(&state, &job, connection.as_ref(), &sender, ticket) =>
            {
                Exit::Interrupted(interruption)
            }
            exit = run_attempts => exit,
        }
    };
    let end = report_exit(&state, &job, &progress, exit, &sender).await;
    if let Some(pending_admission) = progress.pending_admission.take() {
        progress.admitted = matches!(pending_admission.await, Ok(Ok(_)));
    }
    if progress.admitted {
        settle(&state, &job, &mut progress, end).await;
    }
    if end != End::Finished {
        release(&state, &job, progress.engines).await;
    }
    state.shared.metrics.open_requests.dec();
}

/// Counts the end of a request and sends the final chunk to the caller.
async fn report_exit(
    state: &State,
    job: &Job,
    progress: &Progress,
    exit: Exit,
    sender: &mpsc::Sender<Chunk>,
) -> End {
    let metrics = &state.shared.metrics;
    match exit {
        Exit::Finished { finish_reason } => {
            metrics.finished.inc();
            let usage = Usage {
                prompt_tokens: progress.prompt_tokens,
                completion_tokens: progress.assembler.delivered(),
                total_tokens: progress.prompt_tokens + progress.assembler.delivered(),
            };
            let _ = sender
                .send(Chunk::Finished {
                    finish_reason,
                    usage,
                })
                .await;
            End::Finished
        }
        Exit::Refused(refusal) => {
            metrics.count_refusal(refusal.code);
            tracing::info!(request = %job.request_id, code = refusal.code, "flow: request refused");
            let _ = sender.send(Chunk::Failed(refusal)).await;
            End::Failed
        }
        Exit::Interrupted(interruption) => {
            let reason = interruption.reason();
            metrics.cancelled.get_or_create(&Reason { reason }).inc();
            tracing::info!(request = %job.request_id, reason, "flow: request cancelled");
            if interruption == Interruption::KeyWithdrawn {
                let message = "the key was withdrawn while the request ran";
                let refusal =
                    Refusal::may_have_run("key_withdrawn", StatusCode::UNAUTHORIZED, message);
                let _ = sender.try_send(Chunk::Failed(refusal));
            }
            if interruption == Interruption::PermitLapsed {
                let message = "the host lost its permission to run requests";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let refusal = Refusal::not_run("permit_lapsed", status, message);
                let _ = sender.try_send(Chunk::Failed(with_run_outcome(refusal, progress)));
            }
            if interruption == Interruption::Stale {
                let refusal = freshness::refusal(progress.engines.is_empty());
                let _ = sender.try_send(Chunk::Failed(refusal));
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

/// Waits for the first event that must end the request.
async fn wait_for_interruption(
    state: &State,
    job: &Job,
    connection: Option<&Connection>,
    sender: &mpsc::Sender<Chunk>,
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
        () = wait_for_stall(sender, stall) => Interruption::CallerStalled,
        () = state.shared.permission.wait_until_lapsed(ticket) => Interruption::PermitLapsed,
        () = wait_for_withdrawal(state, &job.key_id) => Interruption::KeyWithdrawn,
        () = state.shared.wait_until_stale() => Interruption::Stale,
    }
}

/// Waits until the caller has accepted no data for `limit` while its buffer was full.
async fn wait_for_stall(sender: &mpsc::Sender<Chunk>, limit: Duration) {
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

/// Waits until the caller's key is withdrawn or removed from the configuration.
async fn wait_for_withdrawal(state: &State, key_id: &str) {
    let mut configuration = state.shared.configuration.clone();
    let gone = configuration
        .wait_for(|current| current.fleet.key(key_id).is_none_or(|key| key.withdrawn))
        .await;
    if gone.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Admits and runs the request, at other endpoints after a failure, within the retry budget.
async fn run_attempts(
    state: &State,
    job: &Job,
    sender: &mpsc::Sender<Chunk>,
    progress: &mut Progress,
) -> Exit {
    let started = Instant::now();
    let (mut avoid, mut refused) = (Vec::new(), false);
    state.shared.budgets.model.record_request();
    for attempt in 0..MAX_ATTEMPTS.get() {
        let admitted = match admit_unexpired(state, job, &avoid, refused, progress).await {
            Ok(admitted) => admitted,
            Err(refusal) => return Exit::Refused(with_run_outcome(refusal, progress)),
        };
        let failure = match run_attempt(state, job, &admitted, sender, progress, started).await {
            Ok(finish_reason) => return Exit::Finished { finish_reason },
            Err(failure) => failure,
        };
        let reason = failure.reason();
        tracing::info!(request = %job.request_id, endpoint = %failure.endpoint, reason, error = %failure.error, "flow: attempt failed");
        count_retry(state, reason);
        let failed_address = endpoint_address(state, &failure.endpoint).ok();
        let endpoint = &failure.endpoint;
        crate::strike::report(
            state,
            &job.request_id,
            endpoint,
            failed_address,
            &failure.error,
        )
        .await;
        refused = matches!(failure.error, engine::Error::Refused { .. });
        settle(state, job, progress, End::Failed).await;
        let engines = std::mem::take(&mut progress.engines);
        actix_rt::spawn(release_owned(state.clone(), job.clone(), engines));
        if progress.assembler.ended() {
            break;
        }
        if attempt + 1 < MAX_ATTEMPTS.get() && !state.shared.budgets.model.try_retry() {
            let denied = &state.shared.metrics.retries_denied;
            denied.get_or_create(&Reason { reason }).inc();
            break;
        }
        avoid.push(failure.endpoint);
    }
    let status = StatusCode::BAD_GATEWAY;
    let message = "the endpoints failed and no attempt is left";
    let refusal = Refusal::not_run("endpoints_failed", status, message);
    Exit::Refused(with_run_outcome(refusal, progress))
}

fn count_retry(state: &State, reason: &'static str) {
    let retries = &state.shared.metrics.retries;
    retries.get_or_create(&Reason { reason }).inc();
}

/// Changes the outcome to `MayHaveRun` if an engine may have started the request.
fn with_run_outcome(refusal: Refusal, progress: &Progress) -> Refusal {
    if !progress.may_have_run {
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
            engine::Error::Timeout => "endpoint_silent",
        }
    }
}

/// Requests admission, and once more if the first grant has expired on arrival. The prefill must be
/// sent right after the return, while the grant is valid.
async fn admit_unexpired(
    state: &State,
    job: &Job,
    avoid: &[String],
    refused: bool,
    progress: &mut Progress,
) -> Result<Admitted, Refusal> {
    const MAX_ADMISSION_CALLS: u32 = 2;
    for _ in 0..MAX_ADMISSION_CALLS {
        // Counts the lifetime from before the call, which is the earliest time of the grant.
        let requested_at = Instant::now();
        let admission = admit(state.control.clone(), job, avoid, refused);
        let pending_admission = progress
            .pending_admission
            .insert(actix_rt::spawn(admission));
        let answer = pending_admission
            .await
            .unwrap_or_else(|_| Err(refusal_for("refused")));
        progress.pending_admission = None;
        let admitted = answer?;
        progress.admitted = true;
        if requested_at.elapsed() < Duration::from_millis(admitted.lifetime_ms) {
            return Ok(admitted);
        }
        count_retry(state, "grant_expired");
        settle(state, job, progress, End::NotRun).await;
    }
    Err(refusal_for("grant_expired").retry_after_ms(Some(1_000)))
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
        pieces: job.prefix_hashes.clone(),
        fingerprint: job.fingerprint,
        avoid: avoid.to_vec(),
        refused,
    };
    async move {
        match control.send(Request::Admit(admit)).await {
            Ok(Response::Admitted(admitted)) => Ok(admitted),
            Ok(Response::Refused(refused)) => {
                Err(refusal_for(&refused.code).retry_after_ms(refused.retry_after_ms))
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

/// Maps a refusal code of the coordinator to a status and message.
fn refusal_for(code: &str) -> Refusal {
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

/// Runs one attempt under an admission and returns the finish reason.
async fn run_attempt(
    state: &State,
    job: &Job,
    admitted: &Admitted,
    sender: &mpsc::Sender<Chunk>,
    progress: &mut Progress,
    started: Instant,
) -> Result<String, Failure> {
    let prefill_address = endpoint_address(state, &admitted.prefill)?;
    let decode_address = endpoint_address(state, &admitted.decode)?;
    let prefill_failure = |endpoint: &str| {
        let endpoint = endpoint.to_owned();
        move |error| Failure { endpoint, error }
    };
    progress.engines.push(prefill_address);
    let (ran_before, attempt) = (progress.may_have_run, progress.assembler.attempt() + 1);
    progress.mark_started();
    let prefilled = prefill(state, job, attempt, admitted, prefill_address).await;
    if prefilled.as_ref().is_err_and(engine::Error::never_started) {
        (progress.may_have_started, progress.may_have_run) = (false, ran_before);
    }
    let prefilled = prefilled.map_err(prefill_failure(&admitted.prefill))?;
    progress.prompt_tokens = prefilled.prompt_tokens;
    progress.engines.push(decode_address);
    let decode_failure = |error| Failure {
        endpoint: admitted.decode.clone(),
        error,
    };
    let begun = progress.assembler.begin(state.shared.clock.now());
    let Some(attempt) = begun else {
        return Err(decode_failure(engine::Error::Broken(
            "the response has used all its attempts".to_owned(),
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
    let relayed = match state.engine.decode(decode_address, &request).await {
        Ok(mut events) => relay_tokens(state, &mut events, sender, progress, started).await,
        Err(error) => Err(error),
    };
    if relayed.is_err() {
        // A repeated report, if the assembler itself already failed the attempt, has no effect.
        let _ = progress.assembler.fail(attempt.number);
    }
    relayed.map_err(decode_failure)
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

/// Relays the tokens of a decode to the caller and returns the finish reason.
async fn relay_tokens<E: Events>(
    state: &State,
    events: &mut E,
    sender: &mpsc::Sender<Chunk>,
    progress: &mut Progress,
    started: Instant,
) -> engine::Result<String> {
    let metrics = &state.shared.metrics;
    let ticket = progress.ticket;
    let assembler = &mut progress.assembler;
    let mut last: Option<Instant> = None;
    while let Some(event) = events.next().await? {
        // After a pause of this process the permit may have lapsed and the request been reaped.
        if !state.shared.permission.allows(ticket) {
            // `wait_for_interruption` ends the request.
            return std::future::pending().await;
        }
        match assembler.event(state.shared.clock.now(), &assembler_event(&event)) {
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
                let _ = sender.send(Chunk::Token(text.into_owned())).await;
            }
            Action::Complete => {
                let Event::Finish { finish_reason, .. } = event else {
                    continue;
                };
                return Ok(finish_reason.into_owned());
            }
            Action::Resume(cause) | Action::Incomplete(cause) => {
                return Err(engine::Error::Broken(describe(cause).to_owned()));
            }
        }
    }
    Err(engine::Error::Broken(
        "the engine closed the stream before its final event".to_owned(),
    ))
}

/// Converts an engine's event, without its text, for the assembler.
fn assembler_event<'a>(event: &'a Event<'_>) -> stream::Event<'a> {
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

const fn describe(cause: Cause) -> &'static str {
    match cause {
        Cause::Idle => "the engine sent no event before the idle timeout",
        Cause::Failed => "the engine or its connection failed",
        Cause::Gap => "the engine skipped a token",
        Cause::Short => "the final event counts more tokens than were received",
        Cause::Excess => "the final event counts fewer tokens than were received",
        Cause::Limit => "the engine sent more tokens than max_tokens",
        Cause::Abandoned => "the response was abandoned",
    }
}

fn endpoint_address(state: &State, endpoint: &str) -> Result<SocketAddr, Failure> {
    let fleet = state.shared.configuration.borrow().fleet.clone();
    let Some(key) = fleet.endpoint_named(endpoint) else {
        let error =
            engine::Error::Unreachable("endpoint is not in the configuration in force".to_owned());
        return Err(Failure {
            endpoint: endpoint.to_owned(),
            error,
        });
    };
    Ok(fleet.endpoint(key).address)
}

/// Reports the tokens used under the current admission to the coordinator.
async fn settle(state: &State, job: &Job, progress: &mut Progress, end: End) {
    let delivered = progress.assembler.delivered();
    let end = if progress.may_have_started {
        end
    } else {
        End::NotRun
    };
    let settle = Settle {
        request: job.request_id.clone(),
        completion_tokens: delivered - progress.settled_tokens,
        end,
    };
    progress.settled_tokens = delivered;
    progress.admitted = false;
    progress.may_have_started = false;
    if let Err(error) = state.control.send(Request::Settle(settle)).await {
        tracing::warn!(request = %job.request_id, %error, "flow: settlement was not confirmed by the coordinator");
    }
}

async fn release_owned(state: State, job: Job, engines: Vec<SocketAddr>) {
    release(&state, &job, engines).await;
}

/// Cancels the request at all engines that may hold KV cache memory for it.
async fn release(state: &State, job: &Job, engines: Vec<SocketAddr>) {
    let cancels = engines
        .into_iter()
        .map(|address| cancel(state, job, address));
    futures_util::future::join_all(cancels).await;
}

async fn cancel(state: &State, job: &Job, address: SocketAddr) {
    let mut delay = CANCEL_INITIAL_DELAY;
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        // If the engine does not know the request, its submission may still be in transit.
        if state.engine.cancel(address, &job.request_id).await == Ok(true) {
            return;
        }
        actix_rt::time::sleep(delay).await;
        delay *= 2;
    }
}
