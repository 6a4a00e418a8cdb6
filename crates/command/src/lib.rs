//! Implementation of the operator's command, which checks, publishes and inspects configurations.

mod args;
mod commands;
mod config;
mod difference;
mod host;
mod overlay;
mod platform;
mod publication;
mod report;

use std::ffi::OsString;
use std::process::ExitCode;

use crate::args::{Berylknot, BerylknotCmd, KeyCmd};
use crate::config::Config;
use crate::report::{Code, Report};

/// Runs the command with the arguments after the program name, prints the result and returns the
/// exit code.
#[must_use]
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let json = arguments.iter().any(|argument| argument == "--json");
    let arguments = match Berylknot::from_vec(arguments) {
        Ok(arguments) => arguments,
        Err(error) if error.is_help() => {
            return Report::new(Code::Success, format!("{error}\n{}", args::EXAMPLES)).print(false);
        }
        Err(error) => {
            let text = format!("{error}\nberylknot --help shows all commands with examples");
            return Report::failure(Code::Usage, text).print(json);
        }
    };
    let report = match actix_rt::System::new().block_on(execute(arguments)) {
        Ok(report) => report,
        Err(error) => Report::from_error(&error),
    };
    report.print(json)
}

async fn execute(arguments: Berylknot) -> eyre::Result<Report> {
    let config = Config::new(&arguments)?;
    match arguments.subcommand {
        BerylknotCmd::Check(check) => Ok(commands::check::run(&check.folder)),
        BerylknotCmd::Show(show) => commands::show::run(&config, show.folder.as_deref()).await,
        BerylknotCmd::Diff(diff) => commands::diff::run(&config, &diff.folder).await,
        BerylknotCmd::Publish(publish) => commands::publish::run(&config, &publish).await,
        BerylknotCmd::Status(_) => commands::status::run(&config).await,
        BerylknotCmd::Key(key) => match key.subcommand {
            KeyCmd::Make(make) => commands::key::make(&config, &make),
            KeyCmd::Withdraw(withdraw) => commands::key::withdraw(&withdraw),
        },
        BerylknotCmd::Drain(drain) => commands::drain::run(&config, &drain).await,
        BerylknotCmd::Explain(explain) => commands::explain::run(&explain).await,
        BerylknotCmd::Schema(_) => Ok(commands::schema::run()),
    }
}
