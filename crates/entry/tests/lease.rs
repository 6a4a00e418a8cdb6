//! Guards against two hosts that send orders at the same time, when the log answers late or not at all
//! and holders freeze.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::history::{Era, Position};
use berylknot_entry::lease::{Lease, Step};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const LEASE_MS: u64 = 3_000;
const HOSTS: usize = 3;
const SEEDS: u64 = 1_500;
/// Longest time after which the store carries out a claim that it has not answered.
const MAX_CLAIM_DELAY_MS: u64 = 12_000;
/// Longest time between the check of the lease and the arrival of the order at an engine.
const MAX_ORDER_DELAY_MS: u64 = 200;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn lease(name: &str) -> Lease {
    Lease::new(name.to_owned(), Duration::from_millis(LEASE_MS), true)
}

fn position(offset: u64) -> Position {
    Position::new(Era(0), offset)
}

#[test]
fn the_first_holder_may_send_orders_at_once() {
    let mut lease = lease("a");
    assert_eq!(lease.step(at(0)), Step::Read);
    lease.read(at(0), position(0), None);
    assert_eq!(lease.step(at(1)), Step::Claim(position(0)));
    lease.claimed(at(1), position(0));
    assert_eq!(lease.step(at(2)), Step::Hold(0));
}

#[test]
fn a_holder_stops_before_its_lease_expires_and_claims_again() {
    let mut lease = lease("a");
    lease.read(at(0), position(0), None);
    lease.claimed(at(0), position(0));
    assert_eq!(lease.token(at(LEASE_MS - 600)), None);
    assert_eq!(lease.step(at(LEASE_MS)), Step::Claim(position(1)));
}

#[test]
fn a_new_holder_waits_for_expiry_and_one_more_lease() {
    let mut lease = lease("b");
    lease.read(at(0), position(5), Some("a".to_owned()));
    assert_eq!(lease.step(at(LEASE_MS)), Step::Wait);
    let free = LEASE_MS * 2;
    assert_eq!(lease.step(at(free)), Step::Claim(position(5)));
    lease.claimed(at(free), position(5));
    assert_eq!(lease.step(at(free + 1)), Step::Wait);
    assert_eq!(lease.step(at(free + LEASE_MS)), Step::Hold(5));
}

#[test]
fn a_fenced_holder_reads_the_log_again() {
    let mut lease = lease("a");
    lease.read(at(0), position(0), None);
    lease.claimed(at(0), position(0));
    lease.fenced();
    assert_eq!(lease.step(at(1)), Step::Read);
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    holder: usize,
    token: u64,
    time: u64,
}

/// Claims in the log: host and time of the claim.
type Claims = Vec<(usize, u64)>;

/// Reads the log for a host whose store is in the era `era`.
fn read(lease: &mut Lease, now: u64, era: Era, log: &Claims) {
    let end = Position::new(era, log.len() as u64);
    let holder = log.last().map(|(host, _)| host.to_string());
    lease.read(at(now), end, holder);
}

/// A claim without an answer that the store carries out later.
#[derive(Clone, Copy, Debug)]
struct LateClaim {
    due: u64,
    host: usize,
    at: Position,
}

/// Simulates hosts that all try to send orders all the time, and restart and restore the store with the
/// given probability at each step; returns the orders by arrival time. Claims without an answer may be
/// `late`.
fn simulate(seed: u64, restore_probability: f64, late: bool) -> Vec<Sent> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut log = Claims::new();
    let mut era = Era(0);
    let mut leases: Vec<Lease> = (0..HOSTS).map(|host| lease(&host.to_string())).collect();
    for lease in &mut leases {
        lease.observe(era);
    }
    let mut frozen_until = [0_u64; HOSTS];
    let mut sent = Vec::new();
    let mut late_claims: Vec<LateClaim> = Vec::new();
    for now in (0..120_000).step_by(50) {
        late_claims.retain(|claim| {
            let is_due = claim.due <= now;
            if is_due && claim.at == Position::new(era, log.len() as u64) {
                log.push((claim.host, now));
            }
            !is_due
        });
        if restore_probability > 0.0 && random.random_bool(restore_probability) {
            era.0 += 1;
            let copied_at = now - random.random_range(0..9_000).min(now);
            log.retain(|(_, claimed_at)| *claimed_at <= copied_at);
        }
        for host in 0..HOSTS {
            if restore_probability > 0.0 && random.random_bool(restore_probability) {
                let name = host.to_string();
                leases[host] = Lease::new(name, Duration::from_millis(LEASE_MS), false);
            }
            if restore_probability > 0.0 && random.random_bool(0.03) {
                leases[host].observe(era);
            }
            if now < frozen_until[host] {
                continue;
            }
            if random.random_bool(0.002) {
                frozen_until[host] = now + random.random_range(500..9_000);
                continue;
            }
            match leases[host].step(at(now)) {
                Step::Wait => {}
                Step::Read => read(&mut leases[host], now, era, &log),
                Step::Claim(end) => {
                    let answered = random.random_bool(0.8);
                    if late && !answered && random.random_bool(0.5) {
                        late_claims.push(LateClaim {
                            due: now + random.random_range(50..MAX_CLAIM_DELAY_MS),
                            host,
                            at: end,
                        });
                        leases[host].claim_failed();
                        continue;
                    }
                    if end.offset == log.len() as u64 {
                        log.push((host, now));
                        if answered && end.era == era {
                            leases[host].claimed(at(now), end);
                            continue;
                        }
                    }
                    leases[host].claim_failed();
                    if answered {
                        leases[host].observe(era);
                    }
                }
                Step::Hold(token) => {
                    let time = now + random.random_range(0..MAX_ORDER_DELAY_MS);
                    sent.push(Sent {
                        holder: host,
                        token,
                        time,
                    });
                }
            }
        }
    }
    sent.sort_by_key(|sent| sent.time);
    sent
}

#[parameterized(
    store_keeps_all = { 0.0, false },
    store_is_restored_and_hosts_restart = { 0.002, false },
    claims_are_late = { 0.0, true },
    claims_are_late_and_store_is_restored = { 0.002, true },
)]
fn orders_of_two_holders_are_at_least_one_lease_apart(restore_probability: f64, late: bool) {
    let mut handovers = 0;
    for seed in 0..SEEDS {
        let sent = simulate(seed, restore_probability, late);
        for pair in sent.windows(2) {
            if pair[0].holder == pair[1].holder {
                continue;
            }
            handovers += 1;
            assert!(pair[0].token < pair[1].token, "seed {seed}: {pair:?}");
            let gap = pair[1].time - pair[0].time;
            assert!(
                gap >= LEASE_MS - MAX_ORDER_DELAY_MS,
                "seed {seed}: {pair:?}"
            );
        }
    }
    assert!(handovers > 100, "{handovers} handovers");
}
