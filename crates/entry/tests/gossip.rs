//! Guards against wrong totals when reports are lost, duplicated, reordered, or come from an earlier
//! incarnation.

use std::net::SocketAddr;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_entry::budget::Count;
use berylknot_entry::gossip::{PEER_RETENTION, PEER_TIMEOUT, Report, View};

const PEER: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 2)),
    7_500,
);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn report(incarnation: u64, sequence: u64, tokens: i64) -> Report {
    let mut report = Report::new(incarnation, sequence);
    report.customers.push(("nursery".to_owned(), tokens));
    report
        .services
        .push(("counter".to_owned(), tokens.unsigned_abs() / 10, 0));
    report
}

fn apply_report(view: &mut View, now: u64, report: Report) -> Option<i64> {
    Some(
        view.apply(at(now), PEER, report)?
            .customers
            .first()
            .map_or(0, |(_, tokens)| *tokens),
    )
}

#[test]
fn totals_are_converted_to_deltas() {
    let mut view = View::default();
    assert_eq!(
        apply_report(&mut view, 0, report(1, 1, 500)),
        Some(0),
        "totals of the first report are not counted"
    );
    assert_eq!(apply_report(&mut view, 1, report(1, 2, 800)), Some(300));
    assert_eq!(
        apply_report(&mut view, 2, report(1, 4, 900)),
        Some(100),
        "the next report makes up for a lost one"
    );
}

#[test]
fn duplicate_and_reordered_reports_are_ignored() {
    let mut view = View::default();
    apply_report(&mut view, 0, report(1, 1, 0));
    apply_report(&mut view, 1, report(1, 3, 300));
    assert_eq!(apply_report(&mut view, 2, report(1, 3, 300)), None);
    assert_eq!(apply_report(&mut view, 3, report(1, 2, 200)), None);
}

#[test]
fn the_totals_of_a_restarted_peer_start_at_zero() {
    let mut view = View::default();
    apply_report(&mut view, 0, report(1, 9, 1_000));
    assert_eq!(apply_report(&mut view, 1, report(2, 1, 40)), Some(40));
    assert_eq!(
        apply_report(&mut view, 2, report(1, 10, 2_000)),
        None,
        "a report of an earlier incarnation is ignored"
    );
}

#[test]
fn refunded_tokens_give_a_negative_delta() {
    let mut view = View::default();
    apply_report(&mut view, 0, report(1, 1, 500));
    assert_eq!(apply_report(&mut view, 1, report(1, 2, 300)), Some(-200));
}

#[test]
fn service_counts_are_converted_to_deltas() {
    let mut view = View::default();
    view.apply(at(0), PEER, report(1, 1, 100));
    let delta = view.apply(at(1), PEER, report(1, 2, 150)).expect("new");
    assert_eq!(
        delta.services,
        [(
            "counter".to_owned(),
            Count {
                requests: 5,
                retries: 0
            }
        )]
    );
}

#[test]
fn a_peer_that_never_reported_does_not_count_as_unreachable() {
    let mut view = View::default();
    view.add(at(0), ([10, 0, 0, 3], 7_500).into());
    view.apply(at(0), PEER, report(1, 1, 0));
    assert_eq!(view.count_unreachable(at(1)), (0, 1));
    assert_eq!(view.count_unreachable(at(0) + PEER_TIMEOUT), (1, 1));
    view.expire(at(0) + PEER_RETENTION);
    assert_eq!(view.addresses().count(), 0);
}

#[test]
fn a_peer_that_shut_down_is_removed_after_the_timeout() {
    let mut view = View::default();
    let mut leaving = report(1, 1, 0);
    leaving.leaving = true;
    view.apply(at(0), PEER, leaving);
    view.expire(at(0) + PEER_TIMEOUT + Duration::from_millis(1));
    assert_eq!(view.addresses().count(), 0);
}

#[test]
fn malformed_datagrams_are_refused() {
    for bytes in [
        &b""[..],
        b"\x00",
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 64],
        &[0x99, 2, 0, 0, 0, 0, 0xc2, 0x90, 0x90, 0x90],
    ] {
        assert!(Report::try_from(bytes).is_err());
    }
}

#[test]
fn a_partial_report_keeps_the_previous_totals() {
    let mut view = View::default();
    apply_report(&mut view, 0, report(1, 1, 500));
    let mut partial = Report::new(1, 2);
    partial.partial = true;
    assert_eq!(apply_report(&mut view, 1, partial), Some(0));
    assert_eq!(apply_report(&mut view, 2, report(1, 3, 700)), Some(200));
    let mut restarted = Report::new(2, 1);
    restarted.partial = true;
    assert_eq!(apply_report(&mut view, 3, restarted), None);
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::new(std::net::Ipv4Addr::new(10, 0, 0, number).into(), 7_500)
}

/// A view of peers with the given configuration versions and ages of the store's last answer.
fn peers(reports: &[(u64, u64)]) -> View {
    let mut view = View::default();
    for (index, (configuration, store_age_ms)) in reports.iter().enumerate() {
        let mut report = Report::new(1, 1);
        report.configuration = *configuration;
        report.store_age_ms = *store_age_ms;
        view.apply(at(0), peer(index as u8), report);
    }
    view
}

#[test]
fn record_fetches_are_spread_over_the_freshest_peers() {
    let view = peers(&[(7, 100), (7, 900), (6, 0), (7, 60_000), (7, 500)]);
    let asked: std::collections::BTreeSet<SocketAddr> = (0..100)
        .filter_map(|draw| view.source(at(10), 5, false, f64::from(draw) / 100.0))
        .collect();
    assert_eq!(asked, [peer(0), peer(1), peer(4)].into());
}

#[test]
fn records_are_only_fetched_from_peers_with_newer_ones() {
    let view = peers(&[(7, 100), (7, 900)]);
    assert_eq!(view.source(at(10), 7, false, 0.5), None);
    assert!(view.source(at(10), 7, true, 0.5).is_some());
    assert_eq!(View::default().source(at(10), 0, true, 0.5), None);
}

fn announced(hosts: u8) -> View {
    let mut view = View::default();
    for host in 1..hosts {
        view.add_announced(at(0), peer(host));
    }
    view
}

#[test]
fn announcements_of_removed_hosts_do_not_lower_the_limits_for_long() {
    let mut view = announced(8);
    for host in 1..7 {
        view.apply(at(30), peer(host), Report::new(1, 1));
    }
    let (_, unreachable) = view.hosts(at(100));
    assert!(
        unreachable > 0.1,
        "the seventh may still report: {unreachable}"
    );
    for host in 1..7 {
        view.apply(at(490), peer(host), Report::new(1, 2));
    }
    let (_, unreachable) = view.hosts(at(501));
    assert!(unreachable == 0.0, "{unreachable}");
}

#[test]
fn a_host_that_starts_in_a_partition_does_not_take_the_others_for_removed() {
    let mut view = announced(8);
    view.apply(at(490), peer(1), Report::new(1, 1));
    let (_, unreachable) = view.hosts(at(501));
    assert!(unreachable > 0.7, "{unreachable}");
    let (_, alone) = announced(8).hosts(at(501));
    assert!(alone > 0.8, "{alone}");
}

/// A host whose clock was set back by seconds before it started again has a lower incarnation. Its reports
/// were dropped for 20 s, and its peers counted it as unreachable.
#[test]
fn a_peer_that_restarts_after_its_clock_was_set_back_is_heard() {
    let mut view = View::default();
    apply_report(&mut view, 0, report(5_000, 1, 0));
    apply_report(&mut view, 1_000, report(5_000, 9, 1_000));
    let mut restarted = report(3_000, 1, 40);
    restarted.uptime_ms = 10;
    assert_eq!(apply_report(&mut view, 1_500, restarted), Some(40));
    assert_eq!(
        apply_report(&mut view, 1_510, report(5_000, 10, 2_000)),
        None,
        "a late report of the process before is ignored"
    );
    let mut next = report(3_000, 2, 70);
    next.uptime_ms = 130;
    assert_eq!(apply_report(&mut view, 1_620, next), Some(30));
    assert_eq!(view.count_unreachable(at(1_700)), (0, 1));
}

/// A late report of a process that this host never heard must not pass for a restart.
#[test]
fn a_late_report_of_an_earlier_process_is_no_restart() {
    let mut view = View::default();
    let mut running = report(5_000, 1, 0);
    running.uptime_ms = 4_000;
    apply_report(&mut view, 4_000, running);
    let mut late = report(3_000, 8, 900);
    late.uptime_ms = 9_000;
    assert_eq!(apply_report(&mut view, 4_010, late), None);
    assert_eq!(
        apply_report(&mut view, 4_020, report(5_000, 2, 30)),
        Some(30)
    );
}
