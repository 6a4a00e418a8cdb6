//! Requests of the router's own: commands to endpoints (orders, releases of KV handles, prefix cache
//! lists) and queries between hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::{Destination, Pool, Timeouts};
use crate::platform::{Command, Dialect, Error, Result};

/// How a command is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    /// Timeout of each step.
    pub(crate) step_timeout: Duration,
    /// Longest idle time of a reused connection.
    pub(crate) max_idle: Duration,
    pub(crate) max_body_bytes: usize,
    /// Whether the command goes over the links of this host only, even while these are lost.
    pub(crate) directly: bool,
}

/// Sends a command to an endpoint and reads its answer.
pub(crate) async fn send<D: Dialect>(
    pool: &Pool,
    endpoint: Destination<'_>,
    command: Command,
    terms: Terms,
) -> Result<(StatusCode, Bytes)> {
    let mut request = http::Request::builder()
        .method(command.method)
        .uri(command.target)
        .header(http::header::HOST, endpoint.address.to_string());
    if !command.body.is_empty() {
        request = request.header(http::header::CONTENT_TYPE, "application/json");
    }
    let mut request = request
        .body(http_body_util::Full::new(command.body))
        .map_err(|_| Error::Malformed("command"))?;
    D::expect_endpoint(endpoint.id, request.headers_mut());
    let timeouts = Timeouts {
        connect: terms.step_timeout,
        head: terms.step_timeout,
        max_idle: terms.max_idle,
    };
    let mut exchange = if terms.directly {
        pool.send(endpoint.address, request, timeouts).await?
    } else {
        let sent = pool.send_to_endpoint(endpoint, None, request, timeouts);
        sent.await?
    };
    let id = D::answer(exchange.status, &exchange.headers).id;
    if id.is_some_and(|id| !id.is_empty()) {
        // Commands bear no id: this is a copy of the answer to an earlier request.
        return Err(Error::Malformed("answer to a command"));
    }
    let body = exchange
        .read(terms.max_body_bytes, terms.step_timeout)
        .await?;
    Ok((exchange.status, body))
}

/// Status of an answer of another host that is no success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the host answered with status {0}")]
pub(crate) struct Status(pub(crate) StatusCode);

/// Sends a query to another host and reads its answer, both as MessagePack. `timeouts` limit the steps
/// up to the head of the answer, `read_timeout` and `max_answer_bytes` its body.
///
/// # Errors
/// Fails when the host does not answer in time, with another status than success, or with an answer
/// that cannot be decoded.
pub(crate) async fn ask<Q: Serialize, A: DeserializeOwned>(
    pool: &Pool,
    host: SocketAddr,
    path: &str,
    query: &Q,
    timeouts: Timeouts,
    read_timeout: Duration,
    max_answer_bytes: usize,
) -> eyre::Result<A> {
    let body = rmp_serde::to_vec(query)?;
    ask_with(
        pool,
        host,
        path,
        body,
        timeouts,
        read_timeout,
        max_answer_bytes,
    )
    .await
}

/// Sends an encoded query to another host, as [`ask`] does.
pub(crate) async fn ask_with<A: DeserializeOwned>(
    pool: &Pool,
    host: SocketAddr,
    path: &str,
    body: Vec<u8>,
    timeouts: Timeouts,
    read_timeout: Duration,
    max_answer_bytes: usize,
) -> eyre::Result<A> {
    let request = http::Request::post(path)
        .header(http::header::HOST, "peer")
        .body(http_body_util::Full::new(Bytes::from(body)))?;
    let mut exchange = pool.send(host, request, timeouts).await?;
    let body = exchange.read(max_answer_bytes, read_timeout).await?;
    if !exchange.status.is_success() {
        return Err(Status(exchange.status).into());
    }
    Ok(rmp_serde::from_slice(&body)?)
}
