//! Cancelling the requests of gateways that are gone at the engines that this host coordinates, and
//! the permission of this host's gateways to forward.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::{AsyncContext, Context, Handler, Message, WrapFuture};
use berylknot_border::engine::{CancelRequest, RunningRequests};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::lease::{Change, Timing};
use berylknot_coordination::reap::{Cause, Evidence, Gateways, Limits, Permit, Report, Watch};
use berylknot_coordination::record::Incarnation;
use berylknot_settings::fleet::Kind;
use berylknot_wire::{local, peer};

use super::Core;
use crate::metrics::Reason;
use crate::platform::Platform;

/// Time between two heartbeats and between two scans of an engine.
pub(super) const INTERVAL: Duration = Duration::from_secs(1);

/// Deadline of a call to an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest listing of running requests in bytes; an engine runs about twenty.
const LISTING_LIMIT_BYTES: usize = 1 << 20;

/// Requests that an engine listed.
#[derive(Debug)]
struct Listing {
    address: SocketAddr,
    listed: Instant,
    since: Instant,
    running: Vec<String>,
}

/// State for the rules of reaping.
pub(crate) struct Reaping {
    limits: Limits,
    gateways: Gateways,
    watch: Watch,
    client: awc::Client,
    /// Times at which the last renewal of each host was read.
    renewals: HashMap<String, Instant>,
    /// Time at which the last read that reached the log's tail was sent.
    known_until: Instant,
    /// Engines that this host coordinates, and since when.
    coordinated: HashMap<String, Instant>,
    /// Listings that wait for a read of the log that was sent after them.
    listings: HashMap<String, Listing>,
    /// Times before the last acknowledged heartbeat to each host was sent.
    acknowledged: HashMap<String, Instant>,
    permit: Permit,
}

impl std::fmt::Debug for Reaping {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Reaping")
            .field("watch", &self.watch)
            .finish_non_exhaustive()
    }
}

impl Reaping {
    /// Starts at the start of the process with the given incarnation.
    pub(super) fn new(now: Instant, coordinator: Incarnation, timing: &Timing) -> Self {
        let limits = Limits {
            lease: timing.shard_lease,
            drift: timing.drift,
            ..Limits::default()
        };
        Self {
            limits,
            gateways: Gateways::new(now, coordinator, limits),
            watch: Watch::new(limits),
            client: awc::Client::builder().timeout(ENGINE_TIMEOUT).finish(),
            renewals: HashMap::new(),
            known_until: now,
            coordinated: HashMap::new(),
            listings: HashMap::new(),
            acknowledged: HashMap::new(),
            permit: Permit::new(),
        }
    }

    /// Notes that a read of the log, sent at `sent`, reached its tail.
    pub(super) fn reached_tail(&mut self, sent: Instant) {
        self.known_until = self.known_until.max(sent);
    }

    fn evidence(&self, host: &str) -> Evidence {
        Evidence {
            renewal_read: self.renewals.get(host).copied(),
            known_until: self.known_until,
        }
    }
}

impl<P: Platform> Core<P> {
    /// Notes a renewal that was read from the log.
    pub(super) fn renewal_read(&mut self, now: Instant, change: &Change) {
        let Change::Renewed { id, .. } = change else {
            return;
        };
        if let Some(session) = self.replica.leases().session(id.incarnation) {
            self.reaping.renewals.insert(session.host.clone(), now);
        }
    }

    /// Sends heartbeats, cancels what the last listings allow and asks for new ones.
    pub(super) fn step_reaping(&mut self, context: &mut Context<Self>) {
        let now = self.clock.now();
        self.reaping.gateways.tick(now);
        let report = self.reaping.gateways.report();
        let own = self.identity.host.clone();
        self.reaping.watch.heartbeat(now, &own, &report);
        self.send_heartbeats(now, &report, context);
        self.reap(now);
        self.list_requests(now, context);
    }

    /// Every other host may coordinate an engine, by its own view of the live hosts.
    fn send_heartbeats(&self, sent: Instant, report: &Report, context: &mut Context<Self>) {
        for (host, address) in &self.addresses {
            if *host == self.identity.host {
                continue;
            }
            let (peers, host, address) = (self.peers.clone(), host.clone(), *address);
            let report = report.clone();
            let call = async move {
                let heartbeat = peer::Request::Heartbeat { report };
                (host, peers.send(address, heartbeat).await)
            };
            let call = actix::fut::wrap_future::<_, Self>(call);
            context.spawn(actix::ActorFutureExt::map(
                call,
                move |(host, answer), core, _| {
                    if let Ok(peer::Response::Done) = answer {
                        core.reaping.acknowledged.insert(host, sent);
                    }
                },
            ));
        }
    }

    /// Cancels the listed requests whose gateway is gone.
    fn reap(&mut self, now: Instant) {
        let mut due = Vec::new();
        for (endpoint, listing) in &self.reaping.listings {
            let running = listing.running.iter().map(String::as_str);
            let lease = |host: &str| self.reaping.evidence(host);
            let watch = &self.reaping.watch;
            for (id, cause) in watch.scan(listing.listed, listing.since, running, lease) {
                due.push((endpoint.clone(), listing.address, id.to_string(), cause));
            }
        }
        self.reaping.listings.clear();
        for (endpoint, address, request_id, cause) in due {
            let reason = match cause {
                Cause::HostSilent => "host_silent",
                Cause::GatewayEnded => "gateway_ended",
            };
            tracing::info!(%endpoint, request = %request_id, reason, "reap: request cancelled");
            let reason = reason.to_owned();
            self.metrics.reaped.get_or_create(&Reason { reason }).inc();
            let url = format!("http://{address}/v1/cancel");
            let cancel = self.reaping.client.post(url);
            actix_rt::spawn(async move {
                // A request that is still listed is cancelled again after the next scan.
                if let Err(error) = cancel.send_json(&CancelRequest { request_id }).await {
                    tracing::warn!(%endpoint, %error, "reap: cancel was not delivered");
                }
            });
        }
        let silence = self
            .reaping
            .limits
            .drift
            .safe_wait(self.reaping.limits.silence);
        let heard = |sent: &Instant| now.since(*sent) < silence;
        self.reaping.acknowledged.retain(|_, sent| heard(sent));
    }

    /// Asks the engines that this host coordinates for their running requests.
    fn list_requests(&mut self, now: Instant, context: &mut Context<Self>) {
        let table = self.replica.leases();
        let live = self.holder.live_hosts().iter();
        let live = live.filter_map(|incarnation| table.session(*incarnation));
        let hosts: Vec<&str> = live.map(|session| session.host.as_str()).collect();
        let fleet = self.published.borrow().fleet.clone();
        let mut coordinated = HashMap::new();
        for (_, endpoint) in fleet.endpoints() {
            let engine = matches!(endpoint.kind, Kind::Prefill | Kind::Decode);
            let chosen = coordinating_host(&hosts, &endpoint.name);
            if !engine || chosen != Some(self.identity.host.as_str()) {
                continue;
            }
            let name = endpoint.name.clone();
            let since = self.reaping.coordinated.get(&name).copied().unwrap_or(now);
            coordinated.insert(name.clone(), since);
            let address = endpoint.address;
            let url = format!("http://{address}/v1/requests");
            let asked = self.reaping.client.get(url).send();
            let list = async move {
                let mut response = asked.await.ok()?;
                let listing = response.json::<RunningRequests>();
                listing.limit(LISTING_LIMIT_BYTES).await.ok()
            };
            let list = list.into_actor(self);
            context.spawn(actix::ActorFutureExt::map(list, move |found, core, _| {
                let Some(RunningRequests { requests }) = found else {
                    return;
                };
                let running = requests.into_iter().map(|request| request.request_id);
                let listing = Listing {
                    address,
                    listed: core.clock.now(),
                    since,
                    running: running.collect(),
                };
                core.reaping.listings.insert(name, listing);
            }));
        }
        self.reaping.coordinated = coordinated;
    }

    /// Milliseconds for which this host may still forward streams.
    ///
    /// Hosts may differ about the coordinating host of an engine while their views differ, so the
    /// heartbeats must have been acknowledged by all listed hosts when the log lease is not usable.
    fn forwarding_ms(&mut self, now: Instant) -> u64 {
        if let Some(left) = self.holder.log_lease_remaining(now) {
            self.reaping.permit.extend(now, now + left);
        }
        let others = self.addresses.keys();
        let mut others = others.filter(|host| **host != self.identity.host);
        let oldest = others.try_fold(None, |oldest: Option<Instant>, host| {
            let sent = *self.reaping.acknowledged.get(host)?;
            Some(Some(oldest.map_or(sent, |oldest| oldest.min(sent))))
        });
        if let Some(oldest) = oldest {
            // Without other hosts, nobody but this process reaps.
            let sent = oldest.unwrap_or(now);
            let silence = self.reaping.limits.silence;
            self.reaping.permit.acknowledged(now, sent, silence);
        }
        let left = self.reaping.permit.until().since(now);
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Host with the highest hash of both names (rendezvous hashing), so that a host that comes or goes
/// moves only its own share.
fn coordinating_host<'a>(hosts: &[&'a str], endpoint: &str) -> Option<&'a str> {
    let weight = |host: &str| mix(hash(host) ^ hash(endpoint).rotate_left(17));
    hosts
        .iter()
        .copied()
        .max_by_key(|host| (weight(host), *host))
}

/// FNV-1a, which is the same in all releases, unlike the standard library's hash.
fn hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Finaliser of `SplitMix64`.
const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A gateway of this host reports that it lives.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "local::Response")]
pub(crate) struct Streams(pub(crate) local::Streams);

impl<P: Platform> Handler<Streams> for Core<P> {
    type Result = actix::MessageResult<Streams>;

    fn handle(&mut self, Streams(streams): Streams, _: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        let gateway = streams.gateway;
        if streams.finished {
            self.reaping.gateways.finished(gateway);
            return actix::MessageResult(local::Response::Done);
        }
        if !self.reaping.gateways.heartbeat(now, gateway) {
            tracing::warn!(
                gateway = gateway.0,
                "reap: gateway was stated to have ended"
            );
            return actix::MessageResult(local::Response::Refused(local::Refused {
                code: "gateway_ended".to_owned(),
                retry_after_ms: None,
            }));
        }
        let lifetime_ms = self.forwarding_ms(now);
        actix::MessageResult(local::Response::Forward { lifetime_ms })
    }
}

/// A coordinator's heartbeat.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "peer::Response")]
pub(crate) struct Heartbeat {
    pub(crate) host: String,
    pub(crate) report: Report,
}

impl<P: Platform> Handler<Heartbeat> for Core<P> {
    type Result = actix::MessageResult<Heartbeat>;

    fn handle(&mut self, heartbeat: Heartbeat, _: &mut Self::Context) -> Self::Result {
        let Heartbeat { host, report } = heartbeat;
        let now = self.clock.now();
        self.reaping.watch.heartbeat(now, &host, &report);
        actix::MessageResult(peer::Response::Done)
    }
}
