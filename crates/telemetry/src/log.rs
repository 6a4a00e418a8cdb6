//! Structured logs.

use tracing_subscriber::EnvFilter;

/// Output formats of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// Installs the log for the whole process; `filter` has the syntax of `tracing-subscriber`.
///
/// # Errors
/// Fails when the filter is malformed or a log was installed before.
pub fn install(format: Format, filter: &str) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(filter)?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let installed = match format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().try_init(),
    };
    installed.map_err(|error| eyre::eyre!("log cannot be installed: {error}"))
}
