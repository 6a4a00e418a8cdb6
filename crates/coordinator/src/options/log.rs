//! Settings of the log output.

use serde::Deserialize;

/// Log output.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Whether events are written as JSON objects.
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
