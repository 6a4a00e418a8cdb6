//! Guards against polls that wait for an answer which a store that was silent never gives.

use std::time::Duration;

use berylknot_coordination::poll::{Contact, Outcome, wait};

/// Timeout of a call beyond its wait, as a share of the bound.
const TIMEOUT_SHARE: f64 = 0.6;

#[test]
fn a_lost_poll_ends_soon_after_the_bound() {
    for bound in [500, 2_000, 4_000].map(Duration::from_millis) {
        assert!(wait(bound) + bound.mul_f64(TIMEOUT_SHARE) <= bound.mul_f64(1.1));
    }
}

#[test]
fn only_an_answer_after_a_failure_is_a_return() {
    let mut contact = Contact::default();
    assert!(!contact.record(Outcome::Answered));
    assert!(!contact.record(Outcome::Failed));
    assert!(!contact.record(Outcome::Failed));
    assert!(
        !contact.record(Outcome::Limited),
        "no other call is served for it"
    );
    assert!(contact.record(Outcome::Answered));
    assert!(!contact.record(Outcome::Answered));
    assert_eq!(contact.returns(), 1);
}

#[test]
fn a_refusal_for_the_rate_is_no_failure() {
    let mut contact = Contact::default();
    contact.record(Outcome::Limited);
    assert!(!contact.record(Outcome::Answered));
    assert_eq!(contact.returns(), 0);
}
