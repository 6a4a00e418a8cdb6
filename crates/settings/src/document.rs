//! Reads and merges JSON-with-comments documents as plain JSON values.

use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Error, Result, Source};

pub use crate::source::MAX_BYTES;
pub use crate::syntax::MAX_DEPTH;

/// Parses a JSON-with-comments text.
///
/// # Errors
/// Fails with the locations of the first syntax error and of all duplicate names.
pub fn parse(file: &str, text: &str) -> Result<Value> {
    checked_value(&Source::from_text(file, text))
}

/// Merges `overlay` into `base`: objects are merged recursively, `null` removes a member, and any
/// other value replaces.
///
/// A `null` for a member that does not exist is dropped, also within a new object.
pub fn merge(base: &mut Value, overlay: Value) {
    match (&mut *base, overlay) {
        (Value::Object(members), Value::Object(changes)) => {
            for (name, change) in changes {
                if change.is_null() {
                    members.shift_remove(&name);
                    continue;
                }
                merge(members.entry(name).or_insert(Value::Null), change);
            }
        }
        (_, Value::Object(changes)) => {
            *base = Value::Object(serde_json::Map::new());
            merge(base, Value::Object(changes));
        }
        (_, value) => *base = value,
    }
}

/// Reads all `.json` and `.jsonc` files of a folder and merges them in file name order.
///
/// # Errors
/// Fails if the folder or a file cannot be read, or if a file has a syntax error or duplicate
/// names.
pub fn read_folder(folder: &Path) -> Result<Value> {
    checked_value(&Source::read_folder(folder))
}

/// Deserializes one settings file into a type.
///
/// # Errors
/// Fails with all findings if the file cannot be read, has a syntax error or does not match the
/// type.
pub fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T> {
    Source::read_file(path).read()
}

fn checked_value(source: &Source) -> Result<Value> {
    if source.findings().is_empty() {
        Ok(source.to_value())
    } else {
        Err(Error::new(source.findings().to_vec()))
    }
}
