//! Fixed-seed runner of the policy tests.

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

/// Result of a check: the violation it found.
pub(crate) type Check = Result<(), String>;

/// Runs a check on generated inputs; the first violation is the error.
pub(crate) fn search<S: Strategy>(strategy: &S, check: impl Fn(S::Value) -> Check) -> Check {
    let cases = std::env::var("BERYLKNOT_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(64);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, random)
        .run(strategy, |input| check(input).map_err(TestCaseError::fail))
        .map_err(|error| match error {
            TestError::Fail(reason, input) => format!("{reason} for {input:?}"),
            TestError::Abort(reason) => format!("aborted: {reason}"),
        })
}
