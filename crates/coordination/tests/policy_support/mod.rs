//! Fixed-seed runner of the property tests.

#[path = "../fuzz/mod.rs"]
mod fuzz;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

/// Default number of cases of one check.
const CASES: u32 = 64;

/// Result of a check; the error describes the violation.
pub(crate) type Check = Result<(), String>;

/// Runs a check on generated inputs and returns the first violation with its shrunk input.
pub(crate) fn search<S: Strategy>(strategy: &S, check: impl Fn(S::Value) -> Check) -> Check {
    let config = Config {
        cases: fuzz::cases(CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let mut seed = [7; 32];
    seed[..8].copy_from_slice(&fuzz::seed(u64::from_le_bytes([7; 8])).to_le_bytes());
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    TestRunner::new_with_rng(config, random)
        .run(strategy, |input| check(input).map_err(TestCaseError::fail))
        .map_err(|error| match error {
            TestError::Fail(reason, input) => format!("{reason} for {input:?}"),
            TestError::Abort(reason) => format!("aborted: {reason}"),
        })
}
