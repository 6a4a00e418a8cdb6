//! Guards against customers beyond their limit while sixty hosts are divided: each part decides by
//! itself, and hears of no admission elsewhere.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use berylknot_coordination::clock::Instant;
use berylknot_entry::gossip::{Report, STANDBYS, View, next_report};
use berylknot_entry::quota::{Class, Quotas};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CUSTOMER: &str = "nursery";
const HOSTS: usize = 65;
/// Hosts that are cut off.
const LONE: usize = 20;
const CUT_FROM_MS: u64 = 9_000;
const CUT_UNTIL_MS: u64 = 16_000;
const END_MS: u64 = 26_000;
const WINDOW_MS: u64 = 8_000;
/// Pause between the reports of the deciding host to its deputies.
const STANDBYS_MS: u64 = 120;
const RATE: u64 = 123_000;
const BURST: u64 = 123_000;
/// Bound of the users beside the limit itself.
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 120_000.0;
const GENERATION: u64 = 12_700;

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
            self.quotas.admitted_elsewhere(now, &customer, tokens);
        }
    }

    fn admits(&mut self, now: Instant) -> bool {
        let (hosts, unheard) = self.view.hosts(now);
        self.quotas.set_hosts(now, hosts, unheard);
        self.quotas
            .take(now, CUSTOMER, GENERATION, Class::Generation)
            .is_ok()
    }
}

/// How the hosts are divided while the network is.
#[derive(Clone, Copy, Debug)]
enum Division {
    /// The last hosts are cut off, each from all others.
    Lone,
    /// The last hosts are cut off together, and with them the one that decides for all.
    Group,
}

impl Division {
    /// The part of a host, by its first host, which decides for it.
    const fn decider(self, host: usize, now: u64) -> usize {
        if now < CUT_FROM_MS || now >= CUT_UNTIL_MS {
            return 0;
        }
        match self {
            Self::Lone if host >= HOSTS - LONE => host,
            Self::Group if host > 0 && host < HOSTS - LONE => 1,
            Self::Lone | Self::Group => 0,
        }
    }
}

/// Plays a customer that asks for `times` its rate; returns its admissions with the hosts that asked.
fn play(seed: u64, times: f64, division: Division) -> Vec<(u64, usize)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::new()).collect();
    let phases: Vec<f64> = (0..HOSTS).map(|_| random.random_range(0.0..1.0)).collect();
    // All start together.
    let mut due = [0; HOSTS];
    let mut admitted = Vec::new();
    let mut owed = 0.0;
    for now in 0..END_MS {
        for from in 0..HOSTS {
            let is_full = now >= due[from];
            if !is_full && (from > 0 || now % STANDBYS_MS > 0) {
                continue;
            }
            let informed = if is_full { HOSTS } else { 1 + STANDBYS };
            due[from] = next_report(at(now), HOSTS - 1, phases[from]).as_millis();
            let report = hosts[from].report();
            for (to, host) in hosts.iter_mut().enumerate().take(informed) {
                let apart = division.decider(from, now) != division.decider(to, now);
                if to != from && !apart {
                    host.receive(at(now), from, report.clone());
                }
            }
        }
        owed += RATE as f64 * times / 1_000.0;
        while owed >= GENERATION as f64 {
            owed -= GENERATION as f64;
            let asked = random.random_range(0..HOSTS);
            if hosts[division.decider(asked, now)].admits(at(now)) {
                admitted.push((now, asked));
            }
        }
    }
    admitted
}

fn most_in_a_window(admitted: &[(u64, usize)]) -> u64 {
    let sums = admitted.iter().enumerate().map(|(index, (start, _))| {
        let window = admitted[index..].iter();
        window
            .take_while(|(time, _)| *time < start + WINDOW_MS)
            .count() as u64
            * GENERATION
    });
    sums.max().unwrap_or(0)
}

#[test]
fn hosts_that_are_cut_off_do_not_use_the_limit_once_more() {
    let limit = (RATE * WINDOW_MS / 1_000 + BURST) as f64;
    let bound = (limit * (1.0 + OVERSHOOT) + SLACK) as u64;
    for seed in 0..5 {
        for times in [3.0, 6.0] {
            for division in [Division::Lone, Division::Group] {
                let most = most_in_a_window(&play(seed, times, division));
                assert!(
                    most <= bound,
                    "seed {seed}, {times} times the rate, {division:?}: {most} of {bound}"
                );
            }
        }
    }
}

#[test]
fn hosts_that_started_together_hear_one_another_all_the_time() {
    for seed in 0..5 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let phases: Vec<f64> = (0..HOSTS).map(|_| random.random_range(0.0..1.0)).collect();
        let mut due = [0; HOSTS];
        let (mut view, mut sequence) = (View::default(), 0);
        for now in 0..20_000 {
            for from in 1..HOSTS {
                if now < due[from] {
                    continue;
                }
                due[from] = next_report(at(now), HOSTS - 1, phases[from]).as_millis();
                sequence += 1;
                view.apply(at(now), address(from), Report::new(1, sequence));
            }
            let (_, unheard) = view.hosts(at(now));
            assert!(unheard == 0.0, "seed {seed}, at {now} ms: {unheard}");
        }
    }
}

#[test]
fn a_customer_at_a_third_of_its_limit_is_served_by_hosts_that_were_just_cut_off() {
    let (mut asked, mut served) = (0, 0);
    for seed in 0..5 {
        // A third of the rate arrives everywhere, so a lone host sees a part of what is left.
        let arrivals = (CUT_UNTIL_MS - CUT_FROM_MS) * RATE / 3_000 * LONE as u64 / HOSTS as u64;
        asked += arrivals / GENERATION;
        let lone = play(seed, 1.0 / 3.0, Division::Lone);
        served += lone
            .iter()
            .filter(|(now, host)| Division::Lone.decider(*host, *now) > 0)
            .count() as u64;
    }
    assert!(served * 2 >= asked, "{served} of {asked} served");
}
