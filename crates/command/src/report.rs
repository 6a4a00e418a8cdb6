//! Result of a command: exit code, text for operators and JSON for scripts.

use std::io::Write;
use std::process::ExitCode;

use serde_json::{Value, json};

use crate::config::Usage;
use crate::platform::Unreachable;

/// Exit codes, as documented in docs/CONFIG.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Code {
    /// The command did what was asked.
    Success = 0,
    /// The settings have findings, or a name does not exist.
    Findings = 1,
    /// Wrong usage, or faults in the command's own settings.
    Usage = 2,
    /// Another operator has published; nothing was changed.
    Conflict = 3,
    /// The platform cannot be reached, or the outcome is unknown.
    Platform = 4,
    /// Published, but not confirmed by every host; or hosts differ.
    Unconfirmed = 5,
    /// Any other failure.
    Failure = 6,
}

/// Result of a command.
#[derive(Debug)]
pub(crate) struct Report {
    code: Code,
    text: String,
    json: Value,
    is_failure: bool,
}

impl Report {
    /// Creates a result whose JSON form has the text as `text`.
    pub(crate) fn new(code: Code, text: impl Into<String>) -> Self {
        let text = text.into();
        Self {
            code,
            json: json!({ "text": text }),
            text,
            is_failure: false,
        }
    }

    /// Creates a result with separate text and JSON forms.
    pub(crate) fn with_json(code: Code, text: impl Into<String>, json: Value) -> Self {
        Self {
            json,
            ..Self::new(code, text)
        }
    }

    /// Creates a failure; its text is printed to standard error, its JSON form to standard output.
    pub(crate) fn failure(code: Code, text: impl Into<String>) -> Self {
        let text = text.into();
        Self {
            code,
            json: json!({ "error": text, "exit_code": code as u8 }),
            text,
            is_failure: true,
        }
    }

    /// Creates a result that lists the findings in settings, one per line.
    pub(crate) fn findings(error: &berylknot_settings::Error) -> Self {
        let count = error.findings().len();
        let plural = if count == 1 { "" } else { "s" };
        Self::with_json(
            Code::Findings,
            format!("{error}\n{count} finding{plural}"),
            json!({ "findings": error.findings() }),
        )
    }

    /// Converts an error to a result, with the exit code of its type.
    pub(crate) fn from_error(error: &eyre::Report) -> Self {
        if let Some(findings) = error.downcast_ref::<berylknot_settings::Error>() {
            return Self::findings(findings);
        }
        let code = if error.is::<Usage>() {
            Code::Usage
        } else if error.is::<Unreachable>() {
            Code::Platform
        } else {
            Code::Failure
        };
        Self::failure(code, format!("{error:#}"))
    }

    /// Prints the result and returns the exit code. A broken pipe, as with `head`, is no failure.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        let text = if json {
            format!("{:#}", self.json)
        } else {
            self.text.clone()
        };
        let text = format!("{}\n", text.trim_end());
        let written = if self.is_failure && !json {
            std::io::stderr().lock().write_all(text.as_bytes())
        } else {
            std::io::stdout().lock().write_all(text.as_bytes())
        };
        match written {
            Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => {
                ExitCode::from(Code::Failure as u8)
            }
            _ => ExitCode::from(self.code as u8),
        }
    }
}
