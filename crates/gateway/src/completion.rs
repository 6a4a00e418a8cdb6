//! Handlers of the OpenAI-compatible API.

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use berylknot_border::caller::{ChatRequest, CompletionRequest};
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::caller::{authenticate, presented_key};
use crate::connection::Connection;
use crate::flow::{self, Chunk, Job};
use crate::refusal::{REQUEST_ID_HEADER, Refusal};
use crate::state::State;

mod body;

use body::Format;

/// Chunks buffered for a slow caller before backpressure stops reading from the engine.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// Idle time of a started stream before a keep-alive comment is sent, so that proxies do not close
/// the connection.
const KEEP_ALIVE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

/// Server-sent events comment, which clients ignore.
const KEEP_ALIVE_COMMENT: &[u8] = b": keep-alive\n\n";

/// Parameters of a generation, common to completion and chat requests.
#[derive(Clone, Debug)]
struct Parameters {
    model: String,
    prompt: String,
    max_tokens: Option<std::num::NonZeroU32>,
    stream: bool,
    include_usage: bool,
    sampling: serde_json::Map<String, serde_json::Value>,
    format: Format,
}

impl TryFrom<CompletionRequest> for Parameters {
    type Error = Refusal;

    fn try_from(request: CompletionRequest) -> Result<Self, Refusal> {
        require_single_choice(request.n.map(std::num::NonZeroU32::get))?;
        let sampling = sampling(request.temperature, request.top_p, request.seed);
        Ok(Self {
            model: request.model,
            prompt: request.prompt,
            max_tokens: request.max_tokens,
            stream: request.stream,
            include_usage: request
                .stream_options
                .is_some_and(|options| options.include_usage),
            sampling,
            format: Format::Completion,
        })
    }
}

impl TryFrom<ChatRequest> for Parameters {
    type Error = Refusal;

    fn try_from(request: ChatRequest) -> Result<Self, Refusal> {
        require_single_choice(request.n.map(std::num::NonZeroU32::get))?;
        let sampling = sampling(request.temperature, request.top_p, request.seed);
        let mut prompt = String::new();
        for message in &request.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            prompt.push_str(&message.content);
            prompt.push('\n');
        }
        Ok(Self {
            model: request.model,
            prompt,
            max_tokens: request.max_tokens,
            stream: request.stream,
            include_usage: request
                .stream_options
                .is_some_and(|options| options.include_usage),
            sampling,
            format: Format::Chat,
        })
    }
}

/// Sampling parameters that are set. Engines use the same names as the API.
fn sampling(
    temperature: Option<f64>,
    top_p: Option<f64>,
    seed: Option<i64>,
) -> serde_json::Map<String, serde_json::Value> {
    let given = [
        ("temperature", temperature.map(serde_json::Value::from)),
        ("top_p", top_p.map(serde_json::Value::from)),
        ("seed", seed.map(serde_json::Value::from)),
    ];
    let given = given
        .into_iter()
        .filter_map(|(name, value)| value.map(|value| (name.to_owned(), value)));
    given.collect()
}

fn require_single_choice(n: Option<u32>) -> Result<(), Refusal> {
    if n.is_some_and(|n| n > 1) {
        return Err(bad_request(
            "n_unsupported",
            "only one answer per request is supported",
        ));
    }
    Ok(())
}

fn bad_request(code: &'static str, message: impl Into<String>) -> Refusal {
    Refusal::not_run(code, StatusCode::BAD_REQUEST, message)
}

/// Handles POST /v1/completions.
pub(crate) async fn completions(
    state: web::Data<State>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    respond::<CompletionRequest>(&state, &request, payload).await
}

/// Handles POST /v1/chat/completions.
pub(crate) async fn chat(
    state: web::Data<State>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    respond::<ChatRequest>(&state, &request, payload).await
}

fn parse<R>(body: &[u8]) -> Result<Parameters, Refusal>
where
    R: serde::de::DeserializeOwned,
    Parameters: TryFrom<R, Error = Refusal>,
{
    let request: R = serde_json::from_slice(body).map_err(|error| {
        bad_request("body_malformed", format!("the body is malformed: {error}"))
    })?;
    Parameters::try_from(request)
}

async fn respond<R>(state: &State, request: &HttpRequest, payload: web::Payload) -> HttpResponse
where
    R: serde::de::DeserializeOwned,
    Parameters: TryFrom<R, Error = Refusal>,
{
    let request_id = state.shared.identity.next_request_id();
    let (job, parameters) = match prepare::<R>(state, request, payload, &request_id).await {
        Ok(prepared) => prepared,
        Err(refusal) => {
            state.shared.metrics.count_refusal(refusal.code);
            return refusal.response(&request_id);
        }
    };
    let connection = request.conn_data::<Connection>().cloned();
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    actix_rt::spawn(flow::run(state.clone(), job, connection, sender));
    if parameters.stream {
        respond_streaming(request_id, parameters, receiver).await
    } else {
        respond_complete(request_id, parameters, receiver).await
    }
}

async fn prepare<R>(
    state: &State,
    request: &HttpRequest,
    payload: web::Payload,
    request_id: &str,
) -> Result<(Job, Parameters), Refusal>
where
    R: serde::de::DeserializeOwned,
    Parameters: TryFrom<R, Error = Refusal>,
{
    state.shared.accepts_requests()?;
    let configuration = state.shared.configuration.borrow().clone();
    // Authenticates before reading the body, so that unauthenticated bodies are never buffered.
    let caller = authenticate(request, &configuration.fleet, &state.shared)?;
    let body = crate::body::read(
        request,
        payload,
        &state.shared.memory,
        &state.shared.options.limits,
    )
    .await?;
    refuse_exposed_key(request, &body.bytes)?;
    let parameters = parse::<R>(&body.bytes)?;
    let model = configuration
        .fleet
        .models()
        .get(&parameters.model)
        .ok_or_else(|| {
            let message = format!("the model {:?} does not exist", parameters.model);
            Refusal::not_run("model_unknown", StatusCode::NOT_FOUND, message)
        })?;
    let customer = configuration.fleet.customer(caller.customer).name.clone();
    let default = std::num::NonZeroU32::new(model.max_tokens).unwrap_or(std::num::NonZeroU32::MIN);
    let bytes = u32::try_from(parameters.prompt.len()).unwrap_or(u32::MAX);
    let fingerprint = crate::fingerprint::of(&[
        customer.as_bytes(),
        parameters.model.as_bytes(),
        &body.bytes,
    ]);
    let job = Job {
        request_id: request_id.to_owned(),
        customer,
        key_id: caller.key_id,
        model: parameters.model.clone(),
        prompt: parameters.prompt.clone(),
        prompt_tokens: bytes.div_ceil(model.bytes_per_token.max(1)).max(1),
        max_tokens: parameters.max_tokens.unwrap_or(default),
        sampling: parameters.sampling.clone(),
        fingerprint,
        _charge: body.charge,
        prefix_hashes: crate::fingerprint::prefix_hashes(
            &parameters.model,
            &parameters.prompt,
            model.bytes_per_token,
        ),
    };
    Ok((job, parameters))
}

/// Refuses a request that repeats the caller's key in its body or URL, which are forwarded: no
/// endpoint may see a key.
pub(crate) fn refuse_exposed_key(request: &HttpRequest, body: &[u8]) -> Result<(), Refusal> {
    let Some(key) = presented_key(request).filter(|key| !key.is_empty()) else {
        return Ok(());
    };
    let contains = |text: &[u8]| {
        text.windows(key.len())
            .any(|window| window == key.as_bytes())
    };
    if contains(body) {
        return Err(bad_request(
            "key_in_body",
            "the body contains the caller's key",
        ));
    }
    if contains(request.uri().to_string().as_bytes()) {
        return Err(bad_request(
            "key_in_url",
            "the URL contains the caller's key",
        ));
    }
    Ok(())
}

async fn respond_streaming(
    request_id: String,
    parameters: Parameters,
    mut receiver: mpsc::Receiver<Chunk>,
) -> HttpResponse {
    let first = match receiver.recv().await {
        Some(Chunk::Failed(refusal)) => return refusal.response(&request_id),
        Some(chunk) => chunk,
        None => return interrupted().response(&request_id),
    };
    let header = request_id.clone();
    let initial = (Some(first), receiver);
    let events = futures_util::stream::unfold(initial, move |(first, mut receiver)| {
        let (request_id, parameters) = (request_id.clone(), parameters.clone());
        async move {
            let chunk = match first {
                Some(chunk) => chunk,
                None => match actix_rt::time::timeout(KEEP_ALIVE_INTERVAL, receiver.recv()).await {
                    Ok(chunk) => chunk,
                    Err(_) => {
                        return Some((
                            Ok(Bytes::from_static(KEEP_ALIVE_COMMENT)),
                            (None, receiver),
                        ));
                    }
                }?,
            };
            let text = body::encode(&request_id, &parameters, &chunk);
            Some((
                Ok::<_, std::convert::Infallible>(Bytes::from(text)),
                (None, receiver),
            ))
        }
    });
    HttpResponse::Ok()
        .insert_header((REQUEST_ID_HEADER, header))
        .insert_header(("cache-control", "no-store"))
        .content_type("text/event-stream")
        .streaming(events)
}

async fn respond_complete(
    request_id: String,
    parameters: Parameters,
    mut receiver: mpsc::Receiver<Chunk>,
) -> HttpResponse {
    let mut text = String::new();
    while let Some(chunk) = receiver.recv().await {
        match chunk {
            Chunk::Token(token) => text.push_str(&token),
            Chunk::Finished {
                finish_reason,
                usage,
            } => {
                let body = body::complete(&request_id, &parameters, &text, &finish_reason, &usage);
                return HttpResponse::Ok()
                    .insert_header((REQUEST_ID_HEADER, request_id))
                    .json(body);
            }
            Chunk::Failed(refusal) => return refusal.response(&request_id),
        }
    }
    interrupted().response(&request_id)
}

fn interrupted() -> Refusal {
    Refusal::may_have_run(
        "interrupted",
        StatusCode::BAD_GATEWAY,
        "the request was interrupted",
    )
}

/// Handles GET /v1/models.
pub(crate) async fn models(state: web::Data<State>, request: HttpRequest) -> HttpResponse {
    let configuration = state.shared.configuration.borrow().clone();
    if let Err(refusal) = authenticate(&request, &configuration.fleet, &state.shared) {
        state.shared.metrics.count_refusal(refusal.code);
        return refusal.response(&state.shared.identity.next_request_id());
    }
    let models: Vec<_> = configuration
        .fleet
        .models()
        .keys()
        .map(|name| serde_json::json!({ "id": name, "object": "model", "owned_by": "operator" }))
        .collect();
    HttpResponse::Ok().json(serde_json::json!({ "object": "list", "data": models }))
}
