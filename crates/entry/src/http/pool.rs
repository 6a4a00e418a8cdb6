//! Connections to endpoints, the store and peers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

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

/// Unacknowledged data after which a connection counts as silent.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which a connection is probed, and the pause between probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Unanswered probes that end a connection.
const PROBES: u32 = 2;
/// Idle time of a connection whose endpoint does not state its timeout.
const UNSTATED_IDLE: Duration = Duration::from_millis(700);
/// Part of a stated idle timeout after which a connection is not used again.
const IDLE_SHARE: f64 = 0.6;
/// Idle connections kept for an address at most.
const IDLE_CONNECTIONS: usize = 16;
const KEEP_ALIVE: &str = "keep-alive";

/// How long an exchange may take.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Until the connection stands.
    pub connect: Duration,
    /// From the request until the head of the answer.
    pub head: Duration,
    /// Longest idle time of a connection that is used again.
    pub max_idle: Duration,
}

/// Ends the task of a connection, and with it the connection, when dropped.
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
    used: Instant,
    idle: Duration,
}

/// Connection pool.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
    limit: Rc<Cell<usize>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: Rc::default(),
            limit: Rc::new(Cell::new(IDLE_CONNECTIONS)),
        }
    }
}

impl Pool {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// Fails as [`Error`] says; only [`Error::NotSent`] proves that nothing left the host.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        patience: Timeouts,
    ) -> Result<Exchange> {
        while let Some(mut connection) = self.checkout(address, patience.max_idle) {
            match head(&mut connection, request, patience.head).await? {
                Ok(response) => {
                    return Ok(Exchange::new(self.clone(), address, connection, response));
                }
                Err(unsent) => request = unsent,
            }
        }
        let mut connection = timeout(patience.connect, connect(address))
            .await
            .map_err(|_| Error::NotSent(io::ErrorKind::TimedOut.into()))?
            .map_err(Error::NotSent)?;
        match head(&mut connection, request, patience.head).await? {
            Ok(response) => Ok(Exchange::new(self.clone(), address, connection, response)),
            Err(_) => Err(Error::NotSent(io::ErrorKind::ConnectionReset.into())),
        }
    }

    fn checkout(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| {
            !connection.sender.is_closed() && connection.used.elapsed() < connection.idle
        });
        let index = connections.iter().rposition(|connection| {
            connection.sender.is_ready() && connection.used.elapsed() < max_idle
        })?;
        Some(connections.swap_remove(index))
    }

    fn give_back(&self, address: SocketAddr, mut connection: Connection) {
        connection.used = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        while connections.len() >= self.limit.get() {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Sets how many idle connections are kept for an address: the share of this host in what an
    /// endpoint accepts from all hosts.
    pub fn set_limit(&self, connections: usize) {
        self.limit.set(connections.clamp(1, IDLE_CONNECTIONS));
    }

    /// Closes connections that have been idle for too long, and forgets addresses without any.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| {
                !connection.sender.is_closed() && connection.used.elapsed() < connection.idle
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

/// Sends on a connection; gives the request back if the connection closed before it was sent.
async fn head(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    patience: Duration,
) -> Result<Sent> {
    let sent = timeout(patience, connection.sender.try_send_request(request)).await;
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
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(PROBES);
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
        // The exchange sees the same error.
        drop(driver.await);
    });
    Ok(Connection {
        sender,
        _task: Task(task),
        used: Instant::now(),
        idle: UNSTATED_IDLE,
    })
}

/// An answer whose body is still to be read. Dropping it closes the connection, which tells the
/// endpoint to stop.
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
        connection.idle = stated_idle(&parts.headers).unwrap_or(UNSTATED_IDLE);
        Self {
            pool,
            address,
            connection: Some(connection),
            status: parts.status,
            headers: parts.headers,
            body,
        }
    }

    /// Reads the next part of the body; `None` at its end.
    ///
    /// # Errors
    /// Fails when the body is cut off.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.body.frame().await else {
                if let Some(connection) = self.connection.take() {
                    self.pool.give_back(self.address, connection);
                }
                return Ok(None);
            };
            if let Ok(data) = frame.map_err(Error::Broken)?.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// Fails when the body is cut off, too large, or late.
    pub async fn read(&mut self, limit: usize, patience: Duration) -> Result<Bytes> {
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
        timeout(patience, read).await.map_err(|_| Error::TimedOut)?
    }
}

/// Idle time that an endpoint states, less a margin.
fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: f64 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs_f64(
        (seconds * IDLE_SHARE).clamp(0.0, 60.0),
    ))
}
