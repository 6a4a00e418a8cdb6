//! Properties of the ejection of endpoints.

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
    /// The detector counts endpoints that do not exist.
    PhantomEndpoints,
}

type Step = (u8, u8, u16);

fn inputs() -> impl Strategy<Value = (u8, Vec<Step>)> {
    (1_u8..24, vec((0_u8..24, 0_u8..20, 0_u16..500), 1..900))
}

/// Guards against the ejection of more than half of a route, whatever fails.
fn floor(endpoints: u8, steps: &[Step], fault: Fault) -> Check {
    let mut detector = Detector::new();
    (0..endpoints).for_each(|endpoint| detector.add(endpoint));
    if fault == Fault::PhantomEndpoints {
        (100..100 + endpoints).for_each(|endpoint| detector.add(endpoint));
    }
    let mut left = usize::from(endpoints);
    let mut now = Instant::from_millis(0);
    for (number, kind, millis) in steps {
        now = now + Duration::from_millis(u64::from(*millis) / 8);
        let endpoint = detector.probe(now).unwrap_or(number % endpoints);
        match kind {
            0..=9 => {
                detector.outcome(now, endpoint, Outcome::Failed);
            }
            19 if *millis < 25 && left > 1 => {
                let removed = *number % endpoints;
                left = left.saturating_sub(1);
                detector.remove(removed);
                detector.remove(removed);
                // The endpoint comes back at once, as after a change of settings.
                detector.add(removed);
                left += 1;
            }
            _ => {
                let slow = if number % 2 == 0 { 10.0 } else { 1.0 };
                let millis = (1.0 + f64::from(*millis % 10)) * slow;
                detector.outcome(now, endpoint, Outcome::Answered { millis });
            }
        }
        let ejected = (0..endpoints).filter(|one| detector.is_ejected(*one));
        let ejected = ejected.count();
        if ejected > left / 2 {
            return Err(format!("{ejected} of {left} ejected"));
        }
    }
    Ok(())
}

#[test]
fn at_most_half_of_a_route_is_ejected() {
    let found = search(&inputs(), |(endpoints, steps)| {
        floor(endpoints, &steps, Fault::None)
    });
    assert_eq!(found, Ok(()));
}

#[test]
fn a_missing_floor_is_reported() {
    let found = search(&inputs(), |(endpoints, steps)| {
        floor(endpoints, &steps, Fault::PhantomEndpoints)
    });
    assert!(found.is_err());
}

/// Guards against an endpoint that stays out after it has recovered.
#[test]
fn a_slow_endpoint_is_ejected_and_comes_back_by_probes() {
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

/// Guards against a median of a large route that is too old or counts the ejected.
#[test]
fn a_slow_endpoint_of_a_large_route_is_ejected() {
    let mut detector = Detector::new();
    (0..40).for_each(|endpoint| detector.add(endpoint));
    for round in 0..100 {
        let now = Instant::from_millis(round * 50);
        for endpoint in 0..40 {
            let millis = if endpoint < 3 { 90.0 } else { 30.0 };
            detector.outcome(now, endpoint, Outcome::Answered { millis });
        }
    }
    let ejected: Vec<u32> = (0..40).filter(|one| detector.is_ejected(*one)).collect();
    assert_eq!(ejected, [0, 1, 2]);
    assert_eq!(detector.ejected(), 3);
}

/// Guards against the ejection of healthy endpoints by the noise of their latency.
#[test]
fn healthy_endpoints_stay() {
    let mut detector = Detector::new();
    (0..4).for_each(|endpoint| detector.add(endpoint));
    for round in 0_u32..2_000 {
        let now = Instant::from_millis(u64::from(round) * 20);
        let millis = 20.0 + f64::from(round.wrapping_mul(2_654_435_761) >> 28);
        detector.outcome(now, round % 4, Outcome::Answered { millis });
        assert_eq!(detector.ejected(), 0, "round {round}");
    }
}
