//! Findings about settings and the error that carries them.

use std::fmt;

/// Result of settings operations.
pub type Result<T> = std::result::Result<T, Error>;

/// A fault in the settings, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File name, empty for a merged document.
    pub file: String,
    /// Line, counted from 1; 0 when unknown.
    pub line: usize,
    /// Column, counted from 1; 0 when unknown.
    pub column: usize,
    /// Path of the value within the document, such as `customers.acme.rate`.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// How to mend it; may be empty.
    pub hint: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}:{}: {}: {}",
            self.file, self.line, self.column, self.path, self.message
        )?;
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
    /// Wraps findings.
    #[must_use]
    pub fn new(findings: Vec<Finding>) -> Self {
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
