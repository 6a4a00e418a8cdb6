//! Requests of the router's own: commands to endpoints (orders, releases of KV handles, prefix cache
//! lists) and queries between hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::{Pool, Timeouts};
use crate::platform::{Command, Dialect, Error, Result};

/// Sends a command and reads its answer. `step_timeout` limits each step, `max_body_bytes` the
/// body.
///
/// `endpoint` is the id that the endpoint at the address must have, `max_idle` the longest idle
/// time of a reused connection.
pub(crate) async fn send<D: Dialect>(
    pool: &Pool,
    address: SocketAddr,
    endpoint: Option<&str>,
    command: Command,
    step_timeout: Duration,
    max_idle: Duration,
    max_body_bytes: usize,
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
    let timeouts = Timeouts {
        connect: step_timeout,
        head: step_timeout,
        max_idle,
    };
    let mut exchange = pool.send(address, None, request, timeouts).await?;
    let id = D::answer(exchange.status, &exchange.headers).id;
    if id.is_some_and(|id| !id.is_empty()) {
        // Commands bear no id: this is a copy of the answer to an earlier request.
        return Err(Error::Malformed("answer to a command"));
    }
    let body = exchange.read(max_body_bytes, timeouts.head).await?;
    Ok((exchange.status, body))
}

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
    let body = Bytes::from(rmp_serde::to_vec(query)?);
    let request = http::Request::post(path)
        .header(http::header::HOST, "peer")
        .body(http_body_util::Full::new(body))?;
    let mut exchange = pool.send(host, None, request, timeouts).await?;
    let body = exchange.read(max_answer_bytes, read_timeout).await?;
    if !exchange.status.is_success() {
        eyre::bail!("the host answered with status {}", exchange.status);
    }
    Ok(rmp_serde::from_slice(&body)?)
}
