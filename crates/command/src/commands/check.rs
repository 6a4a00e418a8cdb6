//! `berylknot check`: reports all findings of a settings folder.

use std::path::Path;

use berylknot_settings::Fleet;
use serde_json::json;

use crate::report::{Code, Report};

pub(crate) fn run(folder: &Path) -> Report {
    let fleet = match Fleet::read_folder(folder) {
        Ok(fleet) => fleet,
        Err(error) => return Report::findings(&error),
    };
    let text = format!(
        "no findings: {} customers, {} keys, {} models, {} endpoints, {} routes",
        fleet.customers().len(),
        fleet.keys().len(),
        fleet.models().len(),
        fleet.endpoints().count(),
        fleet.routes().count(),
    );
    Report::with_json(Code::Success, text, json!({ "findings": [] }))
}
