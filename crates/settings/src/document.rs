//! Reading and merging of JSON-with-comments documents.

use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Error, Finding, Result};

/// Parses a JSON-with-comments text.
///
/// # Errors
/// Fails with the place of the first syntax fault.
pub fn parse(file: &str, text: &str) -> Result<Value> {
    match jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default()) {
        Ok(Some(value)) => Ok(value),
        Ok(None) => Ok(Value::Object(serde_json::Map::new())),
        Err(error) => Err(Error::new(vec![Finding {
            file: file.to_owned(),
            line: error.line_display(),
            column: error.column_display(),
            path: String::new(),
            message: error.kind().to_string(),
            hint: String::new(),
        }])),
    }
}

/// Merges `overlay` into `base`: objects deep; `null` removes; everything else replaces.
pub fn merge(base: &mut Value, overlay: Value) {
    match (base, overlay) {
        (Value::Object(base), Value::Object(overlay)) => {
            for (name, value) in overlay {
                if value.is_null() {
                    base.shift_remove(&name);
                    continue;
                }
                merge(base.entry(name).or_insert(Value::Null), value);
            }
        }
        (base, overlay) => *base = overlay,
    }
}

/// Reads all `.json` and `.jsonc` files of a folder and merges them in the order of their names.
///
/// # Errors
/// Fails when the folder or a file cannot be read or has a syntax fault.
pub fn read_folder(folder: &Path) -> Result<Value> {
    let mut merged = Value::Object(serde_json::Map::new());
    for path in files(folder)? {
        let text = std::fs::read_to_string(&path).map_err(|error| unreadable(&path, &error))?;
        merge(&mut merged, parse(&path.display().to_string(), &text)?);
    }
    Ok(merged)
}

/// Reads one settings file into a type.
///
/// # Errors
/// Fails when the file cannot be read, has a syntax fault or does not have the type's form.
pub fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(path, &error))?;
    let value = parse(&path.display().to_string(), &text)?;
    serde_json::from_value(value).map_err(|error| unreadable(path, &error))
}

fn files(folder: &Path) -> Result<Vec<std::path::PathBuf>> {
    let entries = std::fs::read_dir(folder).map_err(|error| unreadable(folder, &error))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.map_err(|error| unreadable(folder, &error))?.path();
        if !path
            .extension()
            .is_some_and(|extension| extension == "json" || extension == "jsonc")
        {
            continue;
        }
        paths.push(path);
    }
    paths.sort();
    Ok(paths)
}

fn unreadable(path: &Path, error: &dyn std::fmt::Display) -> Error {
    Error::new(vec![Finding {
        file: path.display().to_string(),
        line: 0,
        column: 0,
        path: String::new(),
        message: error.to_string(),
        hint: String::new(),
    }])
}
