//! Guards against customers beyond their limit while many of sixty hosts are cut off, each from all
//! others: each decides alone, and hears of no admission elsewhere.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use berylknot_coordination::clock::Instant;
use berylknot_entry::gossip::{Report, View, next_report};
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

    fn hear(&mut self, now: Instant, from: usize, report: Report) {
        let Some(delta) = self.view.hear(now, address(from), report) else {
            return;
        };
        for (customer, tokens) in delta.customers {
            self.quotas.admitted_elsewhere(now, &customer, tokens);
        }
    }

    fn admits(&mut self, now: Instant) -> bool {
        let (_, known) = self.view.silent(now);
        let unheard = self.view.unheard(now);
        self.quotas.set_hosts(now, known + 1, unheard);
        self.quotas
            .take(now, CUSTOMER, GENERATION, Class::Generation)
            .is_ok()
    }
}

const fn is_cut(host: usize, now: u64) -> bool {
    // The hosts that come last, so that the one that decides for all is not among them.
    host >= HOSTS - LONE && now >= CUT_FROM_MS && now < CUT_UNTIL_MS
}

/// Plays a customer that asks for `times` its rate; returns its admissions with the hosts that asked.
fn play(seed: u64, times: f64) -> Vec<(u64, usize)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::new()).collect();
    let phases: Vec<f64> = (0..HOSTS).map(|_| random.random_range(0.0..1.0)).collect();
    // All start together.
    let mut due = [0; HOSTS];
    let mut admitted = Vec::new();
    let mut owed = 0.0;
    for now in 0..END_MS {
        for from in 0..HOSTS {
            if now < due[from] {
                continue;
            }
            due[from] = next_report(at(now), HOSTS - 1, phases[from]).as_millis();
            let report = hosts[from].report();
            for (to, host) in hosts.iter_mut().enumerate() {
                if to != from && !is_cut(from, now) && !is_cut(to, now) {
                    host.hear(at(now), from, report.clone());
                }
            }
        }
        owed += RATE as f64 * times / 1_000.0;
        while owed >= GENERATION as f64 {
            owed -= GENERATION as f64;
            let asked = random.random_range(0..HOSTS);
            let deciding = if is_cut(asked, now) { asked } else { 0 };
            if hosts[deciding].admits(at(now)) {
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
            let most = most_in_a_window(&play(seed, times));
            assert!(
                most <= bound,
                "seed {seed}, {times} times the rate: {most} of {bound}"
            );
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
                view.hear(at(now), address(from), Report::new(1, sequence));
            }
            let unheard = view.unheard(at(now));
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
        let lone = play(seed, 1.0 / 3.0);
        served += lone
            .iter()
            .filter(|(now, host)| is_cut(*host, *now))
            .count() as u64;
    }
    assert!(served * 2 >= asked, "{served} of {asked} served");
}
