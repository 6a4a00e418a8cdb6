//! JSON schema of the settings.

use crate::raw::Document;

/// Generates the JSON schema of a merged settings document, with a trailing line break.
///
/// # Panics
/// Never: a schema always serializes to JSON.
#[must_use]
pub fn text() -> String {
    let schema = schemars::schema_for!(Document);
    let mut text = serde_json::to_string_pretty(&schema).expect("a schema serializes to JSON");
    text.push('\n');
    text
}
