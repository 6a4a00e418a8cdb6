//! Findings about settings and the error that carries them.

use std::fmt;

use serde::Serialize;

use crate::place::{Path, Place};

/// Result of settings operations.
pub type Result<T> = std::result::Result<T, Error>;

/// A fault in the settings, with its place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct Finding {
    /// File name, empty for a merged document.
    pub file: String,
    /// Line, counted from 1; 0 when unknown.
    pub line: usize,
    /// Column in characters, counted from 1; 0 when unknown.
    pub column: usize,
    /// Path of the value within the document, such as `customers.acme.rate`.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// How to mend it; may be empty.
    pub hint: String,
}

impl Finding {
    pub(crate) fn new(place: &Place, path: &Path, message: impl Into<String>) -> Self {
        Self {
            file: place.file.to_string(),
            line: place.line,
            column: place.column,
            path: path.to_string(),
            message: message.into(),
            hint: String::new(),
        }
    }

    pub(crate) fn with_hint(self, hint: impl Into<String>) -> Self {
        Self {
            hint: hint.into(),
            ..self
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(formatter, "{}:", self.file)?;
        }
        if self.line > 0 {
            write!(formatter, "{}:{}:", self.line, self.column)?;
        }
        if !self.file.is_empty() || self.line > 0 {
            formatter.write_str(" ")?;
        }
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        formatter.write_str(&self.message)?;
        if !self.hint.is_empty() {
            write!(formatter, " ({})", self.hint)?;
        }
        Ok(())
    }
}

/// All findings of one check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    findings: Vec<Finding>,
}

impl Error {
    /// Wraps findings and sorts them by their places.
    #[must_use]
    pub fn new(mut findings: Vec<Finding>) -> Self {
        findings.sort();
        findings.dedup();
        Self { findings }
    }

    /// The findings, in the order of their places.
    #[must_use]
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
