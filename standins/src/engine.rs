//! Model engine that runs prefills and decodes. Its tokens depend only on the prompt, so that a
//! test can compare a resumed stream with the expected answer.
//!
//! A request keeps its slot, which stands for engine memory, until it finishes or is cancelled, even
//! after its connection has closed: the router has to cancel it.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use actix_web::{App, HttpResponse, HttpServer, web};
use berylknot_border::engine::{
    CancelRequest, CancelResponse, DecodeRequest, EngineError, FinishEvent, LoadReport,
    OrderRequest, OrderResponse, PrefillRequest, PrefillResponse, Role, RunningRequest,
    RunningRequests, TokenEvent,
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// Lifetime of a prefill's KV cache; a later import fails.
const KV_LIFETIME: Duration = Duration::from_millis(800);

/// Prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Timing, capacity and faults, replaced as a whole by POST /control.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Maximum number of concurrent requests; further ones are refused as `full`.
    pub slots: u32,
    /// Prefill time per prompt token in microseconds.
    pub prefill_us_per_token: u64,
    /// Time per generated token in milliseconds.
    pub token_ms: u64,
    /// A prefill whose prompt contains this text terminates the process.
    pub crash_on: Option<String>,
    /// A decode terminates the process instead of sending the token with this index.
    pub crash_at_token: Option<u32>,
    /// Streams stall from this token index on without closing, until they are cancelled.
    pub silent_at_token: Option<u32>,
    /// Streams send each token twice, and before it a token event of another request.
    pub disorder: bool,
    /// Streams end at this token index without a final event.
    pub truncate_at_token: Option<u32>,
    /// Orders whose fencing token is below the highest one seen are refused.
    pub checks_fencing: bool,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            slots: 20,
            prefill_us_per_token: 20,
            token_ms: 2,
            crash_on: None,
            crash_at_token: None,
            silent_at_token: None,
            disorder: false,
            truncate_at_token: None,
            checks_fencing: false,
        }
    }
}

#[derive(Debug)]
struct Running {
    stage: &'static str,
    cancelled: bool,
}

#[derive(Debug)]
struct Kv {
    seed: u64,
    expires: Instant,
}

#[derive(Debug)]
struct State {
    control: Control,
    running: HashMap<String, Running>,
    kv: HashMap<String, Kv>,
    next_kv: u64,
    fencing_token: u64,
    orders: u64,
    role: Role,
    model: String,
    version: String,
    served: u64,
    cancelled: u64,
    bodies: Vec<String>,
}

#[derive(Debug)]
struct Engine(Mutex<State>);

impl Engine {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no thread panics while it holds the state")
    }

    /// Claims a slot for a request; false when all slots are in use.
    fn claim_slot(&self, request: &str, stage: &'static str) -> bool {
        let mut state = self.state();
        let slots = usize::try_from(state.control.slots).unwrap_or(usize::MAX);
        if state.running.len() >= slots && !state.running.contains_key(request) {
            return false;
        }
        state.running.insert(
            request.to_owned(),
            Running {
                stage,
                cancelled: false,
            },
        );
        true
    }

    fn release_slot(&self, request: &str) {
        let mut state = self.state();
        if state.running.remove(request).is_some() {
            state.served += 1;
        }
    }

    fn is_cancelled(&self, request: &str) -> bool {
        self.state()
            .running
            .get(request)
            .is_none_or(|running| running.cancelled)
    }
}

fn refuse(code: &str, message: &str) -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(EngineError {
        code: code.to_owned(),
        message: message.to_owned(),
    })
}

/// Text of the token at `index` in the answer to the prompt with the given seed.
#[must_use]
pub fn token_text(seed: u64, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    (seed, index).hash(&mut hasher);
    format!("w{} ", hasher.finish() % 10_000)
}

/// Hash of a prompt that determines all tokens of its answer.
#[must_use]
pub fn prompt_seed(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    hasher.finish()
}

/// Serves requests until the process is terminated.
///
/// # Errors
/// Fails when the HTTP server cannot start.
pub async fn run(listener: TcpListener) -> eyre::Result<()> {
    let engine = web::Data::new(Engine(Mutex::new(State {
        control: Control::default(),
        running: HashMap::new(),
        kv: HashMap::new(),
        next_kv: 0,
        fencing_token: 0,
        orders: 0,
        role: Role::Decode,
        model: String::new(),
        version: String::new(),
        served: 0,
        cancelled: 0,
        bodies: Vec::new(),
    })));
    HttpServer::new(move || {
        App::new()
            .app_data(engine.clone())
            .app_data(web::JsonConfig::default().limit(64 << 20))
            .route("/v1/prefill", web::post().to(prefill))
            .route("/v1/decode", web::post().to(decode))
            .route("/v1/kv/{handle}", web::get().to(export_kv))
            .route("/v1/cancel", web::post().to(cancel))
            .route("/v1/load", web::get().to(load))
            .route("/v1/requests", web::get().to(requests))
            .route("/v1/order", web::post().to(order))
            .route("/stats", web::get().to(stats))
            .route("/control", web::post().to(set_control))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run()
    .await?;
    Ok(())
}

async fn prefill(engine: web::Data<Engine>, body: web::Json<PrefillRequest>) -> HttpResponse {
    let control = engine.state().control.clone();
    if control
        .crash_on
        .as_ref()
        .is_some_and(|text| body.prompt.contains(text))
    {
        std::process::exit(1);
    }
    if !engine.claim_slot(&body.request_id, "prefill") {
        return refuse("full", "all slots are taken");
    }
    record_body(&engine, &serde_json::to_string(&*body).unwrap_or_default());
    let tokens = body.prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
    let work = Duration::from_micros(control.prefill_us_per_token * tokens as u64);
    actix_rt::time::sleep(work).await;
    if engine.is_cancelled(&body.request_id) {
        engine.release_slot(&body.request_id);
        return refuse("cancelled", "the request was cancelled");
    }
    engine.release_slot(&body.request_id);
    let mut state = engine.state();
    state.next_kv += 1;
    let handle = format!("kv{}", state.next_kv);
    let expires = Instant::now() + KV_LIFETIME;
    state.kv.retain(|_, kv| kv.expires > Instant::now());
    state.kv.insert(
        handle.clone(),
        Kv {
            seed: prompt_seed(&body.prompt),
            expires,
        },
    );
    HttpResponse::Ok().json(PrefillResponse {
        kv_handle: handle,
        prompt_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        cached_tokens: 0,
    })
}

fn record_body(engine: &Engine, text: &str) {
    const MAX_RECORDED_BODIES: usize = 1_000;
    let mut state = engine.state();
    if state.bodies.len() < MAX_RECORDED_BODIES {
        state.bodies.push(text.to_owned());
    }
}

async fn export_kv(engine: web::Data<Engine>, handle: web::Path<String>) -> HttpResponse {
    let mut state = engine.state();
    match state.kv.remove(handle.as_str()) {
        Some(kv) if kv.expires > Instant::now() => HttpResponse::Ok().json(kv.seed),
        _ => HttpResponse::NotFound().finish(),
    }
}

async fn import_kv(body: &DecodeRequest) -> Option<u64> {
    let address = format!("http://{}/v1/kv/{}", body.prefill_address, body.kv_handle);
    let mut response = awc::Client::default().get(address).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().await.ok()
}

async fn decode(engine: web::Data<Engine>, body: web::Json<DecodeRequest>) -> HttpResponse {
    if !engine.claim_slot(&body.request_id, "decode") {
        return refuse("full", "all slots are taken");
    }
    record_body(&engine, &serde_json::to_string(&*body).unwrap_or_default());
    let Some(seed) = import_kv(&body).await else {
        engine.release_slot(&body.request_id);
        return refuse("kv_gone", "the KV result is gone");
    };
    let (sender, receiver) = mpsc::unbounded_channel::<String>();
    actix_rt::spawn(generate(engine, body.into_inner(), seed, sender));
    let events = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let event = receiver.recv().await?;
        Some((
            Ok::<_, std::convert::Infallible>(bytes::Bytes::from(event)),
            receiver,
        ))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(events)
}

async fn generate(
    engine: web::Data<Engine>,
    body: DecodeRequest,
    seed: u64,
    sender: mpsc::UnboundedSender<String>,
) {
    for index in body.resume_from..body.max_tokens.get() {
        let control = engine.state().control.clone();
        actix_rt::time::sleep(Duration::from_millis(control.token_ms)).await;
        if engine.is_cancelled(&body.request_id) {
            engine.release_slot(&body.request_id);
            return;
        }
        if control.crash_at_token == Some(index) {
            std::process::exit(1);
        }
        if control
            .silent_at_token
            .is_some_and(|silent| index >= silent)
        {
            stall(&engine, &body.request_id).await;
            return;
        }
        if control.truncate_at_token.is_some_and(|last| index >= last) {
            engine.release_slot(&body.request_id);
            return;
        }
        let event = TokenEvent {
            request_id: body.request_id.clone(),
            attempt: body.attempt,
            index,
            text: token_text(seed, index),
        };
        let text = encode_event(&event);
        if control.disorder {
            let foreign = TokenEvent {
                request_id: "another-request".to_owned(),
                ..event.clone()
            };
            let _ = sender.send(encode_event(&foreign));
            let _ = sender.send(text.clone());
        }
        let _ = sender.send(text);
    }
    engine.release_slot(&body.request_id);
    let finish = FinishEvent {
        request_id: body.request_id,
        attempt: body.attempt,
        count: body.max_tokens.get(),
        finish_reason: "length".to_owned(),
    };
    let _ = sender.send(encode_event(&finish));
}

/// Keeps the stream open without sending data until the request is cancelled.
async fn stall(engine: &Engine, request: &str) {
    while !engine.is_cancelled(request) {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    engine.release_slot(request);
}

fn encode_event<T: Serialize>(event: &T) -> String {
    format!(
        "data: {}\n\n",
        serde_json::to_string(event).unwrap_or_default()
    )
}

async fn cancel(engine: web::Data<Engine>, body: web::Json<CancelRequest>) -> HttpResponse {
    let mut state = engine.state();
    let known = match state.running.get_mut(&body.request_id) {
        Some(running) => {
            running.cancelled = true;
            true
        }
        None => false,
    };
    state.cancelled += u64::from(known);
    HttpResponse::Ok().json(CancelResponse { known })
}

async fn load(engine: web::Data<Engine>) -> HttpResponse {
    let state = engine.state();
    HttpResponse::Ok().json(LoadReport {
        role: state.role,
        model: state.model.clone(),
        version: state.version.clone(),
        running: u32::try_from(state.running.len()).unwrap_or(u32::MAX),
        waiting: 0,
        slots: state.control.slots,
        cache_pieces: 0,
        cache_pieces_used: 0,
        measured_ms_ago: 0,
    })
}

async fn requests(engine: web::Data<Engine>) -> HttpResponse {
    let state = engine.state();
    let requests = state
        .running
        .iter()
        .map(|(id, running)| RunningRequest {
            request_id: id.clone(),
            stage: running.stage.to_owned(),
        })
        .collect();
    HttpResponse::Ok().json(RunningRequests { requests })
}

async fn order(engine: web::Data<Engine>, body: web::Json<OrderRequest>) -> HttpResponse {
    let mut state = engine.state();
    if state.control.checks_fencing && body.fencing_token < state.fencing_token {
        let reason = Some("fencing token is old".to_owned());
        return HttpResponse::Conflict().json(OrderResponse {
            accepted: false,
            reason,
        });
    }
    state.fencing_token = state.fencing_token.max(body.fencing_token);
    state.orders += 1;
    state.role = body.role;
    state.model = body.model.clone();
    state.version = body.version.clone();
    HttpResponse::Ok().json(OrderResponse {
        accepted: true,
        reason: None,
    })
}

async fn stats(engine: web::Data<Engine>) -> HttpResponse {
    let state = engine.state();
    HttpResponse::Ok().json(serde_json::json!({
        "running": state.running.len(),
        "served": state.served,
        "cancelled": state.cancelled,
        "orders": state.orders,
        "bodies": state.bodies,
    }))
}

async fn set_control(engine: web::Data<Engine>, control: web::Json<Control>) -> HttpResponse {
    engine.state().control = control.into_inner();
    HttpResponse::NoContent().finish()
}
