//! Guards against sending an endpoint more requests than it states to take from all hosts together, and
//! against refusing requests that it would take.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_entry::limits::{Limit, Limits, denial_time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

const ENDPOINT: &str = "e1";
/// Time of a query to the leader and its answer, each way.
const QUERY_MS: u64 = 3;
/// Window and slack of the users' bound: one and a half times the limit, and five requests.
const WINDOW_MS: u64 = 4_000;
const SLACK: f64 = 5.0;
const SECONDS: u64 = 40;

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

fn limit(rate: Option<f64>, age_ms: u64) -> Limit {
    Limit {
        endpoint: ENDPOINT.to_owned(),
        rate,
        age_ms,
    }
}

/// How the hosts of a fleet keep to a limit.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// They do not.
    Ignore,
    /// Each for itself, with all of the limit.
    Alone,
    /// One of them counts for all; another one takes its place every 7 s.
    Leader,
}

/// Times at which the endpoint got requests, all hosts knowing the limit from the begin.
fn play(policy: Policy, hosts: usize, rate: f64, demand_per_s: f64, seed: u64) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut limits: Vec<Limits> = (0..hosts).map(|_| Limits::default()).collect();
    for known in &mut limits {
        known.apply(at(0), &limit(Some(rate), 0));
    }
    let mut arrivals = Vec::new();
    for now in 0..SECONDS * 1_000 {
        // Demand comes in waves, with pauses in which the buckets fill.
        let wave = if now / 2_500 % 2 == 0 { 1.9 } else { 0.1 };
        let mut due = demand_per_s * wave / 1_000.0;
        while random.random_bool(due.min(1.0)) {
            due -= 1.0;
            let host = random.random_range(0..hosts);
            let is_sent = match policy {
                Policy::Ignore => true,
                Policy::Alone => limits[host].take(at(now), ENDPOINT, 1.0).is_ok(),
                Policy::Leader => {
                    let leader = now as usize / 7_000 % hosts;
                    limits[leader].take(at(now), ENDPOINT, 1.0).is_ok()
                }
            };
            if is_sent {
                arrivals.push(now + QUERY_MS);
            }
            if due <= 0.0 {
                break;
            }
        }
    }
    arrivals
}

fn most_in_a_window(arrivals: &[u64]) -> usize {
    let in_window = |(index, start): (usize, &u64)| {
        let end = arrivals.partition_point(|at| *at < start + WINDOW_MS);
        end - index
    };
    arrivals
        .iter()
        .enumerate()
        .map(in_window)
        .max()
        .unwrap_or(0)
}

#[parameterized(
    one_a_second = { 7, 1.0, 30.0 },
    rounded_figure = { 8, 1.1, 30.0 },
    plain_service = { 7, 4.2, 75.0 },
    grown = { 75, 6.0, 150.0 },
    hundreds = { 295, 20.0, 400.0 },
    planned_size = { 360, 40.0, 900.0 },
)]
fn hosts_together_stay_below_the_limit_and_use_it(hosts: usize, rate: f64, demand_per_s: f64) {
    let allowed = 1.5 * rate * WINDOW_MS as f64 / 1_000.0 + SLACK;
    for seed in 0..3 {
        for policy in [Policy::Ignore, Policy::Alone] {
            let most = most_in_a_window(&play(policy, hosts, rate, demand_per_s, seed));
            assert!(most as f64 > allowed, "the load is harmless: {most}");
        }
        let arrivals = play(Policy::Leader, hosts, rate, demand_per_s, seed);
        let most = most_in_a_window(&arrivals);
        assert!(most as f64 <= allowed, "{most} requests, {allowed} allowed");
        // Half of the time there is hardly any demand.
        let usable = rate * SECONDS as f64 / 2.0;
        assert!(arrivals.len() as f64 >= 0.9 * usable, "{}", arrivals.len());
    }
}

#[test]
fn parts_of_a_divided_fleet_stay_below_the_limit_together() {
    let (hosts, rate) = (8, 4.0);
    let mut parts: Vec<Limits> = (0..hosts).map(|_| Limits::default()).collect();
    let mut arrivals = Vec::new();
    for part in &mut parts {
        part.apply(at(0), &limit(Some(rate), 0));
    }
    for now in 0..20_000 {
        for part in &mut parts {
            if part.take(at(now), ENDPOINT, 1.0 / hosts as f64).is_ok() {
                arrivals.push(now);
            }
        }
    }
    let allowed = 1.5 * rate * WINDOW_MS as f64 / 1_000.0 + SLACK;
    assert!(most_in_a_window(&arrivals) as f64 <= allowed);
}

#[test]
fn endpoint_without_a_limit_takes_every_request() {
    let mut limits = Limits::default();
    assert!(!limits.heard(at(0), ENDPOINT, None, at(0)));
    assert!((0..1_000).all(|_| limits.take(at(0), ENDPOINT, 1.0).is_ok()));
    assert!(limits.report(at(0)).is_empty());
}

#[test]
fn limit_ends_with_an_answer_to_a_later_request_only() {
    let mut limits = Limits::default();
    assert!(limits.heard(at(1_000), ENDPOINT, Some(2.0), at(900)));
    assert!(
        !limits.heard(at(1_100), ENDPOINT, None, at(950)),
        "sent before the limit was heard"
    );
    assert_eq!(limits.rate(ENDPOINT), Some(2.0));
    assert!(limits.heard(at(1_200), ENDPOINT, None, at(1_150)));
    assert!((0..100).all(|_| limits.take(at(1_200), ENDPOINT, 1.0).is_ok()));
}

#[test]
fn newest_answer_holds_among_peers() {
    let mut limits = Limits::default();
    limits.apply(at(1_000), &limit(Some(2.0), 100));
    limits.apply(at(1_000), &limit(Some(5.0), 300));
    assert_eq!(limits.rate(ENDPOINT), Some(2.0));
    limits.apply(at(1_100), &limit(None, 50));
    assert_eq!(limits.rate(ENDPOINT), None);
    limits.apply(at(1_200), &limit(Some(2.0), 300));
    assert_eq!(
        limits.rate(ENDPOINT),
        None,
        "a late report does not bring the limit back"
    );
}

#[test]
fn wait_tells_when_the_next_request_is_taken() {
    let mut limits = Limits::default();
    limits.heard(at(0), ENDPOINT, Some(2.0), at(0));
    let wait = limits
        .take(at(0), ENDPOINT, 1.0)
        .expect_err("the bucket starts empty");
    assert_eq!(wait, Duration::from_millis(500));
    assert!(limits.take(at(499), ENDPOINT, 1.0).is_err());
    assert!(limits.take(at(500), ENDPOINT, 1.0).is_ok());
}

#[test]
fn limit_of_zero_lets_a_rare_request_find_its_end() {
    let mut limits = Limits::default();
    limits.heard(at(0), ENDPOINT, Some(0.0), at(0));
    let taken = (0..60_000).filter(|now| limits.take(at(*now), ENDPOINT, 1.0).is_ok());
    assert!((1..=10).contains(&taken.count()));
}

#[test]
fn limits_of_restarted_and_removed_endpoints_are_forgotten() {
    let mut limits = Limits::default();
    limits.heard(at(0), ENDPOINT, Some(1.0), at(0));
    limits.heard(at(0), "e2", Some(1.0), at(0));
    limits.remove(ENDPOINT);
    limits.expire(at(10_000), |endpoint| endpoint != "e2");
    assert_eq!((limits.rate(ENDPOINT), limits.rate("e2")), (None, None));
}

#[parameterized(
    few_hosts = { 7, 12.6 },
    hundreds = { 295, 60.0 },
    planned_size = { 360, 30.0 },
)]
fn denied_hosts_ask_the_leader_a_bounded_number_of_times(hosts: usize, rate: f64) {
    let mut limits = Limits::default();
    limits.apply(at(0), &limit(Some(rate), 0));
    let mut denied_until = vec![0; hosts];
    let (mut queries, mut granted) = (0, 0);
    // Every host always has calls.
    for now in 0..20_000 {
        for until in &mut denied_until {
            if *until > now {
                continue;
            }
            queries += 1;
            match limits.take(at(now), ENDPOINT, 1.0) {
                Ok(()) => granted += 1,
                Err(wait) => *until = now + denial_time(wait, hosts, rate).as_millis() as u64,
            }
        }
    }
    assert!(f64::from(granted) >= 0.9 * rate * 20.0, "{granted} granted");
    let most = (10.0 * rate).max(2.0 * hosts as f64) * 20.0;
    assert!(
        f64::from(queries) <= 1.2 * most,
        "{queries} queries, {granted} granted"
    );
}

/// Requests a second that a cold endpoint tolerates, and the users' bound on them in one second.
const TOLERATED: f64 = 34.0;
const COLD_BOUND: f64 = TOLERATED * 1.5 + 5.0;

/// Most requests that arrive within one second at a cold endpoint for which several leaders grant all that they
/// may, `delay_ms` of jitter after the grant.
fn most_in_a_second(leaders: usize, delay_ms: u64) -> usize {
    let mut random = StdRng::seed_from_u64(1);
    let mut limits: Vec<Limits> = (0..leaders).map(|_| Limits::default()).collect();
    let mut arrivals = Vec::new();
    for millis in 0..20_000 {
        for limits in &mut limits {
            // The endpoint says so again and again, and becomes cold anew after 10 s.
            limits.chill(
                at(millis),
                ENDPOINT,
                TOLERATED,
                Duration::from_secs(3),
                true,
            );
            if limits.take(at(millis), ENDPOINT, 1.0).is_ok() {
                arrivals.push(millis + random.random_range(0..=delay_ms));
            }
        }
    }
    arrivals.sort_unstable();
    let within = |start: &u64| {
        let end = arrivals.partition_point(|at| *at < start + 1_000);
        end - arrivals.partition_point(|at| at < start)
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

#[parameterized(
    one_leader = { 1, 3 },
    one_leader_and_slow_prefills = { 1, 1_000 },
    two_leaders = { 2, 1_000 },
)]
fn a_cold_endpoint_gets_no_more_than_it_bears(leaders: usize, delay_ms: u64) {
    let most = most_in_a_second(leaders, delay_ms);
    assert!((most as f64) < COLD_BOUND, "{most} in one second");
    assert!(most > 8, "{most}: a cold endpoint warms up by small work");
}

#[test]
fn an_endpoint_is_cold_until_the_latest_end_that_was_stated() {
    let mut limits = Limits::default();
    assert!(limits.chill(at(0), ENDPOINT, TOLERATED, Duration::from_secs(3), true));
    // An entry that was written before says less.
    assert!(!limits.chill(at(100), ENDPOINT, TOLERATED, Duration::from_secs(1), true));
    assert!(limits.is_cold(at(2_900), ENDPOINT) && !limits.is_cold(at(3_000), ENDPOINT));
    limits.expire(at(3_000), |_| true);
    assert_eq!(limits.rate(ENDPOINT), None);
    // It may become cold again at any moment.
    assert!(limits.chill(at(9_000), ENDPOINT, TOLERATED, Duration::from_secs(3), true));
}

#[test]
fn a_service_whose_endpoints_are_never_cold_limits_nothing() {
    let mut limits = Limits::default();
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert!(!limits.chill(at(0), ENDPOINT, rate, Duration::from_secs(3), true));
    }
    assert!(!limits.chill(at(0), ENDPOINT, TOLERATED, Duration::ZERO, true));
    assert!(limits.is_empty());
}

#[test]
fn a_stated_limit_below_what_a_cold_endpoint_tolerates_stays_in_force() {
    let mut limits = Limits::default();
    limits.heard(at(0), ENDPOINT, Some(2.0), at(0));
    limits.chill(at(0), ENDPOINT, TOLERATED, Duration::from_secs(3), true);
    assert_eq!(limits.rate(ENDPOINT), Some(2.0));
    limits.heard(at(10), ENDPOINT, None, at(5));
    assert!(limits.rate(ENDPOINT).is_some_and(|rate| rate > 2.0));
}

/// Hosts that repeated each other's word would add the delay of each report to it, and an endpoint would stay cold
/// for as long as reports are late.
#[test]
fn what_a_peer_says_of_a_cold_endpoint_is_not_repeated() {
    let mut hosts = [Limits::default(), Limits::default()];
    hosts[0].chill(at(0), ENDPOINT, TOLERATED, Duration::from_secs(1), true);
    for millis in (0..3_000).step_by(300) {
        for (from, to) in [(0, 1), (1, 0)] {
            let told: Vec<Duration> = hosts[from]
                .told_cold(at(millis))
                .map(|(_, left)| left)
                .collect();
            for left in told {
                let arrived = at(millis + 250);
                hosts[to].chill(arrived, ENDPOINT, TOLERATED, left, false);
            }
        }
    }
    assert!(
        hosts
            .iter()
            .all(|limits| !limits.is_cold(at(1_300), ENDPOINT))
    );
}
