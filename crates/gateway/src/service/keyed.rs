//! Calls with an idempotency key, which run at most once over all hosts.

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

use super::{Call, Failure, attempt};
use crate::refusal::{REQUEST_ID_HEADER, Refusal};
use crate::state::State;

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key in bytes.
const KEY_LIMIT_BYTES: usize = 255;

/// Header that marks an answer that was stored by an earlier run.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Largest answer of a keyed call in bytes; it is read whole before it is passed on.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;

/// Milliseconds after which a caller may ask again for a call that is being run.
const IN_PROGRESS_RETRY_MS: u64 = 1_000;

/// The idempotency key of a request, if it has one.
pub(super) fn key(request: &HttpRequest, customer: &str) -> Result<Option<Key>, Refusal> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > KEY_LIMIT_BYTES {
        let message = format!("the idempotency key must have 1 to {KEY_LIMIT_BYTES} bytes");
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

/// Runs a call if its key was not used before.
pub(super) async fn run(
    state: State,
    fleet: Arc<Fleet>,
    route: Route,
    call: Call,
    key: Key,
) -> Result<HttpResponse, Refusal> {
    let asked = Instant::now();
    let claim = ClaimKey {
        key,
        fingerprint: fingerprint(&route, &call),
        timeout_ms: route.timeout_ms,
    };
    let id = match state.control.send(Request::ClaimKey(claim)).await {
        Ok(Response::KeyWon { id }) => id,
        Ok(Response::KeyTaken(answer)) => return taken(&call, answer),
        Ok(Response::Refused(refused)) => {
            return Err(not_claimed().retry_after_ms(refused.retry_after_ms));
        }
        Ok(_) | Err(_) => return Err(not_claimed()),
    };
    if asked.elapsed() >= SEND_TIMEOUT {
        report(&state, Request::AbandonKey { id }).await;
        return Err(not_claimed());
    }
    match attempt(&state, &fleet, &route, &call).await {
        Ok(response) => finish(&state, id, response, &route).await,
        Err(failure @ (Failure::NotSent | Failure::NoEndpoint)) => {
            report(&state, Request::AbandonKey { id }).await;
            Err(failure.refusal())
        }
        Err(failure) => {
            report(&state, Request::FinishKey { id, outcome: None }).await;
            Err(failure.refusal())
        }
    }
}

fn not_claimed() -> Refusal {
    let message = "the idempotency key cannot be recorded now";
    Refusal::not_run("log_unavailable", StatusCode::SERVICE_UNAVAILABLE, message)
}

fn fingerprint(route: &Route, call: &Call) -> u64 {
    let (method, target) = (call.method.as_str().as_bytes(), call.target.as_bytes());
    crate::fingerprint::of(&[route.name.as_bytes(), method, target, &call.body])
}

/// Reads the whole answer, records it and passes it on.
async fn finish(
    state: &State,
    id: Id,
    response: HttpResponse,
    route: &Route,
) -> Result<HttpResponse, Refusal> {
    let (head, body) = response.into_parts();
    let reading = to_bytes_limited(body.boxed(), ANSWER_LIMIT_BYTES);
    let read = actix_rt::time::timeout(Duration::from_millis(route.timeout_ms), reading).await;
    let Ok(Ok(Ok(body))) = read else {
        report(state, Request::FinishKey { id, outcome: None }).await;
        return Err(Failure::Broken.refusal());
    };
    let stored = (body.len() <= MAX_BODY_BYTES).then(|| body.clone());
    let outcome = Some(Outcome {
        status: head.status().as_u16(),
        body: stored,
    });
    report(state, Request::FinishKey { id, outcome }).await;
    Ok(head.set_body(body).map_into_boxed_body())
}

async fn report(state: &State, request: Request) {
    if let Err(error) = state.control.send(request).await {
        tracing::warn!(%error, "service: end of a keyed call was not reported");
    }
}

/// Answers a call whose key was used before.
fn taken(call: &Call, answer: Answer) -> Result<HttpResponse, Refusal> {
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
        Answer::NotRun => Err(not_claimed()),
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
