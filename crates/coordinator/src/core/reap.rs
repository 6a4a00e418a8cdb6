//! Reaper: cancels the requests of failed or ended gateways at the engines that this host
//! coordinates, and grants this host's own gateways their permit to forward.

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

/// Interval of heartbeats and of engine scans.
pub(super) const INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a call to an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a listing of running requests; an engine runs about twenty.
const LISTING_LIMIT_BYTES: usize = 1 << 20;

/// Running requests that an engine listed.
#[derive(Debug)]
struct Listing {
    address: SocketAddr,
    listed_at: Instant,
    /// Time since which this host has coordinated the engine.
    coordinated_since: Instant,
    running: Vec<String>,
}

/// State of the reaper.
pub(crate) struct Reaper {
    limits: Limits,
    gateways: Gateways,
    watch: Watch,
    client: awc::Client,
    /// Time at which each host's last lease renewal was read.
    renewals: HashMap<String, Instant>,
    /// Send time of the last read that reached the log's tail.
    known_until: Instant,
    /// Engines that this host coordinates, with the time since which it does.
    coordinated: HashMap<String, Instant>,
    /// Listings of the last scan. They are checked at the next step, as the check needs a read of
    /// the log that was sent after them.
    listings: HashMap<String, Listing>,
    /// Send time of the last acknowledged heartbeat to each host.
    acknowledged: HashMap<String, Instant>,
    permit: Permit,
}

impl std::fmt::Debug for Reaper {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Reaper")
            .field("watch", &self.watch)
            .finish_non_exhaustive()
    }
}

impl Reaper {
    /// Makes the reaper of a process that starts now.
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

    /// Records that a read of the log, sent at `sent_at`, reached its tail.
    pub(super) fn reached_tail(&mut self, sent_at: Instant) {
        self.known_until = self.known_until.max(sent_at);
    }

    fn evidence(&self, host: &str) -> Evidence {
        Evidence {
            renewal_read: self.renewals.get(host).copied(),
            known_until: self.known_until,
        }
    }
}

impl<P: Platform> Core<P> {
    /// Records a lease renewal that was read from the log.
    pub(super) fn record_renewal(&mut self, now: Instant, change: &Change) {
        let Change::Renewed { id, .. } = change else {
            return;
        };
        if let Some(session) = self.replica.leases().session(id.incarnation) {
            self.reaper.renewals.insert(session.host.clone(), now);
        }
    }

    /// Sends heartbeats, cancels requests by the last listings and asks for new listings.
    pub(super) fn step_reaper(&mut self, context: &mut Context<Self>) {
        let now = self.clock.now();
        self.reaper.gateways.tick(now);
        let report = self.reaper.gateways.report();
        let own = self.identity.host.clone();
        self.reaper.watch.heartbeat(now, &own, &report);
        self.send_heartbeats(now, &report, context);
        self.reap(now);
        self.list_requests(now, context);
    }

    /// Sends heartbeats to all other hosts, as each may coordinate an engine in its own view of the
    /// live hosts.
    fn send_heartbeats(&self, sent_at: Instant, report: &Report, context: &mut Context<Self>) {
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
                        core.reaper.acknowledged.insert(host, sent_at);
                    }
                },
            ));
        }
    }

    /// Cancels the listed requests whose gateway has ended or whose host has failed.
    fn reap(&mut self, now: Instant) {
        let mut due = Vec::new();
        for (endpoint, listing) in &self.reaper.listings {
            let running = listing.running.iter().map(String::as_str);
            let lease = |host: &str| self.reaper.evidence(host);
            let watch = &self.reaper.watch;
            for (id, cause) in
                watch.scan(listing.listed_at, listing.coordinated_since, running, lease)
            {
                due.push((endpoint.clone(), listing.address, id.to_string(), cause));
            }
        }
        self.reaper.listings.clear();
        for (endpoint, address, request_id, cause) in due {
            let reason = match cause {
                Cause::HostSilent => "host_silent",
                Cause::GatewayEnded => "gateway_ended",
            };
            tracing::info!(%endpoint, request = %request_id, reason, "reap: request cancelled");
            let reason = reason.to_owned();
            self.metrics.reaped.get_or_create(&Reason { reason }).inc();
            let url = format!("http://{address}/v1/cancel");
            let cancel = self.reaper.client.post(url);
            actix_rt::spawn(async move {
                // If the request is still listed by the next scan, it is cancelled again.
                if let Err(error) = cancel.send_json(&CancelRequest { request_id }).await {
                    tracing::warn!(
                        %endpoint,
                        %error,
                        "reap: cancellation was not delivered; the next scan repeats it"
                    );
                }
            });
        }
        let silence = self
            .reaper
            .limits
            .drift
            .safe_wait(self.reaper.limits.silence);
        let is_recent = |sent_at: &Instant| now.since(*sent_at) < silence;
        self.reaper
            .acknowledged
            .retain(|_, sent_at| is_recent(sent_at));
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
            let coordinated_since = self.reaper.coordinated.get(&name).copied().unwrap_or(now);
            coordinated.insert(name.clone(), coordinated_since);
            let address = endpoint.address;
            let url = format!("http://{address}/v1/requests");
            let asked = self.reaper.client.get(url).send();
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
                    listed_at: core.clock.now(),
                    coordinated_since,
                    running: running.collect(),
                };
                core.reaper.listings.insert(name, listing);
            }));
        }
        self.reaper.coordinated = coordinated;
    }

    /// Remaining lifetime of this host's permit to forward streams, in milliseconds.
    ///
    /// Hosts with different views may disagree on which host coordinates an engine. Without a
    /// usable log lease, the permit therefore needs heartbeats acknowledged by all listed hosts.
    fn forward_permit_ms(&mut self, now: Instant) -> u64 {
        if let Some(left) = self.holder.log_lease_remaining(now) {
            self.reaper.permit.extend(now, now + left);
        }
        let others = self.addresses.keys();
        let mut others = others.filter(|host| **host != self.identity.host);
        let oldest = others.try_fold(None, |oldest: Option<Instant>, host| {
            let sent_at = *self.reaper.acknowledged.get(host)?;
            Some(Some(oldest.map_or(sent_at, |oldest| oldest.min(sent_at))))
        });
        if let Some(oldest) = oldest {
            // Without other hosts, only this process can cancel its requests.
            let sent_at = oldest.unwrap_or(now);
            let silence = self.reaper.limits.silence;
            self.reaper.permit.acknowledged(now, sent_at, silence);
        }
        let left = self.reaper.permit.until().since(now);
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Coordinating host of an engine by rendezvous hashing: adding or removing a host moves only that
/// host's share of the engines.
fn coordinating_host<'a>(hosts: &[&'a str], endpoint: &str) -> Option<&'a str> {
    let weight = |host: &str| mix(hash(host) ^ hash(endpoint).rotate_left(17));
    hosts
        .iter()
        .copied()
        .max_by_key(|host| (weight(host), *host))
}

/// FNV-1a hash, which is stable across releases, unlike the standard library's.
fn hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Finaliser of `SplitMix64`, which spreads similar hashes.
const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Heartbeat of a gateway of this host, or its notice that it has finished.
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
            self.reaper.gateways.finished(gateway);
            return actix::MessageResult(local::Response::Done);
        }
        if !self.reaper.gateways.heartbeat(now, gateway) {
            tracing::warn!(
                gateway = gateway.0,
                "reap: gateway was already reported as ended; refusing its heartbeat"
            );
            return actix::MessageResult(local::Response::Refused(local::Refused {
                code: "gateway_ended".to_owned(),
                retry_after_ms: None,
            }));
        }
        let lifetime_ms = self.forward_permit_ms(now);
        actix::MessageResult(local::Response::Forward { lifetime_ms })
    }
}

/// Heartbeat of a coordinator, with the state of its host's gateways.
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
        self.reaper.watch.heartbeat(now, &host, &report);
        actix::MessageResult(peer::Response::Done)
    }
}
