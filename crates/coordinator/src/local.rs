//! HTTP handler for messages of the gateways of the same host.

use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use berylknot_wire::Frame;
use berylknot_wire::local::{Configuration, Request, Response};

use crate::admission::{Ask, Crash, End, Prefilled};
use crate::core::claims::{Abandon, Claim, Finish};
use crate::core::reap::Streams;
use crate::core::words::AskFreshness;
use crate::metrics::Reason;
use crate::state::State;
use crate::work::Item;

/// Timeout of a watch for a new configuration. It is below the silence after which a gateway counts
/// as gone.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles a message of a gateway; 403 if the frame does not authenticate.
pub(crate) async fn handle(state: web::Data<State>, body: web::Bytes) -> HttpResponse {
    let secret = &state.identity.secret;
    let Ok(frame) = Frame::<Request>::open(&body, secret) else {
        return HttpResponse::Forbidden().finish();
    };
    state.work.record_contact(frame.incarnation);
    let response = answer(&state, frame.incarnation, frame.body).await;
    let identity = &state.identity;
    let reply = Frame::new(
        &identity.host,
        identity.incarnation.0,
        frame.sequence,
        response,
    );
    match reply.seal(secret) {
        Ok(sealed) => HttpResponse::Ok().body(sealed),
        Err(error) => {
            tracing::error!(%error, "local: response could not be encoded; answering 500");
            HttpResponse::InternalServerError().finish()
        }
    }
}

async fn answer(state: &State, gateway: u64, request: Request) -> Response {
    let shutting_down = state.shutting_down.load(Ordering::Relaxed);
    match request {
        Request::Admit(_) | Request::ClaimKey(_) if shutting_down => {
            let response = refused("coordinator_leaving");
            count_decision(state, &response);
            response
        }
        Request::Admit(admit) => {
            let item = Item::Request(admit.request.clone());
            state.work.begin(gateway, item.clone());
            let (answer, response) = tokio::sync::oneshot::channel();
            state.admission.do_send(Ask { admit, answer });
            let response = response.await.unwrap_or_else(|_| unavailable());
            if !matches!(response, Response::Admitted(_)) {
                state.work.end(gateway, &item);
            }
            count_decision(state, &response);
            response
        }
        Request::Settle(settle) => {
            let item = Item::Request(settle.request.clone());
            state.work.end(gateway, &item);
            state.admission.do_send(End(settle));
            Response::Done
        }
        Request::Prefilled(prefilled) => {
            state.admission.do_send(Prefilled(prefilled));
            Response::Done
        }
        Request::Strike(strike) => {
            let _ = state.admission.send(Crash(strike)).await;
            Response::Done
        }
        Request::ClaimKey(claim) => {
            let claimed = state.core.send(Claim(claim)).await;
            if let Ok(Response::KeyWon { id }) = claimed {
                state.work.begin(gateway, Item::Key(id));
            }
            claimed.unwrap_or_else(|_| unavailable())
        }
        Request::FinishKey { id, outcome } => {
            state.work.end(gateway, &Item::Key(id));
            state.core.do_send(Finish { id, outcome });
            Response::Done
        }
        Request::AbandonKey { id } => {
            state.work.end(gateway, &Item::Key(id));
            state.core.do_send(Abandon(id));
            Response::Done
        }
        Request::Streams(streams) => state
            .core
            .send(Streams(streams))
            .await
            .unwrap_or(Response::Done),
        Request::Watch { after } => watch(state, after).await,
        Request::AskFreshness => freshness(state).await,
        _ => Response::Done,
    }
}

/// Counts an admission or refusal in the metrics.
fn count_decision(state: &State, response: &Response) {
    match response {
        Response::Admitted(_) => {
            state.metrics.admissions.inc();
        }
        Response::Refused(refused) => {
            let reason = Reason {
                reason: refused.code.clone(),
            };
            state.metrics.refusals.get_or_create(&reason).inc();
        }
        _ => {}
    }
}

fn unavailable() -> Response {
    refused("coordinator_restarting")
}

fn refused(code: &str) -> Response {
    Response::Refused(berylknot_wire::local::Refused {
        code: code.to_owned(),
        retry_after_ms: Some(1_000),
    })
}

async fn freshness(state: &State) -> Response {
    let lifetime_ms = match state.core.send(AskFreshness).await {
        Ok(freshness) => freshness.lifetime_ms,
        Err(_) => 0,
    };
    let version = state.configuration.borrow().version.as_u64();
    Response::Fresh {
        version,
        lifetime_ms,
    }
}

/// Waits for a configuration newer than `after`; `Done` on timeout.
async fn watch(state: &State, after: u64) -> Response {
    let mut receiver = state.configuration.clone();
    let newer = receiver.wait_for(|configuration| configuration.version.as_u64() > after);
    match tokio::time::timeout(WATCH_TIMEOUT, newer).await {
        Ok(Ok(configuration)) => Response::Configuration(Configuration {
            version: configuration.version.as_u64(),
            document: configuration.document.to_string(),
        }),
        _ => Response::Done,
    }
}
