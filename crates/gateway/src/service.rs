//! Proxies calls to plain services.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use actix_web::http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::{HttpRequest, HttpResponse, web};
use berylknot_settings::fleet::{Endpoint, Fleet, Route};
use bytes::BytesMut;
use futures_util::stream::{self, StreamExt};
use tokio::time::{Instant, timeout_at};

mod keyed;

use crate::body::Body;
use crate::caller::authenticate;
use crate::completion::refuse_exposed_key;
use crate::endpoint::{self, Answer};
use crate::memory::Charge;
use crate::metrics::Reason;
use crate::refusal::{REQUEST_ID_HEADER, Refusal};
use crate::state::State;

/// Bytes of an answer from which on it is passed on before it is complete. Shorter ones are held until then,
/// so that a call whose answer breaks off can be retried; a caller of a larger one sees the end of its
/// connection before the last bytes. Each call takes as much memory, at most.
const MAX_HELD_BYTES: usize = 256 << 10;

/// Media type of answers that are passed on from their first byte on.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Prefix of headers reserved for the router, which are not forwarded in either direction.
const INTERNAL_PREFIX: &str = "x-berylknot-";

/// Hop-by-hop headers and credentials, which are not forwarded.
const DROPPED_HEADERS: [&str; 12] = [
    "authorization",
    "proxy-authorization",
    "cookie",
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
];

/// Handles /services/{route}/{path}.
pub(crate) async fn handle(
    state: web::Data<State>,
    request: HttpRequest,
    target: web::Path<(String, String)>,
    payload: web::Payload,
) -> HttpResponse {
    let request_id = state.shared.identity.next_request_id();
    let (route, path) = target.into_inner();
    match call(&state, &request, &request_id, &route, &path, payload).await {
        Ok(response) => response,
        Err(refusal) => {
            state.shared.metrics.count_refusal(refusal.code);
            tracing::info!(request = %request_id, code = refusal.code, "service: call refused");
            refusal.response(&request_id)
        }
    }
}

async fn call(
    state: &State,
    request: &HttpRequest,
    request_id: &str,
    route: &str,
    path: &str,
    payload: web::Payload,
) -> Result<HttpResponse, Refusal> {
    state.shared.accepts_requests()?;
    let fleet = state.shared.configuration.borrow().fleet.clone();
    let route = fleet.route(route).ok_or_else(|| {
        Refusal::not_run(
            "route_unknown",
            StatusCode::NOT_FOUND,
            "the route does not exist",
        )
    })?;
    let customer = authorize(state, request, &fleet, route)?;
    let body = crate::body::read(
        request,
        payload,
        &state.shared.memory,
        &state.shared.options.limits,
    )
    .await?;
    refuse_exposed_key(request, &body.bytes)?;
    if !route.open {
        // The freshness verdict may have expired while the body arrived.
        state.shared.accepts_keys()?;
    }
    let call = Call::new(request, request_id, route, path, body);
    if call.idempotent {
        return send_with_retries(state, &fleet, route, &call)
            .await
            .map_err(Failure::refusal);
    }
    let Some(key) = keyed::key(request, &customer)? else {
        return send_with_retries(state, &fleet, route, &call)
            .await
            .map_err(Failure::refusal);
    };
    // Runs in a task of its own, so that the outcome is recorded even if the caller disconnects.
    let run = keyed::run(state.clone(), fleet.clone(), route.clone(), call, key);
    actix_rt::spawn(run).await.unwrap_or_else(|_| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        Err(Refusal::may_have_run(
            "interrupted",
            status,
            "the call was interrupted",
        ))
    })
}

/// A call in the form in which it is forwarded to an endpoint.
#[derive(Clone, Debug)]
struct Call {
    request_id: String,
    method: Method,
    target: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: web::Bytes,
    /// Claim on the memory for the body.
    _charge: Option<Charge>,
    idempotent: bool,
}

impl Call {
    fn new(request: &HttpRequest, request_id: &str, route: &Route, path: &str, body: Body) -> Self {
        let path = format!("/{path}");
        let query = request
            .uri()
            .query()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        let mut headers = Vec::new();
        for (name, value) in request.headers() {
            if is_forwarded(name) {
                headers.push((name.clone(), value.clone()));
            }
        }
        Self {
            request_id: request_id.to_owned(),
            method: request.method().clone(),
            idempotent: route.is_idempotent(request.method().as_str(), &path),
            target: format!("{path}{query}"),
            headers,
            body: body.bytes,
            _charge: body.charge,
        }
    }
}

/// Sends a call to an endpoint; after a failure, retries it at the next one if that is safe and the
/// retry budget allows it.
async fn send_with_retries(
    state: &State,
    fleet: &Fleet,
    route: &Route,
    call: &Call,
) -> Result<HttpResponse, Failure> {
    let budget = &state.shared.budgets.service;
    budget.record_request();
    let mut tried = 0;
    loop {
        let endpoint = next_endpoint(fleet, route, tried).ok_or(Failure::NoEndpoint)?;
        tried += 1;
        let failure = match forward(state, endpoint, route, call).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let reason = failure.reason();
        tracing::info!(request = %call.request_id, endpoint = %endpoint.name, reason, "service: attempt failed");
        let is_retryable = call.idempotent || failure == Failure::NotSent;
        if !is_retryable || tried >= route.endpoints.len() {
            return Err(failure);
        }
        if !budget.try_retry() {
            let denied = &state.shared.metrics.retries_denied;
            denied.get_or_create(&Reason { reason }).inc();
            return Err(failure);
        }
        state
            .shared
            .metrics
            .retries
            .get_or_create(&Reason { reason })
            .inc();
    }
}

/// Checks access to a route and returns the customer's name, which is empty for open routes.
fn authorize(
    state: &State,
    request: &HttpRequest,
    fleet: &Fleet,
    route: &Route,
) -> Result<String, Refusal> {
    if route.open {
        return Ok(String::new());
    }
    let caller = authenticate(request, fleet, &state.shared)?;
    if !route.customers.is_empty() && !route.customers.contains(&caller.customer) {
        let message = "the route is not open to this customer";
        return Err(Refusal::not_run(
            "route_forbidden",
            StatusCode::FORBIDDEN,
            message,
        ));
    }
    Ok(fleet.customer(caller.customer).name.clone())
}

/// Chooses an endpoint by round robin over all calls and attempts, so that a retry goes to a
/// different one; `None` when `tried` covers all endpoints that are not leaving.
fn next_endpoint<'a>(fleet: &'a Fleet, route: &Route, tried: usize) -> Option<&'a Endpoint> {
    static ROTATION: AtomicUsize = AtomicUsize::new(0);
    let mut candidates = Vec::with_capacity(route.endpoints.len());
    for key in &route.endpoints {
        let endpoint = fleet.endpoint(*key);
        if endpoint.leaving {
            continue;
        }
        candidates.push(endpoint);
    }
    if tried >= candidates.len() {
        return None;
    }
    let index = ROTATION.fetch_add(1, Ordering::Relaxed) % candidates.len();
    candidates.get(index).copied()
}

/// Failures of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// No endpoint is available, or all were tried.
    NoEndpoint,
    /// No connection was established, so the endpoint did not receive the call.
    NotSent,
    /// The connection failed after the call was sent, or the answer broke off; the endpoint may have run it.
    Broken,
    /// No response before the route's timeout; the endpoint may have run the call.
    Timeout,
}

impl Failure {
    const fn reason(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::NotSent => "endpoint_unreachable",
            Self::Broken => "endpoint_broken",
            Self::Timeout => "endpoint_silent",
        }
    }

    fn refusal(self) -> Refusal {
        match self {
            Self::NoEndpoint => Refusal::not_run(
                "no_endpoint",
                StatusCode::SERVICE_UNAVAILABLE,
                "no endpoint takes calls",
            ),
            Self::NotSent => Refusal::not_run(
                "endpoint_unreachable",
                StatusCode::SERVICE_UNAVAILABLE,
                "no endpoint could be reached",
            ),
            Self::Broken => Refusal::may_have_run(
                "endpoint_broken",
                StatusCode::BAD_GATEWAY,
                "the endpoint failed after the call was sent",
            ),
            Self::Timeout => Refusal::may_have_run(
                "endpoint_silent",
                StatusCode::GATEWAY_TIMEOUT,
                "the endpoint did not answer in time",
            ),
        }
    }
}

async fn forward(
    state: &State,
    endpoint: &Endpoint,
    route: &Route,
    call: &Call,
) -> Result<HttpResponse, Failure> {
    let mut headers = call.headers.clone();
    headers.retain(|(name, _)| name != REQUEST_ID_HEADER);
    let request_id = HeaderValue::from_str(&call.request_id).map_err(|_| Failure::NotSent)?;
    headers.push((HeaderName::from_static(REQUEST_ID_HEADER), request_id));
    let request = endpoint::Request {
        method: &call.method,
        target: &call.target,
        headers: &headers,
        body: call.body.clone(),
    };
    let deadline = Instant::now() + Duration::from_millis(route.timeout_ms);
    let sent = timeout_at(deadline, endpoint::send(endpoint.address, request)).await;
    let mut answer = sent.map_err(|_| Failure::Timeout)??;
    state.shared.metrics.service_calls.inc();
    let mut response = HttpResponse::build(answer.status);
    for (name, value) in &answer.headers {
        if is_forwarded(name) {
            response.append_header((name.clone(), value.clone()));
        }
    }
    response.insert_header((REQUEST_ID_HEADER, call.request_id.as_str()));
    // Its events are of use one by one.
    let is_event_stream = answer.headers.iter().any(|(name, value)| {
        let start = value.as_bytes().get(..EVENT_STREAM.len());
        name == CONTENT_TYPE && start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
    });
    let mut held = BytesMut::new();
    if !is_event_stream {
        let holding = timeout_at(deadline, hold(&mut answer, &mut held)).await;
        if let Ok(is_whole) = holding
            && is_whole?
            && call.method != Method::HEAD
        {
            return Ok(response.body(held.freeze()));
        }
    }
    let rest = stream::try_unfold(answer, |mut answer| async move {
        let part = answer.next().await?;
        Ok::<_, endpoint::Error>(part.map(|part| (part, answer)))
    });
    let held = stream::once(async move { Ok(held.freeze()) });
    Ok(response.streaming(held.chain(rest)))
}

/// Reads a body into `held`; returns whether that is the whole, or false from [`MAX_HELD_BYTES`] on.
async fn hold(answer: &mut Answer, held: &mut BytesMut) -> Result<bool, Failure> {
    while held.len() < MAX_HELD_BYTES {
        let Some(part) = answer.next().await? else {
            return Ok(true);
        };
        held.extend_from_slice(&part);
    }
    Ok(false)
}

fn is_forwarded(name: &HeaderName) -> bool {
    !DROPPED_HEADERS.contains(&name.as_str()) && !name.as_str().starts_with(INTERNAL_PREFIX)
}

impl From<endpoint::Error> for Failure {
    fn from(error: endpoint::Error) -> Self {
        match error {
            endpoint::Error::NotSent(_) => Self::NotSent,
            endpoint::Error::Broken(_) | endpoint::Error::Status(_) | endpoint::Error::TooLarge => {
                Self::Broken
            }
        }
    }
}
