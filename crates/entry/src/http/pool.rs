//! Pool of connections to endpoints, the store and peers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use berylknot_coordination::clock;
use berylknot_coordination::ending::Framing;
use berylknot_coordination::reuse::History;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::memory::{Body, Charge, Memory};
use super::paths::Paths;
use super::{Error, Result};
use crate::state::now;

/// `TCP_USER_TIMEOUT`: time without an acknowledgement of sent data after which a connection fails.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first keep-alive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection fails.
const KEEPALIVE_PROBES: u32 = 2;
/// Idle timeout of a connection whose endpoint states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without an answer after which the links to the endpoints are in doubt.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Share of a stated idle timeout after which a connection is not reused.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Largest head of an answer, and most bytes read from a connection at once. The default of 417,792 bytes
/// for each of 200 connections exceeds the memory of the smallest host (88 MB).
const MAX_BUFFER_BYTES: usize = 16 * 1_024;
/// Time after which the kernel has closed the listener of a process that ends, which may come after its
/// connections: those accepted in between are reset.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(20);
const KEEP_ALIVE: &str = "keep-alive";

/// Timeouts of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Until the connection is established.
    pub connect: Duration,
    /// From the request to the head of the answer.
    pub head: Duration,
    /// Longest idle time of a reused connection; zero opens a new one.
    pub max_idle: Duration,
}

/// Aborts the driver task of a connection when dropped, which closes the connection.
#[derive(Debug)]
pub(super) struct Task(JoinHandle<()>);

impl Task {
    pub(super) fn spawn(driver: impl Future<Output = hyper::Result<()>> + 'static) -> Self {
        Self(actix_rt::spawn(async move {
            // The exchange reports the same error.
            drop(driver.await);
        }))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _task: Task,
    last_used: Instant,
    idle_timeout: Duration,
    history: History,
    opened_at: clock::Instant,
    /// Peer through which the connection leads.
    relay: Option<SocketAddr>,
    /// Number of the connection since the start of this host.
    number: u64,
    /// Requests that the connection has carried.
    requests: u64,
}

/// An endpoint, as the directory has it.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// Address at which this host reaches it.
    pub address: SocketAddr,
    /// Id by which other hosts know it.
    pub id: &'a str,
}

/// What a connection leads to.
#[derive(Clone, Copy, Debug)]
enum Target<'a> {
    /// An endpoint, which may be reached through another host.
    Endpoint(Destination<'a>),
    /// The store or another host; or an endpoint that is to hear from this host itself.
    Direct(SocketAddr),
}

impl Target<'_> {
    const fn address(self) -> SocketAddr {
        match self {
            Self::Endpoint(Destination { address, .. }) | Self::Direct(address) => address,
        }
    }

    const fn is_endpoint(self) -> bool {
        matches!(self, Self::Endpoint(_))
    }
}

/// Pool of idle connections by address; clones share it.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    limit: Rc<Cell<usize>>,
    paths: Rc<Paths>,
    /// Connections opened so far.
    opened: Rc<Cell<u64>>,
    memory: Memory,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: Rc::default(),
            limit: Rc::new(Cell::new(MAX_IDLE_CONNECTIONS)),
            paths: Rc::default(),
            opened: Rc::default(),
            memory: Memory::default(),
        }
    }
}

impl Pool {
    /// The same connections with memory of its own for the answers, which those of others cannot use up.
    #[must_use]
    pub(crate) fn with_own_memory(&self) -> Self {
        Self {
            memory: Memory::default(),
            ..self.clone()
        }
    }

    /// Paths to the endpoints.
    pub(crate) fn paths(&self) -> &Rc<Paths> {
        &self.paths
    }

    /// Sends a request on a pooled or new connection of this host and waits for the head of the answer.
    ///
    /// # Errors
    /// Fails as [`Error`] says; only [`Error::NotSent`] proves that nothing left the host.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<Exchange> {
        self.exchange(Target::Direct(address), None, request, timeouts)
            .await
    }

    /// Sends a request to an endpoint, through another host while the links of this one are lost. A request
    /// with an `id` is not sent on a connection that has carried it before.
    ///
    /// # Errors
    /// Fails as [`Error`] says; only [`Error::NotSent`] proves that the endpoint got nothing.
    pub async fn send_to_endpoint(
        &self,
        endpoint: Destination<'_>,
        id: Option<&str>,
        request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<Exchange> {
        self.exchange(Target::Endpoint(endpoint), id, request, timeouts)
            .await
    }

    async fn exchange(
        &self,
        target: Target<'_>,
        id: Option<&str>,
        mut request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<Exchange> {
        let address = target.address();
        let reuses = !target.is_endpoint() || self.paths.keeps_open();
        while let Some(mut connection) = self
            .checkout(address, id, timeouts.max_idle)
            .filter(|_| reuses)
        {
            match self
                .try_send(target, &mut connection, request, timeouts)
                .await?
            {
                Ok(response) => {
                    return Ok(Exchange::new(
                        self.clone(),
                        target,
                        id,
                        connection,
                        response,
                    ));
                }
                Err(unsent) => request = unsent,
            }
        }
        let mut connection = timeout(timeouts.connect, self.connect(target))
            .await
            .unwrap_or_else(|_| {
                self.unopened(target);
                Err(io::ErrorKind::TimedOut.into())
            })
            .map_err(Error::NotSent)?;
        match self
            .try_send(target, &mut connection, request, timeouts)
            .await?
        {
            Ok(response) => Ok(Exchange::new(
                self.clone(),
                target,
                id,
                connection,
                response,
            )),
            Err(_) => {
                self.unopened(target);
                Err(Error::NotSent(io::ErrorKind::ConnectionReset.into()))
            }
        }
    }

    /// Whether an endpoint still accepts connections on the path of an answer that has ended: of this host, or
    /// through the same peer. Only a refusal or a reset says that it does not. A machine that is gone closes no
    /// connection, so the end of the answer came from one that runs, and its queue may be full.
    pub async fn accepts_connection(
        &self,
        endpoint: Destination<'_>,
        relay: Option<SocketAddr>,
        connect_timeout: Duration,
    ) -> bool {
        if let Some(relay) = relay {
            let opening = self.paths.relay_through(relay, endpoint);
            let opened = timeout(connect_timeout, opening).await;
            return !matches!(opened, Ok(Err(error)) if is_refusal(&error));
        }
        // The connection is not kept: a server without a length often serves one connection at a time.
        match timeout(connect_timeout, open(endpoint.address)).await {
            Ok(Ok(connection)) => timeout(LISTENER_CLOSE_TIME, connection.readable())
                .await
                .is_err(),
            Ok(Err(error)) => {
                self.unopened(Target::Endpoint(endpoint));
                !is_refusal(&error)
            }
            Err(_) => true,
        }
    }

    /// Whether an endpoint opens a new connection of this host and keeps it open, as a process that has just ended
    /// does not.
    pub(crate) async fn lives(&self, endpoint: Destination<'_>, connect_timeout: Duration) -> bool {
        match timeout(connect_timeout, open(endpoint.address)).await {
            Ok(Ok(connection)) => timeout(LISTENER_CLOSE_TIME, connection.readable())
                .await
                .is_err(),
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Sends a request on a connection; returns the request if the connection closed before sending.
    async fn try_send(
        &self,
        target: Target<'_>,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<Sent> {
        let is_on_own_link = target.is_endpoint() && connection.relay.is_none();
        let opened_at = connection.opened_at;
        let sent = try_send(connection, request, timeouts.head);
        if !is_on_own_link {
            return sent.await;
        }
        let mut sent = std::pin::pin!(sent);
        let sent = tokio::select! {
            sent = &mut sent => sent,
            () = tokio::time::sleep(SILENCE_TIMEOUT) => {
                self.paths.closed();
                sent.await
            }
        };
        match &sent {
            Ok(Ok(_)) | Err(Error::Status(_)) => self.paths.answered(opened_at),
            Ok(Err(_)) => {}
            Err(_) => self.paths.closed(),
        }
        sent
    }

    /// Opens a connection, to an endpoint through another host while the links of this one are lost.
    async fn connect(&self, target: Target<'_>) -> io::Result<Connection> {
        if let Target::Endpoint(endpoint) = target
            && self.paths.is_lost()
        {
            let (relayed, relay) = self.paths.relay(endpoint).await?;
            return Connection::new(relayed, self.next_number(), Some(relay)).await;
        }
        self.open_own(target).await
    }

    fn next_number(&self) -> u64 {
        self.opened.set(self.opened.get() + 1);
        self.opened.get()
    }

    /// Opens a connection over the links of this host.
    async fn open_own(&self, target: Target<'_>) -> io::Result<Connection> {
        match open(target.address()).await {
            Ok(stream) => Connection::new(TokioIo::new(stream), self.next_number(), None).await,
            Err(error) => {
                self.unopened(target);
                Err(error)
            }
        }
    }

    fn unopened(&self, target: Target<'_>) {
        if target.is_endpoint() {
            self.paths.unopened();
        }
    }

    fn checkout(
        &self,
        address: SocketAddr,
        id: Option<&str>,
        max_idle: Duration,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| {
            !connection.sender.is_closed()
                && connection.last_used.elapsed() < connection.idle_timeout
        });
        let index = connections.iter().rposition(|connection| {
            connection.sender.is_ready()
                && connection.last_used.elapsed() < max_idle
                && id.is_none_or(|id| connection.history.admits(id))
        })?;
        Some(connections.swap_remove(index))
    }

    fn checkin(&self, address: SocketAddr, mut connection: Connection) {
        connection.last_used = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        while connections.len() >= self.limit.get() {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Sets the maximum number of idle connections per address: this host's share of the
    /// connections that an endpoint accepts from all hosts. The value is clamped to 1..=16.
    pub fn set_idle_limit(&self, connections: usize) {
        self.limit.set(connections.clamp(1, MAX_IDLE_CONNECTIONS));
    }

    /// Closes connections beyond their idle timeout and removes addresses without connections.
    pub fn evict_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| {
                !connection.sender.is_closed()
                    && connection.last_used.elapsed() < connection.idle_timeout
            });
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}

fn is_refusal(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
    )
}

type Sent = std::result::Result<http::Response<Incoming>, Request<Full<Bytes>>>;

/// Sends a request on a connection; returns the request if the connection closed before sending.
async fn try_send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    head_timeout: Duration,
) -> Result<Sent> {
    let sent = timeout(head_timeout, connection.sender.try_send_request(request)).await;
    match sent.map_err(|_| Error::TimedOut)? {
        Ok(response) if is_final(response.status()) => Ok(Ok(response)),
        Ok(response) => Err(Error::Status(response.status().as_u16())),
        Err(mut failed) => match failed.take_message() {
            Some(request) => Ok(Err(request)),
            None => Err(Error::Lost(failed.into_error())),
        },
    }
}

/// Whether a final answer in HTTP has the status. The parser takes any number of three digits from 100 on.
const fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}

/// Opens a connection.
pub(crate) async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    guard(&socket)?;
    let stream: std::net::TcpStream = socket.into();
    tokio::net::TcpSocket::from_std_stream(stream)
        .connect(address)
        .await
}

/// Makes a connection fail when its other end is gone without having closed it.
pub(crate) fn guard<'a>(socket: impl Into<SockRef<'a>>) -> io::Result<()> {
    let socket = socket.into();
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

impl Connection {
    async fn new<T>(io: T, number: u64, relay: Option<SocketAddr>) -> io::Result<Self>
    where
        T: hyper::rt::Read + hyper::rt::Write + Unpin + 'static,
    {
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        Ok(Self {
            sender,
            _task: Task::spawn(driver),
            last_used: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            history: History::default(),
            opened_at: now(),
            relay,
            number,
            requests: 0,
        })
    }
}

/// An answer whose body is still to be read. Dropping it before the end closes the connection,
/// which cancels the request at the endpoint.
#[derive(Debug)]
pub struct Exchange {
    pool: Pool,
    is_endpoint: bool,
    address: SocketAddr,
    /// Id of the request, if that may be sent again after an error.
    id: Option<String>,
    /// Number of the connection since the start of this host.
    pub number: u64,
    /// Requests that the connection has carried, this one included.
    pub requests: u64,
    /// Peer through which the connection leads; `None` for a connection of this host.
    pub relay: Option<SocketAddr>,
    connection: Option<Connection>,
    /// Whether the answer is known to be that to the request.
    is_accepted: bool,
    framing: Framing,
    /// Whether the answer refuses the request, which may be sent again then.
    is_refusal: bool,
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    body: Incoming,
}

impl Exchange {
    fn new(
        pool: Pool,
        target: Target<'_>,
        id: Option<&str>,
        mut connection: Connection,
        response: http::Response<Incoming>,
    ) -> Self {
        let (parts, body) = response.into_parts();
        let is_accepted = id.is_none();
        let framing = framing(&parts.headers, &body);
        connection.requests += 1;
        connection.idle_timeout =
            stated_idle_timeout(&parts.headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        Self {
            pool,
            is_endpoint: target.is_endpoint(),
            address: target.address(),
            id: id.map(str::to_owned),
            number: connection.number,
            requests: connection.requests,
            relay: connection.relay,
            connection: Some(connection),
            is_accepted,
            framing,
            is_refusal: false,
            status: parts.status,
            headers: parts.headers,
            body,
        }
    }

    /// Records that the answer bears the id of the request. Otherwise it is a copy of an earlier one, the
    /// answer itself is still to come, and the connection carries no further request.
    /// `is_refusal` is whether the request may be sent again after this answer.
    pub fn accept(&mut self, is_refusal: bool) {
        self.is_accepted = true;
        self.is_refusal = is_refusal;
    }

    /// What marks the end of the body.
    #[must_use]
    pub const fn framing(&self) -> Framing {
        self.framing
    }

    /// Reads the next chunk of the body; `None` at its end, where the connection of an accepted answer
    /// returns to the pool.
    ///
    /// # Errors
    /// Fails when the body is cut off.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                self.checkin();
                return Ok(None);
            };
            let frame = frame.map_err(Error::Broken).inspect_err(|_| {
                if let Some(paths) = self.own_link() {
                    paths.closed();
                }
            })?;
            if let Ok(data) = frame.into_data() {
                if let (Some(paths), Some(connection)) = (self.own_link(), &self.connection) {
                    paths.answered(connection.opened_at);
                }
                return Ok(Some(data));
            }
        }
    }

    /// State of the links, if this exchange with an endpoint uses those of this host.
    fn own_link(&self) -> Option<&Paths> {
        let connection = self.connection.as_ref()?;
        let uses = self.is_endpoint && connection.relay.is_none();
        uses.then_some(&*self.pool.paths)
    }

    fn checkin(&mut self) {
        let connection = self.connection.take();
        let connection =
            connection.filter(|_| self.is_accepted && self.framing == Framing::Delimited);
        let Some(mut connection) = connection else {
            return;
        };
        match self.id.as_deref() {
            Some(id) if self.is_refusal => connection.history.refuse(id),
            Some(id) => connection.history.answer(id),
            None => {}
        }
        // The peer decides on each relayed connection, so that it honours what the endpoint tells it.
        if !connection.history.is_full() && connection.relay.is_none() {
            self.pool.checkin(self.address, connection);
        }
    }

    /// Waits until the address may have `bytes` more of this host's memory.
    ///
    /// # Errors
    /// Fails when it can never have as many.
    pub(crate) async fn claim(&self, bytes: usize) -> Result<Charge> {
        self.pool.memory.claim(self.address, bytes).await
    }

    /// Reads the whole body, of at most `limit` bytes, within `read_timeout`, the wait for memory included.
    ///
    /// # Errors
    /// Fails when the body is cut off, exceeds the limit or takes too long.
    pub async fn read(&mut self, limit: usize, read_timeout: Duration) -> Result<Bytes> {
        let read = async {
            let length = self.body.size_hint().exact();
            let memory = self.pool.memory.clone();
            let mut whole = Body::new(memory, self.address, length, limit)?;
            while let Some(data) = self.next().await? {
                whole.push(&data).await?;
            }
            Ok(whole.finish())
        };
        timeout(read_timeout, read)
            .await
            .map_err(|_| Error::TimedOut)?
    }
}

/// What marks the end of a body; one that is known to be empty needs no mark (RFC 9112, 6.3).
fn framing(headers: &HeaderMap, body: &Incoming) -> Framing {
    let codings = headers.get_all(http::header::TRANSFER_ENCODING);
    let last = codings
        .iter()
        .next_back()
        .and_then(|value| value.to_str().ok());
    let last = last.and_then(|value| value.rsplit(',').next());
    let is_chunked = last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
    if is_chunked || body.size_hint().exact().is_some() {
        Framing::Delimited
    } else {
        Framing::Close
    }
}

/// Idle timeout that the `Keep-Alive` header of an answer states, less a margin.
fn stated_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: f64 = seconds.trim().parse().ok()?;
    // Fails for a value that is not a number.
    Duration::try_from_secs_f64((seconds * IDLE_TIMEOUT_SHARE).clamp(0.0, 60.0)).ok()
}
