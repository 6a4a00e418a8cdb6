//! HTTP interface for the gateway of the same host.

use std::time::Duration;

use actix_web::{HttpResponse, web};
use berylknot_wire::Frame;
use berylknot_wire::local::{Configuration, Request, Response};

use crate::admission::{Ask, End, Prefilled, Struck};
use crate::core::claims::{Abandon, Claim, Finish};
use crate::metrics::Reason;
use crate::state::State;

/// Longest wait of a watch for a new configuration.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles a message of the gateway.
pub(crate) async fn handle(state: web::Data<State>, body: web::Bytes) -> HttpResponse {
    let secret = &state.identity.secret;
    let Ok(frame) = Frame::<Request>::open(&body, secret) else {
        return HttpResponse::Forbidden().finish();
    };
    let response = answer(&state, frame.body).await;
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

async fn answer(state: &State, request: Request) -> Response {
    match request {
        Request::Admit(admit) => {
            let (answer, response) = tokio::sync::oneshot::channel();
            state.admission.do_send(Ask { admit, answer });
            let response = response.await.unwrap_or_else(|_| unavailable());
            count(state, &response);
            response
        }
        Request::Settle(settle) => {
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
        Request::ClaimKey(claim) => state
            .core
            .send(Claim(claim))
            .await
            .unwrap_or_else(|_| unavailable()),
        Request::FinishKey { id, outcome } => {
            state.core.do_send(Finish { id, outcome });
            Response::Done
        }
        Request::AbandonKey { id } => {
            state.core.do_send(Abandon(id));
            Response::Done
        }
        Request::Watch { after } => watch(state, after).await,
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
    Response::Refused(berylknot_wire::local::Refused {
        code: "coordinator_restarting".to_owned(),
        retry_after_ms: Some(1_000),
    })
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
