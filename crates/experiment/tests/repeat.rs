//! Guards against comparisons that cannot be reproduced from their seed.

use berylknot_experiment::measure::Measure;
use berylknot_experiment::model::{ATELIER, Model};
use berylknot_experiment::policy::all;
use berylknot_experiment::report::{compare, table};
use berylknot_experiment::scenario::Scenario;
use berylknot_experiment::workload::Workload;
use berylknot_experiment::world::Simulation;

/// Guards against hidden nondeterminism in a run with a fixed seed.
#[test]
fn same_seed_repeats_measures() {
    let policies = all();
    let run = || compare(&ATELIER, &Model::default(), Scenario::Steady, &policies, 1);
    let (first, second) = (run(), run());
    assert_eq!(first, second);
    assert_eq!(table(&policies, &first), table(&policies, &second));
}

/// Guards against a generator that ignores its seed.
#[test]
fn seeds_change_measures() {
    let model = Model::default();
    let [first, second] = [1, 2].map(|seed| {
        let workload = Workload::generate(&ATELIER, &model, Scenario::Steady, seed);
        let policy = all()[0];
        Measure::of(&Simulation::run(
            &ATELIER,
            &model,
            policy,
            Scenario::Steady,
            &workload,
            seed,
        ))
    });
    assert_ne!(first, second);
}

/// Guards against measures that count a request twice or not at all.
#[test]
fn shares_stay_between_zero_and_one() {
    let model = Model::default();
    for scenario in Scenario::FAULTS {
        for measure in compare(&ATELIER, &model, scenario, &all(), 1).concat() {
            for share in [
                measure.attainment,
                measure.wasted_prefill,
                measure.worst_customer,
                measure.wrongful_refusals,
                measure.gave_up,
                measure.slots_used,
            ] {
                assert!((0.0..=1.0).contains(&share), "{scenario:?}: {measure:?}");
            }
        }
    }
}
