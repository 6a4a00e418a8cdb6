//! Pool of connections to endpoints, the store and peers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::memory::{Body, Charge, Memory};
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
/// Largest head of an answer, and most bytes read from a connection at once. The default of 417,792 bytes
/// for each of 200 connections exceeds the memory of the smallest host (88 MB).
const MAX_BUFFER_BYTES: usize = 16 * 1_024;
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
}

/// Pool of idle connections by address; clones share it.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    limit: Rc<Cell<usize>>,
    memory: Memory,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: Rc::default(),
            limit: Rc::new(Cell::new(MAX_IDLE_CONNECTIONS)),
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

    /// Sends a request on a pooled or new connection and waits for the head of the answer.
    ///
    /// # Errors
    /// Fails as [`Error`] says; only [`Error::NotSent`] proves that nothing left the host.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<Exchange> {
        while let Some(mut connection) = self.checkout(address, timeouts.max_idle) {
            match try_send(&mut connection, request, timeouts.head).await? {
                Ok(response) => {
                    return Ok(Exchange::new(self.clone(), address, connection, response));
                }
                Err(unsent) => request = unsent,
            }
        }
        let mut connection = timeout(timeouts.connect, connect(address))
            .await
            .map_err(|_| Error::NotSent(io::ErrorKind::TimedOut.into()))?
            .map_err(Error::NotSent)?;
        match try_send(&mut connection, request, timeouts.head).await? {
            Ok(response) => Ok(Exchange::new(self.clone(), address, connection, response)),
            Err(_) => Err(Error::NotSent(io::ErrorKind::ConnectionReset.into())),
        }
    }

    fn checkout(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| {
            !connection.sender.is_closed()
                && connection.last_used.elapsed() < connection.idle_timeout
        });
        let index = connections.iter().rposition(|connection| {
            connection.sender.is_ready() && connection.last_used.elapsed() < max_idle
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

async fn connect(address: SocketAddr) -> io::Result<Connection> {
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
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = actix_rt::spawn(async move {
        // The exchange reports the same error.
        drop(driver.await);
    });
    Ok(Connection {
        sender,
        _task: Task(task),
        last_used: Instant::now(),
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
    })
}

/// An answer whose body is still to be read. Dropping it before the end closes the connection,
/// which cancels the request at the endpoint.
#[derive(Debug)]
pub struct Exchange {
    pool: Pool,
    address: SocketAddr,
    connection: Option<Connection>,
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
        mut connection: Connection,
        response: http::Response<Incoming>,
    ) -> Self {
        let (parts, body) = response.into_parts();
        connection.idle_timeout =
            stated_idle_timeout(&parts.headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        Self {
            pool,
            address,
            connection: Some(connection),
            status: parts.status,
            headers: parts.headers,
            body,
        }
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

    /// Reads the next chunk of the body; `None` at its end, where the connection returns to the
    /// pool.
    ///
    /// # Errors
    /// Fails when the body is cut off.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                if let Some(connection) = self.connection.take() {
                    self.pool.checkin(self.address, connection);
                }
                return Ok(None);
            };
            if let Ok(data) = frame.map_err(Error::Broken)?.into_data() {
                return Ok(Some(data));
            }
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
