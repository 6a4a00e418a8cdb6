//! Runs of the proofs with a fixed seed.

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

/// Runs a check on generated cases and returns the reason of the first failure, after at most
/// `shrinks` attempts to simplify its case.
///
/// `BERYLKNOT_FUZZ_CASES` multiplies the number of cases given here by its value over 100, and
/// `BERYLKNOT_FUZZ_SEED` replaces the fixed seed.
pub(crate) fn first_failure<T: std::fmt::Debug>(
    cases: u32,
    shrinks: u32,
    strategy: impl Strategy<Value = T>,
    check: impl Fn(&T) -> Result<(), String>,
) -> Option<String> {
    let number = |name: &str, default: u64| {
        std::env::var(name)
            .ok()
            .map_or(default, |text| text.parse().expect("a number"))
    };
    let percent = number("BERYLKNOT_FUZZ_CASES", 100);
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&number("BERYLKNOT_FUZZ_SEED", 0x5EED).to_le_bytes());
    let config = Config {
        cases: u32::try_from(u64::from(cases) * percent / 100)
            .unwrap_or(u32::MAX)
            .max(1),
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
