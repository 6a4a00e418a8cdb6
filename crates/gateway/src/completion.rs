//! Handlers of the OpenAI-style interface.

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use berylknot_border::caller::{ChatRequest, CompletionRequest};
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::caller::{authenticate, presented_key};
use crate::connection::Connection;
use crate::flow::{self, Job, Piece};
use crate::refusal::{REQUEST_ID_HEADER, Refusal};
use crate::state::State;

mod body;

use body::Format;

/// Pieces of an answer that wait for a slow caller.
const WAITING_PIECES: usize = 64;

/// Pause of a started stream after which the caller gets a comment, so that no proxy on the way
/// takes the connection for dead.
const KEEP_ALIVE: std::time::Duration = std::time::Duration::from_secs(5);

/// Comment of server-sent events, which clients ignore.
const COMMENT: &[u8] = b": keep-alive\n\n";

/// What a caller asks for, whichever path it came by.
#[derive(Clone, Debug)]
struct Question {
    model: String,
    prompt: String,
    max_tokens: Option<std::num::NonZeroU32>,
    stream: bool,
    include_usage: bool,
    sampling: serde_json::Map<String, serde_json::Value>,
    format: Format,
}

impl TryFrom<CompletionRequest> for Question {
    type Error = Refusal;

    fn try_from(request: CompletionRequest) -> Result<Self, Refusal> {
        single_answer(request.n.map(std::num::NonZeroU32::get))?;
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

impl TryFrom<ChatRequest> for Question {
    type Error = Refusal;

    fn try_from(request: ChatRequest) -> Result<Self, Refusal> {
        single_answer(request.n.map(std::num::NonZeroU32::get))?;
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

/// Sampling parameters under the names that engines share with the caller's interface.
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

fn single_answer(n: Option<u32>) -> Result<(), Refusal> {
    if n.is_some_and(|n| n > 1) {
        return Err(invalid(
            "n_unsupported",
            "only one answer per request is supported",
        ));
    }
    Ok(())
}

fn invalid(code: &'static str, message: impl Into<String>) -> Refusal {
    Refusal::not_run(code, StatusCode::BAD_REQUEST, message)
}

/// Handles POST /v1/completions.
pub(crate) async fn completions(
    state: web::Data<State>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    answer::<CompletionRequest>(&state, &request, payload).await
}

/// Handles POST /v1/chat/completions.
pub(crate) async fn chat(
    state: web::Data<State>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    answer::<ChatRequest>(&state, &request, payload).await
}

fn question<R>(body: &[u8]) -> Result<Question, Refusal>
where
    R: serde::de::DeserializeOwned,
    Question: TryFrom<R, Error = Refusal>,
{
    let request: R = serde_json::from_slice(body)
        .map_err(|error| invalid("body_malformed", format!("the body is malformed: {error}")))?;
    Question::try_from(request)
}

async fn answer<R>(state: &State, request: &HttpRequest, payload: web::Payload) -> HttpResponse
where
    R: serde::de::DeserializeOwned,
    Question: TryFrom<R, Error = Refusal>,
{
    let request_id = state.shared.identity.next_request_id();
    let (job, question) = match prepare::<R>(state, request, payload, &request_id).await {
        Ok(prepared) => prepared,
        Err(refusal) => {
            state.shared.metrics.count_refusal(refusal.code);
            return refusal.response(&request_id);
        }
    };
    let connection = request.conn_data::<Connection>().cloned();
    let (sender, receiver) = mpsc::channel(WAITING_PIECES);
    actix_rt::spawn(flow::run(state.clone(), job, connection, sender));
    if question.stream {
        stream(request_id, question, receiver).await
    } else {
        whole(request_id, question, receiver).await
    }
}

async fn prepare<R>(
    state: &State,
    request: &HttpRequest,
    payload: web::Payload,
    request_id: &str,
) -> Result<(Job, Question), Refusal>
where
    R: serde::de::DeserializeOwned,
    Question: TryFrom<R, Error = Refusal>,
{
    state.shared.accepts_requests()?;
    let configuration = state.shared.configuration.borrow().clone();
    // The key comes first, so that a stranger's body costs nothing.
    let caller = authenticate(request, &configuration.fleet, &state.shared)?;
    let body = crate::body::read(payload, &state.shared.options.limits).await?;
    refuse_key_in_body(request, &body)?;
    let question = question::<R>(&body)?;
    let model = configuration
        .fleet
        .models()
        .get(&question.model)
        .ok_or_else(|| {
            let message = format!("the model {:?} does not exist", question.model);
            Refusal::not_run("model_unknown", StatusCode::NOT_FOUND, message)
        })?;
    let customer = configuration.fleet.customer(caller.customer).name.clone();
    let default = std::num::NonZeroU32::new(model.max_tokens).unwrap_or(std::num::NonZeroU32::MIN);
    let bytes = u32::try_from(question.prompt.len()).unwrap_or(u32::MAX);
    let fingerprint =
        crate::fingerprint::of(&[customer.as_bytes(), question.model.as_bytes(), &body]);
    let job = Job {
        request_id: request_id.to_owned(),
        customer,
        key_id: caller.key_id,
        model: question.model.clone(),
        prompt: question.prompt.clone(),
        prompt_tokens: bytes.div_ceil(model.bytes_per_token.max(1)).max(1),
        max_tokens: question.max_tokens.unwrap_or(default),
        sampling: question.sampling.clone(),
        fingerprint,
        pieces: crate::fingerprint::pieces(
            &question.model,
            &question.prompt,
            model.bytes_per_token,
        ),
    };
    Ok((job, question))
}

/// No endpoint may see a key, so a request that repeats the caller's key outside its header is
/// refused.
pub(crate) fn refuse_key_in_body(request: &HttpRequest, body: &[u8]) -> Result<(), Refusal> {
    let Some(key) = presented_key(request).filter(|key| !key.is_empty()) else {
        return Ok(());
    };
    let contains = |text: &[u8]| {
        text.windows(key.len())
            .any(|window| window == key.as_bytes())
    };
    if contains(body) {
        return Err(invalid("key_in_body", "the body contains the caller's key"));
    }
    if contains(request.uri().to_string().as_bytes()) {
        return Err(invalid("key_in_url", "the URL contains the caller's key"));
    }
    Ok(())
}

async fn stream(
    request_id: String,
    question: Question,
    mut receiver: mpsc::Receiver<Piece>,
) -> HttpResponse {
    let first = match receiver.recv().await {
        Some(Piece::Failed(refusal)) => return refusal.response(&request_id),
        Some(piece) => piece,
        None => return interrupted().response(&request_id),
    };
    let header = request_id.clone();
    let initial = (Some(first), receiver);
    let events = futures_util::stream::unfold(initial, move |(first, mut receiver)| {
        let (request_id, question) = (request_id.clone(), question.clone());
        async move {
            let piece = match first {
                Some(piece) => piece,
                None => match actix_rt::time::timeout(KEEP_ALIVE, receiver.recv()).await {
                    Ok(piece) => piece,
                    Err(_) => return Some((Ok(Bytes::from_static(COMMENT)), (None, receiver))),
                }?,
            };
            let text = body::event(&request_id, &question, &piece);
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

async fn whole(
    request_id: String,
    question: Question,
    mut receiver: mpsc::Receiver<Piece>,
) -> HttpResponse {
    let mut text = String::new();
    while let Some(piece) = receiver.recv().await {
        match piece {
            Piece::Token(token) => text.push_str(&token),
            Piece::Finished {
                finish_reason,
                usage,
            } => {
                let body = body::whole(&request_id, &question, &text, &finish_reason, &usage);
                return HttpResponse::Ok()
                    .insert_header((REQUEST_ID_HEADER, request_id))
                    .json(body);
            }
            Piece::Failed(refusal) => return refusal.response(&request_id),
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
