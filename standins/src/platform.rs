//! Platform with an append-only log with retention, a host list and a rate-limited weight store.

use std::collections::VecDeque;
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use berylknot_border::platform::{
    AppendRequest, AppendResponse, HostList, LogEntry, ReadResponse, WeightRequest, WeightResponse,
};
use serde::{Deserialize, Serialize};

/// Header with the client's host name, by which the log can be blocked for single hosts.
pub const HOST_HEADER: &str = "x-platform-client";

/// Maximum number of log entries in one read response.
const MAX_READ_ENTRIES: usize = 1_000;

/// Faults and limits, replaced as a whole by POST /control.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Appends fail without storing the entry.
    pub fail_appends: bool,
    /// Appends store the entry but answer with an error.
    pub lose_answers: bool,
    /// Reads of the log fail.
    pub fail_reads: bool,
    /// Appends and reads are never answered.
    pub silent: bool,
    /// Delay of each append and read in milliseconds.
    pub delay_ms: u64,
    /// Number of newest log entries kept after an append; zero keeps all.
    pub retained_entries: usize,
    /// Names of hosts whose appends and reads fail.
    pub blocked_hosts: Vec<String>,
    /// Minimum interval between two weight loads in milliseconds; earlier ones are refused.
    pub weight_interval_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    control: Control,
    entries: VecDeque<LogEntry>,
    next: u64,
    appends: u64,
    hosts: Vec<berylknot_border::platform::ListedHost>,
    last_weight_load: Option<Instant>,
}

#[derive(Debug, Default)]
struct Platform(Mutex<State>);

impl Platform {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no thread panics while it holds the state")
    }

    /// Applies the faults common to appends and reads; `Some` is the response that ends the request.
    async fn inject_faults(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let control = self.state().control.clone();
        if control.silent {
            std::future::pending::<()>().await;
        }
        actix_rt::time::sleep(Duration::from_millis(control.delay_ms)).await;
        let client = request
            .headers()
            .get(HOST_HEADER)
            .and_then(|value| value.to_str().ok());
        let blocked =
            client.is_some_and(|name| control.blocked_hosts.iter().any(|host| host == name));
        blocked.then(unavailable)
    }
}

fn unavailable() -> HttpResponse {
    HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE)
}

/// Serves requests until the process is terminated.
///
/// # Errors
/// Fails when the HTTP server cannot start.
pub async fn run(listener: TcpListener) -> eyre::Result<()> {
    let platform = web::Data::new(Platform(Mutex::new(State {
        next: 1,
        ..State::default()
    })));
    HttpServer::new(move || {
        App::new()
            .app_data(platform.clone())
            .app_data(web::JsonConfig::default().limit(64 << 20))
            .route("/log/append", web::post().to(append))
            .route("/log/read", web::get().to(read))
            .route("/log/stats", web::get().to(stats))
            .route("/hosts", web::get().to(hosts))
            .route("/hosts", web::put().to(set_hosts))
            .route("/weights/load", web::post().to(load_weights))
            .route("/control", web::post().to(set_control))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run()
    .await?;
    Ok(())
}

async fn append(
    platform: web::Data<Platform>,
    request: HttpRequest,
    body: web::Json<AppendRequest>,
) -> HttpResponse {
    if let Some(response) = platform.inject_faults(&request).await {
        return response;
    }
    let mut state = platform.state();
    if state.control.fail_appends {
        return unavailable();
    }
    let offset = state.next;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let appended_at_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    state.entries.push_back(LogEntry {
        offset,
        appended_at_ms,
        data: body.into_inner().data,
    });
    state.next += 1;
    state.appends += 1;
    let retained = state.control.retained_entries;
    while retained > 0 && state.entries.len() > retained {
        state.entries.pop_front();
    }
    if state.control.lose_answers {
        return unavailable();
    }
    HttpResponse::Ok().json(AppendResponse { offset })
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    limit: Option<usize>,
}

async fn read(
    platform: web::Data<Platform>,
    request: HttpRequest,
    query: web::Query<ReadQuery>,
) -> HttpResponse {
    if let Some(response) = platform.inject_faults(&request).await {
        return response;
    }
    let state = platform.state();
    if state.control.fail_reads {
        return unavailable();
    }
    let limit = query
        .limit
        .unwrap_or(MAX_READ_ENTRIES)
        .min(MAX_READ_ENTRIES);
    let oldest = state
        .entries
        .front()
        .map_or(state.next, |entry| entry.offset);
    let skipped = usize::try_from(query.from.saturating_sub(oldest)).unwrap_or(usize::MAX);
    let entries = state
        .entries
        .iter()
        .skip(skipped)
        .take(limit)
        .cloned()
        .collect();
    HttpResponse::Ok().json(ReadResponse {
        oldest,
        next: state.next,
        entries,
    })
}

async fn stats(platform: web::Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(serde_json::json!({ "appends": platform.state().appends }))
}

async fn hosts(platform: web::Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(HostList {
        hosts: platform.state().hosts.clone(),
    })
}

async fn set_hosts(platform: web::Data<Platform>, list: web::Json<HostList>) -> HttpResponse {
    platform.state().hosts = list.into_inner().hosts;
    HttpResponse::NoContent().finish()
}

async fn load_weights(platform: web::Data<Platform>, _: web::Json<WeightRequest>) -> HttpResponse {
    let mut state = platform.state();
    let interval = Duration::from_millis(state.control.weight_interval_ms);
    if let Some(last) = state.last_weight_load {
        let elapsed = last.elapsed();
        if elapsed < interval {
            let retry_after_ms =
                u64::try_from((interval - elapsed).as_millis()).unwrap_or(u64::MAX);
            let refused = WeightResponse {
                started: false,
                retry_after_ms: Some(retry_after_ms),
            };
            return HttpResponse::TooManyRequests().json(refused);
        }
    }
    state.last_weight_load = Some(Instant::now());
    HttpResponse::Ok().json(WeightResponse {
        started: true,
        retry_after_ms: None,
    })
}

async fn set_control(platform: web::Data<Platform>, control: web::Json<Control>) -> HttpResponse {
    platform.state().control = control.into_inner();
    HttpResponse::NoContent().finish()
}
