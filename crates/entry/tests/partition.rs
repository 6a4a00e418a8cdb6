//! Guards against customers that exceed their limit while 65 hosts are partitioned: each side admits
//! requests independently and receives no reports of the other.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use berylknot_coordination::clock::Instant;
use berylknot_entry::gossip::{Report, STANDBYS, View, next_report};
use berylknot_entry::quota::{Class, Quotas};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CUSTOMER: &str = "nursery";
const HOSTS: usize = 65;
/// Hosts that are cut off by the partition.
const ISOLATED_HOSTS: usize = 20;
const PARTITION_START_MS: u64 = 9_000;
const PARTITION_END_MS: u64 = 16_000;
const END_MS: u64 = 26_000;
const WINDOW_MS: u64 = 8_000;
/// Interval between the leader's reports to its standbys.
const STANDBY_INTERVAL_MS: u64 = 120;
const RATE: u64 = 123_000;
const BURST: u64 = 123_000;
/// Permitted overshoot of the limit, as a share and in tokens.
const OVERSHOOT: f64 = 0.1;
const OVERSHOOT_TOKENS: f64 = 120_000.0;
const GENERATION_TOKENS: u64 = 12_700;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, host as u8)), 7_500)
}

struct Host {
    quotas: Quotas,
    view: View,
    sequence: u64,
}

impl Host {
    fn new() -> Self {
        let mut quotas = Quotas::new(true, WINDOW_MS);
        quotas.configure(at(0), CUSTOMER, RATE, BURST);
        Self {
            quotas,
            view: View::default(),
            sequence: 0,
        }
    }

    fn report(&mut self) -> Report {
        self.sequence += 1;
        let mut report = Report::new(1, self.sequence);
        let totals = self.quotas.report();
        report.customers = totals
            .map(|(name, total)| (name.to_owned(), total))
            .collect();
        report
    }

    fn receive(&mut self, now: Instant, from: usize, report: Report) {
        let Some(delta) = self.view.apply(now, address(from), report) else {
            return;
        };
        for (customer, tokens) in delta.customers {
            self.quotas
                .admitted_elsewhere(now, delta.since, &customer, tokens);
        }
    }

    fn admits(&mut self, now: Instant) -> bool {
        let (hosts, unreachable) = self.view.hosts(now);
        self.quotas.set_hosts(now, hosts, unreachable);
        self.quotas
            .take(now, CUSTOMER, GENERATION_TOKENS, Class::Generation)
            .is_ok()
    }
}

/// Kind of partition.
#[derive(Clone, Copy, Debug)]
enum Partition {
    /// The last hosts are isolated, each from all others.
    Isolated,
    /// The last hosts and the leader are on one side, all other hosts on the other.
    Split,
}

impl Partition {
    /// Leader of a host's side: its first host.
    const fn leader(self, host: usize, now: u64) -> usize {
        if now < PARTITION_START_MS || now >= PARTITION_END_MS {
            return 0;
        }
        match self {
            Self::Isolated if host >= HOSTS - ISOLATED_HOSTS => host,
            Self::Split if host > 0 && host < HOSTS - ISOLATED_HOSTS => 1,
            Self::Isolated | Self::Split => 0,
        }
    }
}

/// Simulates a customer that requests `times` its rate; returns the times of its admissions and the
/// hosts that received the requests.
fn simulate(seed: u64, times: f64, partition: Partition) -> Vec<(u64, usize)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::new()).collect();
    let phases: Vec<f64> = (0..HOSTS).map(|_| random.random_range(0.0..1.0)).collect();
    // All hosts start at the same time.
    let mut next_due = [0; HOSTS];
    let mut admitted = Vec::new();
    let mut owed = 0.0;
    for now in 0..END_MS {
        for from in 0..HOSTS {
            let is_full = now >= next_due[from];
            if !is_full && (from > 0 || now % STANDBY_INTERVAL_MS > 0) {
                continue;
            }
            let receivers = if is_full { HOSTS } else { 1 + STANDBYS };
            next_due[from] = next_report(at(now), HOSTS - 1, phases[from]).as_millis();
            let report = hosts[from].report();
            for (to, host) in hosts.iter_mut().enumerate().take(receivers) {
                let cut_off = partition.leader(from, now) != partition.leader(to, now);
                if to != from && !cut_off {
                    host.receive(at(now), from, report.clone());
                }
            }
        }
        owed += RATE as f64 * times / 1_000.0;
        while owed >= GENERATION_TOKENS as f64 {
            owed -= GENERATION_TOKENS as f64;
            let asked = random.random_range(0..HOSTS);
            if hosts[partition.leader(asked, now)].admits(at(now)) {
                admitted.push((now, asked));
            }
        }
    }
    admitted
}

fn peak_window_tokens(admitted: &[(u64, usize)]) -> u64 {
    let sums = admitted.iter().enumerate().map(|(index, (start, _))| {
        let window = admitted[index..].iter();
        window
            .take_while(|(time, _)| *time < start + WINDOW_MS)
            .count() as u64
            * GENERATION_TOKENS
    });
    sums.max().unwrap_or(0)
}

#[test]
fn partitioned_hosts_together_stay_within_the_limit() {
    let limit = (RATE * WINDOW_MS / 1_000 + BURST) as f64;
    let bound = (limit * (1.0 + OVERSHOOT) + OVERSHOOT_TOKENS) as u64;
    for seed in 0..5 {
        for times in [3.0, 6.0] {
            for partition in [Partition::Isolated, Partition::Split] {
                let most = peak_window_tokens(&simulate(seed, times, partition));
                assert!(
                    most <= bound,
                    "seed {seed}, {times} times the rate, {partition:?}: {most} of {bound}"
                );
            }
        }
    }
}

#[test]
fn hosts_started_together_never_look_unreachable() {
    for seed in 0..5 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let phases: Vec<f64> = (0..HOSTS).map(|_| random.random_range(0.0..1.0)).collect();
        let mut next_due = [0; HOSTS];
        let (mut view, mut sequence) = (View::default(), 0);
        for now in 0..20_000 {
            for from in 1..HOSTS {
                if now < next_due[from] {
                    continue;
                }
                next_due[from] = next_report(at(now), HOSTS - 1, phases[from]).as_millis();
                sequence += 1;
                view.apply(at(now), address(from), Report::new(1, sequence));
            }
            let (_, unreachable) = view.hosts(at(now));
            assert!(
                unreachable == 0.0,
                "seed {seed}, at {now} ms: {unreachable}"
            );
        }
    }
}

#[test]
fn isolated_hosts_serve_a_customer_at_a_third_of_its_limit() {
    let (mut asked, mut served) = (0, 0);
    for seed in 0..5 {
        // A third of the rate is spread over all hosts, so an isolated host sees its share of it.
        let arrivals = (PARTITION_END_MS - PARTITION_START_MS) * RATE / 3_000
            * ISOLATED_HOSTS as u64
            / HOSTS as u64;
        asked += arrivals / GENERATION_TOKENS;
        let isolated = simulate(seed, 1.0 / 3.0, Partition::Isolated);
        served += isolated
            .iter()
            .filter(|(now, host)| Partition::Isolated.leader(*host, *now) > 0)
            .count() as u64;
    }
    assert!(served * 2 >= asked, "{served} of {asked} served");
}
