//! Properties of outlier ejection and readmission.

mod policy_support;

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::eject::{Change, Detector, Outcome};
use policy_support::{Check, search};
use proptest::collection::vec;
use proptest::prelude::Strategy;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The detector tracks endpoints that are not on the route, so its limit of one half is too
    /// high.
    PhantomEndpoints,
}

type Step = (u8, u8, u16);

fn inputs() -> impl Strategy<Value = (u8, Vec<Step>)> {
    (1_u8..24, vec((0_u8..24, 0_u8..20, 0_u16..500), 1..900))
}

/// Guards against the ejection of more than half of a route, whichever endpoints fail.
fn check_ejected_half(endpoints: u8, steps: &[Step], fault: Fault) -> Check {
    let mut detector = Detector::new();
    (0..endpoints).for_each(|endpoint| detector.add(endpoint));
    if fault == Fault::PhantomEndpoints {
        (100..100 + endpoints).for_each(|endpoint| detector.add(endpoint));
    }
    let mut remaining = usize::from(endpoints);
    let mut now = Instant::from_millis(0);
    for (number, kind, millis) in steps {
        now = now + Duration::from_millis(u64::from(*millis) / 8);
        let endpoint = detector.probe(now).unwrap_or(number % endpoints);
        match kind {
            0..=9 => {
                detector.outcome(now, endpoint, Outcome::Failed);
            }
            19 if *millis < 25 && remaining > 1 => {
                let removed = *number % endpoints;
                remaining = remaining.saturating_sub(1);
                detector.remove(removed);
                detector.remove(removed);
                // The endpoint is added again immediately, as after a change of settings.
                detector.add(removed);
                remaining += 1;
            }
            _ => {
                let slow = if number % 2 == 0 { 10.0 } else { 1.0 };
                let millis = (1.0 + f64::from(*millis % 10)) * slow;
                detector.outcome(now, endpoint, Outcome::Answered { millis });
            }
        }
        let ejected = (0..endpoints).filter(|endpoint| detector.is_ejected(*endpoint));
        let ejected = ejected.count();
        if ejected > remaining / 2 {
            return Err(format!("{ejected} of {remaining} ejected"));
        }
    }
    Ok(())
}

#[test]
fn at_most_half_of_a_route_is_ejected() {
    let found = search(&inputs(), |(endpoints, steps)| {
        check_ejected_half(endpoints, &steps, Fault::None)
    });
    assert_eq!(found, Ok(()));
}

#[test]
fn oracle_reports_ejection_of_more_than_half() {
    let found = search(&inputs(), |(endpoints, steps)| {
        check_ejected_half(endpoints, &steps, Fault::PhantomEndpoints)
    });
    assert!(found.is_err());
}

/// Guards against an endpoint that stays ejected after it has recovered.
#[test]
fn slow_endpoint_is_ejected_and_readmitted_after_probes() {
    let mut detector = Detector::new();
    (0..3).for_each(|endpoint| detector.add(endpoint));
    let mut now = Instant::from_millis(0);
    let mut ejected_at = None;
    for round in 0..60 {
        now = now + Duration::from_millis(50);
        for endpoint in 0..3 {
            let millis = if endpoint == 0 { 90.0 } else { 30.0 };
            let change = detector.outcome(now, endpoint, Outcome::Answered { millis });
            if change == Some(Change::Ejected) {
                assert_eq!(endpoint, 0);
                ejected_at.get_or_insert(round);
            }
        }
    }
    assert!(ejected_at.is_some_and(|round| round < 20));
    assert!(detector.is_ejected(0));
    let mut changes = Vec::new();
    for _ in 0..200 {
        now = now + Duration::from_millis(50);
        if let Some(endpoint) = detector.probe(now) {
            let outcome = Outcome::Answered { millis: 30.0 };
            changes.extend(detector.outcome(now, endpoint, outcome));
        }
    }
    assert_eq!(changes, [Change::Returned]);
}

/// Guards against a cached median of a large route that is stale or includes ejected endpoints.
#[test]
fn slow_endpoints_of_a_large_route_are_ejected() {
    let mut detector = Detector::new();
    (0..40).for_each(|endpoint| detector.add(endpoint));
    for round in 0..100 {
        let now = Instant::from_millis(round * 50);
        for endpoint in 0..40 {
            let millis = if endpoint < 3 { 90.0 } else { 30.0 };
            detector.outcome(now, endpoint, Outcome::Answered { millis });
        }
    }
    let ejected: Vec<u32> = (0..40)
        .filter(|endpoint| detector.is_ejected(*endpoint))
        .collect();
    assert_eq!(ejected, [0, 1, 2]);
    assert_eq!(detector.ejected(), 3);
}

/// Guards against the ejection of healthy endpoints because of latency noise.
#[test]
fn healthy_endpoints_are_not_ejected() {
    let mut detector = Detector::new();
    (0..4).for_each(|endpoint| detector.add(endpoint));
    for round in 0_u32..2_000 {
        let now = Instant::from_millis(u64::from(round) * 20);
        let millis = 20.0 + f64::from(round.wrapping_mul(2_654_435_761) >> 28);
        detector.outcome(now, round % 4, Outcome::Answered { millis });
        assert_eq!(detector.ejected(), 0, "round {round}");
    }
}
