//! Comparison of policies on the same seeds, as text tables.

use std::fmt::Write;
use std::path::Path;

use crate::measure::{Measure, mean_and_deviation};
use crate::model::{Fleet, MILLISECOND, Model};
use crate::plot;
use crate::policy::{self, Policy};
use crate::scenario::Scenario;
use crate::workload::Workload;
use crate::world::Simulation;

/// Runs every policy on the seeds from 1; returns the measures by policy, then by seed.
#[must_use]
pub fn compare(
    fleet: &Fleet,
    model: &Model,
    scenario: Scenario,
    policies: &[Policy],
    seeds: u64,
) -> Vec<Vec<Measure>> {
    compare_from(1, fleet, model, scenario, policies, seeds)
}

/// Like [`compare`] from seed `first`: checks figures on seeds that were not used for design
/// decisions.
#[must_use]
pub fn compare_from(
    first: u64,
    fleet: &Fleet,
    model: &Model,
    scenario: Scenario,
    policies: &[Policy],
    seeds: u64,
) -> Vec<Vec<Measure>> {
    let mut results = vec![Vec::new(); policies.len()];
    for seed in first..first + seeds {
        let workload = Workload::generate(fleet, model, scenario, seed);
        for (policy, measures) in policies.iter().zip(&mut results) {
            let simulation = Simulation::run(fleet, model, *policy, scenario, &workload, seed);
            measures.push(Measure::of(&simulation));
        }
    }
    results
}

/// Recovery time of a run that never recovers: from the end of the fault to the end of the run.
pub const NOT_RECOVERED_S: f64 = 28.0;

type Value = fn(&Measure) -> f64;

type Column = (&'static str, Value, usize);

const COLUMNS: [Column; 10] = [
    ("goodput/s", |measure| measure.goodput, 1),
    ("attained %", |measure| measure.attainment * 100.0, 1),
    ("wasted %", |measure| measure.wasted_prefill * 100.0, 1),
    ("worst %", |measure| measure.worst_customer * 100.0, 1),
    ("refused %", |measure| measure.wrongful_refusals * 100.0, 2),
    ("gave up %", |measure| measure.gave_up * 100.0, 2),
    ("slots used %", |measure| measure.slots_used * 100.0, 0),
    ("TTFT 50 ms", |measure| measure.ttft_median_ms, 0),
    ("TTFT 95 ms", |measure| measure.ttft_p95_ms, 0),
    ("lookup 99 ms", |measure| measure.lookup_p99_ms, 0),
];

/// Table of paired differences between the last policy and each baseline on the same seeds.
///
/// Pairing removes the variance between workloads, which all policies share.
#[must_use]
pub fn paired_table(policies: &[Policy], results: &[Vec<Measure>]) -> String {
    let mut text =
        String::from("| chosen against | goodput/s | wasted % | worst % | refused % |\n");
    text.push_str("|---|---:|---:|---:|---:|\n");
    let Some((chosen, baselines)) = results.split_last() else {
        return text;
    };
    let values: [Value; 4] = [
        |measure| measure.goodput,
        |measure| measure.wasted_prefill * 100.0,
        |measure| measure.worst_customer * 100.0,
        |measure| measure.wrongful_refusals * 100.0,
    ];
    for (policy, baseline) in policies.iter().zip(baselines) {
        let _ = write!(text, "| {} |", policy.name);
        for value in values {
            let differences: Vec<f64> = chosen
                .iter()
                .zip(baseline)
                .map(|(chosen, baseline)| value(chosen) - value(baseline))
                .collect();
            let (mean, deviation) = mean_and_deviation(&differences);
            let _ = write!(text, " {mean:+.2} ± {deviation:.2} |");
        }
        text.push('\n');
    }
    text
}

/// Table of goodput before, during and after each fault, and of the recovery time.
///
/// A run that does not recover counts as [`NOT_RECOVERED_S`] seconds.
#[must_use]
pub fn fault_table(fleet: &Fleet, model: &Model, policies: &[Policy], seeds: u64) -> String {
    let mut text = String::from(
        "| fault | policy | before /s | during /s | after /s | recovery s | refused % | lookup 99 ms |\n",
    );
    text.push_str("|---|---|---:|---:|---:|---:|---:|---:|\n");
    for scenario in Scenario::FAULTS {
        let results = compare(fleet, model, scenario, policies, seeds);
        for (policy, measures) in policies.iter().zip(&results) {
            let _ = write!(text, "| {} | {} |", scenario.name(), policy.name);
            let around: Vec<_> = measures.iter().map(Measure::around_fault).collect();
            let recovery = |goodput: &(f64, f64, f64, f64)| {
                if goodput.3.is_nan() {
                    NOT_RECOVERED_S
                } else {
                    goodput.3
                }
            };
            let columns: [Vec<f64>; 4] = [
                around.iter().map(|goodput| goodput.0).collect(),
                around.iter().map(|goodput| goodput.1).collect(),
                around.iter().map(|goodput| goodput.2).collect(),
                around.iter().map(recovery).collect(),
            ];
            for column in &columns {
                let (mean, deviation) = mean_and_deviation(column);
                let _ = write!(text, " {mean:.1} ± {deviation:.1} |");
            }
            let refused: Vec<f64> = measures
                .iter()
                .map(|measure| measure.wrongful_refusals * 100.0)
                .collect();
            let lookup: Vec<f64> = measures
                .iter()
                .map(|measure| measure.lookup_p99_ms)
                .collect();
            let (refused, lookup) = (mean_and_deviation(&refused), mean_and_deviation(&lookup));
            let _ = writeln!(
                text,
                " {:.2} ± {:.2} | {:.0} ± {:.0} |",
                refused.0, refused.1, lookup.0, lookup.1
            );
        }
    }
    text
}

/// Table of the chosen policy and the best baseline for each variation of a model parameter.
#[must_use]
pub fn sensitivity_table(fleet: &Fleet, policies: &[Policy], seeds: u64) -> String {
    let mut text = String::from(
        "| changed constant | goodput/s: best baseline, chosen | wasted %: best, chosen | worst %: best, chosen | refused %: best, chosen | chosen is best in |\n|---|---:|---:|---:|---:|---:|\n",
    );
    let measured: [(Value, f64); 4] = [
        (|measure| measure.goodput, 1.0),
        (|measure| -measure.wasted_prefill, -100.0),
        (|measure| measure.worst_customer, 100.0),
        (|measure| -measure.wrongful_refusals, -100.0),
    ];
    for (name, model) in variations() {
        let results = compare(fleet, &model, Scenario::Steady, policies, seeds);
        let _ = write!(text, "| {name} |");
        let mut wins = 0;
        for (value, scale) in measured {
            let means: Vec<f64> = results
                .iter()
                .map(|measures| {
                    mean_and_deviation(&measures.iter().map(value).collect::<Vec<_>>()).0
                })
                .collect();
            let Some((chosen, baselines)) = means.split_last() else {
                continue;
            };
            let best = baselines.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            wins += u32::from(*chosen >= best);
            let _ = write!(text, " {:.2}, {:.2} |", best * scale, chosen * scale);
        }
        let _ = writeln!(text, " {wins} of 4 |");
    }
    text
}

/// Models that differ from the default in one parameter.
fn variations() -> Vec<(&'static str, Model)> {
    let base = Model::default;
    vec![
        ("none", base()),
        (
            "load × 0.9",
            Model {
                load_factor: 0.9,
                ..base()
            },
        ),
        (
            "load × 1.1",
            Model {
                load_factor: 1.1,
                ..base()
            },
        ),
        (
            "load × 1.25",
            Model {
                load_factor: 1.25,
                ..base()
            },
        ),
        (
            "prefill 20 µs a token",
            Model {
                prefill_per_token_ns: 20_000,
                ..base()
            },
        ),
        (
            "prefill 40 µs a token",
            Model {
                prefill_per_token_ns: 40_000,
                ..base()
            },
        ),
        (
            "step 10 ms + 0.85 ms a request",
            Model {
                step_base: 10 * MILLISECOND,
                ..base()
            },
        ),
        (
            "step 14 ms + 1.0 ms a request",
            Model {
                step_per_request: 1_000,
                ..base()
            },
        ),
        (
            "KV lifetime 400 ms",
            Model {
                kv_lifetime: 400 * MILLISECOND,
                ..base()
            },
        ),
        (
            "link between data centres 1.25 GB/s",
            Model {
                cross_link_bytes_per_us: 1_250,
                ..base()
            },
        ),
        (
            "cache 50 pieces",
            Model {
                cache_pieces: 50,
                ..base()
            },
        ),
        (
            "cache 400 pieces",
            Model {
                cache_pieces: 400,
                ..base()
            },
        ),
        (
            "load reports 500 ms old",
            Model {
                report_lag: 500 * MILLISECOND,
                ..base()
            },
        ),
        (
            "20 % of cache events lost",
            Model {
                event_loss: 0.2,
                ..base()
            },
        ),
        (
            "45 % cancel",
            Model {
                cancel_share: 0.45,
                ..base()
            },
        ),
        (
            "75 % cancel",
            Model {
                cancel_share: 0.75,
                ..base()
            },
        ),
        (
            "prompt shape 0.9",
            Model {
                prompt_sigma: 0.9,
                ..base()
            },
        ),
        (
            "prompt shape 1.4",
            Model {
                prompt_sigma: 1.4,
                ..base()
            },
        ),
        (
            "answers 60 tokens",
            Model {
                answer_median_tokens: 60.0,
                ..base()
            },
        ),
        (
            "no resends",
            Model {
                resend: 0.0,
                ..base()
            },
        ),
    ]
}

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
            let (mean, deviation) =
                mean_and_deviation(&measures.iter().map(value).collect::<Vec<_>>());
            let _ = write!(text, " {mean:.digits$} ± {deviation:.digits$} |");
        }
        text.push('\n');
    }
    text
}

/// Writes the plots of a fleet: main measures in steady state, and goodput over time for each fault.
///
/// # Errors
///
/// Fails when a file cannot be written.
pub fn draw(fleet: &Fleet, model: &Model, folder: &Path, seeds: u64) -> Result<(), plot::Error> {
    let policies = policy::all();
    let results = compare(fleet, model, Scenario::Steady, &policies, seeds);
    let name = fleet.name;
    let measures: [(&str, Value); 4] = [
        ("goodput", |measure| measure.goodput),
        ("wasted-prefill", |measure| measure.wasted_prefill * 100.0),
        ("worst-customer", |measure| measure.worst_customer * 100.0),
        ("wrongful-refusals", |measure| {
            measure.wrongful_refusals * 100.0
        }),
    ];
    for (measure, value) in measures {
        let path = folder.join(format!("{name}-{measure}.svg"));
        let title = format!("{name}: {}", measure.replace('-', " "));
        plot::bars(&path, &title, &policies, &results, value)?;
    }
    for scenario in Scenario::FAULTS {
        let policies = policy::for_faults();
        let results = compare(fleet, model, scenario, &policies, seeds);
        let path = folder.join(format!("{name}-{}.svg", scenario.name().replace(' ', "-")));
        let title = format!("{name}: {} from 30 s to 42 s", scenario.name());
        plot::timeline(&path, &title, &policies, &results)?;
    }
    Ok(())
}
