//! Property checks over generated histories, with a fixed seed.

#[path = "../fuzz/mod.rs"]
mod fuzz;

use std::fmt::Debug;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};

/// Default seed; any value works.
const SEED: u64 = 20_261_204;

fn runner(cases: u32, max_shrink_iters: u32) -> TestRunner {
    TestRunner::new(Config {
        cases: fuzz::cases(cases),
        rng_seed: RngSeed::Fixed(fuzz::seed(SEED)),
        failure_persistence: None,
        max_shrink_iters,
        ..Config::default()
    })
}

/// Asserts that no generated history fails the check.
pub(crate) fn holds<T: Debug>(
    cases: u32,
    histories: impl Strategy<Value = T>,
    check: impl Fn(&T) -> Result<(), String>,
) {
    let result = runner(cases, 2_000).run(&histories, |history| {
        check(&history).map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Asserts that at least one generated history fails the check.
pub(crate) fn fails<T: Debug>(
    cases: u32,
    histories: impl Strategy<Value = T>,
    check: impl Fn(&T) -> Result<(), String>,
) {
    let result = runner(cases, 0).run(&histories, |history| {
        check(&history).map_err(TestCaseError::fail)
    });
    assert!(result.is_err(), "no generated history detects the fault");
}
