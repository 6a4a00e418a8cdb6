//! Relays connections of hosts whose own links to the endpoints are lost.
//!
//! A peer asks by the method CONNECT with the id of an endpoint. From the answer on, all bytes are
//! passed on until one of both ends closes its connection, and then both are closed: a caller who leaves
//! ends the work at the endpoint as on a direct connection. When one half is reset, times out or fails, the
//! other half is reset too: an answer may have neither a length nor chunks, and then a closed connection
//! says that it is complete.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::h1::Codec;
use actix_http::{HttpMessage, Request};
use http::StatusCode;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::completion::is_ready;
use crate::connection::Connection;
use crate::http::{ENDPOINT_HEADER, Place, guard, open};
use crate::platform::{Dialect, Store};
use crate::server::Open;
use crate::state::Host;

/// Timeout of the connection to the endpoint, within the one that the peer grants for the whole path.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(180);

/// Serves a peer's request for a connection to an endpoint.
pub(crate) async fn serve<D: Dialect, S: Store>(
    host: Rc<Host<D, S>>,
    (request, framed): (Request, Framed<Connection<Open<D, S>>, Codec>),
) -> Result<(), Infallible> {
    let parts = framed.into_parts();
    let mut peer = parts.io;
    let id = request.headers().get(ENDPOINT_HEADER);
    let id = id.and_then(|id| id.to_str().ok());
    let (status, endpoint) = match id {
        Some(id) => connect(&host, id).await,
        None => (StatusCode::BAD_REQUEST, None),
    };
    let passed = pass(&mut peer, status, endpoint, &parts.read_buf).await;
    if let Err(error) = passed {
        tracing::debug!(%error, "relay: connection ended with an error");
    }
    Ok(())
}

/// A connection to an endpoint for a peer; it counts until dropped.
struct Relayed<D, S> {
    endpoint: TcpStream,
    _place: Place,
    /// A stopping host waits for the requests of its peers as for its own.
    _open: Open<D, S>,
}

/// Opens the connection to the endpoint; the status answers the peer.
async fn connect<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    id: &str,
) -> (StatusCode, Option<Relayed<D, S>>) {
    let paths = host.pool.paths();
    if paths.is_lost() || host.is_stopping() {
        return (StatusCode::SERVICE_UNAVAILABLE, None);
    }
    let Some(place) = paths.take_place() else {
        tracing::warn!("relay: refused; this host relays as many connections as it may");
        return (StatusCode::SERVICE_UNAVAILABLE, None);
    };
    let found = host.directory.borrow().find(id);
    // The endpoint may have told this host alone that it leaves or wants a pause.
    let Some((_, endpoint)) = found.filter(|(key, _)| is_ready(host, *key)) else {
        return (StatusCode::FORBIDDEN, None);
    };
    match timeout(CONNECT_TIMEOUT, open(endpoint.address)).await {
        Ok(Ok(stream)) => {
            host.metrics.relayed.inc();
            tracing::info!(endpoint = id, "relay: connection opened for a peer");
            let relayed = Relayed {
                endpoint: stream,
                _place: place,
                _open: Open::new(host),
            };
            (StatusCode::OK, Some(relayed))
        }
        failed => {
            paths.unopened();
            let error = failed.map_or_else(|_| io::ErrorKind::TimedOut.into(), Result::unwrap_err);
            tracing::info!(endpoint = id, %error, "relay: endpoint cannot be reached");
            (StatusCode::BAD_GATEWAY, None)
        }
    }
}

/// Answers the peer, and passes on all bytes in both directions until one end closes.
async fn pass<D, S>(
    peer: &mut Connection<Open<D, S>>,
    status: StatusCode,
    relayed: Option<Relayed<D, S>>,
    received: &[u8],
) -> io::Result<()> {
    let reason = status.canonical_reason().unwrap_or_default();
    let Some(mut relayed) = relayed else {
        let head = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            status.as_u16()
        );
        return peer.write_all(head.as_bytes()).await;
    };
    guard(peer.stream())?;
    // Until both halves may close, whatever ends them resets them: an error below, or the end of this process,
    // since the kernel closes the sockets of a killed process by the same rule.
    set_linger(peer.stream(), &relayed.endpoint, Some(Duration::ZERO))?;
    let head = format!("HTTP/1.1 {} {reason}\r\n\r\n", status.as_u16());
    peer.write_all(head.as_bytes()).await?;
    relayed.endpoint.write_all(received).await?;
    {
        let (mut from_peer, mut to_peer) = tokio::io::split(&mut *peer);
        let (mut from_endpoint, mut to_endpoint) = relayed.endpoint.split();
        tokio::select! {
            copied = tokio::io::copy(&mut from_peer, &mut to_endpoint) => copied?,
            copied = tokio::io::copy(&mut from_endpoint, &mut to_peer) => copied?,
        };
    }
    // Bytes that are passed on still arrive.
    set_linger(peer.stream(), &relayed.endpoint, None)
}

/// Sets `SO_LINGER` of both halves; zero resets a connection when it is closed, and drops unsent bytes.
fn set_linger(peer: &TcpStream, endpoint: &TcpStream, linger: Option<Duration>) -> io::Result<()> {
    SockRef::from(peer).set_linger(linger)?;
    SockRef::from(endpoint).set_linger(linger)
}
