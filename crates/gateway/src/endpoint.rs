//! HTTP client for endpoints, which sends each request on a connection of its own.
//!
//! A faulty endpoint may write an answer once more, late, where the next answer on the connection is
//! due. Plain services need not repeat a request id, and the id of a request that is sent again does
//! not tell its answers apart, so no connection carries a second request.
//!
//! Uses `hyper` directly instead of `awc`, which takes an early end of the connection for the end of the
//! body, and a body without a length or chunks for an empty one.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::{Method, StatusCode, header};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Timeout of the connection; a lost packet is sent again after one second and after three.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest head of an answer, and most bytes that are read at once.
const MAX_BUFFER_BYTES: usize = 128 << 10;

/// Result of an exchange.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why an exchange with an endpoint failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// No connection could be made, or it was closed before a byte was sent.
    #[error("request not sent: {0}")]
    NotSent(io::Error),
    /// The connection failed after the request was sent, or the answer is malformed or incomplete.
    #[error("answer malformed or cut off: {0}")]
    Broken(hyper::Error),
    /// The status of the answer is not that of a final answer in HTTP (RFC 9110, 15).
    #[error("the answer has the status {0}, which no final answer has")]
    Status(u16),
    /// The body of the answer exceeds the given limit.
    #[error("answer exceeds the size limit")]
    TooLarge,
}

/// A request with a body of known length.
#[derive(Clone, Debug)]
pub(crate) struct Request<'a> {
    pub(crate) method: &'a Method,
    /// Path and query.
    pub(crate) target: &'a str,
    pub(crate) headers: &'a [(header::HeaderName, header::HeaderValue)],
    pub(crate) body: Bytes,
}

impl Request<'_> {
    fn into_http(self, address: SocketAddr) -> http::Result<http::Request<Full<Bytes>>> {
        let mut request = http::Request::builder()
            .method(self.method.as_str())
            .uri(self.target)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONNECTION, "close");
        for (name, value) in self.headers {
            request = request.header(name.as_str(), value.as_bytes());
        }
        request.body(Full::new(self.body))
    }
}

/// Aborts the driver task of a connection when dropped, which closes the connection.
#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer whose body is still to be read. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(header::HeaderName, header::HeaderValue)>,
    body: Incoming,
    _connection: Task,
}

/// Sends a request on a new connection and waits for the head of the answer. Redirects are not followed.
///
/// # Errors
/// Fails as [`Error`] says; only [`Error::NotSent`] proves that the endpoint got nothing.
pub(crate) async fn send(address: SocketAddr, request: Request<'_>) -> Result<Answer> {
    let request = request
        .into_http(address)
        .map_err(|error| Error::NotSent(io::Error::other(error)))?;
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(Error::NotSent)?;
    stream.set_nodelay(true).map_err(Error::NotSent)?;
    let (mut sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::NotSent(io::Error::other(error)))?;
    let connection = Task(actix_web::rt::spawn(async move {
        // The exchange reports the same error.
        drop(driver.await);
    }));
    match sender.try_send_request(request).await {
        Ok(response) => Answer::new(response, connection),
        Err(mut failed) => Err(match failed.take_message() {
            Some(_) => Error::NotSent(io::ErrorKind::ConnectionReset.into()),
            None => Error::Broken(failed.into_error()),
        }),
    }
}

impl Answer {
    fn new(response: http::Response<Incoming>, connection: Task) -> Result<Self> {
        let (parts, body) = response.into_parts();
        let code = parts.status.as_u16();
        // The parser takes any number of three digits from 100 on.
        let status = StatusCode::from_u16(code).ok();
        let status = status.filter(|_| matches!(code, 200..=599));
        let status = status.ok_or(Error::Status(code))?;
        let mut headers = Vec::with_capacity(parts.headers.len());
        for (name, value) in &parts.headers {
            let name = header::HeaderName::from_bytes(name.as_str().as_bytes());
            let value = header::HeaderValue::from_bytes(value.as_bytes());
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.push((name, value));
            }
        }
        Ok(Self {
            status,
            headers,
            body,
            _connection: connection,
        })
    }

    /// Reads the next part of the body; `None` at its end.
    ///
    /// # Errors
    /// Fails when the body is cut off: by the end of the connection before the stated length or the last
    /// chunk, and, for a body without a length or chunks, by anything but a regular close.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame.map_err(Error::Broken)?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads the whole body, of at most `limit` bytes.
    ///
    /// # Errors
    /// Fails when the body is cut off or exceeds the limit.
    pub(crate) async fn read(&mut self, limit: usize) -> Result<Bytes> {
        let mut whole = BytesMut::new();
        while let Some(data) = self.next().await? {
            if whole.len() + data.len() > limit {
                return Err(Error::TooLarge);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }
}
