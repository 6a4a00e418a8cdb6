//! Guards against hosts that copy all records from peers although the store answers them, and against
//! endpoints that are kept after they left because the store turned one host away.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_entry::contact::{Outage, is_overdue};

const PERIOD: Duration = Duration::from_millis(1_300);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn the_pause_between_calls_is_no_silence() {
    for age in [0, 900, 1_300, 1_600] {
        assert!(
            !is_overdue(at(10_000), Some(at(10_000 - age)), PERIOD),
            "{age} ms"
        );
    }
}

#[test]
fn a_missing_answer_is() {
    assert!(is_overdue(at(10_000), Some(at(8_000)), PERIOD));
    assert!(is_overdue(at(10_000), None, PERIOD));
}

/// Plays an outage of eight seconds that is looked at twice a second; the store answers peers from the
/// beginning, or from `peers_from` on.
fn outage(peers_from: u64) -> Outage {
    let mut outage = Outage::default();
    for now in (0..8_000).step_by(500) {
        outage.observe(at(now), now > 0, now >= peers_from);
    }
    outage
}

#[test]
fn an_outage_that_peers_do_not_have_is_the_hosts_own() {
    assert!(outage(0).is_own(at(8_000)));
}

#[test]
fn an_outage_of_the_store_is_not() {
    for peers_from in [6_500, 7_500, 9_000] {
        assert!(!outage(peers_from).is_own(at(8_000)), "{peers_from}");
    }
}

#[test]
fn peers_that_lose_the_store_as_well_end_it() {
    let mut outage = outage(0);
    outage.observe(at(8_000), true, false);
    assert!(!outage.is_own(at(9_000)));
}
