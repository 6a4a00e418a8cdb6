//! Property test runs with a fixed seed.

#[path = "../fuzz/mod.rs"]
mod fuzz;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

/// Runs a check on generated cases and returns the reason and the case of the first failure, shrunk
/// in at most `shrinks` attempts.
pub(crate) fn first_failure<T: std::fmt::Debug>(
    cases: u32,
    shrinks: u32,
    strategy: impl Strategy<Value = T>,
    check: impl Fn(&T) -> Result<(), String>,
) -> Option<String> {
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&fuzz::seed(0x5EED).to_le_bytes());
    let config = Config {
        cases: fuzz::cases(cases),
        failure_persistence: None,
        max_shrink_iters: shrinks,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&strategy, |case| {
        check(&case).map_err(proptest::test_runner::TestCaseError::fail)
    });
    match result {
        Ok(()) => None,
        Err(TestError::Fail(reason, case)) => Some(format!("{reason}\n{case:?}")),
        Err(error) => panic!("{error}"),
    }
}
