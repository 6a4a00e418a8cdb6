//! Structured logs, and the settings section that describes them.

use serde::Deserialize;
use tracing_subscriber::EnvFilter;

/// Log section of a daemon's settings.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Whether events are written as JSON objects, one per line, instead of lines of text.
    pub json: bool,
    /// Filter with the syntax of `tracing-subscriber`.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            json: false,
            filter: "info".to_owned(),
        }
    }
}

impl Log {
    /// Installs the log for the whole process; events go to standard error.
    ///
    /// # Errors
    /// Fails when the filter is malformed or a log was installed before.
    pub fn install(&self) -> eyre::Result<()> {
        let filter = EnvFilter::try_new(&self.filter)?;
        let builder = tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(std::io::stderr);
        let installed = if self.json {
            builder.json().try_init()
        } else {
            builder.try_init()
        };
        installed.map_err(|error| eyre::eyre!("log cannot be installed: {error}"))
    }
}
