//! `berylknot show`: prints the merged settings of a folder, or the configuration in force.

use std::path::Path;

use crate::config::Config;
use crate::platform::Log;
use crate::report::{Code, Report};

pub(crate) async fn run(config: &Config, folder: Option<&Path>) -> eyre::Result<Report> {
    let document = match folder {
        Some(folder) => berylknot_settings::document::read_folder(folder)?,
        None => Log::open(config.platform()?).await?.document()?,
    };
    Ok(Report::with_json(
        Code::Success,
        format!("{document:#}"),
        document,
    ))
}
