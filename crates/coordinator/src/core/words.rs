//! Exchange with peers about the log: staleness of their replicas, missing entries, and relayed
//! appends for a host that alone cannot reach the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, Handler, Message, MessageResult};
use actix::{ResponseFuture, WrapFuture};
use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::configuration::{Readiness, Report};
use berylknot_coordination::freshness::{POLL_INTERVAL, STATUS_LIFETIME, Status, Tracker, Verdict};
use berylknot_wire::peer::{Request, Response};

use super::Core;
use crate::platform::Platform;

/// Interval between rounds of status requests.
pub(super) const INTERVAL: Duration = Duration::from_secs(1);

/// Minimum number of peers per round.
const MIN_PEERS_PER_ROUND: usize = 3;

/// Maximum number of entries in a response.
const MAX_ENTRIES: usize = 256;

/// Maximum number of addresses kept, almost three times the fleet of 360 hosts.
const MAX_ADDRESSES: usize = 1_024;

/// Log status of this host and its peers.
#[derive(Debug)]
pub(super) struct Replication {
    freshness: Tracker<String>,
    readiness: Readiness<String>,
    /// Configured hosts other than this one.
    others: Vec<String>,
    /// Index in `others` of the next peer to ask.
    next_peer: usize,
    /// Address of this host for its peers.
    pub(super) address: SocketAddr,
    /// Latest status of each peer, with the time at which its request was sent.
    statuses: BTreeMap<String, (Instant, Status)>,
    /// Whether a fetch of missing entries is in flight.
    fetching: bool,
}

impl Replication {
    /// Makes the status of a host that has read nothing.
    pub(super) fn new(
        host: &str,
        configured: &[String],
        address: SocketAddr,
        drift: Drift,
    ) -> Self {
        let mut others = configured.to_vec();
        others.sort_unstable();
        others.dedup();
        others.retain(|other| other != host);
        // Without a list of hosts no majority exists, so a log outage ends the use of keys and
        // configuration.
        let count = if configured.is_empty() {
            usize::MAX
        } else {
            others.len() + 1
        };
        Self {
            freshness: Tracker::new(count, drift),
            readiness: Readiness::new(count),
            others,
            next_peer: 0,
            address,
            statuses: BTreeMap::new(),
            fetching: false,
        }
    }
}

/// Freshness of the host's configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Freshness {
    /// Remaining lifetime of keys and configuration in milliseconds.
    pub(crate) lifetime_ms: u64,
    /// Staleness: time in milliseconds since the replica was last known to be at the log's tail. A
    /// host that has read nothing reports more than an hour, since the clock starts at one hour.
    pub(crate) age_ms: u64,
}

/// Asks for the freshness of the configuration.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "Freshness")]
pub(crate) struct AskFreshness;

impl<P: Platform> Handler<AskFreshness> for Core<P> {
    type Result = MessageResult<AskFreshness>;

    fn handle(&mut self, _: AskFreshness, _: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        let applied = self.replica.next_offset();
        let until = match self.replication.freshness.verdict(now, applied) {
            Verdict::Fresh { until } | Verdict::Outage { until } if self.caught_up() => until,
            _ => now,
        };
        MessageResult(Freshness {
            lifetime_ms: until.as_millis().saturating_sub(now.as_millis()),
            age_ms: self.log_age_ms(),
        })
    }
}

/// Request of another host about the log.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "Response")]
pub(crate) struct Query {
    pub(crate) sender: String,
    pub(crate) request: Request,
}

impl<P: Platform> Handler<Query> for Core<P> {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, query: Query, _: &mut Self::Context) -> Self::Result {
        let response = match query.request {
            Request::AskWord { address } => {
                self.members.record_contact(self.clock.now(), &query.sender);
                self.record_address(query.sender, address);
                self.status()
            }
            Request::Digest { address, digest } => {
                let now = self.clock.now();
                self.members.merge(now, &query.sender, &digest);
                self.record_address(query.sender, address);
                self.status()
            }
            Request::Fetch { next_offset } => self.entries_from(next_offset),
            Request::Relay { records } => {
                let platform = self.platform.clone();
                return Box::pin(async move {
                    match platform.append(&records).await {
                        Ok(_) => Response::Appended,
                        Err(_) => Response::AppendLost,
                    }
                });
            }
            _ => Response::Done,
        };
        Box::pin(std::future::ready(response))
    }
}

impl<P: Platform> Core<P> {
    /// Whether the replica has caught up with the log since the start of the process.
    pub(super) fn caught_up(&mut self) -> bool {
        let now = self.clock.now();
        self.replication
            .readiness
            .poll(now, self.replica.next_offset())
    }

    /// Whether no read of the log has succeeded recently.
    pub(super) fn log_unavailable(&self, now: Instant) -> bool {
        self.replication.freshness.needs_majority(now)
    }

    /// Records the log's tail offset, as returned by a read that was sent at `sent_at`.
    pub(super) fn record_tail(&mut self, sent_at: Instant, tail: u64) {
        let applied = self.replica.next_offset();
        self.replication.readiness.record_tail(tail);
        self.replication
            .freshness
            .record_read(sent_at, tail, applied);
    }

    /// Response to a status request.
    fn status(&mut self) -> Response {
        let (now, ready) = (self.clock.now(), self.caught_up());
        let applied = self.replica.next_offset();
        Response::Word(self.replication.freshness.status(now, ready, applied))
    }

    /// Staleness in milliseconds: time since the replica was last known to be at the log's tail.
    pub(super) fn log_age_ms(&self) -> u64 {
        let now = self.clock.now();
        let status = self
            .replication
            .freshness
            .status(now, false, self.replica.next_offset());
        status.tail.map_or(now.as_millis(), |tail| tail.age_ms)
    }

    /// Records the address of a host. A new host is ignored once [`MAX_ADDRESSES`] are known.
    fn record_address(&mut self, host: String, address: SocketAddr) {
        if self.addresses.len() < MAX_ADDRESSES || self.addresses.contains_key(&host) {
            self.addresses.insert(host, address);
        }
    }

    /// Polls the status of all configured hosts in turn within [`POLL_INTERVAL`], while the log is
    /// unavailable or this host has not caught up. Otherwise the responses to digests suffice.
    pub(super) fn poll_statuses(&mut self, context: &mut Context<Self>) {
        let now = self.clock.now();
        let count = self.replication.others.len();
        if !self.log_unavailable(now) && self.caught_up() {
            return;
        }
        let rounds = usize::try_from(POLL_INTERVAL.as_secs()).unwrap_or(1);
        let asked = MIN_PEERS_PER_ROUND.max(count.div_ceil(rounds));
        for _ in 0..asked.min(count) {
            let host = self.replication.others[self.replication.next_peer % count].clone();
            self.replication.next_peer = (self.replication.next_peer + 1) % count;
            if let Some(address) = self.addresses.get(&host).copied() {
                let own = self.replication.address;
                self.request_status(host, address, Request::AskWord { address: own }, context);
            }
        }
    }

    /// Sends a request that is answered by a status.
    pub(super) fn request_status(
        &mut self,
        host: String,
        address: SocketAddr,
        request: Request,
        context: &mut Context<Self>,
    ) {
        let peers = self.peers.clone();
        let sent_at = self.clock.now();
        let ask = async move { peers.send_for_frame(address, request).await };
        let asked = ask.into_actor(self).map(move |answer, core, context| {
            let Ok(frame) = answer else {
                return;
            };
            // The address may have been reassigned to another host.
            if frame.sender != host {
                return;
            }
            if let Response::Word(status) = frame.body {
                core.record_status(host, address, sent_at, status, context);
            }
        });
        context.spawn(asked);
    }

    /// Records the status of a peer, and fetches entries if it is ahead during a log outage.
    fn record_status(
        &mut self,
        host: String,
        address: SocketAddr,
        asked_at: Instant,
        status: Status,
        context: &mut Context<Self>,
    ) {
        self.members.record_contact(self.clock.now(), &host);
        // Only configured hosts count towards the majority.
        if !self.replication.others.contains(&host) {
            return;
        }
        let applied = self.replica.next_offset();
        let Status {
            ready, next_offset, ..
        } = status;
        let report = Report { ready, next_offset };
        self.replication
            .readiness
            .record_report(host.clone(), asked_at, report);
        self.replication
            .freshness
            .record_status(host.clone(), asked_at, status, applied);
        self.replication.statuses.insert(host, (asked_at, status));
        if next_offset > applied && self.log_unavailable(self.clock.now()) {
            self.fetch(address, context);
        }
        self.publish();
    }

    /// Fetches from a peer the entries that cannot be read from the log; one fetch at a time.
    fn fetch(&mut self, address: SocketAddr, context: &mut Context<Self>) {
        if std::mem::replace(&mut self.replication.fetching, true) {
            return;
        }
        let peers = self.peers.clone();
        let next_offset = self.replica.next_offset();
        let fetch = async move { peers.send(address, Request::Fetch { next_offset }).await };
        let fetched = fetch.into_actor(self).map(move |answer, core, context| {
            core.replication.fetching = false;
            match answer {
                Ok(Response::Entries(entries)) => {
                    for entry in &entries {
                        core.apply(entry);
                    }
                    let actions = core.appender.observe(core.replica.batches());
                    core.execute(actions, context);
                }
                Ok(Response::Snapshot(found)) => {
                    core.restore(&found, context);
                }
                Ok(_) => {}
                Err(error) => tracing::debug!(%error, "words: entries could not be fetched"),
            }
            core.replication
                .freshness
                .record_applied(core.replica.next_offset());
            core.publish();
        });
        context.spawn(fetched);
    }

    /// Entries from an offset on, or a snapshot if the backlog no longer has them.
    fn entries_from(&self, next_offset: u64) -> Response {
        if next_offset >= self.replica.next_offset() {
            return Response::Entries(Vec::new());
        }
        if let Some(entries) = self.follower.backlog.from(next_offset) {
            return Response::Entries(entries.take(MAX_ENTRIES).cloned().collect());
        }
        match self.replica.snapshot() {
            Ok(snapshot) => Response::Snapshot(snapshot),
            Err(error) => {
                tracing::error!(
                    %error,
                    "words: snapshot for a peer could not be encoded; the peer stays behind"
                );
                Response::Done
            }
        }
    }

    /// Address of a peer that reaches the log, while this host does not.
    pub(super) fn relay(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        if !self.log_unavailable(now) {
            return None;
        }
        let mut statuses = self.replication.statuses.iter();
        let (host, _) = statuses.find(|(_, (asked_at, status))| {
            status.reaches_log && now.since(*asked_at) < STATUS_LIFETIME
        })?;
        self.addresses.get(host).copied()
    }
}
