//! Guards against engines that are overloaded, which causes preemptions and repeated prefills, or left
//! half empty.

use berylknot_coordination::clock::Instant;
use berylknot_entry::directory::Key;
use berylknot_entry::ledger::{Capacity, Ledger, Run, peak};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CAPACITY: Capacity = Capacity {
    slots: 12,
    kv_tokens: 71_518,
};
/// Registry workload: prompt and output tokens of a request, deviation of lengths and of estimates,
/// and the output limit.
const PROMPT_TOKENS: f64 = 5_200.0;
const OUTPUT_TOKENS: f64 = 4_060.0;
const DEVIATION: f64 = 0.5;
const MAX_OUTPUT_TOKENS: f64 = 7_540.0;
/// Output tokens per generation and simulation step.
const TOKENS_PER_STEP: u32 = 58;
const SEEDS: u64 = 20;
const STEPS: u32 = 4_000;

#[test]
fn the_peak_of_finished_runs_is_the_sum_of_their_tokens() {
    let mut runs = [Run {
        held: 5_000,
        left: 0,
    }; 3];
    assert_eq!(peak(&mut runs), 15_000);
}

#[test]
fn a_run_that_ends_first_frees_its_memory_for_the_rest() {
    let short = Run {
        held: 10_000,
        left: 10,
    };
    let long = Run {
        held: 10_000,
        left: 10_000,
    };
    let both = peak(&mut [short, long]);
    assert!(
        both < 10_010 + 20_000 + 10_000,
        "the short run is gone when the long one ends: {both}"
    );
}

#[test]
fn a_single_generation_always_fits() {
    assert!(
        CAPACITY
            .share(&mut [Run {
                held: 80_000,
                left: 7_540
            }])
            .is_some()
    );
    assert!(
        CAPACITY
            .share(
                &mut [Run {
                    held: 60_000,
                    left: 0
                }; 2]
            )
            .is_none()
    );
}

#[test]
fn slots_limit_the_number_of_small_generations() {
    let mut runs = vec![Run { held: 10, left: 10 }; 12];
    assert!(CAPACITY.share(&mut runs).is_some());
    runs.push(Run { held: 10, left: 10 });
    assert!(CAPACITY.share(&mut runs).is_none());
}

#[test]
fn progress_updates_tokens_and_release_removes_the_run() {
    let mut ledger = Ledger::default();
    let key = Key::default();
    let ticket = ledger.add(
        key,
        Run {
            held: 100,
            left: 1_000,
        },
        0,
    );
    ledger.progress(ticket, 58, 7_000);
    assert_eq!(
        ledger.runs(key).next(),
        Some(Run {
            held: 158,
            left: 942
        })
    );
    ledger.release(ticket);
    assert_eq!(ledger.requests(key), 0);
}

#[test]
fn a_run_beyond_its_estimate_still_expects_output() {
    let mut ledger = Ledger::default();
    let key = Key::default();
    let ticket = ledger.add(
        key,
        Run {
            held: 100,
            left: 58,
        },
        0,
    );
    ledger.progress(ticket, 580, 7_000);
    assert!(ledger.runs(key).next().is_some_and(|run| run.left > 0));
}

/// Admission policy of the simulated engine.
#[derive(Clone, Copy)]
enum Policy {
    /// Reserves the prompt and 0.55 of the expected output: the policy that the forecast replaced.
    Average,
    Forecast,
}

#[derive(Clone, Copy)]
struct Generation {
    run: Run,
    actual_left: u32,
}

fn lengths(random: &mut ChaCha8Rng) -> (u32, u32, u32) {
    let mut factor = |deviation: f64| {
        let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        (normal * deviation).exp()
    };
    let prompt = (PROMPT_TOKENS * factor(DEVIATION * 0.5)) as u32;
    let output = (OUTPUT_TOKENS * factor(DEVIATION)).min(MAX_OUTPUT_TOKENS) as u32;
    let estimate = (f64::from(output) * factor(DEVIATION)).min(MAX_OUTPUT_TOKENS) as u32;
    (prompt, output, estimate)
}

/// Simulates an engine with a queue that never empties; returns the steps in which its memory is
/// overcommitted and the number of finished generations.
fn simulate(policy: Policy, seed: u64) -> (u32, u32) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut running: Vec<Generation> = Vec::new();
    let (mut overcommitted, mut finished) = (0, 0);
    for _ in 0..STEPS {
        let (prompt, output, estimate) = lengths(&mut random);
        let new = Run {
            held: prompt,
            left: estimate,
        };
        let mut runs: Vec<Run> = running.iter().map(|generation| generation.run).collect();
        runs.push(new);
        let fits = match policy {
            Policy::Forecast => CAPACITY.share(&mut runs).is_some(),
            Policy::Average => {
                let reserved: f64 = running
                    .iter()
                    .map(|generation| {
                        f64::from(generation.run.held + generation.run.left)
                            - f64::from(generation.run.left) * 0.45
                    })
                    .sum();
                runs.len() <= 12
                    && reserved + f64::from(prompt) + f64::from(estimate) * 0.55
                        <= CAPACITY.kv_tokens as f64
            }
        };
        if fits {
            running.push(Generation {
                run: new,
                actual_left: output,
            });
        }
        for generation in &mut running {
            generation.run.held += TOKENS_PER_STEP.min(generation.actual_left);
            generation.run.left = generation.run.left.saturating_sub(TOKENS_PER_STEP).max(600);
            generation.actual_left = generation.actual_left.saturating_sub(TOKENS_PER_STEP);
        }
        let held: u64 = running
            .iter()
            .map(|generation| u64::from(generation.run.held))
            .sum();
        overcommitted += u32::from(held > CAPACITY.kv_tokens);
        let before = running.len();
        running.retain(|generation| generation.actual_left > 0);
        finished += (before - running.len()) as u32;
    }
    (overcommitted, finished)
}

#[test]
fn forecast_overcommits_less_than_average_reservation_at_similar_throughput() {
    let (mut average, mut forecast) = ((0, 0), (0, 0));
    for seed in 0..SEEDS {
        let result = simulate(Policy::Average, seed);
        average = (average.0 + result.0, average.1 + result.1);
        let result = simulate(Policy::Forecast, seed);
        forecast = (forecast.0 + result.0, forecast.1 + result.1);
    }
    // A preemption repeats a whole prefill, so at most one step in 200 may be overcommitted.
    let steps = STEPS * SEEDS as u32;
    assert!(
        forecast.0 * 200 < steps,
        "overcommitted steps: {} of {steps}",
        forecast.0
    );
    assert!(
        forecast.0 * 2 < average.0,
        "overcommitted steps: {} against {}",
        forecast.0,
        average.0
    );
    assert!(
        forecast.1 * 10 > average.1 * 8,
        "finished: {} against {}",
        forecast.1,
        average.1
    );
}

#[test]
fn a_grant_counts_until_it_is_reported_or_expires() {
    let mut ledger = Ledger::default();
    let key = Key::default();
    let run = Run {
        held: 100,
        left: 10,
    };
    let reported = ledger.grant(key, run, Instant::from_millis(1_500));
    ledger.grant(key, run, Instant::from_millis(1_500));
    assert_eq!(ledger.requests(key), 2);
    ledger.settle(reported);
    assert_eq!(ledger.requests(key), 1);
    ledger.expire(Instant::from_millis(1_500));
    assert_eq!(ledger.requests(key), 0);
}

#[test]
fn grant_numbers_differ_between_incarnations() {
    let (mut one, mut two) = (Ledger::default(), Ledger::default());
    one.number_grants_from(1 << 20);
    two.number_grants_from(2 << 20);
    let until = Instant::from_millis(1);
    let key = Key::default();
    assert_ne!(
        one.grant(key, Run::default(), until),
        two.grant(key, Run::default(), until)
    );
}

#[yare::parameterized(
    long_answers = { 4_060 },
    short_answers = { 518 },
    very_short_answers = { 20 },
)]
fn a_generation_never_expects_more_than_its_estimate(estimate: u32) {
    let mut ledger = Ledger::default();
    let key = Key::default();
    let run = Run {
        held: 5_200,
        left: estimate,
    };
    let ticket = ledger.add(key, run, 0);
    ledger.progress(ticket, estimate / 10, 8_000);
    let left = ledger.runs(key).next().map_or(0, |run| run.left);
    assert!(left > 0 && left < estimate, "{left} of {estimate}");
}
