//! Guards against customers beyond their limit and against refusals below it, over several hosts.

use berylknot_coordination::clock::Instant;
use berylknot_entry::quota::{Class, Quotas};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CUSTOMER: &str = "nursery";
const RATE: u64 = 100_000;
const BURST: u64 = 100_000;
const WINDOW_MS: u64 = 8_000;
/// Bound of the users beside the limit itself.
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 120_000.0;
const GENERATION: u64 = 12_700;
const CALL: u64 = 200;
const REPORT_MS: u64 = 120;
const HOSTS: usize = 7;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn quotas(full: bool) -> Quotas {
    let mut quotas = Quotas::new(full, WINDOW_MS);
    quotas.configure(at(0), CUSTOMER, RATE, BURST);
    quotas
}

/// Several hosts that report to one another with a delay.
struct Fleet {
    hosts: Vec<Quotas>,
    seen: Vec<Vec<i64>>,
    /// Admitted tokens with their times.
    admitted: Vec<(u64, u64)>,
    divided: bool,
}

impl Fleet {
    fn new(full: bool) -> Self {
        Self {
            hosts: (0..HOSTS).map(|_| quotas(full)).collect(),
            seen: vec![vec![0; HOSTS]; HOSTS],
            admitted: Vec::new(),
            divided: false,
        }
    }

    fn ask(&mut self, now: u64, host: usize, tokens: u64, class: Class) -> bool {
        let taken = self.hosts[host]
            .take(at(now), CUSTOMER, tokens, class)
            .is_ok();
        if taken {
            self.admitted.push((now, tokens));
        }
        taken
    }

    fn report(&mut self, now: u64) {
        let totals: Vec<i64> = self
            .hosts
            .iter()
            .map(|host| host.report().next().map_or(0, |(_, total)| total))
            .collect();
        for host in 0..HOSTS {
            for (peer, total) in totals.iter().enumerate() {
                let apart = self.divided && (host < 1) != (peer < 1);
                if host == peer || apart {
                    continue;
                }
                let added = total - self.seen[host][peer];
                self.hosts[host].admitted_elsewhere(at(now), CUSTOMER, added);
                self.seen[host][peer] = *total;
            }
            let silent = match (self.divided, host) {
                (false, _) => 0,
                (true, 0) => HOSTS - 1,
                (true, _) => 1,
            };
            let unheard = silent as f64 / HOSTS as f64;
            self.hosts[host].set_hosts(at(now), HOSTS, unheard);
        }
    }

    /// All processes lose their memory.
    fn restart(&mut self, now: u64) {
        for host in &mut self.hosts {
            *host = Quotas::new(false, WINDOW_MS);
            host.configure(at(now), CUSTOMER, RATE, BURST);
        }
        self.seen = vec![vec![0; HOSTS]; HOSTS];
    }

    fn most_in_a_window(&self) -> u64 {
        let mut most = 0;
        for (index, (start, _)) in self.admitted.iter().enumerate() {
            let sum = self.admitted[index..]
                .iter()
                .take_while(|(time, _)| *time < start + WINDOW_MS)
                .map(|(_, tokens)| tokens)
                .sum();
            most = most.max(sum);
        }
        most
    }
}

fn bound() -> u64 {
    let limit = (RATE * WINDOW_MS / 1_000 + BURST) as f64;
    (limit * (1.0 + OVERSHOOT) + SLACK) as u64
}

/// Plays a customer that asks for `times` its rate at hosts that get unequal shares.
fn play(
    fleet: &mut Fleet,
    seed: u64,
    times: f64,
    until: u64,
    mut events: impl FnMut(&mut Fleet, u64),
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut owed = 0.0;
    for now in 0..until {
        events(fleet, now);
        if now % REPORT_MS == 0 {
            fleet.report(now);
        }
        owed += RATE as f64 * times / 1_000.0;
        while owed >= GENERATION as f64 {
            owed -= GENERATION as f64;
            let host = (random.random::<f64>().powi(2) * HOSTS as f64) as usize;
            fleet.ask(now, host, GENERATION, Class::Generation);
        }
    }
}

#[test]
fn a_customer_far_beyond_its_limit_stays_within_every_window() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(true);
        play(&mut fleet, seed, 7.5, 30_000, |_, _| {});
        assert!(
            fleet.most_in_a_window() <= bound(),
            "seed {seed}: {}",
            fleet.most_in_a_window()
        );
    }
}

#[test]
fn a_customer_below_its_limit_is_never_refused_once_hosts_know_each_other() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(true);
        play(&mut fleet, seed, 0.55, 30_000, |_, _| {});
        let asked = (RATE as f64 * 0.55 * 30.0 / GENERATION as f64) as usize;
        assert!(
            fleet.admitted.len() + 1 >= asked,
            "seed {seed}: {} of {asked}",
            fleet.admitted.len()
        );
    }
}

#[test]
fn a_burst_inside_the_window_is_served() {
    let mut quotas = quotas(true);
    let mut served = 0;
    // Three times the rate for two seconds, after silence: less than the window's limit.
    for now in (0..2_000).step_by(42) {
        served += u32::from(
            quotas
                .take(at(20_000 + now), CUSTOMER, GENERATION, Class::Generation)
                .is_ok(),
        );
    }
    assert!(
        served >= 33,
        "{served} of 48 served; the burst alone would allow 23"
    );
}

#[test]
fn a_loss_of_all_memory_does_not_give_a_second_window() {
    for seed in 0..10 {
        for lost_at in [2_000, 4_000, 6_500] {
            let mut fleet = Fleet::new(true);
            play(&mut fleet, seed, 4.9, 20_000, |fleet, now| {
                if now == lost_at + 1_000 {
                    fleet.restart(now);
                }
            });
            // Nobody serves for the second in which the processes start again.
            fleet
                .admitted
                .retain(|(time, _)| *time < lost_at || *time >= lost_at + 1_000);
            let most = fleet.most_in_a_window();
            assert!(
                most <= bound(),
                "seed {seed}, lost at {lost_at}: {most} of {}",
                bound()
            );
        }
    }
}

#[test]
fn both_parts_of_a_divided_fleet_stay_within_the_window_together() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(true);
        play(&mut fleet, seed, 4.0, 24_000, |fleet, now| {
            fleet.divided = (6_000..18_000).contains(&now);
        });
        assert!(
            fleet.most_in_a_window() <= bound(),
            "seed {seed}: {}",
            fleet.most_in_a_window()
        );
    }
}

#[test]
fn plain_calls_are_served_beside_generations_that_use_up_the_limit() {
    let mut quotas = quotas(true);
    let (mut calls, mut served) = (0, 0);
    for now in 0..30_000 {
        if now % 25 == 0 {
            // A generation each 25 ms is five times the rate.
            let _ = quotas.take(at(now), CUSTOMER, GENERATION, Class::Generation);
        }
        if now % 50 == 0 {
            calls += 1;
            served += u32::from(quotas.take(at(now), CUSTOMER, CALL, Class::Plain).is_ok());
        }
    }
    assert!(
        served * 20 >= calls * 19,
        "{served} of {calls} calls served"
    );
}

#[test]
fn the_stated_wait_is_long_enough() {
    let mut quotas = quotas(true);
    for now in 0..20_000 {
        let Err(wait) = quotas.take(at(now), CUSTOMER, GENERATION, Class::Generation) else {
            continue;
        };
        let later = at(now) + wait + std::time::Duration::from_millis(1);
        assert!(
            quotas
                .take(later, CUSTOMER, GENERATION, Class::Generation)
                .is_ok(),
            "at {now} for {wait:?}"
        );
        return;
    }
    panic!("the limit was never reached");
}

#[test]
fn tokens_of_a_request_that_did_not_run_are_given_back() {
    let mut quotas = quotas(true);
    for _ in 0..100 {
        quotas
            .take(at(0), CUSTOMER, GENERATION, Class::Generation)
            .expect("given back each time");
        quotas.refund(at(0), CUSTOMER, GENERATION);
    }
}
