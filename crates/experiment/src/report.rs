//! Comparison of policies on the same seeds, as text tables.

use std::fmt::Write;

use crate::measure::{Measure, spread};
use crate::model::{Fleet, Model};
use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::workload::Workload;
use crate::world::World;

/// Runs every policy on every seed; the result holds one list of measures for each policy.
#[must_use]
pub fn compare(
    fleet: &Fleet,
    model: &Model,
    scenario: Scenario,
    policies: &[Policy],
    seeds: u64,
) -> Vec<Vec<Measure>> {
    let mut results = vec![Vec::new(); policies.len()];
    for seed in 1..=seeds {
        let workload = Workload::generate(fleet, model, scenario, seed);
        for (policy, measures) in policies.iter().zip(&mut results) {
            let world = World::run(fleet, model, *policy, scenario, &workload, seed);
            measures.push(Measure::of(&world));
        }
    }
    results
}

type Column = (&'static str, fn(&Measure) -> f64, usize);

const COLUMNS: [Column; 10] = [
    ("goodput/s", |one| one.goodput, 1),
    ("attained %", |one| one.attainment * 100.0, 1),
    ("wasted %", |one| one.wasted_prefill * 100.0, 1),
    ("worst %", |one| one.worst_customer * 100.0, 1),
    ("refused %", |one| one.wrongful_refusals * 100.0, 2),
    ("gave up %", |one| one.gave_up * 100.0, 2),
    ("slots used %", |one| one.slots_used * 100.0, 0),
    ("TTFT 50 ms", |one| one.ttft_median, 0),
    ("TTFT 95 ms", |one| one.ttft_95, 0),
    ("lookup 99 ms", |one| one.lookup_99, 0),
];

/// Table of means and standard deviations over the seeds.
#[must_use]
pub fn table(policies: &[Policy], results: &[Vec<Measure>]) -> String {
    let mut text = String::from("| policy |");
    for (name, _, _) in COLUMNS {
        let _ = write!(text, " {name} |");
    }
    text.push_str("\n|---|");
    text.push_str(&"---:|".repeat(COLUMNS.len()));
    text.push('\n');
    for (policy, measures) in policies.iter().zip(results) {
        let _ = write!(text, "| {} |", policy.name);
        for (_, value, digits) in COLUMNS {
            let (mean, deviation) = spread(&measures.iter().map(value).collect::<Vec<_>>());
            let _ = write!(text, " {mean:.digits$} ± {deviation:.digits$} |");
        }
        text.push('\n');
    }
    text
}
