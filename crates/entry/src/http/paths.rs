//! Paths to endpoints: over the links of this host, or through a peer while they are lost.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::link::{Change, Fault, Link, Reach, Step};
use berylknot_coordination::relay::Relays;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::pool::{Destination, Task, open};
use crate::state::now;

/// Timeout of the connection to a peer; peers are a few milliseconds away.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest number of peers that are asked for one connection. A peer that cannot relay says so at once.
const MAX_RELAYS: usize = 4;
/// Largest number of connections that this host relays at a time, each with two sockets and 16 KiB of
/// buffers.
const MAX_RELAYED: usize = 384;

/// Header with the id of the endpoint that a peer is to connect to. The peer goes by its own address of the
/// endpoint.
pub(crate) const ENDPOINT_HEADER: &str = "x-berylknot-endpoint";

/// State of the links of this host, and the peers that can replace them.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    link: RefCell<Link>,
    relays: RefCell<Relays<SocketAddr>>,
    doubted: Notify,
    /// Connections that this host relays for peers.
    relayed: Cell<usize>,
}

/// One of the connections that this host relays; free again when dropped.
pub(crate) struct Place(Rc<Paths>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.relayed.set(self.0.relayed.get() - 1);
    }
}

/// Why a peer did not relay a connection.
enum Refusal {
    /// The peer does not answer, or relays nothing at present.
    Unable,
    /// The peer does not reach the endpoint, does not know it or does not use it.
    EndpointUnreachable,
}

impl Paths {
    pub(super) fn answered(&self, opened_at: Instant) {
        self.link.borrow_mut().answered(now(), opened_at);
    }

    pub(super) fn closed(&self) {
        self.link.borrow_mut().closed(now());
        self.doubted.notify_one();
    }

    /// Records that a connection to an endpoint could not be opened over the links of this host.
    pub(crate) fn unopened(&self) {
        self.link.borrow_mut().unopened(now());
        self.doubted.notify_one();
    }

    pub(super) fn keeps_open(&self) -> bool {
        self.link.borrow().keeps_open(now())
    }

    /// Whether this host's own links to the endpoints are lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.link.borrow().is_lost()
    }

    /// Whether this host reaches no endpoint, neither over its own links nor through a peer.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.is_lost() && self.relays.borrow().is_exhausted(now())
    }

    /// Whose fault the loss of a connection at `closed_at` was; `None` until that is known.
    pub(crate) fn fault(&self, closed_at: Instant) -> Option<Fault> {
        self.link.borrow().fault(closed_at)
    }

    /// Waits until a connection is lost.
    pub(crate) async fn doubted(&self) {
        self.doubted.notified().await;
    }

    /// Next step of the probing of the links.
    pub(crate) fn step(&self) -> Step {
        self.link.borrow_mut().step(now())
    }

    /// Records the outcome of a round of probes that began at `started`.
    pub(crate) fn probed(&self, started: Instant, reach: Reach) -> Option<Change> {
        self.link.borrow_mut().probed(now(), started, reach)
    }

    /// A place for a connection that is relayed for a peer; `None` if all are taken.
    pub(crate) fn take_place(self: &Rc<Self>) -> Option<Place> {
        let relayed = self.relayed.get();
        if relayed >= MAX_RELAYED {
            return None;
        }
        self.relayed.set(relayed + 1);
        Some(Place(Rc::clone(self)))
    }

    /// Replaces the peers that may relay connections, in the order of their turns.
    pub(crate) fn replace_relays(&self, peers: Vec<SocketAddr>) {
        self.relays.borrow_mut().replace(now(), peers);
    }

    /// Opens a connection to an endpoint through a peer; returns the peer too.
    pub(super) async fn relay(
        &self,
        endpoint: Destination<'_>,
    ) -> io::Result<(Upgraded, SocketAddr)> {
        for _ in 0..MAX_RELAYS {
            let relay = self.relays.borrow_mut().next(now());
            let Some(relay) = relay else {
                break;
            };
            match self.relay_through(relay, endpoint).await {
                Err(error) if error.kind() == io::ErrorKind::NetworkUnreachable => {
                    tracing::info!(%relay, "relay: peer does not relay; another one is asked");
                }
                opened => return Ok((opened?, relay)),
            }
        }
        Err(io::ErrorKind::NetworkUnreachable.into())
    }

    /// Opens a connection to an endpoint through a given peer.
    pub(super) async fn relay_through(
        &self,
        relay: SocketAddr,
        endpoint: Destination<'_>,
    ) -> io::Result<Upgraded> {
        ask(relay, endpoint).await.map_err(|refusal| match refusal {
            Refusal::EndpointUnreachable => io::ErrorKind::ConnectionRefused.into(),
            Refusal::Unable => {
                self.relays.borrow_mut().failed(now(), relay);
                io::ErrorKind::NetworkUnreachable.into()
            }
        })
    }
}

/// Asks a peer to open a connection to an endpoint and to pass on all bytes.
async fn ask(relay: SocketAddr, endpoint: Destination<'_>) -> Result<Upgraded, Refusal> {
    let unable = |error: hyper::Error| {
        tracing::debug!(%relay, %error, "relay: exchange with the peer failed");
        Refusal::Unable
    };
    let opened = timeout(RELAY_CONNECT_TIMEOUT, open(relay)).await;
    let Ok(Ok(stream)) = opened else {
        return Err(Refusal::Unable);
    };
    let handshake = http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
    let (mut sender, driver) = handshake.map_err(unable)?;
    let _task = Task::spawn(driver.with_upgrades());
    let request = Request::builder()
        .method(Method::CONNECT)
        .uri(endpoint.address.to_string())
        .header(http::header::HOST, endpoint.address.to_string())
        .header(ENDPOINT_HEADER, endpoint.id)
        .body(Full::default());
    let request = request.map_err(|_| Refusal::EndpointUnreachable)?;
    let response = sender.send_request(request).await.map_err(unable)?;
    match response.status() {
        StatusCode::OK => hyper::upgrade::on(response).await.map_err(unable),
        StatusCode::SERVICE_UNAVAILABLE => Err(Refusal::Unable),
        _ => Err(Refusal::EndpointUnreachable),
    }
}
