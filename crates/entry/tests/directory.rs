//! Guards against endpoints that lag, lie, restart, or whose addresses are used again.

use berylknot_coordination::clock::Instant;
use berylknot_entry::directory::{Change, Directory, Endpoint, RETURN_TIME, State};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn endpoint(id: &str, incarnation: u64, sequence: u64) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: "counter".to_owned(),
        address: ([127, 0, 0, 1], 8_080).into(),
        data_centre: "north".to_owned(),
        slots: 6,
        state: State::Ready,
        stage: None,
        incarnation,
        sequence,
    }
}

#[test]
fn a_late_entry_does_not_bring_back_a_draining_endpoint() {
    let mut directory = Directory::default();
    directory.put(endpoint("a", 1, 5));
    let draining = Endpoint {
        state: State::Draining,
        ..endpoint("a", 1, 7)
    };
    assert!(matches!(directory.put(draining), Change::Changed(_)));
    assert_eq!(directory.put(endpoint("a", 1, 6)), Change::None);
    assert_eq!(directory.ready("counter").count(), 0);
}

#[test]
fn a_late_entry_does_not_bring_back_a_removed_endpoint() {
    let mut directory = Directory::default();
    directory.put(endpoint("a", 1, 5));
    assert!(matches!(directory.remove(at(0), "a"), Change::Removed(_)));
    assert_eq!(directory.put(endpoint("a", 1, 5)), Change::None);
    assert!(matches!(
        directory.put(endpoint("a", 1, 6)),
        Change::Started(_)
    ));
}

#[test]
fn a_restart_under_the_same_id_counts_as_a_start() {
    let mut directory = Directory::default();
    directory.put(endpoint("a", 1, 50));
    assert!(matches!(
        directory.put(endpoint("a", 2, 0)),
        Change::Started(_)
    ));
}

#[test]
fn the_later_start_owns_an_address() {
    let mut directory = Directory::default();
    directory.put(endpoint("a", 1, 5));
    directory.put(endpoint("b", 2, 0));
    let ids: Vec<&str> = directory
        .iter()
        .map(|(_, endpoint)| endpoint.id.as_str())
        .collect();
    assert_eq!(ids, ["b"]);
}

#[test]
fn entries_that_expired_in_an_outage_may_come_back_for_a_while() {
    let mut directory = Directory::default();
    directory.put(endpoint("a", 1, 5));
    directory.store_returned(at(1_000));
    assert_eq!(directory.remove(at(1_100), "a"), Change::None);
    assert_eq!(directory.ready("counter").count(), 1);
    directory.put(endpoint("a", 1, 6));
    assert!(
        directory.expire(at(1_000) + RETURN_TIME).is_empty(),
        "it came back in time"
    );
}

#[test]
fn entries_that_stay_away_after_an_outage_are_gone() {
    let mut directory = Directory::default();
    directory.put(endpoint("a", 1, 5));
    directory.store_returned(at(1_000));
    directory.remove(at(1_100), "a");
    assert_eq!(directory.expire(at(1_000) + RETURN_TIME).len(), 1);
    assert_eq!(directory.iter().count(), 0);
}

#[test]
fn a_complete_listing_removes_what_it_lacks() {
    let mut directory = Directory::default();
    directory.put(endpoint("a", 1, 5));
    let other = Endpoint {
        address: ([127, 0, 0, 1], 8_081).into(),
        ..endpoint("b", 1, 5)
    };
    directory.put(other);
    assert_eq!(directory.retain(at(0), |id| id == "b").len(), 1);
    assert!(directory.key("a").is_none());
}
