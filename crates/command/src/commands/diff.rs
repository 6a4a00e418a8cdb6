//! `berylknot diff`: compares a settings folder with the configuration in force.

use std::path::Path;

use berylknot_settings::{Fleet, Source};
use serde_json::json;

use crate::config::Config;
use crate::difference;
use crate::platform::Log;
use crate::report::{Code, Report};

pub(crate) async fn run(config: &Config, folder: &Path) -> eyre::Result<Report> {
    let source = Source::read_folder(folder);
    Fleet::from_source(&source)?;
    let log = Log::open(config.platform()?).await?;
    let version = log.version().as_u64();
    let changes = difference::between(&log.document()?, &source.to_value());
    let count = changes.len();
    let text = format!(
        "{}{count} changes against version {version}\n",
        difference::text(&changes)
    );
    Ok(Report::with_json(
        Code::Success,
        text,
        json!({ "version": version, "changes": changes }),
    ))
}
