//! HTTP handler for messages of the coordinators of other hosts.

use actix_web::{HttpResponse, web};
use berylknot_wire::Frame;
use berylknot_wire::peer::{Request, Response};

use crate::core::quota::PeerRequest;
use crate::core::reap::Heartbeat;
use crate::core::words::Query;
use crate::state::State;

/// Handles a message of another coordinator; 403 if the frame does not authenticate.
pub(crate) async fn handle(state: web::Data<State>, body: web::Bytes) -> HttpResponse {
    let identity = &state.identity;
    let Ok(frame) = Frame::<Request>::open(&body, &identity.secret) else {
        return HttpResponse::Forbidden().finish();
    };
    let sequence = frame.sequence;
    let response = match frame.body {
        Request::Heartbeat { report } => {
            let host = frame.sender;
            state.core.send(Heartbeat { host, report }).await
        }
        request @ (Request::AskWord { .. }
        | Request::Digest { .. }
        | Request::Fetch { .. }
        | Request::Relay { .. }) => {
            let query = Query {
                sender: frame.sender,
                request,
            };
            state.core.send(query).await
        }
        request => state.core.send(PeerRequest(request)).await,
    };
    let response = response.unwrap_or(Response::NotOwner);
    let reply = Frame::new(&identity.host, identity.incarnation.0, sequence, response);
    match reply.seal(&identity.secret) {
        Ok(sealed) => HttpResponse::Ok().body(sealed),
        Err(error) => {
            tracing::error!(%error, "peer: response could not be encoded; answering 500");
            HttpResponse::InternalServerError().finish()
        }
    }
}
