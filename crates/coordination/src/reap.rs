//! Cancels the orphaned requests of ended gateways, and never those of a gateway that still
//! forwards.
//!
//! [`Gateways`] runs in each coordinator and reports the live and ended gateways of its host.
//! [`Watch`] runs at the coordinating host of an endpoint and decides which requests to cancel
//! there. [`Permit`] limits the sender: it expires before the watch may cancel the sender's
//! requests.

mod gateways;
mod permit;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::{Drift, Instant};
use crate::record::Incarnation;
use crate::request::Id;

pub use gateways::Gateways;
pub use permit::{Epoch, Permit};

/// Maximum number of hosts that a watch tracks, almost three times the fleet of 360. Beyond it, the
/// host with the oldest heartbeat is dropped and counts as having sent none.
const MAX_HOSTS: usize = 1_024;

/// Maximum number of ended incarnations kept per host; each report repeats them.
const MAX_ENDED: usize = 8;

/// Timeouts of the lease and the heartbeats, and the clock drift that they allow for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Duration of a host's log lease, by the holder's clock from before its renewal was sent.
    pub lease: Duration,
    /// Heartbeat timeout of a host or gateway, by the sender's clock from before it sent.
    pub silence: Duration,
    /// Bound on the drift of all clocks.
    pub drift: Drift,
}

impl Default for Limits {
    /// A lease of 15 s and a heartbeat timeout of 10 s (design, sections 5.1 and 5.4).
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(15),
            silence: Duration::from_secs(10),
            drift: Drift::default(),
        }
    }
}

/// State of a host's gateways, sent with its coordinator's heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Incarnations of the live gateways.
    pub live: Vec<Incarnation>,
    /// Incarnations of the gateways that ended most recently.
    pub ended: Vec<Incarnation>,
    /// Bound below which every incarnation that is not in `live` has ended.
    pub complete_below: Incarnation,
}

/// Evidence from the log about another host's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Time at which the host's latest renewal was read; `None` before the first.
    pub renewal_read: Option<Instant>,
    /// Time up to which all renewals have been read: the request time of the last read that reached
    /// the log's tail. The current time would be wrong while the log does not answer, because the
    /// host may still renew its lease there.
    pub known_until: Instant,
}

impl Evidence {
    /// Whether the lease has expired under any clock drift (design, section 5.1). `since` replaces
    /// the time of the latest renewal when none has been read.
    #[must_use]
    pub fn expired(&self, since: Instant, limits: &Limits) -> bool {
        let read = self.renewal_read.unwrap_or(since);
        self.known_until.since(read) >= limits.drift.safe_wait(limits.lease)
    }
}

/// Reason for the cancellation of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The lease of the request's host has expired, and the host's heartbeats have timed out.
    HostSilent,
    /// The request's gateway has ended.
    GatewayEnded,
}

#[derive(Clone, Debug)]
struct Host {
    /// Time of the latest heartbeat.
    heartbeat_at: Instant,
    report: Report,
    ended: Vec<Incarnation>,
}

impl Host {
    fn has_ended(&self, gateway: Incarnation) -> bool {
        let listed = self.report.live.contains(&gateway);
        self.ended.contains(&gateway) || (gateway < self.report.complete_below && !listed)
    }
}

/// Decides at a coordinating host which requests at its endpoints are orphaned and may be
/// cancelled.
#[derive(Clone, Debug)]
pub struct Watch {
    limits: Limits,
    hosts: BTreeMap<String, Host>,
}

impl Watch {
    /// Creates a watch without heartbeats from any host.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            hosts: BTreeMap::new(),
        }
    }

    /// Records a coordinator's heartbeat, which may be acknowledged only after this call.
    pub fn heartbeat(&mut self, now: Instant, host: &str, report: &Report) {
        if !self.hosts.contains_key(host) && self.hosts.len() >= MAX_HOSTS {
            self.drop_oldest_heartbeat();
        }
        let host = self.hosts.entry(host.to_owned()).or_insert_with(|| Host {
            heartbeat_at: now,
            report: report.clone(),
            ended: Vec::new(),
        });
        host.heartbeat_at = now;
        for gateway in &report.ended {
            if !host.ended.contains(gateway) {
                host.ended.push(*gateway);
            }
        }
        host.ended.sort_unstable();
        let excess = host.ended.len().saturating_sub(MAX_ENDED);
        host.ended.drain(..excess);
        host.report.clone_from(report);
    }

    /// Returns which of the running requests that an endpoint lists may be cancelled.
    ///
    /// `listed` is the arrival time of the list. The log must have been read to its tail
    /// afterwards, so that at one moment, later than the start of every listed request, the host
    /// had neither a lease nor an acknowledged heartbeat. Evidence from two moments does not prove
    /// that, because the host may have been covered by the lease at one and by heartbeats at the
    /// other.
    ///
    /// `since` is the time at which this host became the endpoint's coordinating host, not before
    /// the start of its process. The heartbeat timeout starts there at the earliest, because hosts
    /// sent their heartbeats to another host before. Texts that are not request ids are ignored.
    pub fn scan<'a>(
        &self,
        listed: Instant,
        since: Instant,
        running: impl IntoIterator<Item = &'a str>,
        lease: impl Fn(&str) -> Evidence,
    ) -> Vec<(Id, Cause)> {
        let mut reaped = Vec::new();
        for text in running {
            let Ok(id) = text.parse::<Id>() else { continue };
            let cause = self.cause(listed, since, &id, lease(id.host()));
            reaped.extend(cause.map(|cause| (id, cause)));
        }
        reaped
    }

    fn cause(&self, listed: Instant, since: Instant, id: &Id, lease: Evidence) -> Option<Cause> {
        let host = self.hosts.get(id.host());
        if host.is_some_and(|host| host.has_ended(id.gateway())) {
            return Some(Cause::GatewayEnded);
        }
        let moment = lease.known_until;
        let last_heartbeat = host.map_or(since, |host| host.heartbeat_at.max(since));
        let silent =
            moment.since(last_heartbeat) >= self.limits.drift.safe_wait(self.limits.silence);
        let expired = lease.expired(since, &self.limits);
        (moment >= listed && silent && expired).then_some(Cause::HostSilent)
    }

    fn drop_oldest_heartbeat(&mut self) {
        let oldest = self.hosts.iter().min_by_key(|(_, host)| host.heartbeat_at);
        let name = oldest.map(|(name, _)| name.clone());
        name.and_then(|name| self.hosts.remove(&name));
    }
}
