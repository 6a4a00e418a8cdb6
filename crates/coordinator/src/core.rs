//! Actor that follows the log and owns the host's replica of it and the state derived from it, such
//! as configuration, leases and token buckets.

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

/// Interval at which the lease holder runs. It must not exceed 500 ms.
const LEASE_INTERVAL: Duration = Duration::from_millis(200);

/// State of the core actor.
#[derive(Debug)]
pub(crate) struct Core<P> {
    clock: Clock,
    identity: Identity,
    platform: P,
    poll_interval: Duration,
    ready: Arc<AtomicBool>,
    /// Start of the current period in which every shard has an owner and this host a log lease.
    owned_since: Option<Instant>,
    peers: Client,
    addresses: HashMap<String, SocketAddr>,
    replica: Replica,
    holder: Holder,
    appender: Appender,
    quota: quota::Buckets,
    claims: claims::Claims,
    reaper: reap::Reaper,
    follower: follow::Follower,
    snapshots: snapshots::Writer,
    replication: words::Replication,
    members: View,
    strikes: Local,
    /// Send time of the last successful read of the log.
    last_read: Instant,
    published: watch::Sender<Configuration>,
    metrics: Arc<Metrics>,
    /// Admitted and unsettled work of the host's gateways.
    work: Arc<Work>,
    /// Progress of a graceful shutdown, once one has begun.
    shutdown: Option<shutdown::State>,
    orders: orders::Orders,
}

/// Dependencies and settings of a core actor.
#[derive(Debug)]
pub(crate) struct Parts<P> {
    pub(crate) clock: Clock,
    pub(crate) identity: Identity,
    pub(crate) platform: P,
    /// Interval at which the log is read.
    pub(crate) poll_interval: Duration,
    pub(crate) timing: Timing,
    /// Retention of the log.
    pub(crate) retention: Duration,
    /// Names of all hosts of the deployment, the base of the majority rule.
    pub(crate) configured: Vec<String>,
    /// Address at which peers reach this host.
    pub(crate) address: SocketAddr,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) published: watch::Sender<Configuration>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) work: Arc<Work>,
}

impl<P: Platform> Core<P> {
    /// Makes a core with an empty replica.
    pub(crate) fn new(parts: Parts<P>) -> Self {
        let Parts {
            clock,
            identity,
            platform,
            poll_interval,
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
        // No seats until a configuration is in force.
        let holder = Holder::new(clock.now(), incarnation, host, 0, timing);
        Self {
            clock,
            peers: Client::new(identity.clone()),
            identity,
            platform,
            poll_interval,
            ready,
            owned_since: None,
            addresses: HashMap::new(),
            replica: Replica::default(),
            holder,
            appender: Appender::new(incarnation, append::limits()),
            quota: quota::Buckets::default(),
            claims: claims::Claims::new(incarnation),
            reaper: reap::Reaper::new(clock.now(), incarnation, &timing),
            follower: follow::Follower::default(),
            members: View::new(clock.now(), &identity_host, member::Limits::default()),
            replication: words::Replication::new(
                &identity_host,
                &configured,
                address,
                timing.drift,
            ),
            snapshots: snapshots::Writer::new(retention, configured),
            strikes: Local::default(),
            last_read: clock.now(),
            published,
            metrics,
            work,
            shutdown: None,
            orders: orders::Orders::default(),
        }
    }

    /// Address of the host of an incarnation, if its session and address are known.
    fn address_of(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let session = self.replica.leases().session(incarnation)?;
        self.addresses.get(&session.host).copied()
    }

    /// Publishes the accepted configuration if it is newer than the one in force.
    ///
    /// A starting host reads superseded configurations first, so nothing is published until it has
    /// caught up with the log.
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
                tracing::error!(
                    %error,
                    "core: accepted configuration is invalid; the previous one stays in force"
                );
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
        context.run_interval(reap::INTERVAL, Self::step_reaper);
        context.run_interval(snapshots::INTERVAL, |core, _| core.step_snapshots());
        context.run_interval(words::INTERVAL, Self::poll_statuses);
        context.run_interval(gossip::INTERVAL, Self::gossip);
        context.run_interval(orders::INTERVAL, Self::step_orders);
        context.run_interval(hosts::INTERVAL, Self::refresh_hosts);
        self.refresh_hosts(context);
    }
}

impl<P: Platform> Supervised for Core<P> {}
