//! Differences between two settings documents.

use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

/// Value that was added, removed or changed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub(crate) struct Change {
    /// Path of the value, such as `customers.acme.rate`.
    path: String,
    /// Value in force; absent when it is new.
    #[serde(skip_serializing_if = "Option::is_none")]
    before: Option<Value>,
    /// Proposed value; absent when it is removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            path,
            before,
            after,
        } = self;
        match (before, after) {
            (None, Some(after)) => write!(formatter, "+ {path}: {after}"),
            (Some(before), None) => write!(formatter, "- {path}: {before}"),
            (before, after) => {
                let [before, after] =
                    [before, after].map(|value| value.clone().unwrap_or_default());
                write!(formatter, "~ {path}: {before} -> {after}")
            }
        }
    }
}

/// Lists all changes from one document to another, sorted by path.
pub(crate) fn between(before: &Value, after: &Value) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", Some(before), Some(after), &mut changes);
    changes.sort_by(|left, right| left.path.cmp(&right.path));
    changes
}

/// Formats the changes as text, one per line.
pub(crate) fn text(changes: &[Change]) -> String {
    let lines = changes.iter().map(|change| format!("{change}\n"));
    lines.collect()
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let empty = Map::new();
    // An added or removed section is listed entry by entry.
    let is_section = path.is_empty() || !path.contains('.');
    let (old, new) = match (before, after) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => (old, new),
        (Some(Value::Object(old)), None) if is_section => (old, &empty),
        (None, Some(Value::Object(new))) if is_section => (&empty, new),
        _ => {
            changes.push(Change {
                path: path.to_owned(),
                before: before.cloned(),
                after: after.cloned(),
            });
            return;
        }
    };
    let added = new.keys().filter(|name| !old.contains_key(*name));
    for name in old.keys().chain(added) {
        let path = match path {
            "" => name.clone(),
            _ => format!("{path}.{name}"),
        };
        compare(&path, old.get(name), new.get(name), changes);
    }
}
