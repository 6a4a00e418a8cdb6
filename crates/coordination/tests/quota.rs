//! Validation of limits, bounds of token buckets, and admission of customers with long requests.

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::lease::Shard;
use berylknot_coordination::quota::{Bucket, Error, Limits, Pool, Split};
use berylknot_coordination::record::Position;
use yare::parameterized;

fn pool(rate: u64, burst: u64) -> Pool {
    let limits = Limits::new(rate, burst).expect("valid limits");
    let split = Split::new(0, 1, Drift::default()).expect("a valid split");
    let since = Position::new(1, 0);
    Pool::new(
        Instant::from_millis(0),
        limits,
        split,
        Shard::of(b"customer"),
        since,
    )
}

/// Guards against limits that overflow the arithmetic or leave nothing to admit.
#[parameterized(
    rate_zero = { 0, 1_000, Some(Error::RateZero) },
    burst_below_rate = { 1_000, 999, Some(Error::BurstBelowRate { burst: 999, rate: 1_000 }) },
    burst_equals_rate = { 1_000, 1_000, None },
    highest = { Limits::MAX_BURST, Limits::MAX_BURST, None },
    above_highest = {
        1, Limits::MAX_BURST + 1, Some(Error::BurstTooHigh { burst: Limits::MAX_BURST + 1 })
    },
)]
fn limits_are_validated(rate: u64, burst: u64, error: Option<Error>) {
    assert_eq!(Limits::new(rate, burst).err(), error);
}

/// Guards against a split without seats or without a pool.
#[parameterized(
    no_seats = { 250, 0, Some(Error::NoSeats) },
    only_floors = { 1_000, 9, Some(Error::FloorTooHigh { per_mille: 1_000 }) },
    usual = { 250, 9, None },
)]
fn splits_are_validated(floor_per_mille: u16, seats: u16, error: Option<Error>) {
    assert_eq!(
        Split::new(floor_per_mille, seats, Drift::default()).err(),
        error
    );
}

/// Guards against a level that overflows or drifts over a year at the highest rate.
#[test]
fn level_stays_at_cap_for_a_year_at_highest_rate() {
    let pool = pool(Limits::MAX_BURST, Limits::MAX_BURST);
    let year = 365 * 24 * 3_600 * 1_000;
    let level = pool.bucket().level(Instant::from_millis(year));
    // 504 ms of the rate are set aside for outstanding grants.
    assert_eq!(level, 496_000_000);
    assert_eq!(u64::try_from(level).unwrap(), pool.bucket().max_take());
}

/// Guards against a refill that waits until holds are settled, which refuses customers within their
/// rate when requests are long and use half of their tokens.
#[test]
fn long_requests_within_the_rate_are_admitted() {
    let mut pool = pool(1_000, 3_000);
    let mut refused = 0;
    let mut open = std::collections::VecDeque::new();
    // 200 tokens every 250 ms are 800 tokens/s; each request lasts 8 s.
    for round in 20_u64..400 {
        let now = Instant::from_millis(round * 250);
        match pool.acquire(now, 200) {
            Ok(approval) => open.push_back((round, approval.hold)),
            Err(_) => refused += 1,
        }
        while open.front().is_some_and(|(start, _)| round - start >= 32) {
            let (_, hold) = open.pop_front().unwrap();
            pool.give_back(now, hold, 100);
        }
    }
    assert_eq!(refused, 0);
}

/// Guards against lost tokens when a request is cancelled immediately after its admission.
#[test]
fn cancelled_request_returns_all_tokens() {
    let mut pool = pool(1_000, 3_000);
    let now = Instant::from_millis(10_000);
    let all = pool.bucket().max_take();
    let approval = pool.acquire(now, all).unwrap();
    assert_eq!(pool.give_back(now, approval.hold, all), all * 1_000_000_000);
    assert_eq!(
        pool.give_back(now, approval.hold, all),
        0,
        "a repeated return credits nothing"
    );
    assert_eq!(pool.bucket().level(now), i64::try_from(all).unwrap());
}

/// Guards against memory that grows with the number of requests.
#[test]
fn open_holds_and_tickets_are_bounded() {
    let mut pool = pool(1_000_000, 1_000_000);
    let now = Instant::from_millis(10_000);
    let first = pool.acquire(now, 1).unwrap();
    for _ in 0..2 * Bucket::MAX_OPEN_HOLDS {
        pool.acquire(now, 1).unwrap();
    }
    let tickets = std::iter::from_fn(|| pool.ticket(now)).count();
    assert_eq!(tickets, Pool::MAX_OPEN_TICKETS);
    assert!(
        pool.memory_bytes() < 2_000_000,
        "{} bytes",
        pool.memory_bytes()
    );
    assert_eq!(
        pool.give_back(now, first.hold, 1),
        0,
        "the oldest hold is dropped"
    );
}

/// Guards against a handover that loses the level, is applied twice or comes from an owner other
/// than the predecessor.
#[test]
fn handover_credits_the_predecessors_level_once() {
    let now = Instant::from_millis(10_000);
    let old = pool(1_000, 3_000);
    let level = old.bucket().level(now);
    let handover = old.hand_over(now);
    let limits = Limits::new(1_000, 3_000).unwrap();
    let split = Split::new(0, 1, Drift::default()).unwrap();
    let since = Position::new(2, 0);
    let mut new = Pool::new(now, limits, split, Shard::of(b"customer"), since);
    assert!(!new.take_over(now, handover, None));
    assert!(!new.take_over(now, handover, Some(since)));
    assert!(new.take_over(now, handover, Some(Position::new(1, 0))));
    assert!(!new.take_over(now, handover, Some(Position::new(1, 0))));
    assert_eq!(new.bucket().level(now), level);
}
