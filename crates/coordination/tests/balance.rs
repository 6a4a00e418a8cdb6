//! Property tests of the role balancer.

mod policy_support;

use std::time::Duration;

use berylknot_coordination::balance::{Balancer, Role, Sample, Settings};
use berylknot_coordination::clock::Instant;
use policy_support::{Check, search};
use proptest::collection::vec;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Roles change with every sample, without hysteresis.
    NoHysteresis,
}

const SETTINGS: Settings = Settings {
    minimum: 1,
    change_time: Duration::from_secs(10),
};

fn sample(prefill_load: f64, decode_load: f64, prefill_engines: u32) -> Sample {
    Sample {
        prefill_load,
        decode_load,
        prefill_engines,
        decode_engines: 11 - prefill_engines,
    }
}

/// Guards against role changes that oscillate while the loads only fluctuate.
fn check_noise(loads: &[(f64, f64)], fault: Fault) -> Check {
    let mut balancer = Balancer::new(SETTINGS);
    let mut engines = 4_u32;
    let mut changes = 0;
    for (number, (prefill, decode)) in (0_u64..).zip(loads) {
        let now = Instant::from_millis(number * 1_000);
        let sample = sample(
            prefill * 4.0 / f64::from(engines),
            decode * 7.0 / f64::from(11 - engines),
            engines,
        );
        let wanted = if fault == Fault::NoHysteresis {
            (sample.prefill_load > 1.2 * sample.decode_load && engines < 10)
                .then_some(Role::Prefill)
                .or(
                    (sample.decode_load > 1.2 * sample.prefill_load && engines > 1)
                        .then_some(Role::Decode),
                )
        } else {
            balancer.sample(now, sample)
        };
        match wanted {
            Some(Role::Prefill) => engines += 1,
            Some(Role::Decode) => engines -= 1,
            None => continue,
        }
        changes += 1;
    }
    if changes > 1 {
        return Err(format!("{changes} role changes in {} s", loads.len()));
    }
    Ok(())
}

/// Guards against more than one role change in an hour of fluctuating loads.
#[test]
fn noise_causes_no_oscillation() {
    let loads = vec((0.5_f64..0.9, 0.5_f64..0.9), 3_600);
    let found = search(&loads, |loads| check_noise(&loads, Fault::None));
    assert_eq!(found, Ok(()));
}

/// Guards against an oscillation check that cannot fail.
#[test]
fn oscillation_check_rejects_missing_hysteresis() {
    let loads = vec((0.5_f64..0.9, 0.5_f64..0.9), 3_600);
    let found = search(&loads, |loads| check_noise(&loads, Fault::NoHysteresis));
    assert!(found.is_err());
}

/// Time in seconds and role of the first change under a constant load.
fn first_change(sample: Sample) -> Option<(u64, Role)> {
    let mut balancer = Balancer::new(SETTINGS);
    (0..300).find_map(|second| {
        let role = balancer.sample(Instant::from_millis(second * 1_000), sample)?;
        Some((second, role))
    })
}

/// Guards against a lasting shortage of one role while the other has spare engines.
#[test]
fn lasting_shortage_changes_a_role() {
    let (second, role) = first_change(sample(1.4, 0.5, 4)).expect("prefill is overloaded");
    assert_eq!(role, Role::Prefill);
    assert!((30..60).contains(&second), "changed after {second} s");
}

/// Guards against a change that leaves a role without engines.
#[test]
fn minimum_of_a_role_is_kept() {
    assert_eq!(first_change(sample(0.1, 1.5, 1)), None);
}

/// Guards against a change that only moves the shortage to the other role.
#[test]
fn change_without_sufficient_gain_is_not_made() {
    assert_eq!(first_change(sample(0.95, 0.85, 4)), None);
}
