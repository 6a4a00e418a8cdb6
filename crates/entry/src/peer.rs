//! Reports between hosts over UDP, and the periodic maintenance of what they carry.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::rounds::Round;
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;

use crate::contact::is_overdue;
use crate::extension::{self, Demand};
use crate::gossip::{MIN_REPORT_INTERVAL, Report, next_report, report_interval};
use crate::ledger::{Grant, Run};
use crate::platform::{Dialect, Store};
use crate::state::{Host, now};
use crate::strikes::Fingerprint;
use crate::suspects::Source;
use crate::{admission, findings, follow, records, versions};

/// Maximum size of a report in bytes; a datagram on Ethernet carries about this much unfragmented.
const MAX_REPORT_BYTES: usize = 8 * 1_024;
/// Minimum interval between reports to the leader, so that a burst of changes goes into one report.
const REPORT_DEBOUNCE_TIME: Duration = Duration::from_millis(20);
/// Interval of the periodic maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Milliseconds since an event; `u64::MAX` before the first one.
pub(crate) fn millis_since(event: Option<Instant>) -> u64 {
    event.map_or(u64::MAX, |at| now().since(at).as_millis() as u64)
}

/// Age of the endpoint entries in milliseconds; `u64::MAX` before the first read.
pub(crate) fn entries_age_ms<D, S>(host: &Host<D, S>) -> u64 {
    millis_since(host.refresh.get().confirmed_at())
}

/// Receives and applies reports of peers.
pub(crate) async fn receive<D: Dialect, S: Store>(host: Rc<Host<D, S>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_REPORT_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A closed port at a peer is reported as an error of this socket.
                tracing::debug!(%error, "peer: receiving a report failed; retrying");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let Ok((report, rest)) = Report::split(&buffer[..length]) else {
            tracing::warn!(%from, "peer: malformed report dropped");
            continue;
        };
        let is_new = !host.view.borrow().knows(from, report.incarnation);
        if report.incarnation != host.incarnation {
            // What it says is ordered by positions and ages of its own, so a report that was overtaken does
            // no harm.
            let (extension, demand) = extension::decode(rest);
            extension::apply(&host, from, extension);
            extension::apply_demand(&host, from, demand);
        }
        apply_report(&host, from, report);
        // The newcomer may have started after this host introduced itself, and would otherwise not hear
        // from it for a whole report interval.
        if is_new && host.hosts_known.get() {
            match encode(&host, true) {
                Ok(bytes) => send(&socket, &bytes, from),
                Err(error) => {
                    tracing::error!(%error, "peer: report could not be encoded; the newcomer gets the next one");
                }
            }
        }
    }
}

/// Encodes the current report with the next sequence number.
fn encode<D, S>(host: &Host<D, S>, full: bool) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let sequence = host.report_sequence.get() + 1;
    host.report_sequence.set(sequence);
    let mut bytes = rmp_serde::to_vec(&current_report(host, sequence, full))?;
    let extension = extension::current(host);
    let demand = if full {
        extension::current_demand(host)
    } else {
        Demand::default()
    };
    bytes.extend(extension::encode(&extension, &demand)?);
    Ok(bytes)
}

/// Applies the report of a peer; reports of this host itself are ignored.
fn apply_report<D: Dialect, S: Store>(host: &Rc<Host<D, S>>, from: SocketAddr, report: Report) {
    let now = now();
    if report.incarnation == host.incarnation {
        return;
    }
    if host.view.borrow().has_passed(now, from, &report) {
        return;
    }
    {
        let mut ledger = host.ledger.borrow_mut();
        for (_, grant) in report.endpoints.iter().flat_map(|(_, runs)| runs) {
            ledger.settle(*grant);
        }
    }
    {
        let mut orders = host.orders.borrow_mut();
        for order in &report.orders {
            orders.apply(now, order.clone());
            if let Some((_, endpoint)) = host.directory.borrow().find(&order.endpoint) {
                orders.observe(&endpoint);
            }
        }
    }
    for (request, endpoint) in &report.strikes {
        let request = Fingerprint(*request);
        host.strikes
            .borrow_mut()
            .strike(now, request, endpoint, false);
    }
    for crash in &report.crashes {
        host.learn_crash(now, crash, Source::Peer);
    }
    for limit in &report.limits {
        if host.limits.borrow_mut().apply(now, limit) {
            tracing::info!(
                endpoint = limit.endpoint,
                per_s = limit.rate,
                peer = %from,
                "limit: peer reports how many requests an endpoint takes"
            );
        }
    }
    for clearance in &report.cleared {
        host.suspects.borrow_mut().clear(now, *clearance);
    }
    let Some(delta) = host.view.borrow_mut().apply(now, from, report) else {
        return;
    };
    for (customer, tokens) in &delta.customers {
        host.quotas
            .borrow_mut()
            .admitted_elsewhere(now, delta.since, customer, *tokens);
    }
    for (service, count) in &delta.services {
        host.budgets
            .borrow_mut()
            .counted_elsewhere(now, service, *count);
    }
    host.peers_changed.set(true);
    if host
        .waitlists
        .borrow()
        .values()
        .any(|waitlist| !waitlist.is_empty())
    {
        host.capacity_freed.notify_one();
    }
}

/// Sends reports: to all peers in each period, to the leader whenever a reservation is made or
/// released, and as the leader to the standbys.
pub(crate) async fn report<D: Dialect, S: Store>(host: Rc<Host<D, S>>, socket: Rc<UdpSocket>) {
    let phase = rand::rng().random_range(0.0..1.0);
    let own = SocketAddr::new(host.options.address, host.options.listen.peer_port);
    let mut due = now();
    let mut standbys_due = due;
    loop {
        let leader = admission::leader(&host);
        let is_urgent = host.full_report_due.replace(false);
        let to_all = is_urgent || now() >= due;
        let to_standbys = leader.is_none() && now() >= standbys_due;
        let receivers = if to_all {
            let peers: Vec<SocketAddr> = host.view.borrow().addresses().collect();
            due = next_report(now(), peers.len(), phase);
            let interval = report_interval(peers.len());
            let round = Round::new(own, peers, leader, interval);
            if round.batches().nth(1).is_some() {
                let sending = send_round(Rc::clone(&host), Rc::clone(&socket), round, is_urgent);
                actix_rt::spawn(sending);
                Vec::new()
            } else {
                round.batches().flatten().copied().collect()
            }
        } else if to_standbys {
            host.view.borrow().standbys(now(), own)
        } else {
            leader.into_iter().collect()
        };
        let full = to_all || to_standbys;
        if full {
            host.order_page.set(host.order_page.get() + 1);
            standbys_due = now() + MIN_REPORT_INTERVAL;
        }
        if !receivers.is_empty() {
            match encode(&host, full) {
                Ok(bytes) => {
                    for receiver in receivers {
                        send(&socket, &bytes, receiver);
                    }
                }
                Err(error) => {
                    tracing::error!(%error, "peer: report could not be encoded; skipped until the next change");
                }
            }
        }
        tokio::time::sleep(REPORT_DEBOUNCE_TIME).await;
        let pause = if leader.is_none() {
            due.min(standbys_due)
        } else {
            due
        };
        // `Notify` stores a permit for a change during the sleep above.
        drop(tokio::time::timeout(pause.since(now()), host.load_changed.notified()).await);
    }
}

/// Sends a report to all peers. Each batch gets the latest one: loads of endpoints are old after a tenth of a second.
async fn send_round<D, S>(
    host: Rc<Host<D, S>>,
    socket: Rc<UdpSocket>,
    mut round: Round<SocketAddr>,
    is_urgent: bool,
) {
    if is_urgent && let Ok(bytes) = encode(&host, true) {
        round = round.urgent(bytes.len());
    }
    for (number, batch) in round.batches().enumerate() {
        if number > 0 {
            tokio::time::sleep(round.pause()).await;
        }
        let bytes = match encode(&host, true) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(%error, "peer: report could not be encoded; these peers get the next one");
                continue;
            }
        };
        for receiver in batch {
            send(&socket, &bytes, *receiver);
        }
    }
}

fn send(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    // The next report supersedes a lost one.
    if let Err(error) = socket.try_send_to(bytes, peer) {
        tracing::debug!(%peer, %error, "peer: report could not be sent; the next one supersedes it");
    }
}

/// Updates the ledger with the load that peers reported, if a report arrived since the last update.
pub(crate) fn refresh_peer_load<D, S>(host: &Host<D, S>) {
    if !host.peers_changed.replace(false) {
        return;
    }
    let view = host.view.borrow();
    let directory = host.directory.borrow();
    let runs = view
        .runs(now())
        .filter_map(|(id, run)| Some((directory.key(id)?, run)));
    host.ledger.borrow_mut().replace_peers(runs);
}

/// Builds the current report. The partial one, for the leader at each change, lacks the totals:
/// those of all customers from hundreds of hosts would saturate the leader's link.
fn current_report<D, S>(host: &Host<D, S>, sequence: u64, full: bool) -> Report {
    let mut report = Report::new(host.incarnation, sequence);
    report.configuration = host
        .fleet
        .borrow()
        .as_ref()
        .map_or(0, |fleet| fleet.version);
    report.store_age_ms = millis_since(host.store_answered.get());
    report.entries_age_ms = entries_age_ms(host);
    report.leaving = host.is_stopping();
    report.is_able = host.is_able();
    report.uptime_ms = host.uptime(now()).as_millis() as u64;
    report.partial = !full;
    if full {
        add_totals(host, &mut report);
    }
    report.strikes = host
        .strikes
        .borrow()
        .report(now())
        .map(|(request, endpoint)| (request.0, endpoint.to_owned()))
        .collect();
    {
        let suspects = host.suspects.borrow();
        // One host is enough to tell those that have restarted.
        let with_implicating = full && admission::leader(host).is_none();
        report.crashes = suspects.report(now(), with_implicating);
        report.cleared = suspects.report_cleared(now());
    }
    report.limits = host.limits.borrow().report(now());
    let page = host.order_page.get();
    let peers = host.view.borrow().addresses().count();
    report.orders = host.orders.borrow().report_page(now(), page, peers);
    let directory = host.directory.borrow();
    let mut endpoints: HashMap<&str, Vec<(Run, Grant)>> = HashMap::new();
    let ledger = host.ledger.borrow();
    for (key, run, grant) in ledger.report() {
        let Some(endpoint) = directory.get(key) else {
            continue;
        };
        endpoints
            .entry(&endpoint.id)
            .or_default()
            .push((run, grant));
    }
    report.endpoints = endpoints
        .into_iter()
        .map(|(id, runs)| (id.to_owned(), runs))
        .collect();
    report
}

/// Adds the totals of customers and services to a report.
fn add_totals<D, S>(host: &Host<D, S>, report: &mut Report) {
    let quotas = host.quotas.borrow();
    report.customers = quotas
        .report()
        .map(|(name, total)| (name.to_owned(), total))
        .collect();
    let budgets = host.budgets.borrow();
    let services = budgets.report();
    report.services = services
        .map(|(name, count)| (name.to_owned(), count.requests, count.retries))
        .collect();
}

/// Runs the maintenance periodically: expires unreachable peers and other old state, and queries a
/// peer for records while the store is unreachable or a peer has a newer configuration.
pub(crate) async fn run_maintenance<D: Dialect, S: Store>(host: Rc<Host<D, S>>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        maintain(&host).await;
    }
}

/// Names the hosts that can relay connections to endpoints. The order is random, so that hosts without links
/// do not all begin with the same peer.
fn replace_relays<D, S>(host: &Host<D, S>) {
    let mut relays: Vec<SocketAddr> = {
        let view = host.view.borrow();
        let live = view.live(now()).filter(|(_, report)| !report.leaving);
        let places = host.places.borrow();
        let relays = live.map(|(address, _)| address);
        relays
            .filter(|address| places.may_relay(*address))
            .collect()
    };
    relays.shuffle(&mut rand::rng());
    host.pool.paths().replace_relays(relays);
}

async fn maintain<D: Dialect, S: Store>(host: &Rc<Host<D, S>>) {
    findings::write_if_changed(host);
    versions::observe(host);
    let now = now();
    let (unreachable, known) = {
        let mut view = host.view.borrow_mut();
        view.expire(now);
        view.count_unreachable(now)
    };
    // The load of peers that no longer report expires as well.
    host.peers_changed.set(true);
    host.count_hosts(now);
    host.budgets
        .borrow_mut()
        .set_hosts(known + 1, unreachable, report_interval(known) * 2);
    let connection_limit = host
        .fleet
        .borrow()
        .as_ref()
        .and_then(|fleet| fleet.min_connection_limit());
    if let Some(connection_limit) = connection_limit {
        host.pool
            .set_idle_limit(connection_limit as usize / (known + 1));
    }
    host.pool.evict_expired();
    replace_relays(host);
    host.ledger.borrow_mut().expire(now);
    host.backlogs.borrow_mut().expire(now);
    host.orders.borrow_mut().expire(now);
    host.suspects.borrow_mut().expire(now);
    {
        let directory = host.directory.borrow();
        let is_known = |id: &str| directory.key(id).is_some();
        host.limits.borrow_mut().expire(now, is_known);
    }
    host.trials.borrow_mut().expire(now);
    host.returns.borrow_mut().expire(now);
    {
        let view = host.view.borrow();
        let known: HashSet<SocketAddr> = view.addresses().collect();
        let is_known = |peer: &SocketAddr| known.contains(peer);
        host.contention.borrow_mut().expire(now, is_known);
    }
    host.prefixes.borrow_mut().expire(now);
    host.denials.borrow_mut().retain(|_, until| *until > now);
    host.saturation.borrow_mut().expire(now);
    host.leader_cooldowns
        .borrow_mut()
        .retain(|_, until| *until > now);
    let expired = host.directory.borrow_mut().expire(now);
    if !expired.is_empty() {
        follow::prune_entries(host);
    }
    for change in expired {
        host.directory_changed(change);
    }
    let period = host.refresh.get().period();
    let is_store_overdue = is_overdue(now, host.store_answered.get(), period);
    let answers_peers = host.view.borrow().is_store_reachable(now, period);
    let mut outage = host.outage.get();
    outage.observe(now, is_store_overdue, answers_peers);
    host.outage.set(outage);
    records::fetch_newer(host, is_store_overdue).await;
}
