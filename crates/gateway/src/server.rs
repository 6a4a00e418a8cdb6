//! HTTP servers of the gateway: one for callers, one for the operator.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{App, HttpResponse, HttpServer, web};
use berylknot_telemetry::metrics;

use crate::connection::Connection;
use crate::control::Control;
use crate::engine::http::Http;
use crate::refusal::Refusal;
use crate::shutdown::count::count;
use crate::state::{Shared, State};
use crate::{completion, service, tls};

fn thread_state(shared: &Shared) -> State {
    let limits = &shared.options.limits;
    State {
        shared: shared.clone(),
        control: Control::new(shared.options.coordinator, shared.identity.clone()),
        engine: Http::new(
            Duration::from_millis(limits.prefill_timeout_ms),
            Duration::from_millis(limits.event_timeout_ms),
        ),
    }
}

/// Starts the HTTP server for callers, with TLS if configured.
pub(crate) fn callers(
    listener: std::net::TcpListener,
    shared: &Shared,
) -> eyre::Result<actix_web::dev::Server> {
    let tls = shared
        .options
        .tls
        .as_ref()
        .map(tls::configure)
        .transpose()?;
    let limits = shared.options.limits.clone();
    let shared = shared.clone();
    let server = HttpServer::new(move || {
        let counted = shared.clone();
        App::new()
            .wrap_fn(move |request, service| count(&counted, request, service))
            .app_data(web::Data::new(thread_state(&shared)))
            .route("/v1/completions", web::post().to(completion::completions))
            .route("/v1/chat/completions", web::post().to(completion::chat))
            .route("/v1/models", web::get().to(completion::models))
            .route("/services/{route}/{path:.*}", web::to(service::handle))
            .default_service(web::to(unknown_path))
    });
    let server = server
        .workers(limits.workers)
        .max_connections(limits.connections)
        .on_connect(Connection::accept)
        .client_request_timeout(Duration::from_millis(limits.header_timeout_ms))
        .shutdown_timeout(limits.drain_s)
        .disable_signals();
    let server = match tls {
        Some(tls) => server.listen_rustls_0_23(listener, tls)?,
        None => server.listen(listener)?,
    };
    Ok(server.run())
}

async fn unknown_path(state: web::Data<State>) -> HttpResponse {
    let refusal = Refusal::not_run(
        "path_unknown",
        StatusCode::NOT_FOUND,
        "the path does not exist",
    );
    state.shared.metrics.count_refusal(refusal.code);
    refusal.response(&state.shared.identity.next_request_id())
}

/// Starts the HTTP server for liveness, readiness and metrics.
pub(crate) fn operator(
    listener: std::net::TcpListener,
    shared: &Shared,
) -> std::io::Result<actix_web::dev::Server> {
    let shared = web::Data::new(shared.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .route("/live", web::get().to(HttpResponse::Ok))
            .route("/ready", web::get().to(ready))
            .route("/metrics", web::get().to(render))
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

async fn ready(shared: web::Data<Shared>) -> HttpResponse {
    let draining = shared.draining.load(std::sync::atomic::Ordering::Relaxed);
    let usable = shared.permission.is_valid() && shared.accepts_keys().is_ok();
    if draining || !usable || shared.configuration.borrow().version == 0 {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().finish()
}

async fn render(shared: web::Data<Shared>) -> HttpResponse {
    match metrics::render(&shared.metrics.registry) {
        Ok(text) => HttpResponse::Ok()
            .content_type(metrics::CONTENT_TYPE)
            .body(text),
        Err(error) => {
            tracing::error!(%error, "server: metrics cannot be rendered");
            HttpResponse::InternalServerError().finish()
        }
    }
}
