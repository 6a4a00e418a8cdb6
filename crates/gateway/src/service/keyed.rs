//! Calls with an idempotency key, which run at most once across all hosts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::body::{MessageBody, to_bytes_limited};
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse};
use berylknot_coordination::claim::{Answer, Key, MAX_BODY_BYTES, Outcome, SEND_TIMEOUT};
use berylknot_coordination::record::Id;
use berylknot_settings::Fleet;
use berylknot_settings::fleet::Route;
use berylknot_wire::local::{ClaimKey, Request, Response};
use sha2::{Digest, Sha256};

use super::{Call, Failure, send_with_retries};
use crate::refusal::{REQUEST_ID_HEADER, Refusal};
use crate::state::State;

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// Header that marks the replay of a stored response.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Size limit of a response, which is buffered completely before it is sent to the caller.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Suggested delay before a caller retries a key whose call is in progress.
const IN_PROGRESS_RETRY_MS: u64 = 1_000;

/// Idempotency key of a request, if any. Only its hash is kept.
pub(super) fn key(request: &HttpRequest, customer: &str) -> Result<Option<Key>, Refusal> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        let message = format!("the idempotency key must have 1 to {MAX_KEY_BYTES} bytes");
        let status = StatusCode::BAD_REQUEST;
        return Err(Refusal::not_run(
            "idempotency_key_malformed",
            status,
            message,
        ));
    }
    let hash = Sha256::digest(value.as_bytes()).into();
    Ok(Some(Key {
        customer: customer.to_owned(),
        hash,
    }))
}

/// Claims the key and runs the call, or responds with the outcome of the earlier call.
pub(super) async fn run(
    state: State,
    fleet: Arc<Fleet>,
    route: Route,
    call: Call,
    key: Key,
) -> Result<HttpResponse, Refusal> {
    let requested_at = Instant::now();
    let claim = ClaimKey {
        key,
        fingerprint: fingerprint(&route, &call),
        timeout_ms: route.timeout_ms,
    };
    let id = match state.control.send(Request::ClaimKey(claim)).await {
        Ok(Response::KeyWon { id }) => id,
        Ok(Response::KeyTaken(answer)) => return answer_used_key(&call, answer),
        Ok(Response::Refused(refused)) => {
            return Err(claim_unavailable().retry_after_ms(refused.retry_after_ms));
        }
        Ok(_) | Err(_) => return Err(claim_unavailable()),
    };
    if requested_at.elapsed() >= SEND_TIMEOUT {
        report_outcome(&state, Request::AbandonKey { id }).await;
        return Err(claim_unavailable());
    }
    match send_with_retries(&state, &fleet, &route, &call).await {
        Ok(response) => finish(&state, id, response, &route).await,
        Err(failure @ (Failure::NotSent | Failure::NoEndpoint)) => {
            report_outcome(&state, Request::AbandonKey { id }).await;
            Err(failure.refusal())
        }
        Err(failure) => {
            report_outcome(&state, Request::FinishKey { id, outcome: None }).await;
            Err(failure.refusal())
        }
    }
}

fn claim_unavailable() -> Refusal {
    let message = "the idempotency key cannot be recorded now";
    Refusal::not_run("log_unavailable", StatusCode::SERVICE_UNAVAILABLE, message)
}

/// Hash of a call, to detect the reuse of a key for a different one.
fn fingerprint(route: &Route, call: &Call) -> u64 {
    let (method, target) = (call.method.as_str().as_bytes(), call.target.as_bytes());
    crate::fingerprint::of(&[route.name.as_bytes(), method, target, &call.body])
}

/// Buffers the response, records it under the claim and returns it.
async fn finish(
    state: &State,
    id: Id,
    response: HttpResponse,
    route: &Route,
) -> Result<HttpResponse, Refusal> {
    let (head, body) = response.into_parts();
    let reading = to_bytes_limited(body.boxed(), MAX_RESPONSE_BYTES);
    let read = actix_rt::time::timeout(Duration::from_millis(route.timeout_ms), reading).await;
    let Ok(Ok(Ok(body))) = read else {
        report_outcome(state, Request::FinishKey { id, outcome: None }).await;
        return Err(Failure::Broken.refusal());
    };
    let stored = (body.len() <= MAX_BODY_BYTES).then(|| body.clone());
    let outcome = Some(Outcome {
        status: head.status().as_u16(),
        body: stored,
    });
    report_outcome(state, Request::FinishKey { id, outcome }).await;
    Ok(head.set_body(body).map_into_boxed_body())
}

/// Reports the end of a claimed call to the coordinator.
async fn report_outcome(state: &State, request: Request) {
    if let Err(error) = state.control.send(request).await {
        tracing::warn!(%error, "service: outcome of a call with an idempotency key was not reported");
    }
}

/// Responds to a call whose key was claimed before.
fn answer_used_key(call: &Call, answer: Answer) -> Result<HttpResponse, Refusal> {
    let conflict = StatusCode::CONFLICT;
    match answer {
        Answer::Stored(outcome) => Ok(replay(call, outcome)),
        Answer::InProgress => {
            let message = "a call with this idempotency key is being run";
            let refusal = Refusal::may_have_run("in_progress", conflict, message);
            Err(refusal.retry_after_ms(Some(IN_PROGRESS_RETRY_MS)))
        }
        Answer::MayHaveRun => {
            let message = "a call with this idempotency key may have run; its end is not known";
            Err(Refusal::may_have_run("outcome_unknown", conflict, message))
        }
        Answer::NotRun => Err(claim_unavailable()),
        Answer::Conflict => {
            let message = "the idempotency key was used for a different call";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            Err(Refusal::not_run("idempotency_key_reused", status, message))
        }
    }
}

fn replay(call: &Call, outcome: Outcome) -> HttpResponse {
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let mut response = HttpResponse::build(status);
    response.insert_header((REPLAYED_HEADER, "true"));
    response.insert_header((REQUEST_ID_HEADER, call.request_id.as_str()));
    match outcome.body {
        Some(body) => response.content_type("application/json").body(body),
        None => response.finish(),
    }
}
