//! Property test runs with a fixed seed.

#[path = "../fuzz/mod.rs"]
mod fuzz;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

pub(crate) type Result = std::result::Result<(), String>;

fn runner(cases: u32) -> TestRunner {
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&fuzz::seed(1).to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed))
}

/// Asserts that no case violates the oracle.
pub(crate) fn holds<S: Strategy>(cases: u32, plans: S, case: impl Fn(S::Value) -> Result) {
    let checked = |plan| case(plan).map_err(TestCaseError::fail);
    if let Err(error) = runner(fuzz::cases(cases)).run(&plans, checked) {
        panic!("{error}");
    }
}

/// Asserts that for some case the oracle reports a violation whose text contains `violation`.
pub(crate) fn catches<S: Strategy>(plans: &S, violation: &str, case: impl Fn(S::Value) -> Result) {
    let mut runner = runner(1);
    let mut other = None;
    for _ in 0..2_000 {
        let plan = plans.new_tree(&mut runner).expect("a plan");
        match case(proptest::strategy::ValueTree::current(&plan)) {
            Err(found) if found.contains(violation) => return,
            Err(found) => other = Some(found),
            Ok(()) => {}
        }
    }
    panic!("the oracle did not report {violation:?}; other report: {other:?}");
}
