//! Guards against customers that exceed their limit when all hosts lose their state at once: each host
//! had half a second of every limit and decided for itself until it had heard from its peers. And
//! against refusals below the limit at hundreds of hosts, where a report covers several seconds and
//! counted as if all of it had been admitted at its arrival.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use berylknot_coordination::clock::Instant;
use berylknot_entry::gossip::{Rank, Report, View, next_report};
use berylknot_entry::quota::{Class, Quotas};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const CUSTOMER: &str = "binder";
const RATE: u64 = 110_924;
const WINDOW_MS: u64 = 8_000;
/// Permitted overshoot of the limit, as a share and in tokens.
const OVERSHOOT: f64 = 0.1;
const OVERSHOOT_TOKENS: f64 = 120_000.0;
const GENERATION_TOKENS: u64 = 5_700;
const CALL_TOKENS: u64 = 200;
const CALL_INTERVAL_MS: u64 = 20;
const END_MS: u64 = 28_000;
/// Traffic begins seconds after the first start of a deployment.
const TRAFFIC_START_MS: u64 = 4_000;
/// Largest difference between the starts of the hosts.
const START_SPREAD_MS: u64 = 300;
/// Time from the start until a host has read the announcements and the endpoints.
const STORE_READ_MS: u64 = 30;
/// One-way delay of a report.
const DELAY_MS: u64 = 2;
/// Longest wait of a request for the introduction of its host.
const INTRODUCTION_MS: u64 = 500;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn address(host: usize) -> SocketAddr {
    let [high, low] = (host as u16).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), 7_500)
}

struct Host {
    started: u64,
    next_report: u64,
    sequence: u64,
    is_known: bool,
    quotas: Quotas,
    view: View,
}

impl Host {
    fn new(started: u64, first_start: bool) -> Self {
        let mut quotas = Quotas::new(first_start, WINDOW_MS);
        quotas.configure(at(started), CUSTOMER, RATE, RATE);
        Self {
            started,
            next_report: started + STORE_READ_MS,
            sequence: 0,
            is_known: false,
            quotas,
            view: View::default(),
        }
    }

    fn rank(&self, now: u64) -> Rank {
        Rank::new(self.is_known, at(now).since(at(self.started)))
    }

    fn report(&mut self, now: u64) -> Report {
        self.sequence += 1;
        let mut report = Report::new(self.started + 1, self.sequence);
        report.is_able = true;
        report.uptime_ms = now - self.started;
        let totals = self.quotas.report();
        report.customers = totals
            .map(|(name, total)| (name.to_owned(), total))
            .collect();
        report
    }

    /// Applies a report; returns whether its sender is new and gets a report in return.
    fn receive(&mut self, now: u64, from: usize, report: Report) -> bool {
        if now < self.started {
            return false;
        }
        let is_new = !self.view.knows(address(from), report.incarnation);
        if let Some(delta) = self.view.apply(at(now), address(from), report) {
            for (customer, tokens) in delta.customers {
                self.quotas
                    .admitted_elsewhere(at(now), delta.since, &customer, tokens);
            }
        }
        is_new && self.is_known
    }

    fn count_hosts(&mut self, now: u64) {
        let (hosts, unreachable) = self.view.hosts(at(now));
        self.quotas.set_hosts(at(now), hosts, unreachable);
    }

    /// Whether its requests wait, since it has not heard from its peers yet.
    fn is_introducing(&mut self, now: u64) -> bool {
        self.count_hosts(now);
        now < self.started + INTRODUCTION_MS
            && (!self.is_known || self.quotas.is_partitioned())
            && !self.view.has_full_leader(at(now))
    }
}

/// What a customer was granted.
#[derive(Default)]
struct Outcome {
    /// Times of the admitted generations.
    generations: Vec<u64>,
    /// Plain calls that were asked for and that were admitted.
    calls: (u32, u32),
}

/// Plays a customer that requests `times` its rate in generations, and plain calls beside them, from
/// hosts that are all killed at `killed_at`.
fn play(seed: u64, hosts: usize, times: f64, killed_at: u64, down_ms: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let phases: Vec<f64> = (0..hosts).map(|_| random.random_range(0.0..1.0)).collect();
    let mut fleet: Vec<Host> = (0..hosts)
        .map(|_| Host::new(random.random_range(0..START_SPREAD_MS), true))
        .collect();
    // Time of arrival, sender, receiver (all peers if `None`) and report.
    let mut in_flight: Vec<(u64, usize, Option<usize>, Report)> = Vec::new();
    let mut waiting: Vec<(u64, usize)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut owed = 0.0;
    for now in 0..END_MS {
        if now == killed_at {
            for host in &mut fleet {
                let spread = random.random_range(0..START_SPREAD_MS);
                *host = Host::new(now + down_ms + spread, false);
            }
            in_flight.clear();
            waiting.clear();
        }
        for from in 0..hosts {
            let host = &mut fleet[from];
            if now < host.next_report {
                continue;
            }
            if !host.is_known {
                host.is_known = true;
                for peer in (0..hosts).filter(|peer| *peer != from) {
                    host.view.add_announced(at(now), address(peer));
                }
            }
            host.next_report = next_report(at(now), hosts - 1, phases[from]).as_millis();
            let report = host.report(now);
            in_flight.push((now + DELAY_MS, from, None, report));
        }
        let due: Vec<_> = in_flight.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, from, receiver, report) in due {
            for (to, host) in fleet.iter_mut().enumerate() {
                let is_receiver = receiver.map_or(to != from, |receiver| receiver == to);
                if is_receiver && host.receive(now, from, report.clone()) {
                    let answer = host.report(now);
                    in_flight.push((now + DELAY_MS, to, Some(from), answer));
                }
            }
        }
        if now >= TRAFFIC_START_MS {
            owed += RATE as f64 * times / 1_000.0;
        }
        while owed >= GENERATION_TOKENS as f64 {
            owed -= GENERATION_TOKENS as f64;
            let asked = random.random_range(0..hosts);
            if now >= fleet[asked].started {
                waiting.push((now, asked));
            }
        }
        for (arrived, asked) in std::mem::take(&mut waiting) {
            if fleet[asked].is_introducing(now) {
                waiting.push((arrived, asked));
                continue;
            }
            let rank = fleet[asked].rank(now);
            let leader = fleet[asked]
                .view
                .leader(at(now), address(asked).ip(), rank, |_| false);
            let decides = (0..hosts)
                .find(|host| Some(address(*host)) == leader)
                .unwrap_or(asked);
            let host = &mut fleet[decides];
            host.count_hosts(now);
            let taken = host
                .quotas
                .take(at(now), CUSTOMER, GENERATION_TOKENS, Class::Generation);
            if taken.is_ok() {
                outcome.generations.push(now);
            }
        }
        let asked = random.random_range(0..hosts);
        if now >= TRAFFIC_START_MS && now % CALL_INTERVAL_MS == 0 && now >= fleet[asked].started {
            let host = &mut fleet[asked];
            host.count_hosts(now);
            let taken = host
                .quotas
                .take(at(now), CUSTOMER, CALL_TOKENS, Class::Plain);
            outcome.calls.0 += 1;
            outcome.calls.1 += u32::from(taken.is_ok());
        }
    }
    outcome
}

fn peak_window_tokens(admitted: &[u64]) -> u64 {
    let sums = admitted.iter().enumerate().map(|(index, start)| {
        let window = admitted[index..].iter();
        window.take_while(|time| **time < start + WINDOW_MS).count() as u64 * GENERATION_TOKENS
    });
    sums.max().unwrap_or(0)
}

fn limit() -> f64 {
    (RATE * WINDOW_MS / 1_000 + RATE) as f64
}

#[parameterized(
    small = { 8 },
    grown = { 76 },
    large = { 295 },
)]
fn hosts_that_restart_together_stay_within_the_limit(hosts: usize) {
    let bound = (limit() * (1.0 + OVERSHOOT) + OVERSHOOT_TOKENS) as u64;
    for (seed, killed_at, down_ms) in [(0, 5_500, 500), (1, 9_600, 800), (2, 12_900, 1_400)] {
        let outcome = play(seed, hosts, 7.5, killed_at, down_ms);
        let calls =
            u64::from(outcome.calls.1) * CALL_TOKENS * WINDOW_MS / (END_MS - TRAFFIC_START_MS);
        let most = peak_window_tokens(&outcome.generations) + calls;
        assert!(
            most <= bound,
            "seed {seed}, killed at {killed_at}: {most} of {bound}"
        );
    }
}

#[parameterized(
    small = { 8 },
    grown = { 76 },
    large = { 295 },
)]
fn a_customer_below_its_limit_is_served_soon_after_a_restart(hosts: usize) {
    for (seed, killed_at, down_ms) in [(3, 9_600, 500), (4, 12_900, 1_400)] {
        let admitted = play(seed, hosts, 0.7, killed_at, down_ms).generations;
        // From the third second after the hosts are back, nine in ten of the requests.
        let from = killed_at + down_ms + 3_000;
        let served = admitted.iter().filter(|time| **time >= from).count() as f64;
        let asked = RATE as f64 * 0.7 * (END_MS - from) as f64 / 1_000.0 / GENERATION_TOKENS as f64;
        assert!(
            served >= asked * 0.9,
            "seed {seed}, killed at {killed_at}: {served} of {asked}"
        );
    }
}

#[parameterized(
    small = { 8 },
    grown = { 76 },
    large = { 295 },
)]
fn requests_below_the_limit_are_not_refused(hosts: usize) {
    for (seed, times) in [(5, 0.5), (6, 0.85)] {
        let outcome = play(seed, hosts, times, u64::MAX, 0);
        let (asked, served) = outcome.calls;
        assert!(
            served * 100 >= asked * 99,
            "seed {seed}: {served} of {asked} calls"
        );
        let seconds = (END_MS - TRAFFIC_START_MS) as f64 / 1_000.0;
        let asked = RATE as f64 * times * seconds / GENERATION_TOKENS as f64;
        let served = outcome.generations.len() as f64;
        assert!(
            served >= asked * 0.99 - 1.0,
            "seed {seed}: {served} of {asked} generations"
        );
    }
}
