//! Guards against failing endpoints that still get requests, and against healthy ones that are
//! overloaded because others failed once.

use berylknot_coordination::clock::Instant;
use berylknot_coordination::eject::Change;
use berylknot_entry::directory::{Key, Stage};
use berylknot_entry::health::{Group, Health, Suspicion};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn group() -> Group {
    Group {
        service: "engines".to_owned(),
        stage: Some(Stage::Prefill),
    }
}

fn endpoints(health: &mut Health, count: usize) -> Vec<Key> {
    endpoints_of(health, count, &group())
}

fn endpoints_of(health: &mut Health, count: usize, group: &Group) -> Vec<Key> {
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    let keys: Vec<Key> = (0..count).map(|_| keys.insert(())).collect();
    for key in &keys {
        health.add(*key, group.clone());
    }
    keys
}

#[test]
fn a_suspicion_expires() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 4);
    health.failed(at(0), keys[0], &group(), Suspicion::Faulty);
    assert_eq!(
        health.suspicion(at(700), keys[0], &group()),
        Some(Suspicion::Faulty)
    );
    assert_eq!(health.suspicion(at(800), keys[0], &group()), None);
    assert_eq!(health.suspicion(at(0), keys[1], &group()), None);
}

#[test]
fn a_faulty_suspicion_does_not_replace_a_silent_one() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 4);
    health.misdirected(at(0), keys[0]);
    health.suspect(at(100), keys[0], Suspicion::Faulty);
    assert_eq!(
        health.suspicion(at(3_500), keys[0], &group()),
        Some(Suspicion::Silent)
    );
    health.suspect(at(5_000), keys[0], Suspicion::Faulty);
    assert_eq!(
        health.suspicion(at(5_000), keys[0], &group()),
        Some(Suspicion::Faulty)
    );
}

/// Fails requests at an endpoint until it is ejected; returns the time of the ejection.
fn eject(health: &mut Health, key: Key, group: &Group) -> u64 {
    for now in (0..1_000).step_by(10) {
        if health.failed(at(now), key, group, Suspicion::Faulty) == Some(Change::Ejected) {
            return now;
        }
    }
    panic!("not ejected after a hundred failures");
}

#[test]
fn an_ejected_endpoint_is_silent_until_it_answers_probes() {
    let group = Group {
        stage: None,
        ..group()
    };
    let mut health = Health::default();
    let keys = endpoints_of(&mut health, 4, &group);
    let mut now = eject(&mut health, keys[0], &group) + 5_000;
    assert_eq!(
        health.suspicion(at(now), keys[0], &group),
        Some(Suspicion::Silent)
    );
    for _ in 0..100 {
        now += 1_000;
        if health.probe(at(now), &group) != Some(keys[0]) {
            continue;
        }
        if health.answered(at(now), keys[0], &group, 1.0) == Some(Change::Returned) {
            assert_eq!(health.suspicion(at(now), keys[0], &group), None);
            return;
        }
    }
    panic!("the endpoint was not returned after 100 probes");
}

#[test]
fn an_ejected_engine_is_used_again_after_its_ejection_time() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 4);
    let ejected = eject(&mut health, keys[0], &group());
    let suspicion =
        |health: &Health, after| health.suspicion(at(ejected + after), keys[0], &group());
    assert_eq!(suspicion(&health, 1_900), Some(Suspicion::Silent));
    assert_eq!(suspicion(&health, 2_000), None);
    health.failed(at(ejected + 2_100), keys[0], &group(), Suspicion::Faulty);
    assert_eq!(
        suspicion(&health, 5_900),
        Some(Suspicion::Silent),
        "the second ejection lasts twice as long"
    );
}

#[test]
fn a_single_server_error_raises_no_suspicion_but_repeated_ones_eject() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 4);
    assert_eq!(health.server_error(at(0), keys[0], &group()), None);
    assert_eq!(health.suspicion(at(0), keys[0], &group()), None);
    let ejected = (1..20).any(|now| health.server_error(at(now), keys[0], &group()).is_some());
    assert!(ejected && health.suspicion(at(20), keys[0], &group()) == Some(Suspicion::Silent));
}

#[test]
fn a_restart_clears_the_suspicion() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 2);
    health.misdirected(at(0), keys[0]);
    health.restarted(keys[0]);
    assert_eq!(health.suspicion(at(1), keys[0], &group()), None);
}

#[test]
fn a_reported_load_decays() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 1);
    health.record_load(at(0), keys[0], (6, 3, 6));
    let loads = [0, 750, 1_500].map(|now| health.reported_load(at(now), keys[0]));
    assert!((loads[0] - 1.5).abs() < 1e-9 && (loads[1] - 0.75).abs() < 1e-9 && loads[2] == 0.0);
}

/// Simulates eight seconds in which four of 25 engines fail every request immediately, while 22 requests
/// per second run for four seconds each at the other engines. Engines are chosen by the production
/// cost with `weight` for the failure rate. Returns the share of requests that failed after the first
/// second.
fn simulate(seed: u64, weight: f64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut health = Health::default();
    let engines = endpoints(&mut health, 25);
    let mut running: Vec<Vec<u64>> = vec![vec![4_000; 4]; engines.len()];
    let (mut requests, mut failed) = (0, 0);
    for now in (0..8_000).step_by(45) {
        for ends in &mut running {
            ends.retain(|end| *end > now);
        }
        let costs = running.iter().enumerate().map(|(index, ends)| {
            let load = ends.len() as f64 / 10.0;
            let cost = load + weight * health.failure_rate(at(now), engines[index]);
            (cost + random.random::<f64>() * 0.03, index)
        });
        let (_, index) = costs
            .min_by(|one, other| one.0.total_cmp(&other.0))
            .expect("engines");
        health.assigned(at(now), engines[index]);
        let fails = index < 4;
        if fails {
            running[index].clear();
            health.request_failed(at(now), engines[index]);
        } else {
            running[index].push(now + 4_000);
        }
        if now >= 1_000 {
            requests += 1;
            failed += u32::from(fails);
        }
    }
    f64::from(failed) / f64::from(requests)
}

#[test]
fn engines_that_fail_fast_do_not_attract_requests() {
    for seed in 0..10 {
        let share = simulate(seed, 1.5);
        assert!(share < 0.1, "seed {seed}: {share}");
        assert!(
            simulate(seed, 0.0) > 0.5,
            "seed {seed}: few failures without the failure rate"
        );
    }
}

#[test]
fn the_failure_rate_decays_and_one_failure_weighs_little() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 1);
    assert!(health.failure_rate(at(0), keys[0]) == 0.0);
    health.assigned(at(0), keys[0]);
    health.request_failed(at(0), keys[0]);
    assert!(health.failure_rate(at(0), keys[0]) <= 0.5);
    assert!(health.failure_rate(at(20_000), keys[0]) < 0.01);
}
