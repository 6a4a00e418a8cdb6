//! Guards against requests and bodies that leave the regions of their route and customer.

use std::collections::HashMap;
use std::net::SocketAddr;

use berylknot_entry::places::Places;

fn places() -> Places {
    let regions = [("a1", "east"), ("a2", "east"), ("b1", "west")];
    let regions = regions.map(|(at, region)| (at.to_owned(), region.to_owned()));
    Places::new(HashMap::from(regions), "a1")
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn homes_of_the_route_and_of_the_customer_both_bind() {
    let places = places();
    let (east, west, none) = (names(&["east"]), names(&["west"]), names(&[]));
    let both = names(&["east", "west"]);
    assert!(places.is_home([&none, &none], "b1"));
    assert!(places.is_home([&east, &none], "a2") && !places.is_home([&east, &none], "b1"));
    assert!(places.is_home([&both, &west], "b1") && !places.is_home([&both, &west], "a1"));
    assert!(!places.is_home([&east, &west], "a1") && !places.is_home([&east, &west], "b1"));
}

/// An endpoint of another writer may name any data centre, and a route any region.
#[test]
fn unknown_places_are_nobodys_home() {
    let places = places();
    assert!(!places.is_home([&names(&["east"]), &[]], "c1"));
    assert!(!places.is_home([&names(&["north"]), &[]], "a1"));
    assert!(places.is_home([&[], &[]], "c1"));
}

#[test]
fn bodies_are_relayed_within_their_region_only() {
    let mut places = places();
    let [near, far, unknown] = [1, 2, 3].map(|host| SocketAddr::from(([10, 0, 0, host], 7_500)));
    places.add_host(near, "east".to_owned());
    places.add_host(far, "west".to_owned());
    assert!(places.may_relay(near) && !places.may_relay(far) && !places.may_relay(unknown));
    assert_eq!(places.told_region(), Some("east"));
    // One region, or none in the settings: as before.
    let single = Places::new(HashMap::from([("a1".to_owned(), "east".to_owned())]), "a1");
    assert!(single.may_relay(unknown) && single.told_region().is_none());
    assert!(Places::default().may_relay(unknown));
}
