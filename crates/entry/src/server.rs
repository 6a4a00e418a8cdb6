//! Listeners for callers, readiness checks, peers and metrics.
//!
//! Uses `actix-http` directly instead of `actix-web`: a caller that closes its half of a connection
//! must cancel its request, and all tasks share one thread.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody, SizedStream};
use actix_http::error::DispatchError;
use actix_http::{Extensions, HttpMessage, HttpService, Request as Incoming, Response};
use actix_service::{Service, ServiceFactory};
use berylknot_coordination::clock::Instant;
use berylknot_wire::explanation;
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::connection::{Body, Closing, Connection, Progress};
use crate::fleet::Kind;
use crate::metrics::Kind as KindLabel;
use crate::outbox::Events;
use crate::platform::{Dialect, Store};
use crate::refusal::{Reason, STOPPING_RETRY_AFTER};
use crate::request::{Cut, Reply, Request};
use crate::state::{Host, now};
use crate::stream::PIECE_BYTES;
use crate::{
    admission, arrival, call, completion, explain, intake, listings, offers, permit, records, relay,
};

/// Idle timeout of a caller's connection. Callers reuse connections for up to four fifths of the
/// configured idle time (15 s in the platform's specification), so the listener must not close
/// earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of the head of a request (limit in the platform's specification).
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Mean `Retry-After` of a request whose body has no room; stalled uploads have given way by then.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Maximum size of a request body while no configuration is known, and of a query from a peer.
pub(crate) const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1_024 * 1_024;
/// Maximum size of an operator's question where a request would go.
const MAX_QUESTION_BYTES: usize = 64 * 1_024;
/// Longest time to write a large answer, whatever deadline its caller states: until then it takes memory
/// that other large answers wait for.
const MAX_WRITE_TIME: Duration = Duration::from_secs(30);
/// Connections that may wait in the accept queue of a listener.
const LISTEN_BACKLOG: u32 = 512;

/// Clients that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    Callers,
    Checks,
    Peers,
    Metrics,
}

/// Opens a listening socket.
///
/// # Errors
/// Fails when the address cannot be bound.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections until the listener is told to close.
pub(crate) async fn accept<D: Dialect, S: Store>(
    host: Rc<Host<D, S>>,
    listener: TcpListener,
    audience: Audience,
    closing: Rc<Closing>,
) {
    let most = match audience {
        Audience::Callers => host.intake.connections(),
        Audience::Checks | Audience::Peers | Audience::Metrics => usize::MAX,
    };
    let shared = Rc::clone(&host);
    let answer = move |request: Incoming| {
        let host = Rc::clone(&shared);
        async move { Ok::<_, Infallible>(handle(host, request, audience).await) }
    };
    let builder = HttpService::build()
        .keep_alive(IDLE_TIMEOUT)
        .client_request_timeout(HEAD_TIMEOUT)
        .h1_allow_half_closed(false)
        .h1_write_buffer_size(PIECE_BYTES)
        .on_connect_ext(
            |connection: &Connection<Open<D, S>>, extensions: &mut Extensions| {
                extensions.insert(connection.progress());
            },
        );
    if audience == Audience::Peers {
        let relay = move |request| relay::serve(Rc::clone(&host), request);
        let factory = builder.upgrade(relay).h1(answer);
        accept_for(factory, listener, audience, most, closing).await;
    } else {
        accept_for(builder.h1(answer), listener, audience, most, closing).await;
    }
}

/// Connection and its remote address, as the HTTP library takes them.
type Accepted<D, S> = (Connection<Open<D, S>>, Option<SocketAddr>);

async fn accept_for<D, S, F>(
    factory: F,
    listener: TcpListener,
    audience: Audience,
    most: usize,
    closing: Rc<Closing>,
) where
    D: 'static,
    S: 'static,
    F: ServiceFactory<Accepted<D, S>, Config = (), Error = DispatchError>,
    F::Service: 'static,
{
    let Ok(service) = factory.new_service(()).await else {
        tracing::error!(
            ?audience,
            "server: HTTP service could not be built; the listener serves nothing"
        );
        return;
    };
    let serve = |stream: TcpStream| {
        if !closing.make_room(most) {
            tracing::warn!(
                ?audience,
                most,
                "server: connection closed; as many are open as this host's memory allows, none of them idle"
            );
            return;
        }
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "server: TCP_NODELAY could not be set; the connection is served without it");
        }
        let peer = stream.peer_addr().ok();
        let serving = service.call((Connection::new(stream, Rc::clone(&closing)), peer));
        actix_rt::spawn(async move {
            if let Err(error) = serving.await {
                tracing::debug!(%error, "server: connection ended with an error");
            }
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.listener_closes() => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                tracing::warn!(?audience, %error, "server: accept failed; retrying after a pause");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    let mut queued = 0;
    match drain(listener, |stream| {
        queued += 1;
        serve(stream);
    }) {
        Ok(()) => tracing::info!(?audience, queued, "server: listener closed"),
        Err(error) => {
            tracing::warn!(?audience, queued, %error, "server: listener closed; connections in its queue may be lost");
        }
    }
}

/// Accepts what is in the queue of a listener, which the kernel would reset, and closes it. Asks the socket
/// itself, since the runtime may not have noticed the last connections.
fn drain(listener: TcpListener, mut serve: impl FnMut(TcpStream)) -> std::io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                serve(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Ok(()),
            // The caller is gone.
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Backoff after a failed accept, which mostly means that file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

async fn handle<D: Dialect, S: Store>(
    host: Rc<Host<D, S>>,
    incoming: Incoming,
    audience: Audience,
) -> Response<BoxBody> {
    match audience {
        Audience::Callers => callers(host, incoming).await,
        Audience::Checks if incoming.path() == D::ready_path() => {
            let status = if host.is_ready() { 200 } else { 503 };
            plain(status, Bytes::new())
        }
        Audience::Peers => {
            let path = incoming.path().to_owned();
            let body = read_query(incoming, DEFAULT_MAX_BODY_BYTES)
                .await
                .unwrap_or_default();
            let answer = match path.as_str() {
                admission::PATH => admission::answer(&host, &body).await.map(|body| vec![body]),
                offers::PATH => offers::answer(&host, &body).map(|body| vec![body]),
                permit::PATH => permit::answer(&host, &body).map(|body| vec![body]),
                explanation::PATH => {
                    let answer = explain::answer_host(&host, &body).await;
                    answer.map(|body| vec![body])
                }
                listings::PATH => listings::answer(&host, &body).await.map(|body| vec![body]),
                records::PATH => records::answer(&host, &body).await,
                _ => None,
            };
            match answer {
                Some(parts) => in_parts(parts),
                None => plain(400, Bytes::new()),
            }
        }
        Audience::Metrics if incoming.path() == explanation::PATH => {
            let body = read_query(incoming, MAX_QUESTION_BYTES).await;
            match explain::answer(&host, &body.unwrap_or_default()).await {
                Ok(answer) => json(200, answer),
                Err(error) => {
                    tracing::info!(%error, "explain: question not answered");
                    let status = match error {
                        explain::Error::Question(_) => 400,
                        explain::Error::Leader { .. } => 502,
                        explain::Error::Encoding(_) => 500,
                    };
                    plain(status, Bytes::from(error.to_string()))
                }
            }
        }
        Audience::Metrics | Audience::Checks => match host.metrics.render() {
            Ok(text) => plain(200, Bytes::from(text)),
            Err(error) => {
                tracing::warn!(%error, "metrics: rendering failed; answered with status 500");
                plain(500, Bytes::new())
            }
        },
    }
}

/// An answer to a peer whose body has these parts. The HTTP library copies what it writes, so large parts are
/// passed to it piece by piece.
fn in_parts(parts: Vec<Bytes>) -> Response<BoxBody> {
    let length: usize = parts.iter().map(Bytes::len).sum();
    if length <= PIECE_BYTES {
        return plain(200, Bytes::from(parts.concat()));
    }
    let pieces = parts.into_iter().flat_map(|mut part| {
        std::iter::from_fn(move || {
            let piece = part.split_to(PIECE_BYTES.min(part.len()));
            (!piece.is_empty()).then_some(Ok::<_, Infallible>(piece))
        })
    });
    let body = SizedStream::new(length as u64, stream::iter(pieces));
    Response::build(actix_http::StatusCode::OK)
        .body(body)
        .map_into_boxed_body()
}

fn json(status: u16, body: Bytes) -> Response<BoxBody> {
    let mut response = plain(status, body);
    let kind = actix_http::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(actix_http::header::CONTENT_TYPE, kind);
    response
}

fn plain(status: u16, body: Bytes) -> Response<BoxBody> {
    let status = actix_http::StatusCode::from_u16(status)
        .unwrap_or(actix_http::StatusCode::INTERNAL_SERVER_ERROR);
    Response::build(status).body(body).map_into_boxed_body()
}

/// Counts a request as open until dropped.
pub(crate) struct Open<D, S>(Rc<Host<D, S>>);

impl<D, S> Open<D, S> {
    pub(crate) fn new(host: &Rc<Host<D, S>>) -> Self {
        host.open_requests.set(host.open_requests.get() + 1);
        Self(Rc::clone(host))
    }
}

impl<D, S> Drop for Open<D, S> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

async fn callers<D: Dialect, S: Store>(
    host: Rc<Host<D, S>>,
    incoming: Incoming,
) -> Response<BoxBody> {
    let open = Open::new(&host);
    let progress = incoming
        .conn_data::<Rc<Progress<Open<D, S>>>>()
        .cloned()
        .unwrap_or_default();
    progress.begin();
    let answered = if progress.is_closing() {
        Answered::unread(refuse_stopping(&host))
    } else {
        answer(&host, incoming, &progress).await
    };
    if host.is_stopping() {
        progress.close();
    }
    let is_closing = progress.is_closing();
    respond(answered, is_closing).map_body(|_, body| Body::new(body, open, progress).boxed())
}

/// The refusal of a request that has not run and that another host serves.
fn refuse_stopping<D, S>(host: &Host<D, S>) -> Reply {
    let after = call::jittered(STOPPING_RETRY_AFTER);
    call::rejection(host, Reason::Stopping, Some(after))
}

/// The reply to a request.
struct Answered {
    reply: Reply,
    /// Time until which the caller waits.
    deadline: Instant,
    /// Id of the request; empty if it was not read.
    id: String,
}

impl Answered {
    /// The reply to a request that was not read.
    fn unread(reply: Reply) -> Self {
        Self {
            reply,
            deadline: now(),
            id: String::new(),
        }
    }
}

/// Reads the body of a request and serves it.
async fn answer<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    incoming: Incoming,
    progress: &Progress<Open<D, S>>,
) -> Answered {
    let limit = host
        .fleet
        .borrow()
        .as_ref()
        .map_or(DEFAULT_MAX_BODY_BYTES, |fleet| fleet.body_bytes);
    let (method, target, host_name, headers) = head(&incoming);
    let body = tokio::select! {
        biased;
        body = host.intake.read(incoming, limit, || progress.taken()) => body,
        () = host.shutdown.answers_due() => return Answered::unread(refuse_stopping(host)),
    };
    match body {
        Ok(body) => {
            let request = Request {
                method,
                target,
                host: host_name,
                headers,
                body,
            };
            serve(host, request).await
        }
        Err(intake::Error::TooLarge) => {
            Answered::unread(call::rejection(host, Reason::TooLarge, None))
        }
        Err(intake::Error::Unreadable) => {
            Answered::unread(call::rejection(host, Reason::Unreadable, None))
        }
        Err(intake::Error::TooSlow) => {
            progress.end_early();
            Answered::unread(call::rejection(host, Reason::TooSlow, None))
        }
        Err(intake::Error::NoMemory) => {
            progress.end_early();
            let after = call::jittered(NO_MEMORY_RETRY_AFTER);
            Answered::unread(call::rejection(host, Reason::NoMemory, Some(after)))
        }
    }
}

fn head(incoming: &Incoming) -> (Method, String, String, HeaderMap) {
    let method = Method::from_bytes(incoming.method().as_str().as_bytes()).unwrap_or(Method::GET);
    let uri = incoming.uri();
    let target = uri
        .path_and_query()
        .map_or_else(|| "/".to_owned(), |target| target.as_str().to_owned());
    let mut headers = HeaderMap::with_capacity(incoming.headers().len());
    for (name, value) in incoming.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let host = headers
        .get(http::header::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| uri.host())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_owned();
    (method, target, host, headers)
}

/// Reads the query of a peer; `None` if it is cut off or exceeds the limit.
async fn read_query(mut incoming: Incoming, limit: usize) -> Option<Bytes> {
    let mut payload = incoming.take_payload();
    let mut whole = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.ok()?;
        if whole.len() + part.len() > limit {
            return None;
        }
        whole.extend_from_slice(&part);
    }
    Some(whole.freeze())
}

async fn serve<D: Dialect, S: Store>(host: &Rc<Host<D, S>>, request: Request) -> Answered {
    let arrived = now();
    let accepted = arrival::accept(host, request, arrived);
    let call = match accepted {
        Ok(call) => call,
        Err((id, reason, after)) => {
            tracing::info!(id, reason = reason.code(), "request: refused");
            return Answered {
                reply: call::rejection(host, reason, after),
                deadline: arrived,
                id,
            };
        }
    };
    let kind = call.route().kind;
    let call = Rc::new(call);
    let served = async {
        match kind {
            Kind::Streaming => completion::serve(host, Rc::clone(&call)).await,
            Kind::Idempotent | Kind::NonIdempotent => call::serve(host, &call).await,
        }
    };
    let reply = tokio::select! {
        biased;
        reply = served => reply,
        () = host.shutdown.answers_due() => if call.may_have_run.get() {
            call::rejection(host, Reason::Interrupted, None)
        } else {
            refuse_stopping(host)
        },
    };
    let status = match &reply {
        Reply::Whole { status, .. } | Reply::Stream { status, .. } => *status,
    };
    if status == http::StatusCode::SERVICE_UNAVAILABLE
        && kind != Kind::Streaming
        && let Some(customer) = call.customer_name()
    {
        host.quotas
            .borrow_mut()
            .refund(now(), customer, call.tokens);
    }
    let label = kind.name();
    let took = now().since(arrived);
    host.metrics
        .answers
        .get_or_create(&KindLabel { kind: label })
        .inc();
    host.metrics
        .latency
        .get_or_create(&KindLabel { kind: label })
        .observe(took.as_secs_f64());
    tracing::info!(
        id = call.head.id,
        route = call.route().name,
        customer = call.customer_name(),
        configuration = call.fleet.version,
        status = status.as_u16(),
        took_ms = took.as_millis() as u64,
        "request: answered"
    );
    Answered {
        reply,
        deadline: call.caller_deadline,
        id: call.head.id.clone(),
    }
}

/// The events of a generation, as its caller takes them.
fn event_stream(events: Events) -> impl futures_util::Stream<Item = Result<Bytes, Cut>> {
    stream::unfold(events, |mut events| async move {
        let event = events.next().await?;
        Some((event, events))
    })
}

/// Passes a large answer on in pieces for as long as its caller waits. The HTTP server would copy it whole
/// into the buffer of the connection, and keep it there for a caller that does not read.
fn pieces(
    id: String,
    mut body: Bytes,
    left: Duration,
) -> impl futures_util::Stream<Item = Result<Bytes, Cut>> {
    let (sender, pieces) = mpsc::channel(1);
    let bytes = body.len();
    actix_rt::spawn(async move {
        let passed = async {
            while !body.is_empty() {
                let piece = body.split_to(PIECE_BYTES.min(body.len()));
                // A copy, since a piece that waits would keep the memory of the whole.
                if sender.send(Bytes::copy_from_slice(&piece)).await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(left, passed).await.is_err() {
            tracing::info!(
                id,
                bytes,
                left_ms = left.as_millis() as u64,
                "server: caller did not read a large answer in time; cut"
            );
        }
    });
    stream::unfold(pieces, |mut pieces: mpsc::Receiver<Bytes>| async move {
        let piece = pieces.recv().await?;
        Some((Ok(piece), pieces))
    })
}

fn respond(answered: Answered, closing: bool) -> Response<BoxBody> {
    let left = answered.deadline.since(now()).min(MAX_WRITE_TIME);
    let (status, headers, body) = match answered.reply {
        Reply::Whole {
            status,
            headers,
            body,
        } if body.len() > PIECE_BYTES => {
            let length = body.len() as u64;
            let pieces = Box::pin(pieces(answered.id, body, left));
            (status, headers, SizedStream::new(length, pieces).boxed())
        }
        Reply::Whole {
            status,
            headers,
            body,
        } => (status, headers, BoxBody::new(body)),
        Reply::Stream {
            status,
            headers,
            events,
        } => {
            let events = Box::pin(event_stream(events));
            (status, headers, BodyStream::new(events).boxed())
        }
    };
    let status = actix_http::StatusCode::from_u16(status.as_u16())
        .unwrap_or(actix_http::StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in &headers {
        builder.append_header((name.as_str(), value.as_bytes()));
    }
    if closing {
        builder.force_close();
    }
    builder.body(body).map_into_boxed_body()
}
