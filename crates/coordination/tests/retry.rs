//! Properties of retry budgets and hedging.

mod policy_support;

use std::time::Duration;

use berylknot_coordination::retry::{Budget, Hedge, Reason};
use policy_support::{Check, search};
use proptest::collection::vec;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Each retry is recorded as ten requests, so retries refill the budget.
    RetriesRefill,
}

/// Guards against a retry storm, which is more retries than a tenth of the requests.
fn budget(steps: &[bool], fault: Fault) -> Check {
    let mut budget = Budget::default();
    let (mut requests, mut retries) = (0_u64, 0_u64);
    for is_request in steps {
        if *is_request {
            requests += 1;
            budget.record_request();
        } else if budget.try_retry(Reason::EndpointFailed) {
            retries += 1;
            if fault == Fault::RetriesRefill {
                (0..10).for_each(|_| budget.record_request());
            }
        }
        if retries * 10 > requests {
            return Err(format!("{retries} retries for {requests} requests"));
        }
    }
    let counted: u64 = budget.counts().map(|(_, count)| count.allowed).sum();
    if counted != retries {
        return Err(format!("{counted} retries counted instead of {retries}"));
    }
    Ok(())
}

#[test]
fn retries_stay_under_a_tenth_of_requests() {
    let steps = vec(proptest::bool::weighted(0.6), 1..2_000);
    let found = search(&steps, |steps| budget(&steps, Fault::None));
    assert_eq!(found, Ok(()));
}

#[test]
fn oracle_reports_retries_that_refill_the_budget() {
    let steps = vec(proptest::bool::weighted(0.6), 1..2_000);
    let found = search(&steps, |steps| budget(&steps, Fault::RetriesRefill));
    assert!(found.is_err());
}

fn hedge_delay(latencies_ms: impl Iterator<Item = u64>) -> Option<Duration> {
    let mut hedge = Hedge::default();
    for millis in latencies_ms {
        hedge.record_latency(Duration::from_millis(millis));
    }
    hedge.delay()
}

/// Guards against hedges that only add load, when all latencies are about equal.
#[test]
fn short_latency_tail_is_not_hedged() {
    assert_eq!(hedge_delay((0..400).map(|number| 8 + number % 4)), None);
}

/// Guards against a lookup that waits for a slow server although another one is free.
#[test]
fn long_latency_tail_is_hedged_after_most_answers() {
    let latencies = (0..400).map(|number| if number % 40 == 0 { 300 } else { 8 });
    let delay = hedge_delay(latencies).expect("one answer in forty is slow");
    assert!((8..=20).contains(&delay.as_millis()), "{delay:?}");
}

/// Guards against a hedging delay computed from too few samples.
#[test]
fn nothing_is_hedged_below_the_minimum_of_samples() {
    assert_eq!(hedge_delay([1, 500].into_iter()), None);
}
