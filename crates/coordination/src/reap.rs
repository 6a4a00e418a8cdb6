//! Cancelling the requests of gateways that are gone, and never those of a gateway that forwards.
//!
//! [`Gateways`] runs in each coordinator and reports which gateways of its host live. [`Watch`]
//! runs at the coordinating host of an endpoint and decides what to cancel there. [`Permit`] is the
//! matching duty of the sender: it lapses before the watch may act.

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

/// Highest number of hosts a watch remembers, almost three times the fleet of 360. The longest
/// silent one is dropped beyond it and then counts as never heard.
const MAX_HOSTS: usize = 1_024;

/// Highest number of ended incarnations remembered per host; a report repeats the latest.
const MAX_ENDED: usize = 8;

/// Durations of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Length of a host's log lease, by the holder's clock from before its renewal was sent.
    pub lease: Duration,
    /// Longest silence of a live host or gateway, by the sender's clock from before it sent.
    pub silence: Duration,
    /// Bound on the error of all clocks.
    pub drift: Drift,
}

impl Default for Limits {
    /// A lease of 15 s and a silence of 10 s (design, sections 5.1 and 5.4).
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(15),
            silence: Duration::from_secs(10),
            drift: Drift::default(),
        }
    }
}

/// What a coordinator's heartbeat says about the gateways of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Gateways that live.
    pub live: Vec<Incarnation>,
    /// Gateways that have ended, the latest ones.
    pub ended: Vec<Incarnation>,
    /// Every gateway with a lower incarnation that is not in `live` has ended.
    pub complete_below: Incarnation,
}

/// What a host knows from the log about another host's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Time at which the host's last renewal was read; `None` when none was read yet.
    pub renewal_read: Option<Instant>,
    /// Latest time up to which no renewal is unread: the time at which the last read that reached
    /// the log's tail was asked for. The current time does not serve when the log does not answer,
    /// since the host may still renew its lease there.
    pub known_until: Instant,
}

impl Evidence {
    /// Whether the lease has expired by the rule of the design's section 5.1. `since` counts as the
    /// read of a renewal when none was read.
    #[must_use]
    pub fn expired(&self, since: Instant, limits: &Limits) -> bool {
        let read = self.renewal_read.unwrap_or(since);
        self.known_until.since(read) >= limits.drift.safe_wait(limits.lease)
    }
}

/// Why a request may be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its host's lease has expired and the host is silent.
    HostSilent,
    /// Its gateway has ended.
    GatewayEnded,
}

#[derive(Clone, Debug)]
struct Host {
    heard: Instant,
    report: Report,
    ended: Vec<Incarnation>,
}

impl Host {
    fn has_ended(&self, gateway: Incarnation) -> bool {
        let listed = self.report.live.contains(&gateway);
        self.ended.contains(&gateway) || (gateway < self.report.complete_below && !listed)
    }
}

/// Watch of a coordinating host over the requests at its endpoints.
#[derive(Clone, Debug)]
pub struct Watch {
    limits: Limits,
    hosts: BTreeMap<String, Host>,
}

impl Watch {
    /// Makes a watch that has heard from no host.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            hosts: BTreeMap::new(),
        }
    }

    /// Notes a coordinator's heartbeat. The heartbeat may be acknowledged only after this call.
    pub fn heartbeat(&mut self, now: Instant, host: &str, report: &Report) {
        if !self.hosts.contains_key(host) && self.hosts.len() >= MAX_HOSTS {
            self.drop_longest_silent();
        }
        let host = self.hosts.entry(host.to_owned()).or_insert_with(|| Host {
            heard: now,
            report: report.clone(),
            ended: Vec::new(),
        });
        host.heard = now;
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

    /// Decides which of the requests listed by an endpoint may be cancelled now.
    ///
    /// `listed` is the time at which the listing arrived. The log must have been read up to its
    /// tail after that: there must be one moment, later than the start of every listed request, at
    /// which the host had neither a lease nor an acknowledged heartbeat. Without such a moment the
    /// host may have moved from one to the other without a gap.
    ///
    /// `since` is the time from which this host coordinates the endpoint, and not before the start
    /// of its process: silence counts from there at the earliest, since hosts sent their heartbeats
    /// to another host before. Texts that are no request ids are left alone.
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
        let heard = host.map_or(since, |host| host.heard.max(since));
        let silent = moment.since(heard) >= self.limits.drift.safe_wait(self.limits.silence);
        let expired = lease.expired(since, &self.limits);
        (moment >= listed && silent && expired).then_some(Cause::HostSilent)
    }

    fn drop_longest_silent(&mut self) {
        let oldest = self.hosts.iter().min_by_key(|(_, host)| host.heard);
        let name = oldest.map(|(name, _)| name.clone());
        name.and_then(|name| self.hosts.remove(&name));
    }
}
