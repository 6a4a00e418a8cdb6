//! JSON schema of the settings.

use crate::raw::Document;

/// The JSON schema of a merged settings document, with a line break at the end.
///
/// # Panics
/// Never: a schema always has a JSON form.
#[must_use]
pub fn text() -> String {
    let schema = schemars::schema_for!(Document);
    let mut text = serde_json::to_string_pretty(&schema).expect("a schema has a JSON form");
    text.push('\n');
    text
}
