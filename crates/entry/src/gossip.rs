//! Gossip between hosts: periodic reports, and each host's view of its peers.
//!
//! A report carries totals since the sender's start, so the next report makes up for a lost datagram
//! and a duplicate has no effect.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::io::Cursor;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use serde::{Deserialize, Serialize};

use crate::budget::Count;
use crate::ledger::{Grant, Run};
use crate::limits::Limit;
use crate::orders::Order;
use crate::readers;
use crate::suspects::{Clearance, Crash};

/// Format version of reports; reports of other versions are dropped.
const VERSION: u8 = 3;
/// Failure detector timeout: a peer without a report for this time counts as unreachable.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Failure detector timeout per known peer, since reports are less frequent with many peers. The larger
/// timeout applies.
const TIMEOUT_PER_PEER: Duration = Duration::from_millis(55);
/// Interval between reports with few peers. It bounds how late the other hosts learn of a reservation,
/// which is held for seconds.
pub(crate) const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(120);
/// Largest rate of reports sent by a host; with many peers the interval grows.
const MAX_REPORTS_PER_S: f64 = 60.0;
/// Time without a report after which a peer's share of the customers' limits counts as used by it, with
/// few peers.
const OVERDUE_TIMEOUT: Duration = Duration::from_millis(500);
/// Tolerated delay of a report with many peers.
const DELAY_TOLERANCE: Duration = Duration::from_millis(150);
/// Window in which received and missing reports are counted to detect a partition, as a share of the
/// report interval.
const SAMPLE_WINDOW_SHARE: f64 = 0.4;
/// Smallest such window.
const MIN_SAMPLE_WINDOW: Duration = Duration::from_millis(300);
/// Fewest reports missing in the window that indicate a partition.
const MIN_MISSING_REPORTS: u32 = 3;
/// Smallest share of reports missing in the window that indicates a partition; lossy links drop a few
/// percent.
const MIN_MISSING_SHARE: f64 = 0.15;
/// Consecutive missing reports, of all peers together, after which a host considers itself isolated;
/// 0.27 s with sixty hosts.
const ISOLATED_AFTER_MISSING: f64 = 16.0;
/// Time without a report after which a peer is removed. It exceeds the longest partition that
/// deployments test (12 s), during which the peer still admits requests.
pub const PEER_RETENTION: Duration = Duration::from_secs(20);
/// Time without a report after which a peer's requests no longer count as load.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Time after the start in which a host hears from all peers that run: hosts that restart together do
/// so within 0.3 s.
pub(crate) const INTRODUCTION_TIME: Duration = Duration::from_millis(500);
/// Largest share of announced hosts without a report that are taken for removed ones.
const MAX_REMOVED_SHARE: f64 = 0.25;
/// Longest delay of a report that is not lost. A process that started later than this before the last report
/// of another one at its address, or later, has followed it.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Largest number of former incarnations that are kept of a peer.
const MAX_FORMER: usize = 4;
/// Largest number of peers; further ones are ignored.
const MAX_PEERS: usize = 1_024;

/// How far a host is able to act as leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// It does not know the endpoints yet, or it is shutting down.
    #[default]
    Unable,
    /// It started recently and may not know the reservations of its peers.
    Provisional,
    /// It has received peers' reports for long enough to know their reservations.
    Full,
}

/// Time after the start before a host may lead without reserve, so that it has received several
/// reports of each peer and knows their reservations.
const LEADER_WARM_UP: Duration = Duration::from_millis(2_500);

impl Rank {
    /// Rank of a host that has run for `uptime`.
    #[must_use]
    pub fn new(is_able: bool, uptime: Duration) -> Self {
        match (is_able, uptime >= LEADER_WARM_UP) {
            (false, _) => Self::Unable,
            (true, false) => Self::Provisional,
            (true, true) => Self::Full,
        }
    }
}

/// Report of a host.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Format version.
    pub version: u8,
    /// Incarnation of the sender; it grows with each restart, unless the clock of its host was set back.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// Version of the sender's current configuration.
    pub configuration: u64,
    /// Age of the last answer that the sender got from the store, in milliseconds.
    pub store_age_ms: u64,
    /// Age of the sender's endpoint entries, in milliseconds; `u64::MAX` before the first read.
    pub entries_age_ms: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Whether the sender knows the endpoints and so is able to act as leader.
    pub is_able: bool,
    /// Time since the start of the sender, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the totals of customers and services are omitted; those of the previous report remain
    /// valid.
    pub partial: bool,
    /// Tokens admitted since the start, less refunds, by customer.
    pub customers: Vec<(String, i64)>,
    /// Requests and retries since the start, by service.
    pub services: Vec<(String, u64, u64)>,
    /// Recent strikes: fingerprint of the request, and the endpoint that aborted it.
    pub strikes: Vec<(u64, String)>,
    /// Recent crashes of engines during runs of the sender that had no event yet.
    pub crashes: Vec<Crash>,
    /// Prompt parts that the sender has recently cleared of crashes.
    pub cleared: Vec<Clearance>,
    /// Limits on requests that endpoints have recently stated to the sender.
    pub limits: Vec<Limit>,
    /// Orders to engines that are not known to be complete for all hosts.
    pub orders: Vec<Order>,
    /// Running requests with their grants, by endpoint.
    pub endpoints: Vec<(String, Vec<(Run, Grant)>)>,
}

/// Interval between reports to all of `peers` peers.
#[must_use]
pub fn report_interval(peers: usize) -> Duration {
    MIN_REPORT_INTERVAL.max(Duration::from_secs_f64(peers as f64 / MAX_REPORTS_PER_S))
}

/// Time of the next report to all peers. `phase` is a random number in 0..1 that a host keeps for its
/// lifetime: without it, hosts that started together would all report at the same time and look
/// unreachable in between.
#[must_use]
pub fn next_report(now: Instant, peers: usize, phase: f64) -> Instant {
    let period = report_interval(peers).as_millis() as u64;
    let offset = (phase * period as f64) as u64 % period;
    let rounds = (now.as_millis() + period - offset) / period;
    Instant::from_millis(rounds * period + offset)
}

/// Difference in staleness up to which peers count as equally fresh; the interval between two reads of
/// the endpoints' entries.
const FRESHNESS_TOLERANCE: Duration = Duration::from_secs(2);
/// Standbys of the leader, which get its reports at the minimum interval, so that the one that takes
/// over knows the most recent grants.
pub const STANDBYS: usize = 3;

/// The datagram is not a report of the current format version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed report or unsupported format version")]
pub struct Malformed;

impl Report {
    /// Creates an empty report of the current format version.
    #[must_use]
    pub const fn new(incarnation: u64, sequence: u64) -> Self {
        Self {
            version: VERSION,
            incarnation,
            sequence,
            configuration: 0,
            store_age_ms: 0,
            entries_age_ms: u64::MAX,
            leaving: false,
            is_able: false,
            uptime_ms: 0,
            partial: false,
            customers: Vec::new(),
            services: Vec::new(),
            strikes: Vec::new(),
            crashes: Vec::new(),
            cleared: Vec::new(),
            limits: Vec::new(),
            orders: Vec::new(),
            endpoints: Vec::new(),
        }
    }
}

impl Report {
    /// Decodes the report at the start of a datagram; returns what follows it too.
    ///
    /// # Errors
    /// Fails when the datagram does not begin with a report of the current format version.
    pub fn split(bytes: &[u8]) -> Result<(Self, &[u8]), Malformed> {
        let mut cursor = Cursor::new(bytes);
        let report: Self = rmp_serde::from_read(&mut cursor).map_err(|_| Malformed)?;
        if report.version != VERSION {
            return Err(Malformed);
        }
        let end = usize::try_from(cursor.position()).map_err(|_| Malformed)?;
        Ok((report, bytes.get(end..).unwrap_or_default()))
    }
}

impl TryFrom<&[u8]> for Report {
    type Error = Malformed;

    fn try_from(bytes: &[u8]) -> Result<Self, Malformed> {
        Ok(Self::split(bytes)?.0)
    }
}

/// Difference between a report and the previous one of its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Time of the previous totals; the differences have come about since.
    pub since: Option<Instant>,
    /// Tokens admitted since the previous report, by customer; negative after refunds.
    pub customers: Vec<(String, i64)>,
    /// Counts since the previous report, by service.
    pub services: Vec<(String, Count)>,
}

#[derive(Clone, Debug)]
struct Peer {
    last_report_at: Option<Instant>,
    /// Time of the last report that carried totals.
    totals_at: Option<Instant>,
    added: Instant,
    /// Start of its process, by the clock of this host.
    started: Instant,
    /// Whether it has announced itself in the store, so that it exists or existed.
    announced: bool,
    report: Report,
    /// Incarnations that others have followed, the last one at the end.
    former: Vec<u64>,
}

impl Peer {
    /// Whether a report is not newer than the last one: it was sent before, or by a former process.
    fn has_passed(&self, now: Instant, report: &Report) -> bool {
        let known = &self.report;
        if report.incarnation == known.incarnation {
            return report.sequence <= known.sequence;
        }
        if self.former.contains(&report.incarnation) {
            return true;
        }
        let is_lower = report.incarnation < known.incarnation;
        let started = start(now, report);
        let last_report_at = self.last_report_at.unwrap_or_default();
        is_lower && started + MAX_REPORT_DELAY < last_report_at
    }
}

/// Start of the process that sent a report, by the clock of this host.
fn start(now: Instant, report: &Report) -> Instant {
    Instant::from_millis(now.as_millis().saturating_sub(report.uptime_ms))
}

/// Membership view: all known peers of this host.
#[derive(Debug, Default)]
pub struct View {
    peers: HashMap<SocketAddr, Peer>,
}

impl View {
    /// Adds a possible peer that has not reported yet; ignored beyond the largest number of peers.
    pub fn add(&mut self, now: Instant, address: SocketAddr) {
        if self.peers.len() >= MAX_PEERS {
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            last_report_at: None,
            totals_at: None,
            added: now,
            started: now,
            announced: false,
            report: Report::new(0, 0),
            former: Vec::new(),
        });
    }

    /// Adds a peer that has announced itself in the store. Until its first report it counts as
    /// unreachable: hosts that lost their state together would otherwise each use all of the
    /// customers' limits.
    pub fn add_announced(&mut self, now: Instant, address: SocketAddr) {
        self.add(now, address);
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.announced = true;
        }
    }

    /// Whether the last report of the peer at `address` came from the same start of its process.
    #[must_use]
    pub fn knows(&self, address: SocketAddr, incarnation: u64) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| peer.report.incarnation == incarnation)
    }

    /// Whether a report is not newer than the last one of its sender, so that none of its findings count: their
    /// ages are those at the time of sending.
    #[must_use]
    pub fn has_passed(&self, now: Instant, from: SocketAddr, report: &Report) -> bool {
        let peer = self.peers.get(&from);
        peer.is_some_and(|peer| peer.has_passed(now, report))
    }

    /// Applies a report; `None` if it is not newer than the last one of its sender, or if it is partial
    /// and its base is unknown.
    pub fn apply(&mut self, now: Instant, from: SocketAddr, mut report: Report) -> Option<Delta> {
        self.add(now, from);
        let peer = self.peers.get_mut(&from)?;
        if peer.has_passed(now, &report) {
            return None;
        }
        let known = &peer.report;
        if report.partial {
            if known.incarnation != report.incarnation {
                // The totals of another incarnation do not apply.
                return None;
            }
            report.customers.clone_from(&known.customers);
            report.services.clone_from(&known.services);
        }
        let first = known.incarnation == 0;
        let same_start = known.incarnation == report.incarnation;
        let mut delta = Delta {
            since: peer.totals_at,
            ..Delta::default()
        };
        // The first totals of a new peer cover the time before this host knew it and are not counted.
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
                let (seen_requests, seen_retries) =
                    before.map_or((0, 0), |(_, requests, retries)| (*requests, *retries));
                let count = Count {
                    requests: requests.saturating_sub(seen_requests),
                    retries: retries.saturating_sub(seen_retries),
                };
                if count != Count::default() {
                    delta.services.push((service.clone(), count));
                }
            }
        }
        peer.started = start(now, &report);
        if !first && !same_start {
            peer.former.push(peer.report.incarnation);
            let surplus = peer.former.len().saturating_sub(MAX_FORMER);
            peer.former.drain(..surplus);
        }
        if !report.partial {
            peer.totals_at = Some(now);
        }
        peer.report = report;
        peer.last_report_at = Some(now);
        Some(delta)
    }

    /// Removes peers that have shut down or have been unreachable for long.
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            let since = now.since(peer.last_report_at.unwrap_or(peer.added));
            let has_left = peer.report.leaving && since >= PEER_TIMEOUT;
            !has_left && since < PEER_RETENTION
        });
    }

    /// Addresses of all known peers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.keys().copied()
    }

    /// Whether the store answered any live peer within `within` before the peer's report.
    #[must_use]
    pub fn is_store_reachable(&self, now: Instant, within: Duration) -> bool {
        let within = within.as_millis() as u64;
        let mut live = self.live(now);
        live.any(|(_, report)| report.store_age_ms <= within)
    }

    /// Last time at which the store answered a peer, also one that no longer reports.
    #[must_use]
    pub fn last_store_answer(&self) -> Option<Instant> {
        let answers = self.peers.values().filter_map(|peer| {
            let reported_at = peer.last_report_at?.as_millis();
            reported_at.checked_sub(peer.report.store_age_ms)
        });
        answers.max().map(Instant::from_millis)
    }

    /// Time at which the endpoint entries of the freshest live peer were current.
    #[must_use]
    pub fn freshest_entries(&self, now: Instant) -> Option<Instant> {
        self.entries(now).map(|(as_of, _)| as_of).max()
    }

    /// A random live peer (`draw` in 0..1) among those whose endpoint entries are at most `tolerance`
    /// older than the freshest ones.
    #[must_use]
    pub fn entries_source(
        &self,
        now: Instant,
        tolerance: Duration,
        draw: f64,
    ) -> Option<SocketAddr> {
        let freshest = self.freshest_entries(now)?;
        let mut sources: Vec<SocketAddr> = self
            .entries(now)
            .filter(|(as_of, _)| *as_of + tolerance >= freshest)
            .map(|(_, address)| address)
            .collect();
        sources.sort_unstable();
        let index = (draw * sources.len() as f64) as usize;
        sources.get(index.min(sources.len() - 1)).copied()
    }

    /// Times at which the endpoint entries of the live peers were current.
    fn entries(&self, now: Instant) -> impl Iterator<Item = (Instant, SocketAddr)> {
        self.live_peers(now).filter_map(|(address, peer)| {
            let reported_at = peer.last_report_at?.as_millis();
            let as_of = reported_at.checked_sub(peer.report.entries_age_ms)?;
            Some((Instant::from_millis(as_of), address))
        })
    }

    /// The peer that reads the endpoint entries for the host with the address `own`, a random one
    /// (`draw` in 0..1) of the readers; `None` if that host reads the store itself. The readers have the
    /// highest addresses, since the lowest one leads.
    #[must_use]
    pub fn reader(&self, now: Instant, own: SocketAddr, draw: f64) -> Option<SocketAddr> {
        let live = self.live(now).filter(|(_, report)| !report.leaving);
        let mut hosts: Vec<SocketAddr> = live.map(|(address, _)| address).collect();
        hosts.push(own);
        let count = readers::count(hosts.len())?;
        hosts.sort_unstable_by_key(|address| Reverse(*address));
        hosts.truncate(count);
        if hosts.contains(&own) {
            return None;
        }
        let index = (draw * hosts.len() as f64) as usize;
        hosts.get(index.min(hosts.len() - 1)).copied()
    }

    /// The peer to fetch records from: a random one (`draw` in 0..1) among the freshest peers with the
    /// newest configuration. The choice is random because a single peer ran out of memory when hundreds
    /// of hosts queried it. `None` if no peer has a newer configuration and `without_store` is false.
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
        let limit = freshest.saturating_add(FRESHNESS_TOLERANCE.as_millis() as u64);
        let fresh = sources.partition_point(|(age, _)| *age <= limit);
        let index = (draw * fresh as f64) as usize;
        Some(sources[index.min(fresh - 1)].1)
    }

    /// The peer that grants reservations for all hosts; `None` if the own host does, whose address is
    /// `own` and whose rank is `rank`. Peers for which `is_skipped` holds do not count.
    ///
    /// The leader is the host with the lowest address among those of full rank. When all hosts have
    /// started recently there is none, and the provisional host with the lowest address takes its place.
    /// Otherwise each host would decide for itself, and all of them together would exceed the
    /// customers' limits.
    #[must_use]
    pub fn leader(
        &self,
        now: Instant,
        own: IpAddr,
        rank: Rank,
        is_skipped: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let (peer_rank, peer) = self
            .ranks(now)
            .filter(|(rank, address)| *rank > Rank::Unable && !is_skipped(*address))
            .max_by_key(|(rank, address)| (*rank, Reverse(*address)))?;
        let is_behind = (peer_rank, Reverse(peer.ip())) > (rank, Reverse(own));
        is_behind.then_some(peer)
    }

    /// Ranks of the live peers. They follow from the start of each peer instead of its last report, so
    /// that all hosts see a change of rank at the same time.
    fn ranks(&self, now: Instant) -> impl Iterator<Item = (Rank, SocketAddr)> {
        self.live_peers(now).map(move |(address, peer)| {
            let is_able = peer.report.is_able && !peer.report.leaving;
            (Rank::new(is_able, now.since(peer.started)), address)
        })
    }

    /// Whether a live peer may act as leader without reserve.
    #[must_use]
    pub fn has_full_leader(&self, now: Instant) -> bool {
        self.ranks(now).any(|(rank, _)| rank == Rank::Full)
    }

    /// Addresses of the standbys of the leader `own`: the live peers with the next higher addresses.
    #[must_use]
    pub fn standbys(&self, now: Instant, own: SocketAddr) -> Vec<SocketAddr> {
        let live = self.live(now);
        let mut next: Vec<SocketAddr> = live
            .filter(|(address, report)| *address > own && !report.leaving)
            .map(|(address, _)| address)
            .collect();
        next.sort_unstable();
        next.truncate(STANDBYS);
        next
    }

    fn peer_timeout(&self) -> Duration {
        PEER_TIMEOUT.max(TIMEOUT_PER_PEER * self.peers.len() as u32)
    }

    /// Peers within the failure detector timeout, with their last reports.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Report)> {
        self.live_peers(now)
            .map(|(address, peer)| (address, &peer.report))
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let recent = now.since(peer.last_report_at?) < self.peer_timeout();
            recent.then_some((*address, peer))
        })
    }

    /// Number of unreachable peers and number of all peers, among those that have ever reported.
    #[must_use]
    pub fn count_unreachable(&self, now: Instant) -> (usize, usize) {
        let reports = self.peers.values().filter_map(|peer| peer.last_report_at);
        let (mut unreachable, mut known) = (0, 0);
        for reported_at in reports {
            known += 1;
            unreachable += usize::from(now.since(reported_at) >= self.peer_timeout());
        }
        (unreachable, known)
    }

    /// Time without a report after which a peer's use of the limits is unknown.
    fn overdue_timeout(&self) -> Duration {
        OVERDUE_TIMEOUT.max(report_interval(self.peers.len()) + DELAY_TOLERANCE)
    }

    /// Number of announced peers that have not reported and may exist.
    ///
    /// Some announcements are those of removed hosts. Once the others have had the time to report, a
    /// small share of silent ones is taken for such; a larger share may be behind a partition.
    fn count_unheard(&self, now: Instant) -> u32 {
        let unheard = self
            .peers
            .values()
            .filter(|peer| peer.announced && peer.last_report_at.is_none());
        let (mut count, mut is_recent) = (0_u32, false);
        for peer in unheard {
            count += 1;
            is_recent |= now.since(peer.added) < INTRODUCTION_TIME;
        }
        let is_small = f64::from(count) <= self.peers.len() as f64 * MAX_REMOVED_SHARE;
        if is_small && !is_recent { 0 } else { count }
    }

    /// Number of hosts, this one included, and the share of them that is unreachable.
    ///
    /// With many peers it takes a second until all unreachable ones are overdue. Before that, the share
    /// of missing reports among those due recently is taken as an estimate for all hosts, and a host
    /// that receives no reports at all considers itself isolated.
    #[must_use]
    pub fn hosts(&self, now: Instant) -> (usize, f64) {
        let overdue_timeout = self.overdue_timeout();
        let reports = self.peers.values().filter_map(|peer| peer.last_report_at);
        let unheard = self.count_unheard(now);
        let window =
            MIN_SAMPLE_WINDOW.max(report_interval(self.peers.len()).mul_f64(SAMPLE_WINDOW_SHARE));
        let (mut known, mut overdue, mut shortest_age) = (0_u32, 0_u32, Duration::MAX);
        let (mut received, mut missing) = (0_u32, 0_u32);
        for age in reports.map(|reported_at| now.since(reported_at)) {
            known += 1;
            overdue += u32::from(age >= overdue_timeout);
            missing += u32::from(age >= overdue_timeout && age < overdue_timeout + window);
            received += u32::from(age < window);
            shortest_age = shortest_age.min(age);
        }
        known += unheard;
        overdue += unheard;
        let count = known as usize + 1;
        if known == 0 {
            return (count, 0.0);
        }
        let hosts = f64::from(known + 1);
        let isolated_after =
            report_interval(known as usize).mul_f64(ISOLATED_AFTER_MISSING / f64::from(known));
        if shortest_age > isolated_after {
            return (count, f64::from(known) / hosts);
        }
        let sample = f64::from(missing) / f64::from(received + missing).max(1.0);
        let is_significant = missing >= MIN_MISSING_REPORTS && sample >= MIN_MISSING_SHARE;
        let sample = if is_significant { sample } else { 0.0 };
        (count, sample.max(f64::from(overdue) / hosts))
    }

    /// Requests in the recent reports of peers, with endpoint ids.
    pub fn runs(&self, now: Instant) -> impl Iterator<Item = (&str, Run)> {
        self.peers
            .values()
            .filter(move |peer| {
                peer.last_report_at.is_some_and(|reported_at| {
                    now.since(reported_at) <= REPORT_LIFETIME.max(self.peer_timeout())
                })
            })
            .flat_map(|peer| &peer.report.endpoints)
            .flat_map(|(id, runs)| runs.iter().map(|(run, _)| (id.as_str(), *run)))
    }
}
