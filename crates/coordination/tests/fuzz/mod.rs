//! Seed and number of cases of the property tests; environment variables set them for longer runs
//! than CI's.

/// Number of cases: `BERYLKNOT_FUZZ_CASES` percent, by default 100, of the number that CI runs.
pub(crate) fn cases(in_ci: u32) -> u32 {
    let cases = u64::from(in_ci) * variable("BERYLKNOT_FUZZ_CASES").unwrap_or(100) / 100;
    u32::try_from(cases).unwrap_or(u32::MAX).max(1)
}

/// Seed: `BERYLKNOT_FUZZ_SEED`, by default CI's seed.
pub(crate) fn seed(in_ci: u64) -> u64 {
    variable("BERYLKNOT_FUZZ_SEED").unwrap_or(in_ci)
}

fn variable(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(
        text.parse()
            .unwrap_or_else(|_| panic!("{name} is not a whole number: {text:?}")),
    )
}
