//! Plain service for looking up and reserving names. It accepts any call, echoes it and counts its
//! executions.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use serde::{Deserialize, Serialize};

/// Faults, replaced as a whole by POST /control.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Delay of each response in milliseconds, after the call has been counted.
    pub delay_ms: u64,
    /// Calls are counted but never answered.
    pub silent: bool,
    /// The next call is counted, then terminates the process before its response.
    pub crash_after_effect: bool,
}

/// Calls and headers received since the start.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Stats {
    /// Executions by method, path and body text (if any), separated by spaces.
    pub runs: BTreeMap<String, u64>,
    /// Distinct values of each request header by header name.
    pub headers: BTreeMap<String, Vec<String>>,
}

#[derive(Debug, Default)]
struct Service {
    control: Mutex<Control>,
    stats: Mutex<Stats>,
}

/// Serves requests until the process is terminated.
///
/// # Errors
/// Fails when the HTTP server cannot start.
pub async fn run(listener: TcpListener) -> eyre::Result<()> {
    let service = web::Data::new(Service::default());
    HttpServer::new(move || {
        App::new()
            .app_data(service.clone())
            .route("/stats", web::get().to(stats))
            .route("/control", web::post().to(set_control))
            .default_service(web::to(call))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run()
    .await?;
    Ok(())
}

async fn call(service: web::Data<Service>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let control = lock(&service.control).clone();
    let text = String::from_utf8_lossy(&body).into_owned();
    let run = format!("{} {} {text}", request.method(), request.path())
        .trim_end()
        .to_owned();
    let count = record(&service, &request, &run);
    if control.crash_after_effect {
        std::process::exit(1);
    }
    if control.silent {
        std::future::pending::<()>().await;
    }
    actix_rt::time::sleep(Duration::from_millis(control.delay_ms)).await;
    HttpResponse::Ok().json(serde_json::json!({ "ran": run, "count": count }))
}

fn record(service: &Service, request: &HttpRequest, run: &str) -> u64 {
    let mut stats = lock(&service.stats);
    for (name, value) in request.headers() {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        let values = stats.headers.entry(name.to_string()).or_default();
        if !values.contains(&value) {
            values.push(value);
        }
    }
    let count = stats.runs.entry(run.to_owned()).or_default();
    *count += 1;
    *count
}

async fn stats(service: web::Data<Service>) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(&service.stats))
}

async fn set_control(service: web::Data<Service>, control: web::Json<Control>) -> HttpResponse {
    *lock(&service.control) = control.into_inner();
    HttpResponse::NoContent().finish()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds the state")
}
