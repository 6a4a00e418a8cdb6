//! Actor that owns the host's view of the log and everything derived from it: configuration,
//! leases, token buckets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Supervised};
use berylknot_coordination::append::Appender;
use berylknot_coordination::clock::Instant;
use berylknot_coordination::lease::{Holder, Seat, Timing};
use berylknot_coordination::member::{self, View};
use berylknot_coordination::quarantine::Local;
use berylknot_coordination::record::Incarnation;
use berylknot_coordination::replica::Replica;
use berylknot_settings::Fleet;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peers::Client;
use crate::platform::Platform;
use crate::state::{Configuration, Identity};
use crate::work::Work;

mod append;
pub(crate) mod claims;
mod follow;
mod gossip;
mod hosts;
mod leases;
mod orders;
pub(crate) mod quota;
pub(crate) mod reap;
pub(crate) mod shutdown;
mod snapshots;
pub(crate) mod strikes;
pub(crate) mod words;

/// Time between two steps of the lease holder, at most 500 ms.
const LEASE_INTERVAL: Duration = Duration::from_millis(200);

/// Owner of the host's state that is derived from the log.
#[derive(Debug)]
pub(crate) struct Core<P> {
    clock: Clock,
    identity: Identity,
    platform: P,
    poll: Duration,
    ready: Arc<AtomicBool>,
    /// Time since which every shard has had an owner and this host a lease.
    owned_since: Option<Instant>,
    peers: Client,
    addresses: HashMap<String, SocketAddr>,
    replica: Replica,
    holder: Holder,
    appender: Appender,
    quota: quota::Buckets,
    claims: claims::Claims,
    reaping: reap::Reaping,
    follower: follow::Follower,
    snapshots: snapshots::Writer,
    words: words::Words,
    members: View,
    strikes: Local,
    /// Time at which the last successful read of the log was sent.
    last_read: Instant,
    published: watch::Sender<Configuration>,
    metrics: Arc<Metrics>,
    /// Work of the host's gateways that is not settled.
    work: Arc<Work>,
    departure: Option<shutdown::Departure>,
    orders: orders::Orders,
}

/// What a core is made from.
#[derive(Debug)]
pub(crate) struct Parts<P> {
    pub(crate) clock: Clock,
    pub(crate) identity: Identity,
    pub(crate) platform: P,
    pub(crate) poll: Duration,
    pub(crate) timing: Timing,
    /// Time for which the log keeps entries.
    pub(crate) retention: Duration,
    /// Names of the hosts of the deployment.
    pub(crate) configured: Vec<String>,
    /// Address of this host for its peers.
    pub(crate) address: SocketAddr,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) published: watch::Sender<Configuration>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) work: Arc<Work>,
}

impl<P: Platform> Core<P> {
    /// Makes a core that has read nothing.
    pub(crate) fn new(parts: Parts<P>) -> Self {
        let Parts {
            clock,
            identity,
            platform,
            poll,
            timing,
            retention,
            configured,
            address,
            ready,
            published,
            metrics,
            work,
        } = parts;
        let (host, incarnation) = (identity.host.clone(), identity.incarnation);
        let identity_host = host.clone();
        // The number of seats is set when a configuration is in force.
        let holder = Holder::new(clock.now(), incarnation, host, 0, timing);
        Self {
            clock,
            peers: Client::new(identity.clone()),
            identity,
            platform,
            poll,
            ready,
            owned_since: None,
            addresses: HashMap::new(),
            replica: Replica::default(),
            holder,
            appender: Appender::new(incarnation, append::limits()),
            quota: quota::Buckets::default(),
            claims: claims::Claims::new(incarnation),
            reaping: reap::Reaping::new(clock.now(), incarnation, &timing),
            follower: follow::Follower::default(),
            members: View::new(clock.now(), &identity_host, member::Limits::default()),
            words: words::Words::new(&identity_host, &configured, address, timing.drift),
            snapshots: snapshots::Writer::new(retention, configured),
            strikes: Local::default(),
            last_read: clock.now(),
            published,
            metrics,
            work,
            departure: None,
            orders: orders::Orders::default(),
        }
    }

    /// Address of the host that runs an incarnation.
    fn address_of(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let session = self.replica.leases().session(incarnation)?;
        self.addresses.get(&session.host).copied()
    }

    /// Puts a newly accepted configuration in force.
    ///
    /// A starting host reads old configurations before the one in force, so none counts until the
    /// host has caught up.
    fn publish(&mut self) {
        if !self.caught_up() {
            return;
        }
        let Some(accepted) = self.replica.configuration().accepted() else {
            return;
        };
        let version = accepted.version;
        if version <= self.published.borrow().version {
            return;
        }
        let fleet = match Fleet::from_json(&accepted.document) {
            Ok(fleet) => Arc::new(fleet),
            Err(error) => {
                tracing::error!(%error, "core: accepted configuration has findings");
                return;
            }
        };
        let document: Arc<str> = accepted.document.as_str().into();
        let now = self.clock.now();
        self.quota.configure(now, &fleet);
        let planned = u16::try_from(fleet.quota().planned_hosts).unwrap_or(u16::MAX);
        self.holder.configure(Seat::count(planned), version);
        tracing::info!(version = version.as_u64(), "core: configuration in force");
        self.published.send_replace(Configuration {
            version,
            document,
            fleet,
        });
    }
}

impl<P: Platform> Actor for Core<P> {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.follow(context, Duration::ZERO);
        context.run_interval(append::INTERVAL, Self::append_due);
        context.run_interval(LEASE_INTERVAL, |core, _| core.step_leases());
        context.run_interval(claims::INTERVAL, Self::step_claims);
        context.run_interval(reap::INTERVAL, Self::step_reaping);
        context.run_interval(snapshots::INTERVAL, |core, _| core.step_snapshots());
        context.run_interval(words::INTERVAL, Self::ask_words);
        context.run_interval(gossip::INTERVAL, Self::gossip);
        context.run_interval(orders::INTERVAL, Self::step_orders);
        context.run_interval(hosts::INTERVAL, Self::list_hosts);
        self.list_hosts(context);
    }
}

impl<P: Platform> Supervised for Core<P> {}
