//! `berylknot-experiment` compares scheduling policies in virtual time.

use berylknot_experiment::arguments::{BerylknotExperiment, BerylknotExperimentCmd};
use berylknot_experiment::model::{ATELIER, Model, REGISTRY};
use berylknot_experiment::policy::all;
use berylknot_experiment::report::{compare, table};
use berylknot_experiment::scenario::Scenario;

fn main() {
    let arguments = BerylknotExperiment::from_env_or_exit();
    match arguments.subcommand {
        BerylknotExperimentCmd::Table(options) => {
            let seeds = options.seeds.unwrap_or(10);
            let policies = all();
            for fleet in [&REGISTRY, &ATELIER] {
                let results = compare(fleet, &Model::default(), Scenario::Steady, &policies, seeds);
                println!("## {}\n\n{}", fleet.name, table(&policies, &results));
            }
        }
    }
}
