//! Semantic errors, before their locations are resolved.

use crate::place::{Location, Path};
use crate::{Finding, Source};

/// A semantic error at a path of the document.
#[derive(Clone, Debug)]
pub(crate) struct Issue {
    path: Path,
    message: String,
    hint: String,
    preconditions: Vec<Precondition>,
}

/// Condition under which an issue is reported. If it is unmet, the issue may only be a consequence
/// of another error.
#[derive(Clone, Debug)]
enum Precondition {
    /// The value at the path was read as written.
    Value(Path),
    /// The value at the path and everything below it were read as written.
    Subtree(Path),
    /// No file that was left out of the document may define the name.
    Undefined(String),
}

impl Issue {
    /// Creates an issue about the value at `path`, on condition that it was read as written.
    pub(crate) fn new(path: Path, message: impl Into<String>) -> Self {
        Self {
            preconditions: vec![Precondition::Value(path.clone())],
            path,
            message: message.into(),
            hint: String::new(),
        }
    }

    /// Sets the suggested correction.
    pub(crate) fn hint(self, hint: impl Into<String>) -> Self {
        Self {
            hint: hint.into(),
            ..self
        }
    }

    /// Adds the condition that the value at another path was read as written.
    pub(crate) fn requires(mut self, path: Path) -> Self {
        self.preconditions.push(Precondition::Value(path));
        self
    }

    /// Adds the condition that the value at a path and everything below it were read as written.
    pub(crate) fn requires_subtree(mut self, path: Path) -> Self {
        self.preconditions.push(Precondition::Subtree(path));
        self
    }

    /// Adds the condition that no file that was left out of the document may define `name`; see
    /// [`Source::may_define`].
    pub(crate) fn requires_undefined(mut self, name: &str) -> Self {
        self.preconditions
            .push(Precondition::Undefined(name.to_owned()));
        self
    }

    /// Converts the issue into a finding; `None` if a precondition is unmet.
    pub(crate) fn resolve(self, source: &Source, faulty: &[Path]) -> Option<Finding> {
        for precondition in &self.preconditions {
            let is_unmet = match precondition {
                Precondition::Value(path) => faulty.iter().any(|faulty| faulty.contains(path)),
                Precondition::Subtree(path) => faulty
                    .iter()
                    .any(|faulty| faulty.contains(path) || path.contains(faulty)),
                Precondition::Undefined(name) => source.may_define(name),
            };
            if is_unmet {
                return None;
            }
        }
        let location = source.location_of(&self.path);
        Some(self.into_finding(&location))
    }

    /// Converts the issue into a finding at a given location, without checking its preconditions.
    pub(crate) fn into_finding(self, location: &Location) -> Finding {
        Finding::new(location, &self.path, self.message).with_hint(self.hint)
    }
}
