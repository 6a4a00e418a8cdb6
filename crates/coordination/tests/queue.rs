//! Property tests of the weighted fair queue.

mod policy_support;

use std::collections::VecDeque;
use std::num::NonZeroU32;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::queue::{Cause, Fair, Limits, Request};
use policy_support::{Check, search};
use proptest::collection::vec;
use proptest::prelude::Strategy;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Requests are served first in, first out.
    ArrivalOrder,
    /// A late request is requeued whenever it is dequeued.
    LateRequeued,
    /// The queue's limits are twice those that the check expects.
    DoubleLimits,
}

const LIMITS: Limits = Limits {
    per_customer: 64,
    total: 256,
};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn request(customer: u8, tokens: u64, start_by: u64, deadline: u64) -> Request<u8> {
    Request {
        customer,
        tokens,
        start_by: at(start_by),
        deadline: at(deadline),
    }
}

/// Guards against a customer that gets more than its weighted share while others wait.
fn fairness(input: (Vec<(u32, Vec<u64>)>, Fault)) -> Check {
    let (customers, fault) = input;
    let mut queue = Fair::new(LIMITS);
    let mut order = VecDeque::new();
    for (number, (weight, sizes)) in (0..).zip(&customers) {
        queue.set_weight(
            number,
            NonZeroU32::new(*weight).expect("weights start at 1"),
        );
        for tokens in sizes {
            let request = request(number, *tokens, 10_000, 100_000);
            queue
                .push(at(0), request)
                .map_err(|error| error.to_string())?;
            order.push_back(request);
        }
    }
    let mut served = vec![0_f64; customers.len()];
    let mut left: Vec<usize> = customers.iter().map(|(_, sizes)| sizes.len()).collect();
    while left.iter().all(|left| *left > 0) {
        let next = if fault == Fault::ArrivalOrder {
            order.pop_front()
        } else {
            queue.pop(at(1)).map(|turn| turn.request)
        };
        let next = next.ok_or("the queue ran empty before all requests were served")?;
        let index = usize::from(next.customer);
        left[index] -= 1;
        served[index] += next.tokens as f64 / f64::from(customers[index].0);
        let largest = |index: usize| {
            let most = customers[index].1.iter().max().copied().unwrap_or(0);
            most as f64 / f64::from(customers[index].0)
        };
        for ahead in 0..served.len() {
            for behind in 0..served.len() {
                // One token covers rounding of virtual time.
                let bound = largest(ahead) + largest(behind) + 1.0;
                if left[behind] > 0 && served[ahead] - served[behind] > bound {
                    return Err(format!(
                        "customer {ahead} is ahead of {behind} by more than the bound: {served:?}"
                    ));
                }
            }
        }
    }
    Ok(())
}

fn customers() -> impl Strategy<Value = Vec<(u32, Vec<u64>)>> {
    vec((1_u32..5, vec(10_u64..40_000, 8..40)), 2..6)
}

/// Guards against shares that deviate from the weights by more than the customers' largest
/// requests.
#[test]
fn shares_follow_weights() {
    let found = search(&customers(), |input| fairness((input, Fault::None)));
    assert_eq!(found, Ok(()));
}

/// Guards against a fairness check that accepts first-in, first-out service.
#[test]
fn fairness_check_rejects_arrival_order() {
    let found = search(&customers(), |input| fairness((input, Fault::ArrivalOrder)));
    assert!(found.is_err());
}

/// Guards against a late long prompt that starves behind short timely ones of all customers.
fn starvation(input: (Vec<u64>, Fault)) -> Check {
    let (sizes, fault) = input;
    let mut queue = Fair::new(LIMITS);
    let long = queue
        .push(at(0), request(0, 40_000, 0, 10_000_000))
        .map_err(|error| error.to_string())?;
    // Four customers, costs that differ by a factor of four at most, every eighth turn for late
    // requests.
    let bound = 4 * 4 * 8;
    for (pops, tokens) in (1..).zip(sizes.iter().cycle()) {
        let now = pops * 10;
        for customer in 0..4 {
            let fresh = request(customer, *tokens, now + 500, now + 1_000_000);
            // A full queue refuses the request; enough timely ones are waiting already.
            let _ = queue.push(at(now), fresh);
        }
        let turn = queue
            .pop(at(now))
            .ok_or("the queue is empty although the long prompt waits")?;
        if turn.ticket == long && fault != Fault::LateRequeued {
            return Ok(());
        }
        if turn.ticket == long {
            queue.put_back(at(now), turn);
        }
        if pops > bound {
            break;
        }
    }
    Err(String::from("the long prompt was never served"))
}

/// Guards against starvation of a late long prompt.
#[test]
fn late_long_prompt_is_served() {
    let sizes = vec(50_u64..200, 20);
    let found = search(&sizes, |input| starvation((input, Fault::None)));
    assert_eq!(found, Ok(()));
}

/// Guards against a starvation check that cannot fail.
#[test]
fn starvation_check_rejects_requeued_request() {
    let sizes = vec(50_u64..200, 20);
    let found = search(&sizes, |input| starvation((input, Fault::LateRequeued)));
    assert!(found.is_err());
}

/// Guards against a queue that exceeds its limits, loses requests or miscounts them.
fn bounds(input: (Vec<(u8, u8, u64)>, Fault)) -> Check {
    let (steps, fault) = input;
    let factor = if fault == Fault::DoubleLimits { 2 } else { 1 };
    let mut queue = Fair::new(Limits {
        per_customer: 4 * factor,
        total: 10 * factor,
    });
    let mut waiting = Vec::new();
    for (now, (kind, customer, tokens)) in (0..).zip(steps) {
        let now = at(now * 20);
        match kind {
            0..=4 => {
                let deadline = now + Duration::from_millis(tokens % 900);
                let start_by = now + Duration::from_millis(tokens % 300);
                let request = Request {
                    customer,
                    tokens,
                    start_by,
                    deadline,
                };
                if let Ok(ticket) = queue.push(now, request) {
                    waiting.push((ticket, customer));
                }
            }
            5 => {
                if let Some(turn) = queue.pop(now) {
                    waiting.retain(|(ticket, _)| *ticket != turn.ticket);
                }
            }
            6 => {
                if let Some(turn) = queue.pop(now) {
                    queue.put_back(now, turn);
                }
            }
            7 if !waiting.is_empty() => {
                let (ticket, _) = waiting.swap_remove(tokens as usize % waiting.len());
                queue
                    .remove(ticket)
                    .ok_or("the queue does not know a waiting request")?;
            }
            _ => {
                for (expired, _) in queue.expire(now) {
                    waiting.retain(|(ticket, _)| *ticket != expired);
                }
            }
        }
        if kind <= 4 {
            for (evicted, _) in queue.expire(now) {
                waiting.retain(|(ticket, _)| *ticket != evicted);
            }
        }
        if queue.len() != waiting.len() {
            return Err(format!(
                "the queue counts {} waiting requests instead of {}",
                queue.len(),
                waiting.len()
            ));
        }
        let of_customer = waiting.iter().filter(|(_, one)| *one == customer).count();
        if queue.len() > 10 || of_customer > 4 {
            return Err(String::from("the queue exceeds its limits"));
        }
    }
    while let Some(turn) = queue.pop(at(1_000_000)) {
        waiting.retain(|(ticket, _)| *ticket != turn.ticket);
    }
    if !waiting.is_empty() {
        return Err(String::from("a waiting request was never dequeued"));
    }
    Ok(())
}

fn steps() -> impl Strategy<Value = Vec<(u8, u8, u64)>> {
    vec((0_u8..9, 0_u8..5, 1_u64..40_000), 1..300)
}

/// Guards against exceeded limits, lost requests and wrong counts.
#[test]
fn queue_is_bounded_and_loses_no_request() {
    let found = search(&steps(), |input| bounds((input, Fault::None)));
    assert_eq!(found, Ok(()));
}

/// Guards against a limit check that cannot fail.
#[test]
fn limit_check_rejects_double_limits() {
    let found = search(&steps(), |input| bounds((input, Fault::DoubleLimits)));
    assert!(found.is_err());
}

/// Guards against queuing requests whose deadline cannot be met.
#[test]
fn unmeetable_deadline_is_refused_with_retry_after() {
    let mut queue = Fair::new(LIMITS);
    for _ in 0..50 {
        assert!(queue.push(at(0), request(0, 1_000, 60_000, 60_000)).is_ok());
    }
    // Drains ten requests of 1,000 tokens per second.
    for now in (100..=4_000).step_by(100) {
        assert!(queue.pop(at(now)).is_some());
        assert!(
            queue
                .push(at(now), request(0, 1_000, 60_000, 60_000))
                .is_ok()
        );
    }
    let rate = queue.drain_rate();
    assert!((9_000..=11_000).contains(&rate), "drain rate {rate}");
    let refusal = queue
        .push(at(4_000), request(0, 1_000, 5_000, 5_000))
        .expect_err("50 requests are ahead of it");
    assert_eq!(refusal.cause(), Cause::TooLate);
    let millis = refusal.retry_after().as_millis();
    assert!((3_000..=5_000).contains(&millis), "retry after {millis} ms");
}

/// Guards against a drain rate sampled from a short stall with a single request: it was so low that
/// every request was refused.
#[test]
fn short_stall_leaves_drain_rate_unknown() {
    let mut queue = Fair::new(LIMITS);
    assert!(queue.push(at(0), request(0, 1_000, 600, 9_000)).is_ok());
    assert!(queue.pop(at(700)).is_some());
    assert!(queue.push(at(800), request(0, 1_000, 1_400, 9_000)).is_ok());
    assert_eq!(queue.drain_rate(), 0);
    assert!(
        queue
            .push(at(800), request(0, 40_000, 1_400, 9_000))
            .is_ok()
    );
}

/// Guards against a late request that delays a timely one of the same customer.
#[test]
fn timely_requests_precede_late_ones() {
    let mut queue = Fair::new(LIMITS);
    let late = queue.push(at(0), request(0, 10, 100, 9_000)).expect("room");
    let timely = queue.push(at(0), request(0, 10, 900, 9_000)).expect("room");
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(at(200)))
        .map(|turn| turn.ticket)
        .collect();
    assert_eq!(order, [timely, late]);
}
