//! Guards against connections that are asked of peers which cannot relay them.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::relay::Relays;

const START: Instant = Instant::from_millis(10_000);

#[test]
fn a_peer_that_failed_is_passed_over_for_a_while() {
    let mut relays = Relays::default();
    relays.replace(START, vec!["a", "b"]);
    assert_eq!(relays.first(START), Some("a"));
    relays.failed(START, "a");
    assert_eq!(relays.first(START), Some("b"));
    relays.failed(START, "b");
    assert_eq!(relays.first(START), None);
    assert_eq!(relays.first(START + Duration::from_secs(2)), Some("a"));
}

#[test]
fn a_new_order_of_the_peers_does_not_end_a_cooldown() {
    let mut relays = Relays::default();
    relays.replace(START, vec!["a", "b"]);
    relays.failed(START, "a");
    relays.replace(START, vec!["a", "b"]);
    assert_eq!(relays.first(START), Some("b"));
}
