//! HTTP server of the coordinator: messages of gateways and peers, probes, status and metrics.

use actix_web::{App, HttpResponse, HttpServer, web};
use berylknot_telemetry::metrics;

use crate::core::words::AskFreshness;
use crate::state::State;
use crate::{local, peer};

/// Maximum size of a request frame; a configuration has at most 4 MiB.
const FRAME_LIMIT_BYTES: usize = 8 << 20;

/// Starts the server on a bound listener.
///
/// # Errors
/// Fails when the listener cannot be used.
pub(crate) fn serve(
    listener: std::net::TcpListener,
    state: State,
) -> std::io::Result<actix_web::dev::Server> {
    let state = web::Data::new(state);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(FRAME_LIMIT_BYTES))
            .route(berylknot_wire::local::PATH, web::post().to(local::handle))
            .route(berylknot_wire::peer::PATH, web::post().to(peer::handle))
            .route("/live", web::get().to(HttpResponse::Ok))
            .route("/ready", web::get().to(ready))
            .route("/status", web::get().to(status))
            .route("/metrics", web::get().to(render))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

fn is_ready(state: &State) -> bool {
    state.ready.load(std::sync::atomic::Ordering::Relaxed)
}

async fn ready(state: web::Data<State>) -> HttpResponse {
    if is_ready(&state) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn status(state: web::Data<State>) -> HttpResponse {
    let Ok(freshness) = state.core.send(AskFreshness).await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let version = state.configuration.borrow().version.as_u64();
    HttpResponse::Ok().json(serde_json::json!({
        "host": state.identity.host,
        "version": version,
        "age_ms": freshness.age_ms,
        "ready": is_ready(&state),
    }))
}

async fn render(state: web::Data<State>) -> HttpResponse {
    match metrics::render(&state.metrics.registry) {
        Ok(text) => HttpResponse::Ok()
            .content_type(metrics::CONTENT_TYPE)
            .body(text),
        Err(error) => {
            tracing::error!(%error, "server: metrics cannot be rendered");
            HttpResponse::InternalServerError().finish()
        }
    }
}
