//! The bounds that the proofs check, stated without the mechanism under test.

use std::collections::BTreeMap;

/// Tokens used at a true time in microseconds.
pub(crate) type Used = (u64, u64);

/// Rate in tokens per second that holds from a true time on, in ascending order of time.
pub(crate) type Rates = Vec<(u64, u64)>;

/// Checks that in no interval more than `burst` plus rate times length was used.
///
/// `burst` is in microtokens. The excess of the worst interval that ends at a use is the level of
/// a bucket that leaks at the rate.
pub(crate) fn check_window(mut used: Vec<Used>, burst: u128, rates: &Rates) -> Result<(), String> {
    used.sort_unstable();
    let mut excess: u128 = 0;
    let mut before = 0;
    for (time, tokens) in used {
        excess = excess.saturating_sub(accrued(rates, before, time));
        excess += u128::from(tokens) * 1_000_000;
        before = time;
        if excess > burst {
            return Err(format!(
                "an interval that ends at {time} us exceeds its bound by {} microtokens",
                excess - burst
            ));
        }
    }
    Ok(())
}

/// Microtokens that the rate brings between two times.
fn accrued(rates: &Rates, from: u64, to: u64) -> u128 {
    let mut sum = 0;
    for (index, &(start, rate)) in rates.iter().enumerate() {
        let end = rates.get(index + 1).map_or(u64::MAX, |next| next.0);
        let length = end.min(to).saturating_sub(start.max(from));
        sum += u128::from(length) * u128::from(rate);
    }
    sum
}

/// Checks that no subject has two hosts with a usable lease.
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
