//! `berylknot-experiment` compares scheduling policies in virtual time and load-tests a running
//! gateway.

use berylknot_experiment::arguments::{BerylknotExperiment, BerylknotExperimentCmd};
use berylknot_experiment::load::{self, Load};
use berylknot_experiment::model::{ATELIER, Model, REGISTRY};
use berylknot_experiment::policy::{all, for_faults};
use berylknot_experiment::report::{
    compare_from, draw, fault_table, paired_table, sensitivity_table, table,
};
use berylknot_experiment::scenario::Scenario;

/// Default number of seeds of a comparison.
const DEFAULT_SEEDS: u64 = 10;

fn main() -> eyre::Result<()> {
    let arguments = BerylknotExperiment::from_env_or_exit();
    if let BerylknotExperimentCmd::Load(options) = arguments.subcommand {
        let load = Load {
            gateway: options.gateway,
            service: options.service,
            key: options.key,
            gateway_pid: options.process,
            requests: options.requests.unwrap_or(20_000),
            concurrency: options.concurrency.unwrap_or(16),
            streams: options.streams.unwrap_or(100),
        };
        println!("{}", actix_rt::System::new().block_on(load::run(&load))?);
        return Ok(());
    }
    let model = Model::default();
    let policies = all();
    for fleet in [&REGISTRY, &ATELIER] {
        println!("## {}\n", fleet.name);
        match &arguments.subcommand {
            BerylknotExperimentCmd::Table(options) => {
                let seeds = options.seeds.unwrap_or(DEFAULT_SEEDS);
                let first = options.first.unwrap_or(1);
                let results =
                    compare_from(first, fleet, &model, Scenario::Steady, &policies, seeds);
                println!("{}", table(&policies, &results));
                println!("{}", paired_table(&policies, &results));
            }
            BerylknotExperimentCmd::Faults(options) => {
                let seeds = options.seeds.unwrap_or(DEFAULT_SEEDS);
                println!("{}", fault_table(fleet, &model, &for_faults(), seeds));
            }
            BerylknotExperimentCmd::Sensitivity(options) => {
                let seeds = options.seeds.unwrap_or(DEFAULT_SEEDS);
                println!("{}", sensitivity_table(fleet, &policies, seeds));
            }
            BerylknotExperimentCmd::Load(_) => {}
            BerylknotExperimentCmd::Plots(options) => {
                let seeds = options.seeds.unwrap_or(DEFAULT_SEEDS);
                draw(fleet, &model, &options.folder, seeds)
                    .map_err(|error| eyre::eyre!("plots of {}: {error}", fleet.name))?;
            }
        }
    }
    Ok(())
}
