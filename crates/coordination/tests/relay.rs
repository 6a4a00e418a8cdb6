//! Guards against connections that are asked of peers which cannot relay them.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::relay::Relays;

const START: Instant = Instant::from_millis(10_000);

#[test]
fn peers_take_turns() {
    let mut relays = Relays::default();
    relays.replace(START, vec!["a", "b", "c"]);
    let turns: Vec<_> = (0..6).filter_map(|_| relays.next(START)).collect();
    assert_eq!(turns, ["a", "b", "c", "a", "b", "c"]);
}

#[test]
fn a_peer_that_failed_is_passed_over_for_a_while() {
    let mut relays = Relays::default();
    relays.replace(START, vec!["a", "b"]);
    relays.failed(START, "a");
    assert_eq!([relays.next(START), relays.next(START)], [Some("b"); 2]);
    relays.failed(START, "b");
    assert!(relays.is_exhausted(START));
    assert_eq!(relays.next(START), None);
    let later = START + Duration::from_secs(2);
    assert!(!relays.is_exhausted(later) && relays.next(later).is_some());
}

#[test]
fn a_new_order_of_the_peers_does_not_end_a_cooldown() {
    let mut relays = Relays::default();
    relays.replace(START, vec!["a", "b"]);
    relays.failed(START, "a");
    relays.replace(START, vec!["a", "b"]);
    assert_eq!(relays.next(START), Some("b"));
}
