//! `berylknot-experiment` compares scheduling policies in virtual time.

use berylknot_experiment::arguments::{BerylknotExperiment, BerylknotExperimentCmd};
use berylknot_experiment::model::{ATELIER, Model, REGISTRY};
use berylknot_experiment::policy::{all, short};
use berylknot_experiment::report::{
    compare_from, draw, fault_table, paired_table, sensitivity_table, table,
};
use berylknot_experiment::scenario::Scenario;

/// Seeds of a comparison unless the command line says otherwise.
const SEEDS: u64 = 10;

fn main() -> eyre::Result<()> {
    let arguments = BerylknotExperiment::from_env_or_exit();
    let model = Model::default();
    let policies = all();
    for fleet in [&REGISTRY, &ATELIER] {
        println!("## {}\n", fleet.name);
        match &arguments.subcommand {
            BerylknotExperimentCmd::Table(options) => {
                let seeds = options.seeds.unwrap_or(SEEDS);
                let first = options.first.unwrap_or(1);
                let results =
                    compare_from(first, fleet, &model, Scenario::Steady, &policies, seeds);
                println!("{}", table(&policies, &results));
                println!("{}", paired_table(&policies, &results));
            }
            BerylknotExperimentCmd::Faults(options) => {
                let seeds = options.seeds.unwrap_or(SEEDS);
                println!("{}", fault_table(fleet, &model, &short(), seeds));
            }
            BerylknotExperimentCmd::Sensitivity(options) => {
                let seeds = options.seeds.unwrap_or(SEEDS);
                println!("{}", sensitivity_table(fleet, &policies, seeds));
            }
            BerylknotExperimentCmd::Plots(options) => {
                let seeds = options.seeds.unwrap_or(SEEDS);
                draw(fleet, &model, &options.folder, seeds)
                    .map_err(|error| eyre::eyre!("plots of {}: {error}", fleet.name))?;
            }
        }
    }
    Ok(())
}
