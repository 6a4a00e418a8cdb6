//! Faults found by the checks of meaning, before their places are known.

use crate::place::{Path, Place};
use crate::{Finding, Source};

/// A fault of meaning.
#[derive(Clone, Debug)]
pub(crate) struct Issue {
    path: Path,
    message: String,
    hint: String,
    needs: Vec<Need>,
}

/// What must have been read as written for an issue to be true.
#[derive(Clone, Debug)]
enum Need {
    /// The value at a path.
    Value(Path),
    /// The value at a path with all its parts.
    Whole(Path),
    /// All definitions of a name.
    Name(String),
}

impl Issue {
    /// An issue about the value at a path, which must have been read as written.
    pub(crate) fn new(path: Path, message: impl Into<String>) -> Self {
        Self {
            needs: vec![Need::Value(path.clone())],
            path,
            message: message.into(),
            hint: String::new(),
        }
    }

    /// Adds how to mend it.
    pub(crate) fn hint(self, hint: impl Into<String>) -> Self {
        Self {
            hint: hint.into(),
            ..self
        }
    }

    /// The issue is true only if the value at another path was read as written.
    pub(crate) fn needs(mut self, path: Path) -> Self {
        self.needs.push(Need::Value(path));
        self
    }

    /// The issue is true only if a value and all its parts were read as written.
    pub(crate) fn needs_whole(mut self, path: Path) -> Self {
        self.needs.push(Need::Whole(path));
        self
    }

    /// The issue is true only if no unread file defines a name.
    pub(crate) fn needs_name(mut self, name: &str) -> Self {
        self.needs.push(Need::Name(name.to_owned()));
        self
    }

    /// The finding, or `None` when the issue may only follow from other faults.
    pub(crate) fn resolve(self, source: &Source, faulty: &[Path]) -> Option<Finding> {
        for need in &self.needs {
            let doubtful = match need {
                Need::Value(path) => faulty.iter().any(|faulty| faulty.contains(path)),
                Need::Whole(path) => faulty
                    .iter()
                    .any(|faulty| faulty.contains(path) || path.contains(faulty)),
                Need::Name(name) => source.may_define(name),
            };
            if doubtful {
                return None;
            }
        }
        let place = source.place_of(&self.path);
        Some(self.at(&place))
    }

    /// The finding at a place.
    pub(crate) fn at(self, place: &Place) -> Finding {
        Finding::new(place, &self.path, self.message).with_hint(self.hint)
    }
}
