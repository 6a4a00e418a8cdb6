//! Guards against prompts that are read again although an idle engine holds them, and against prompts that wait at
//! a busy engine for longer than the reading takes.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::prefix::{Part, Prefixes, saved_ms};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Instant = Instant::from_millis(10_000);
const CAPACITY: u32 = 70_000;
const MS_PER_TOKEN: f64 = 0.018;

const fn part(id: u64, tokens: u32) -> Part<u64> {
    Part { id, tokens }
}

#[test]
fn only_the_first_parts_in_a_row_are_saved() {
    let mut prefixes = Prefixes::default();
    prefixes.read(
        START,
        'a',
        &[part(1, 200), part(2, 1_000), part(3, 4_000)],
        CAPACITY,
    );
    let held = |prompt: &[Part<u64>]| prefixes.held(START, 'a', prompt);
    assert_eq!(held(&[part(1, 200), part(2, 1_000), part(9, 4_000)]), 1_200);
    assert_eq!(held(&[part(9, 200), part(2, 1_000)]), 0);
    assert_eq!(prefixes.held(START, 'b', &[part(1, 200)]), 0);
}

#[test]
fn parts_used_longest_ago_give_way_and_old_ones_are_not_trusted() {
    let mut prefixes = Prefixes::default();
    for id in 0..10 {
        prefixes.read(START, 'a', &[part(id, 5_000)], CAPACITY);
    }
    assert_eq!(prefixes.held(START, 'a', &[part(2, 5_000)]), 0);
    assert_eq!(prefixes.held(START, 'a', &[part(9, 5_000)]), 5_000);
    let later = START + Duration::from_secs(20);
    assert_eq!(prefixes.held(later, 'a', &[part(9, 5_000)]), 0);
    prefixes.expire(later);
    prefixes.remove('a');
    assert_eq!(prefixes.held(START, 'a', &[part(9, 5_000)]), 0);
}

/// Six engines that read prompts one after the other, of which a third returns within seconds. Returns the mean wait
/// for a prompt to be read, in milliseconds, and the tokens read. Engines hold what their memory allows.
fn play(weighs: bool, prefers_holder: bool, interval_ms: u64) -> (f64, u64) {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut prefixes: Prefixes<usize, u64> = Prefixes::default();
    let mut busy_until = [0.0_f64; 6];
    let (mut waits, mut read, mut recent) = (0.0, 0, Vec::new());
    const PROMPTS: u64 = 2_000;
    for number in 0..PROMPTS {
        let time = (number * interval_ms) as f64;
        let now = START + Duration::from_millis(number * interval_ms);
        let session = if random.random_bool(0.35) && recent.len() > 20 {
            recent[recent.len() - random.random_range(1..20)]
        } else {
            1_000 + number
        };
        recent.push(session);
        let prompt = [part(1, 200), part(session, 5_000)];
        let cost = |engine: usize| {
            let held = prefixes.held(now, engine, &prompt);
            let wait = (busy_until[engine] - time).max(0.0);
            match (weighs, prefers_holder) {
                (true, _) => wait - saved_ms(held, MS_PER_TOKEN),
                (_, true) => wait - f64::from(held) * 1_000.0,
                _ => wait,
            }
        };
        let engine = (0..6).min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        let engine = engine.expect("six engines");
        let missing = 5_200 - prefixes.held(now, engine, &prompt);
        prefixes.read(now, engine, &prompt, CAPACITY);
        let end = busy_until[engine].max(time) + f64::from(missing) * MS_PER_TOKEN;
        busy_until[engine] = end;
        waits += end - time;
        read += u64::from(missing);
    }
    (waits / PROMPTS as f64, read)
}

#[test]
fn the_saved_reading_is_weighed_against_the_wait() {
    // 52 prompts a second, near what six engines can read.
    let (before, read_before) = play(false, false, 19);
    let (weighed, read) = play(true, false, 19);
    let (sticky, _) = play(false, true, 19);
    println!(
        "by wait {before:.0} ms, {read_before} tokens; weighed {weighed:.0} ms, {read} tokens; holder first {sticky:.0} ms"
    );
    assert!(
        read * 10 < read_before * 9,
        "{read} of {read_before} tokens"
    );
    assert!(
        weighed < before && weighed < sticky,
        "{weighed}, {before}, {sticky}"
    );
}
