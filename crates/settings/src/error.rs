//! Findings reported for settings, and the error type that holds them.

use std::fmt;

use serde::Serialize;

use crate::place::{Location, Path};

/// Result of settings operations.
pub type Result<T> = std::result::Result<T, Error>;

/// An error in the settings, with its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct Finding {
    /// File name; empty for a text that was not read from a file.
    pub file: String,
    /// Line, counted from 1; 0 when unknown.
    pub line: usize,
    /// Column in characters, counted from 1; 0 when unknown.
    pub column: usize,
    /// Path of the value within the document, such as `customers.acme.rate`.
    pub path: String,
    /// Description of the error.
    pub message: String,
    /// Suggested correction; may be empty.
    pub hint: String,
}

impl Finding {
    pub(crate) fn new(location: &Location, path: &Path, message: impl Into<String>) -> Self {
        Self {
            file: location.file.to_string(),
            line: location.line,
            column: location.column,
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

/// All findings of one validation run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    findings: Vec<Finding>,
}

impl Error {
    /// Sorts findings by location and removes duplicates.
    #[must_use]
    pub fn new(mut findings: Vec<Finding>) -> Self {
        findings.sort();
        findings.dedup();
        Self { findings }
    }

    /// The findings, sorted by location.
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
