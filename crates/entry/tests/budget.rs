//! Guards against retry storms: repeats of all hosts together stay below the users' bound.

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

/// Plays hosts that each get a request per `gap` ms and repeat all of them; returns the most repeats and
/// the requests of the worst window.
fn play(gap: u64, divided: bool) -> (usize, usize) {
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
                    if host == peer || divided {
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
                    if divided { HOSTS - 1 } else { 0 },
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

fn stay_below_the_bound(divided: bool) {
    for gap in [50, 200, 1_000] {
        let (retries, requests) = play(gap, divided);
        let bound = RATIO * requests as f64 + SLACK;
        assert!(
            retries as f64 <= bound,
            "{retries} retries for {requests} requests"
        );
    }
}

#[test]
fn hosts_together_stay_below_the_bound() {
    stay_below_the_bound(false);
}

#[test]
fn hosts_that_do_not_hear_each_other_stay_below_the_bound() {
    stay_below_the_bound(true);
}

#[test]
fn a_few_repeats_are_allowed_at_once() {
    let mut budgets = Budgets::new(RATIO, SLACK, WINDOW_MS);
    budgets.request(at(0), SERVICE);
    assert!(budgets.try_retry(at(0), SERVICE));
}

#[test]
fn many_hosts_with_late_counts_stay_below_the_bound() {
    const MANY: usize = 60;
    const LATE_MS: u64 = 1_000;
    let slack = 170.0;
    let mut hosts: Vec<Budgets> = (0..MANY)
        .map(|_| Budgets::new(RATIO, slack, WINDOW_MS))
        .collect();
    for host in &mut hosts {
        host.set_hosts(MANY, 0, Duration::from_millis(LATE_MS));
    }
    let mut known = vec![Count::default(); MANY];
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for now in 0..WINDOW_MS {
        if now % LATE_MS == 0 {
            let totals: Vec<Count> = hosts
                .iter()
                .map(|host| {
                    host.report()
                        .next()
                        .map_or(Count::default(), |(_, count)| count)
                })
                .collect();
            for (index, host) in hosts.iter_mut().enumerate() {
                for peer in (0..MANY).filter(|peer| *peer != index) {
                    let added = Count {
                        requests: totals[peer].requests - known[peer].requests,
                        retries: totals[peer].retries - known[peer].retries,
                    };
                    host.counted_elsewhere(at(now), SERVICE, added);
                }
            }
            known = totals;
        }
        // Every host sees five calls a second fail at all endpoints.
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
fn sends_that_turn_out_to_be_repeats_use_up_the_budget() {
    let mut budgets = Budgets::new(RATIO, SLACK, WINDOW_MS);
    for _ in 0..SLACK as u32 {
        budgets.charge(at(0), SERVICE);
    }
    assert!(!budgets.try_retry(at(0), SERVICE));
}
