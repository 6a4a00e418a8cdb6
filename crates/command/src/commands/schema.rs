//! `berylknot schema`: prints the JSON schema of the settings.

use crate::report::{Code, Report};

pub(crate) fn run() -> Report {
    let text = berylknot_settings::schema::text();
    let json = serde_json::from_str(&text).expect("the schema is JSON");
    Report::with_json(Code::Success, text, json)
}
