//! Guards against prompts that queue at one prefill engine while others are idle, and against streams
//! that pause while their engine reads long prompts.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_entry::backlog::{Backlogs, decode_read_time, fits_decode};
use berylknot_entry::directory::{Key, Stage};
use berylknot_entry::health::{Group, Health, Suspicion};
use berylknot_entry::limits::Limits;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;

/// Prefill time of 5,000 tokens at a prefill engine; a decode engine takes twice as long.
const PREFILL_MS: u64 = 90;
/// Longest prefill latency that meets the latency objective (0.9 s minus queueing and decode).
const MAX_LATENCY_MS: u64 = 500;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn keys(count: usize) -> Vec<Key> {
    let mut keys: SlotMap<Key, ()> = SlotMap::with_key();
    (0..count).map(|_| keys.insert(())).collect()
}

#[test]
fn a_silent_engine_is_excluded() {
    let key = keys(1)[0];
    let backlogs = Backlogs::default();
    assert_eq!(
        backlogs.cost(at(0), key, true, Some(Suspicion::Silent)),
        None
    );
    assert_eq!(backlogs.cost(at(0), key, true, None), Some(0.0));
}

#[test]
fn a_backlog_drains_with_time_and_excludes_the_engine_while_too_long() {
    let key = keys(1)[0];
    let mut backlogs = Backlogs::default();
    backlogs.add(at(0), key, Duration::from_millis(1_000));
    backlogs.add(at(0), key, Duration::from_millis(500));
    assert_eq!(backlogs.cost(at(0), key, true, None), None);
    assert_eq!(backlogs.cost(at(400), key, true, None), Some(1_100.0));
    backlogs.expire(at(1_500));
    assert_eq!(backlogs.cost(at(1_500), key, true, None), Some(0.0));
}

#[test]
fn an_engine_in_another_data_centre_costs_less_than_two_prefills() {
    let key = keys(1)[0];
    let backlogs = Backlogs::default();
    let near = backlogs.cost(at(0), key, true, None);
    let far = backlogs.cost(at(0), key, false, None);
    assert!(near < far && far < Some(PREFILL_MS as f64 * 2.0));
}

/// Simulates four seconds in which three of four engines lose two answers in five, with 22 prompts of
/// 5,000 tokens per second; returns the share of prefills that finish in time.
fn simulate(seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let engines = keys(4);
    let group = Group {
        service: "engines".to_owned(),
        stage: Some(Stage::Prefill),
    };
    let mut health = Health::default();
    for engine in &engines {
        health.add(*engine, group.clone());
    }
    let mut backlogs = Backlogs::default();
    let mut busy_until = [0; 4];
    let (mut prompts, mut in_time) = (0, 0);
    for now in (0..4_000).step_by(45) {
        prompts += 1;
        let costs = engines.iter().enumerate().filter_map(|(index, key)| {
            let suspicion = health.suspicion(at(now), *key, &group);
            Some((backlogs.cost(at(now), *key, true, suspicion)?, index))
        });
        let Some((_, index)) = costs.min_by(|one, other| one.0.total_cmp(&other.0)) else {
            in_time += 1;
            continue;
        };
        backlogs.add(at(now), engines[index], Duration::from_millis(PREFILL_MS));
        if index > 0 && random.random::<f64>() < 0.4 {
            // The answer is lost at once, and the decode engine runs the prefill.
            health.failed(at(now), engines[index], &group, Suspicion::Faulty);
            in_time += 1;
            continue;
        }
        health.answered(at(now), engines[index], &group, 1.0);
        busy_until[index] = now.max(busy_until[index]) + PREFILL_MS;
        in_time += u32::from(busy_until[index] - now <= MAX_LATENCY_MS);
    }
    f64::from(in_time) / f64::from(prompts)
}

#[test]
fn prefills_finish_in_time_while_most_engines_lose_answers() {
    for seed in 0..10 {
        let share = simulate(seed);
        assert!(share > 0.95, "seed {seed}: {share}");
    }
}

/// Prompts whose reading at a decode engine would make its streams late, of 600 prompts at 10 a second
/// beside prefill engines that take eight requests a second, more than there are long prompts. Short
/// prompts leave these to long ones, or all prompts use them in the order of arrival.
fn late_readings(short_ones_yield: bool) -> usize {
    let gap_target = Duration::from_millis(300);
    let mut limits = Limits::default();
    limits.heard(at(0), "prefill", Some(8.0), at(0));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut late = 0;
    for prompt in 0..600 {
        let now = at(2_000 + prompt * 100);
        let tokens = random.random_range(500..10_000);
        let yields = short_ones_yield && fits_decode(tokens, gap_target);
        let is_at_prefill = !yields && limits.take(now, "prefill", 1.0).is_ok();
        late += usize::from(!is_at_prefill && decode_read_time(tokens) > gap_target);
    }
    late
}

#[test]
fn short_prompts_leave_limited_prefill_engines_to_long_ones() {
    let (before, after) = (late_readings(false), late_readings(true));
    assert!(before > 0, "the load is harmless");
    assert_eq!(after, 0, "{before} prompts before");
}

#[test]
fn decode_engine_that_reads_prompts_is_avoided_until_it_has_read_them() {
    let mut backlogs = Backlogs::default();
    let key = keys(1)[0];
    assert!(backlogs.reading_cost(at(0), key) <= 0.0);
    backlogs.add(at(0), key, decode_read_time(5_000));
    assert!(backlogs.reading_cost(at(0), key) > 0.2);
    assert!(backlogs.reading_cost(at(1_000), key) <= 0.0);
}
