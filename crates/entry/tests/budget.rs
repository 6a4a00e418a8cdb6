//! Guards against retry storms: the retries of all hosts together stay below the configured budget.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_entry::budget::{Budgets, Count};

const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const WINDOW_MS: u64 = 10_000;
const HOSTS: usize = 7;
const REPORT_MS: u64 = 120;
const SERVICE: &str = "counter";

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Simulates hosts that each get one request per `gap` ms and retry all of them; returns the retries
/// and requests of the window with the most retries.
fn simulate(gap: u64, partitioned: bool) -> (usize, usize) {
    let mut hosts: Vec<Budgets> = (0..HOSTS)
        .map(|_| Budgets::new(RATIO, SLACK, WINDOW_MS))
        .collect();
    let mut seen = vec![vec![Count::default(); HOSTS]; HOSTS];
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    for now in 0..40_000_u64 {
        if now % REPORT_MS == 0 {
            let totals: Vec<Count> = hosts
                .iter()
                .map(|host| {
                    host.report()
                        .next()
                        .map_or(Count::default(), |(_, count)| count)
                })
                .collect();
            for host in 0..HOSTS {
                for peer in 0..HOSTS {
                    if host == peer || partitioned {
                        continue;
                    }
                    let added = Count {
                        requests: totals[peer].requests - seen[host][peer].requests,
                        retries: totals[peer].retries - seen[host][peer].retries,
                    };
                    hosts[host].counted_elsewhere(at(now), SERVICE, added);
                    seen[host][peer] = totals[peer];
                }
                hosts[host].set_hosts(
                    HOSTS,
                    if partitioned { HOSTS - 1 } else { 0 },
                    Duration::from_millis(REPORT_MS),
                );
            }
        }
        for host in &mut hosts {
            if now % gap != 0 {
                continue;
            }
            host.request(at(now), SERVICE);
            requests.push(now);
            if host.try_retry(at(now), SERVICE) {
                retries.push(now);
            }
        }
    }
    let within = |times: &[u64], start: u64| {
        times
            .iter()
            .filter(|time| (start..start + WINDOW_MS).contains(time))
            .count()
    };
    (0..30_000_u64)
        .step_by(500)
        .map(|start| (within(&retries, start), within(&requests, start)))
        .max()
        .expect("windows")
}

fn assert_budget_holds(partitioned: bool) {
    for gap in [50, 200, 1_000] {
        let (retries, requests) = simulate(gap, partitioned);
        let bound = RATIO * requests as f64 + SLACK;
        assert!(
            retries as f64 <= bound,
            "{retries} retries for {requests} requests"
        );
    }
}

#[test]
fn retries_of_all_hosts_stay_within_the_budget() {
    assert_budget_holds(false);
}

#[test]
fn retries_of_partitioned_hosts_stay_within_the_budget() {
    assert_budget_holds(true);
}

#[test]
fn the_slack_allows_a_retry_after_the_first_request() {
    let mut budgets = Budgets::new(RATIO, SLACK, WINDOW_MS);
    budgets.request(at(0), SERVICE);
    assert!(budgets.try_retry(at(0), SERVICE));
}

#[test]
fn retries_of_many_hosts_with_delayed_counts_stay_within_the_budget() {
    const MANY_HOSTS: usize = 60;
    const REPORT_DELAY_MS: u64 = 1_000;
    let slack = 170.0;
    let mut hosts: Vec<Budgets> = (0..MANY_HOSTS)
        .map(|_| Budgets::new(RATIO, slack, WINDOW_MS))
        .collect();
    for host in &mut hosts {
        host.set_hosts(MANY_HOSTS, 0, Duration::from_millis(REPORT_DELAY_MS));
    }
    let mut known = vec![Count::default(); MANY_HOSTS];
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for now in 0..WINDOW_MS {
        if now % REPORT_DELAY_MS == 0 {
            let totals: Vec<Count> = hosts
                .iter()
                .map(|host| {
                    host.report()
                        .next()
                        .map_or(Count::default(), |(_, count)| count)
                })
                .collect();
            for (index, host) in hosts.iter_mut().enumerate() {
                for peer in (0..MANY_HOSTS).filter(|peer| *peer != index) {
                    let added = Count {
                        requests: totals[peer].requests - known[peer].requests,
                        retries: totals[peer].retries - known[peer].retries,
                    };
                    host.counted_elsewhere(at(now), SERVICE, added);
                }
            }
            known = totals;
        }
        // At every host five calls per second fail at all endpoints.
        for host in hosts.iter_mut().filter(|_| now % 200 == 0) {
            host.request(at(now), SERVICE);
            requests += 1;
            retries += u32::from(host.try_retry(at(now), SERVICE));
            retries += u32::from(host.try_retry(at(now), SERVICE));
        }
    }
    let bound = RATIO * f64::from(requests) + slack;
    assert!(
        f64::from(retries) <= bound,
        "{retries} retries for {requests} requests"
    );
}

#[test]
fn charged_retries_exhaust_the_budget() {
    let mut budgets = Budgets::new(RATIO, SLACK, WINDOW_MS);
    for _ in 0..SLACK as u32 {
        budgets.charge(at(0), SERVICE);
    }
    assert!(!budgets.try_retry(at(0), SERVICE));
}
