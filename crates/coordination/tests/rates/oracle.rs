//! Oracles of the rate tests, independent of the mechanisms under test.

use std::collections::BTreeMap;

/// Tokens used at a true time in microseconds.
pub(crate) type Used = (u64, u64);

/// Rates in tokens per second with their start times, in ascending order of time.
pub(crate) type Rates = Vec<(u64, u64)>;

/// Checks that no interval uses more than `burst` plus the rate times the interval's length.
///
/// `burst` is in microtokens.
pub(crate) fn check_window(used: Vec<Used>, burst: u128, rates: &Rates) -> Result<(), String> {
    let worst = excesses(used, rates)
        .into_iter()
        .max_by_key(|(_, excess)| *excess);
    check(worst, burst)
}

/// Checks the intervals that end at the last use; `burst` is in microtokens.
pub(crate) fn check_last(used: Vec<Used>, burst: u128, rates: &Rates) -> Result<(), String> {
    check(excesses(used, rates).pop(), burst)
}

fn check(excess: Option<(u64, u128)>, burst: u128) -> Result<(), String> {
    match excess {
        Some((time, excess)) if excess > burst => Err(format!(
            "an interval that ends at {time} us exceeds its bound by {} microtokens",
            excess - burst
        )),
        _ => Ok(()),
    }
}

/// For each use, the microtokens above the rate in the worst interval that ends there, which is the
/// level of a leaky bucket.
fn excesses(mut used: Vec<Used>, rates: &Rates) -> Vec<(u64, u128)> {
    used.sort_unstable();
    let mut excess: u128 = 0;
    let mut before = 0;
    let mut excesses = Vec::with_capacity(used.len());
    for (time, tokens) in used {
        excess = excess.saturating_sub(accrued(rates, before, time));
        excess += u128::from(tokens) * 1_000_000;
        before = time;
        excesses.push((time, excess));
    }
    excesses
}

/// Microtokens that the rate refills between two times.
fn accrued(rates: &Rates, from: u64, to: u64) -> u128 {
    let mut sum = 0;
    for (index, &(start, rate)) in rates.iter().enumerate() {
        let end = rates.get(index + 1).map_or(u64::MAX, |next| next.0);
        let length = end.min(to).saturating_sub(start.max(from));
        sum += u128::from(length) * u128::from(rate);
    }
    sum
}

/// Checks that no two hosts have a usable lease on the same subject.
pub(crate) fn check_exclusive<S: Copy + Ord + std::fmt::Debug>(
    time: u64,
    held: impl IntoIterator<Item = (S, usize)>,
) -> Result<(), String> {
    let mut owners = BTreeMap::new();
    for (subject, host) in held {
        if let Some(other) = owners.insert(subject, host) {
            return Err(format!(
                "{subject:?} is usable on hosts {other} and {host} at {time} us"
            ));
        }
    }
    Ok(())
}
