//! Reports between the hosts of the system, and what each host believes of its peers.
//!
//! A report carries totals since the sender's start, so a lost or repeated datagram changes nothing
//! that the next one does not repair.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use serde::{Deserialize, Serialize};

use crate::budget::Count;
use crate::ledger::{Grant, Run};

/// Version of the report; another one is ignored.
const VERSION: u8 = 1;
/// Time without a report after which a peer counts as not heard, with few peers.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_200);
/// The same for each peer, since reports are rarer with many.
const SILENT_PER_PEER: Duration = Duration::from_millis(55);
/// Pause between reports with few peers. An engine's place is held for seconds and found again in
/// this time by the other hosts.
pub(crate) const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(120);
/// Reports that a host sends per second at most; with more peers the pause grows.
const REPORTS_PER_S: f64 = 60.0;
/// Time without a report after which a peer's part of the customers' limits counts as used by it, with
/// few peers.
const OVERDUE_AFTER: Duration = Duration::from_millis(500);
/// Time by which a report may be late with many peers.
const LATE: Duration = Duration::from_millis(150);
/// Part of the pause between reports over which reports that came and reports that did not are
/// compared, and its smallest length.
const COMPARED_SHARE: f64 = 0.4;
const COMPARED: Duration = Duration::from_millis(300);
/// Reports and share of reports that must be missing in that time to show that a part of the hosts is
/// cut off; lossy links drop a few in a hundred.
const FEWEST_MISSING: u32 = 3;
const MISSING_SHARE: f64 = 0.15;
/// Reports of all peers that must be missing in a row until a host takes itself to be cut off from all
/// of them; 0.27 s with sixty hosts.
const MISSING_IN_A_ROW: f64 = 16.0;
/// Time without a report after which a peer is forgotten. It exceeds the longest partition that the
/// deployments rehearse (12 s), in which the peer goes on admitting requests.
pub const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);
/// Time for which the requests of a silent peer count still.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Peers that are remembered.
const PEERS: usize = 1_024;

/// Report of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Format version.
    pub version: u8,
    /// Number of the sender's start; a later start has a higher one.
    pub incarnation: u64,
    /// Number of the report since the start.
    pub sequence: u64,
    /// Version of the configuration in force.
    pub configuration: u64,
    /// Age of the sender's last answer from the store in milliseconds.
    pub store_age_ms: u64,
    /// Whether the sender stops.
    pub leaving: bool,
    /// Whether the sender has heard the others for long enough to give places.
    pub leads: bool,
    /// Whether the totals of customers and services are left out; those of the report before hold.
    pub partial: bool,
    /// Tokens admitted since the start, by customer.
    pub customers: Vec<(String, i64)>,
    /// Requests and repeated sends since the start, by service.
    pub services: Vec<(String, u64, u64)>,
    /// Recent strikes: fingerprint of the request, and the endpoint that broke it off.
    pub strikes: Vec<(u64, String)>,
    /// Requests now, by endpoint.
    pub endpoints: Vec<(String, Vec<(Run, Grant)>)>,
}

/// Pause between reports to all peers, by their number.
#[must_use]
pub fn report_interval(peers: usize) -> Duration {
    MIN_REPORT_INTERVAL.max(Duration::from_secs_f64(peers as f64 / REPORTS_PER_S))
}

/// Time of the next report to all peers. `phase` is a random number in 0..1 that a host keeps: hosts
/// that started together would otherwise all report at once and seem to be silent in between.
#[must_use]
pub fn next_report(now: Instant, peers: usize, phase: f64) -> Instant {
    let period = report_interval(peers).as_millis() as u64;
    let offset = (phase * period as f64) as u64 % period;
    let rounds = (now.as_millis() + period - offset) / period;
    Instant::from_millis(rounds * period + offset)
}

/// Difference in the age of the last answer of the store up to which peers know as much as each other;
/// the pause between two reads of the endpoints' entries.
const FRESH: Duration = Duration::from_secs(2);
/// Hosts next in line that the host which gives the places keeps informed as often as with few peers:
/// the one that takes over must know what was given out a moment before.
pub const STANDBYS: usize = 3;

/// A malformed report or one of another version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed report")]
pub struct Malformed;

impl Report {
    /// Makes a report of the current format.
    #[must_use]
    pub const fn new(incarnation: u64, sequence: u64) -> Self {
        Self {
            version: VERSION,
            incarnation,
            sequence,
            configuration: 0,
            store_age_ms: 0,
            leaving: false,
            leads: false,
            partial: false,
            customers: Vec::new(),
            services: Vec::new(),
            strikes: Vec::new(),
            endpoints: Vec::new(),
        }
    }
}

impl TryFrom<&[u8]> for Report {
    type Error = Malformed;

    fn try_from(bytes: &[u8]) -> Result<Self, Malformed> {
        let report: Self = rmp_serde::from_slice(bytes).map_err(|_| Malformed)?;
        if report.version == VERSION {
            Ok(report)
        } else {
            Err(Malformed)
        }
    }
}

/// What a report adds to what was known of its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Tokens admitted since the previous report, by customer; negative when some were given back.
    pub customers: Vec<(String, i64)>,
    /// Counts since the previous report, by service.
    pub services: Vec<(String, Count)>,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Option<Instant>,
    added: Instant,
    report: Report,
}

/// All peers of this host.
#[derive(Debug, Default)]
pub struct View {
    peers: HashMap<SocketAddr, Peer>,
}

impl View {
    /// Adds a peer that was announced; it is not heard yet.
    pub fn add(&mut self, now: Instant, address: SocketAddr) {
        if self.peers.len() >= PEERS {
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            heard: None,
            added: now,
            report: Report::new(0, 0),
        });
    }

    /// Applies a report; `None` if it is older than the last one of its sender.
    pub fn apply(&mut self, now: Instant, from: SocketAddr, mut report: Report) -> Option<Delta> {
        self.add(now, from);
        let peer = self.peers.get_mut(&from)?;
        let known = &peer.report;
        if (report.incarnation, report.sequence) <= (known.incarnation, known.sequence) {
            return None;
        }
        if report.partial {
            if known.incarnation != report.incarnation {
                // The totals of another start say nothing about this one.
                return None;
            }
            report.customers.clone_from(&known.customers);
            report.services.clone_from(&known.services);
        }
        let first = known.incarnation == 0;
        let same_start = known.incarnation == report.incarnation;
        let mut delta = Delta::default();
        // The totals of a peer that was not known before are history that this host was not part of.
        if !first {
            for (customer, total) in &report.customers {
                let before = same_start
                    .then(|| known.customers.iter().find(|(name, _)| name == customer))
                    .flatten()
                    .map_or(0, |(_, total)| *total);
                let added = total - before;
                if added != 0 {
                    delta.customers.push((customer.clone(), added));
                }
            }
            for (service, requests, retries) in &report.services {
                let before = same_start
                    .then(|| known.services.iter().find(|(name, _, _)| name == service))
                    .flatten();
                let (seen_requests, seen_repeats) =
                    before.map_or((0, 0), |(_, requests, retries)| (*requests, *retries));
                let count = Count {
                    requests: requests.saturating_sub(seen_requests),
                    retries: retries.saturating_sub(seen_repeats),
                };
                if count != Count::default() {
                    delta.services.push((service.clone(), count));
                }
            }
        }
        peer.report = report;
        peer.heard = Some(now);
        Some(delta)
    }

    /// Forgets peers that have been silent for long or that left.
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            let since = now.since(peer.heard.unwrap_or(peer.added));
            let gone = peer.report.leaving && since >= SILENT_AFTER;
            !gone && since < FORGOTTEN_AFTER
        });
    }

    /// Addresses to send reports to.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.keys().copied()
    }

    /// Whether the store answered any heard peer within that time before its report.
    #[must_use]
    pub fn is_answered(&self, now: Instant, within: Duration) -> bool {
        let within = within.as_millis() as u64;
        let mut heard = self.live(now);
        heard.any(|(_, report)| report.store_age_ms <= within)
    }

    /// The peer to ask for records: one of those with the newest configuration that the store answered a
    /// moment ago, by a random number in 0..1. When hundreds of hosts asked the same one it ran out of
    /// memory. `None` if no peer knows more than a host with this configuration.
    #[must_use]
    pub fn source(
        &self,
        now: Instant,
        configuration: u64,
        without_store: bool,
        draw: f64,
    ) -> Option<SocketAddr> {
        let known = |report: &Report| report.configuration > configuration || without_store;
        let newest = self
            .live(now)
            .filter(|(_, report)| known(report))
            .map(|(_, report)| report.configuration)
            .max()?;
        let mut sources: Vec<(u64, SocketAddr)> = self
            .live(now)
            .filter(|(_, report)| report.configuration == newest)
            .map(|(address, report)| (report.store_age_ms, address))
            .collect();
        sources.sort_unstable();
        let freshest = sources.first()?.0;
        let limit = freshest.saturating_add(FRESH.as_millis() as u64);
        let fresh = sources.partition_point(|(age, _)| *age <= limit);
        let index = (draw * fresh as f64) as usize;
        Some(sources[index.min(fresh - 1)].1)
    }

    /// Addresses of the deputies of a host that gives the places.
    #[must_use]
    pub fn standbys(&self, now: Instant, own: SocketAddr) -> Vec<SocketAddr> {
        let heard = self.live(now);
        let mut next: Vec<SocketAddr> = heard
            .filter(|(address, report)| *address > own && !report.leaving)
            .map(|(address, _)| address)
            .collect();
        next.sort_unstable();
        next.truncate(STANDBYS);
        next
    }

    fn silent_after(&self) -> Duration {
        SILENT_AFTER.max(SILENT_PER_PEER * self.peers.len() as u32)
    }

    /// Peers that are heard.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Report)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let recent = now.since(peer.heard?) < self.silent_after();
            recent.then_some((*address, &peer.report))
        })
    }

    /// Number of peers that were heard once and are silent now, and number of peers heard once.
    #[must_use]
    pub fn silent(&self, now: Instant) -> (usize, usize) {
        let known = self.peers.values().filter_map(|peer| peer.heard);
        let (mut silent, mut all) = (0, 0);
        for heard in known {
            all += 1;
            silent += usize::from(now.since(heard) >= self.silent_after());
        }
        (silent, all)
    }

    /// Time without a report after which a peer's use of the limits is not known.
    fn overdue_after(&self) -> Duration {
        OVERDUE_AFTER.max(report_interval(self.peers.len()) + LATE)
    }

    /// Number of the hosts, this one included, and the share of them that are not heard.
    ///
    /// With many peers it takes a second until all that are cut off are overdue. Before that the
    /// share of missing ones among the reports that were due a moment ago stands for all, and a
    /// host that hears nobody takes itself to be alone.
    #[must_use]
    pub fn hosts(&self, now: Instant) -> (usize, f64) {
        let overdue_after = self.overdue_after();
        let ages = self.peers.values().filter_map(|peer| peer.heard);
        let compared = COMPARED.max(report_interval(self.peers.len()).mul_f64(COMPARED_SHARE));
        let (mut known, mut overdue, mut quiet) = (0_u32, 0_u32, Duration::MAX);
        let (mut came, mut missing) = (0_u32, 0_u32);
        for age in ages.map(|heard| now.since(heard)) {
            known += 1;
            overdue += u32::from(age >= overdue_after);
            missing += u32::from(age >= overdue_after && age < overdue_after + compared);
            came += u32::from(age < compared);
            quiet = quiet.min(age);
        }
        let count = known as usize + 1;
        if known == 0 {
            return (count, 0.0);
        }
        let hosts = f64::from(known + 1);
        let most = report_interval(known as usize).mul_f64(MISSING_IN_A_ROW / f64::from(known));
        if quiet > most {
            return (count, f64::from(known) / hosts);
        }
        let sample = f64::from(missing) / f64::from(came + missing).max(1.0);
        let shows = missing >= FEWEST_MISSING && sample >= MISSING_SHARE;
        let sample = if shows { sample } else { 0.0 };
        (count, sample.max(f64::from(overdue) / hosts))
    }

    /// Requests that peers reported recently, by endpoint id.
    pub fn runs(&self, now: Instant) -> impl Iterator<Item = (&str, Run)> {
        self.peers
            .values()
            .filter(move |peer| {
                peer.heard.is_some_and(|heard| {
                    now.since(heard) <= REPORT_LIFETIME.max(self.silent_after())
                })
            })
            .flat_map(|peer| &peer.report.endpoints)
            .flat_map(|(id, runs)| runs.iter().map(|(run, _)| (id.as_str(), *run)))
    }
}
