//! Guards against wrong endpoint states after late, reordered or expired entries, restarts and reused
//! addresses.

use berylknot_coordination::clock::Instant;
use berylknot_entry::directory::{Change, Directory, Endpoint, RECOVERY_GRACE, State};

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
        version: "v1".to_owned(),
        incarnation,
        sequence,
        cold: None,
    }
}

#[test]
fn a_late_entry_does_not_undo_draining() {
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
fn a_late_entry_does_not_restore_a_removed_endpoint() {
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
fn a_restart_under_the_same_id_is_reported_as_a_start() {
    let mut directory = Directory::default();
    directory.put(endpoint("a", 1, 50));
    assert!(matches!(
        directory.put(endpoint("a", 2, 0)),
        Change::Started(_)
    ));
}

#[test]
fn a_newer_endpoint_replaces_an_older_one_at_the_same_address() {
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
fn entries_expired_in_an_outage_may_be_written_again_within_the_grace_period() {
    let mut directory = Directory::default();
    directory.put(endpoint("a", 1, 5));
    directory.store_returned(at(1_000));
    assert_eq!(directory.remove(at(1_100), "a"), Change::None);
    assert_eq!(directory.ready("counter").count(), 1);
    directory.put(endpoint("a", 1, 6));
    assert!(
        directory.expire(at(1_000) + RECOVERY_GRACE).is_empty(),
        "the entry was written again within the grace period"
    );
}

#[test]
fn entries_still_missing_after_the_grace_period_are_removed() {
    let mut directory = Directory::default();
    directory.put(endpoint("a", 1, 5));
    directory.store_returned(at(1_000));
    directory.remove(at(1_100), "a");
    assert_eq!(directory.expire(at(1_000) + RECOVERY_GRACE).len(), 1);
    assert_eq!(directory.iter().count(), 0);
}

#[test]
fn a_complete_listing_removes_missing_entries() {
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
