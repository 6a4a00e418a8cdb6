//! HTTP interface for the gateway of the same host.

use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use berylknot_wire::Frame;
use berylknot_wire::local::{Configuration, Request, Response};

use crate::admission::{Ask, End, Prefilled, Struck};
use crate::core::claims::{Abandon, Claim, Finish};
use crate::core::reap::Streams;
use crate::core::words::AskKnowledge;
use crate::metrics::Reason;
use crate::state::State;
use crate::work::Item;

/// Longest wait of a watch for a new configuration.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles a message of the gateway.
pub(crate) async fn handle(state: web::Data<State>, body: web::Bytes) -> HttpResponse {
    let secret = &state.identity.secret;
    let Ok(frame) = Frame::<Request>::open(&body, secret) else {
        return HttpResponse::Forbidden().finish();
    };
    state.work.heard(frame.incarnation);
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
            tracing::error!(%error, "local: answer cannot be encoded");
            HttpResponse::InternalServerError().finish()
        }
    }
}

async fn answer(state: &State, gateway: u64, request: Request) -> Response {
    let leaving = state.leaving.load(Ordering::Relaxed);
    match request {
        Request::Admit(_) | Request::ClaimKey(_) if leaving => {
            let response = refused("coordinator_leaving");
            count(state, &response);
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
            count(state, &response);
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
            let _ = state.admission.send(Struck(strike)).await;
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

fn count(state: &State, response: &Response) {
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
    let lifetime_ms = match state.core.send(AskKnowledge).await {
        Ok(knowledge) => knowledge.lifetime_ms,
        Err(_) => 0,
    };
    let version = state.configuration.borrow().version.as_u64();
    Response::Fresh {
        version,
        lifetime_ms,
    }
}

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
