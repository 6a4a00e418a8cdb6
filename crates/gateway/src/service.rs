//! Calls to plain services.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{HttpRequest, HttpResponse, web};
use awc::error::{ConnectError, SendRequestError};
use berylknot_settings::fleet::{Endpoint, Fleet, Route};

use crate::caller::authenticate;
use crate::completion::refuse_key_in_body;
use crate::metrics::Reason;
use crate::refusal::{REQUEST_ID_HEADER, Refusal};
use crate::state::State;

/// Prefix of headers that only the system itself sets.
const INTERNAL_PREFIX: &str = "x-berylknot-";

/// Headers that concern one connection or carry credentials, and are not passed on.
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

/// HTTP client of plain services, one per thread.
#[derive(Clone)]
pub(crate) struct Client(awc::Client);

impl std::fmt::Debug for Client {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Client(..)")
    }
}

impl Client {
    /// Makes a client.
    pub(crate) fn new() -> Self {
        Self(
            awc::Client::builder()
                .disable_timeout()
                .disable_redirects()
                .finish(),
        )
    }
}

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
            tracing::info!(request = %request_id, code = refusal.code, "service: refused");
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
    authorize(state, request, &fleet, route)?;
    let body = crate::body::read(payload, &state.shared.options.limits).await?;
    refuse_key_in_body(request, &body)?;
    let path = format!("/{path}");
    let idempotent = route.is_idempotent(request.method().as_str(), &path);
    let mut tried = 0;
    loop {
        let endpoint = choose(&fleet, route, tried).ok_or_else(|| {
            Refusal::not_run(
                "no_endpoint",
                StatusCode::SERVICE_UNAVAILABLE,
                "no endpoint is left",
            )
        })?;
        tried += 1;
        let failure = match forward(state, request, request_id, endpoint, route, &path, &body).await
        {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let may_repeat = idempotent || failure == Failure::NotSent;
        tracing::info!(request = %request_id, endpoint = %endpoint.name, reason = failure.reason(), "service: attempt failed");
        if !may_repeat || tried >= route.endpoints.len() {
            return Err(failure.refusal());
        }
        let reason = failure.reason();
        state
            .shared
            .metrics
            .retries
            .get_or_create(&Reason { reason })
            .inc();
    }
}

fn authorize(
    state: &State,
    request: &HttpRequest,
    fleet: &Fleet,
    route: &Route,
) -> Result<(), Refusal> {
    if route.open {
        return Ok(());
    }
    let caller = authenticate(request, fleet, &state.shared.pepper)?;
    if !route.customers.is_empty() && !route.customers.contains(&caller.customer) {
        let message = "the route is not open to this customer";
        return Err(Refusal::not_run(
            "route_forbidden",
            StatusCode::FORBIDDEN,
            message,
        ));
    }
    Ok(())
}

/// Endpoints in rotation, so that successive calls and attempts go to different ones.
fn choose<'a>(fleet: &'a Fleet, route: &Route, tried: usize) -> Option<&'a Endpoint> {
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

/// Ways in which a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// No byte reached the endpoint.
    NotSent,
    /// The endpoint may have run the call.
    Broken,
    /// No answer within the deadline; the endpoint may have run the call.
    Timeout,
}

impl Failure {
    const fn reason(self) -> &'static str {
        match self {
            Self::NotSent => "endpoint_unreachable",
            Self::Broken => "endpoint_broken",
            Self::Timeout => "endpoint_silent",
        }
    }

    fn refusal(self) -> Refusal {
        match self {
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
    request: &HttpRequest,
    request_id: &str,
    endpoint: &Endpoint,
    route: &Route,
    path: &str,
    body: &web::Bytes,
) -> Result<HttpResponse, Failure> {
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let url = format!("http://{}{path}{query}", endpoint.address);
    let mut call = state.client.0.request(request.method().clone(), url);
    for (name, value) in request.headers() {
        if is_passed_on(name) {
            call = call.append_header((name.clone(), value.clone()));
        }
    }
    call = call.insert_header((REQUEST_ID_HEADER, request_id));
    let timeout = Duration::from_millis(route.timeout_ms);
    let sent = actix_rt::time::timeout(timeout, call.send_body(body.clone())).await;
    let response = sent
        .map_err(|_| Failure::Timeout)?
        .map_err(|error| failure_of(&error))?;
    state.shared.metrics.service_calls.inc();
    let mut answer = HttpResponse::build(response.status());
    for (name, value) in response.headers() {
        if is_passed_on(name) {
            answer.append_header((name.clone(), HeaderValue::clone(value)));
        }
    }
    answer.insert_header((REQUEST_ID_HEADER, request_id));
    Ok(answer.streaming(response))
}

fn is_passed_on(name: &HeaderName) -> bool {
    !DROPPED_HEADERS.contains(&name.as_str()) && !name.as_str().starts_with(INTERNAL_PREFIX)
}

fn failure_of(error: &SendRequestError) -> Failure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Failure::Broken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => Failure::NotSent,
        SendRequestError::Timeout => Failure::Timeout,
        _ => Failure::Broken,
    }
}
