//! Pool of connections to endpoints, the store and peers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use berylknot_coordination::reuse::History;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::{Error, Result};

/// `TCP_USER_TIMEOUT`: time without an acknowledgement of sent data after which a connection fails.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first keep-alive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection fails.
const KEEPALIVE_PROBES: u32 = 2;
/// Idle timeout of a connection whose endpoint states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Share of a stated idle timeout after which a connection is not reused.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 16;
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
struct Task(JoinHandle<()>);

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
    /// Number of the connection since the start of this host.
    number: u64,
    /// Requests that the connection has carried.
    requests: u64,
    history: History,
}

/// Pool of idle connections by address; clones share it.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    limit: Rc<Cell<usize>>,
    /// Connections opened so far.
    opened: Rc<Cell<u64>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: Rc::default(),
            limit: Rc::new(Cell::new(MAX_IDLE_CONNECTIONS)),
            opened: Rc::default(),
        }
    }
}

impl Pool {
    /// Sends a request on a pooled or new connection and waits for the head of the answer. A request with
    /// an `id` is not sent on a connection that has carried it before.
    ///
    /// # Errors
    /// Fails as [`Error`] says; only [`Error::NotSent`] proves that nothing left the host.
    pub async fn send(
        &self,
        address: SocketAddr,
        id: Option<&str>,
        mut request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<Exchange> {
        while let Some(mut connection) = self.checkout(address, id, timeouts.max_idle) {
            match try_send(&mut connection, request, timeouts.head).await? {
                Ok(response) => {
                    let (pool, id) = (self.clone(), id.map(str::to_owned));
                    return Ok(Exchange::new(pool, address, id, connection, response));
                }
                Err(unsent) => request = unsent,
            }
        }
        let mut connection = timeout(timeouts.connect, self.connect(address))
            .await
            .map_err(|_| Error::NotSent(io::ErrorKind::TimedOut.into()))?
            .map_err(Error::NotSent)?;
        match try_send(&mut connection, request, timeouts.head).await? {
            Ok(response) => {
                let (pool, id) = (self.clone(), id.map(str::to_owned));
                Ok(Exchange::new(pool, address, id, connection, response))
            }
            Err(_) => Err(Error::NotSent(io::ErrorKind::ConnectionReset.into())),
        }
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let probes = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&probes)?;
        let stream: std::net::TcpStream = socket.into();
        let stream: TcpStream = tokio::net::TcpSocket::from_std_stream(stream)
            .connect(address)
            .await?;
        let (sender, driver) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = actix_rt::spawn(async move {
            // The exchange reports the same error.
            drop(driver.await);
        });
        self.opened.set(self.opened.get() + 1);
        Ok(Connection {
            sender,
            _task: Task(task),
            last_used: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            number: self.opened.get(),
            requests: 0,
            history: History::default(),
        })
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

type Sent = std::result::Result<http::Response<Incoming>, Request<Full<Bytes>>>;

/// Sends a request on a connection; returns the request if the connection closed before sending.
async fn try_send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    head_timeout: Duration,
) -> Result<Sent> {
    let sent = timeout(head_timeout, connection.sender.try_send_request(request)).await;
    match sent.map_err(|_| Error::TimedOut)? {
        Ok(response) => Ok(Ok(response)),
        Err(mut failed) => match failed.take_message() {
            Some(request) => Ok(Err(request)),
            None => Err(Error::Lost(failed.into_error())),
        },
    }
}

/// An answer whose body is still to be read. Dropping it before the end closes the connection,
/// which cancels the request at the endpoint.
#[derive(Debug)]
pub struct Exchange {
    pool: Pool,
    address: SocketAddr,
    /// Number of the connection since the start of this host.
    pub number: u64,
    /// Requests that the connection has carried, this one included.
    pub requests: u64,
    /// Id of the request, if that may be sent again after an error.
    id: Option<String>,
    connection: Option<Connection>,
    /// Whether the answer is known to be that to the request.
    is_accepted: bool,
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
        address: SocketAddr,
        id: Option<String>,
        mut connection: Connection,
        response: http::Response<Incoming>,
    ) -> Self {
        let (parts, body) = response.into_parts();
        let is_accepted = id.is_none();
        connection.requests += 1;
        connection.idle_timeout =
            stated_idle_timeout(&parts.headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        Self {
            pool,
            address,
            number: connection.number,
            requests: connection.requests,
            id,
            connection: Some(connection),
            is_accepted,
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

    /// Whether the end of the body is that of the connection, for want of a length and of chunks.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        let framing = [
            http::header::CONTENT_LENGTH,
            http::header::TRANSFER_ENCODING,
        ];
        framing.iter().all(|name| !self.headers.contains_key(name))
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
            if let Ok(data) = frame.map_err(Error::Broken)?.into_data() {
                return Ok(Some(data));
            }
        }
    }

    fn checkin(&mut self) {
        let connection = self.connection.take().filter(|_| self.is_accepted);
        let Some(mut connection) = connection else {
            return;
        };
        match self.id.as_deref() {
            Some(id) if self.is_refusal => connection.history.refuse(id),
            Some(id) => connection.history.answer(id),
            None => {}
        }
        if !connection.history.is_full() {
            self.pool.checkin(self.address, connection);
        }
    }

    /// Reads the whole body, of at most `limit` bytes, within `read_timeout`.
    ///
    /// # Errors
    /// Fails when the body is cut off, exceeds the limit or takes too long.
    pub async fn read(&mut self, limit: usize, read_timeout: Duration) -> Result<Bytes> {
        let read = async {
            let mut whole = BytesMut::new();
            while let Some(data) = self.next().await? {
                if whole.len() + data.len() > limit {
                    return Err(Error::TooLarge);
                }
                whole.extend_from_slice(&data);
            }
            Ok(whole.freeze())
        };
        timeout(read_timeout, read)
            .await
            .map_err(|_| Error::TimedOut)?
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
