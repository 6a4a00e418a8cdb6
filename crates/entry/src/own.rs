//! Calls of the system's own to endpoints: orders, freed handles, lists of kept parts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

use crate::http::{Pool, Timeouts};
use crate::platform::{Command, Dialect, Error, Result};

/// Sends a command and reads its answer; each step may take `patience`, the body `largest` bytes.
///
/// `endpoint` is the id that must be at the address, and `max_idle` the idle time up to which a
/// connection carries it.
pub(crate) async fn send<D: Dialect>(
    pool: &Pool,
    address: SocketAddr,
    endpoint: Option<&str>,
    command: Command,
    patience: Duration,
    max_idle: Duration,
    largest: usize,
) -> Result<(StatusCode, Bytes)> {
    let mut request = http::Request::builder()
        .method(command.method)
        .uri(command.target)
        .header(http::header::HOST, address.to_string());
    if !command.body.is_empty() {
        request = request.header(http::header::CONTENT_TYPE, "application/json");
    }
    let mut request = request
        .body(http_body_util::Full::new(command.body))
        .map_err(|_| Error::Malformed("command"))?;
    if let Some(endpoint) = endpoint {
        D::expect_endpoint(endpoint, request.headers_mut());
    }
    let patience = Timeouts {
        connect: patience,
        head: patience,
        max_idle,
    };
    let mut exchange = pool.send(address, request, patience).await?;
    let body = exchange.read(largest, patience.head).await?;
    Ok((exchange.status, body))
}
