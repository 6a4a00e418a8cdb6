//! Guards against a request that crashes one endpoint after another, and against refusing requests that
//! were only running when another request crashed the endpoint.

use berylknot_coordination::clock::Instant;
use berylknot_entry::strikes::{Fingerprint, Strikes};

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

fn request(body: &str) -> Fingerprint {
    Fingerprint::of(Some("nursery"), "/stream/x", body.as_bytes())
}

#[test]
fn strikes_of_all_hosts_add_up_to_a_refusal() {
    let (mut one, mut two) = (Strikes::default(), Strikes::default());
    one.strike(at(0), request("bad"), "a", true);
    one.strike(at(1), request("bad"), "b", true);
    two.strike(at(2), request("bad"), "c", true);
    assert!(!one.is_refused(at(2), request("bad")));
    let reported: Vec<(Fingerprint, String)> = two
        .report(at(2))
        .map(|(request, endpoint)| (request, endpoint.to_owned()))
        .collect();
    for (request, endpoint) in reported {
        one.strike(at(2), request, &endpoint, false);
    }
    assert!(one.is_refused(at(2), request("bad")));
}

#[test]
fn an_endpoint_counts_once_and_other_requests_are_unaffected() {
    let mut strikes = Strikes::default();
    for second in 0..10 {
        strikes.strike(at(second), request("bad"), "a", true);
    }
    assert!(!strikes.is_refused(at(10), request("bad")));
    strikes.strike(at(10), request("bad"), "b", true);
    strikes.strike(at(10), request("bad"), "c", true);
    assert!(strikes.is_refused(at(10), request("bad")));
    assert!(!strikes.is_refused(at(10), request("good")));
}

#[test]
fn strikes_expire_and_their_number_is_bounded() {
    let mut strikes = Strikes::default();
    for endpoint in ["a", "b", "c"] {
        strikes.strike(at(0), request("bad"), endpoint, true);
    }
    assert!(!strikes.is_refused(at(601), request("bad")));
    for number in 0..5_000 {
        strikes.strike(at(1), request(&number.to_string()), "a", true);
    }
    assert!(
        !strikes.is_refused(at(1), request("bad")),
        "the oldest request is evicted first"
    );
    assert!(strikes.report(at(1)).count() <= 16);
}

#[test]
fn strikes_that_lost_links_made_up_are_taken_back_and_were_never_reported() {
    let mut strikes = Strikes::default();
    for endpoint in ["a", "b", "c"] {
        strikes.observe(at(0), request("sound"), endpoint);
    }
    assert!(
        strikes.is_refused(at(1), request("sound")),
        "counted here at once"
    );
    assert_eq!(strikes.report(at(1)).count(), 0);
    strikes.confirm(request("sound"), "a");
    assert_eq!(strikes.report(at(1)).count(), 1);
    for endpoint in ["a", "b", "c"] {
        strikes.retract(request("sound"), endpoint);
    }
    assert!(!strikes.is_refused(at(1), request("sound")));
    assert_eq!(strikes.report(at(1)).count(), 1, "the confirmed one stays");
}
