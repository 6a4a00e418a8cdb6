//! Guards against endpoints that are chosen although they fail, and against sound ones that get all
//! requests because others failed once.

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
fn a_doubt_ends_by_itself() {
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
fn a_fault_does_not_hide_silence() {
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

/// Fails requests at an endpoint until it is ejected; returns the time.
fn eject(health: &mut Health, key: Key, group: &Group) -> u64 {
    for now in (0..1_000).step_by(10) {
        if health.failed(at(now), key, group, Suspicion::Faulty) == Some(Change::Ejected) {
            return now;
        }
    }
    panic!("not ejected after a hundred failures");
}

#[test]
fn an_ejected_endpoint_counts_as_silent_until_it_answers_probes() {
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
    panic!("it did not come back");
}

#[test]
fn an_ejected_engine_is_tried_again_when_its_time_is_over() {
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
        "twice as long"
    );
}

#[test]
fn errors_eject_an_endpoint_and_a_single_one_raises_no_doubt() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 4);
    assert_eq!(health.server_error(at(0), keys[0], &group()), None);
    assert_eq!(health.suspicion(at(0), keys[0], &group()), None);
    let ejected = (1..20).any(|now| health.server_error(at(now), keys[0], &group()).is_some());
    assert!(ejected && health.suspicion(at(20), keys[0], &group()) == Some(Suspicion::Silent));
}

#[test]
fn a_restart_clears_what_was_suspected_before() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 2);
    health.misdirected(at(0), keys[0]);
    health.restarted(keys[0]);
    assert_eq!(health.suspicion(at(1), keys[0], &group()), None);
}

#[test]
fn a_stated_load_fades() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 1);
    health.note_load(at(0), keys[0], (6, 3, 6));
    let loads = [0, 750, 1_500].map(|now| health.reported_load(at(now), keys[0]));
    assert!((loads[0] - 1.5).abs() < 1e-9 && (loads[1] - 0.75).abs() < 1e-9 && loads[2] == 0.0);
}

/// Plays eight seconds in which four of 25 engines fail every request at once, and 22 requests a second
/// stay for four seconds at the others; returns the share of requests that failed after the first
/// second. The cost is the one by which engines are chosen.
fn play(seed: u64, weight: f64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut health = Health::default();
    let engines = endpoints(&mut health, 25);
    let mut running: Vec<Vec<u64>> = vec![vec![4_000; 4]; engines.len()];
    let (mut asked, mut failed) = (0, 0);
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
            asked += 1;
            failed += u32::from(fails);
        }
    }
    f64::from(failed) / f64::from(asked)
}

#[test]
fn engines_that_fail_at_once_do_not_draw_the_requests() {
    for seed in 0..10 {
        let share = play(seed, 1.5);
        assert!(share < 0.1, "seed {seed}: {share}");
        assert!(play(seed, 0.0) > 0.5, "seed {seed} shows nothing");
    }
}

#[test]
fn a_record_fades_and_one_failure_weighs_little() {
    let mut health = Health::default();
    let keys = endpoints(&mut health, 1);
    assert!(health.failure_rate(at(0), keys[0]) == 0.0);
    health.assigned(at(0), keys[0]);
    health.request_failed(at(0), keys[0]);
    assert!(health.failure_rate(at(0), keys[0]) <= 0.5);
    assert!(health.failure_rate(at(20_000), keys[0]) < 0.01);
}
