//! Properties of the change of roles.

mod policy_support;

use std::time::Duration;

use berylknot_coordination::balance::{Role, Roles, Sample, Settings};
use berylknot_coordination::clock::Instant;
use policy_support::{Check, search};
use proptest::collection::vec;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Roles follow each sample.
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

/// Guards against engines that change to and fro when the loads only fluctuate.
fn noise(loads: &[(f64, f64)], fault: Fault) -> Check {
    let mut roles = Roles::new(SETTINGS);
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
            roles.sample(now, sample)
        };
        match wanted {
            Some(Role::Prefill) => engines += 1,
            Some(Role::Decode) => engines -= 1,
            None => continue,
        }
        changes += 1;
    }
    if changes > 1 {
        return Err(format!("{changes} changes in {} s", loads.len()));
    }
    Ok(())
}

#[test]
fn noise_changes_no_roles() {
    let loads = vec((0.5_f64..0.9, 0.5_f64..0.9), 3_600);
    let found = search(&loads, |loads| noise(&loads, Fault::None));
    assert_eq!(found, Ok(()));
}

#[test]
fn oscillation_is_reported() {
    let loads = vec((0.5_f64..0.9, 0.5_f64..0.9), 3_600);
    let found = search(&loads, |loads| noise(&loads, Fault::NoHysteresis));
    assert!(found.is_err());
}

/// First change of role under a constant load, and its second.
fn first_change(sample: Sample) -> Option<(u64, Role)> {
    let mut roles = Roles::new(SETTINGS);
    (0..300).find_map(|second| {
        let role = roles.sample(Instant::from_millis(second * 1_000), sample)?;
        Some((second, role))
    })
}

/// Guards against a shortage of one role that lasts although the other has engines to spare.
#[test]
fn a_lasting_shortage_changes_a_role() {
    let (second, role) = first_change(sample(1.4, 0.5, 4)).expect("prefill is short");
    assert_eq!(role, Role::Prefill);
    assert!((30..60).contains(&second), "after {second} s");
}

/// Guards against a change that leaves a role without engines.
#[test]
fn the_minimum_of_a_role_is_kept() {
    assert_eq!(first_change(sample(0.1, 1.5, 1)), None);
}

/// Guards against a change that moves the shortage to the other role.
#[test]
fn a_change_that_does_not_pay_is_left_out() {
    assert_eq!(first_change(sample(0.95, 0.85, 4)), None);
}
