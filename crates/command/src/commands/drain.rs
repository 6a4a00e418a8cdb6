//! `berylknot drain`: publishes that an endpoint accepts no new requests, or accepts them again.

use berylknot_settings::Fleet;
use serde_json::{Value, json};

use super::publish;
use crate::args::Drain;
use crate::config::Config;
use crate::platform::Log;
use crate::publication::{self, Outcome};
use crate::report::{Code, Report};
use crate::{difference, overlay};

/// Maximum number of attempts, each on the version then in force; an attempt fails when another
/// operator publishes at the same time.
const MAX_ATTEMPTS: usize = 3;

pub(crate) async fn run(config: &Config, arguments: &Drain) -> eyre::Result<Report> {
    let mut log = Log::open(config.platform()?).await?;
    log.check_history()?;
    if let Some(report) = set_leaving(&mut log.document()?, arguments) {
        return Ok(report);
    }
    // Writes the folder first, so that a failure there is reported before anything is published.
    let folder_note = update_folder(arguments)?;
    for _ in 0..MAX_ATTEMPTS {
        let before = log.document()?;
        let mut document = before.clone();
        if let Some(report) = set_leaving(&mut document, arguments) {
            return Ok(report);
        }
        Fleet::from_json(&document.to_string())?;
        let base = log.version();
        let changes = difference::between(&before, &document);
        let state = if arguments.undo { "serving" } else { "leaving" };
        if changes.is_empty() {
            let text = format!(
                "endpoint {:?} is {state} already{folder_note}",
                arguments.endpoint
            );
            return Ok(
                publish::confirm(config, arguments.wait, base, "unchanged", text, &changes).await,
            );
        }
        let accepted = match publication::propose(&mut log, base, &document.to_string()).await? {
            Outcome::Accepted(accepted) => accepted,
            // The change sets a single value, so it can be applied to the newer version as well.
            Outcome::Stale => continue,
            other => return Ok(publish::unresolved(&other)),
        };
        let text = format!(
            "endpoint {:?} is {state} as of version {}{folder_note}",
            arguments.endpoint,
            accepted.as_u64()
        );
        return Ok(
            publish::confirm(config, arguments.wait, accepted, "accepted", text, &changes).await,
        );
    }
    let text = "not published: other operators published during each of 3 attempts; \
                repeat the command";
    Ok(Report::failure(Code::Conflict, text))
}

/// Sets or clears the endpoint's `leaving` setting; returns a failure when there is no such
/// endpoint.
fn set_leaving(document: &mut Value, arguments: &Drain) -> Option<Report> {
    let endpoint = &arguments.endpoint;
    let found = document
        .get_mut("endpoints")
        .and_then(|endpoints| endpoints.get_mut(endpoint))
        .and_then(Value::as_object_mut);
    let Some(found) = found else {
        let text = format!("endpoint {endpoint:?} does not exist in the configuration in force");
        return Some(Report::failure(Code::Findings, text));
    };
    // Without the setting the endpoint is not leaving, so there is nothing to undo.
    if !arguments.undo || found.contains_key("leaving") {
        found.insert("leaving".to_owned(), Value::Bool(!arguments.undo));
    }
    None
}

/// Writes the change into the folder; without one, returns a note that the next publish of a folder
/// may undo it.
fn update_folder(arguments: &Drain) -> eyre::Result<String> {
    let change = json!({ "endpoints": { &arguments.endpoint: { "leaving": !arguments.undo } } });
    match &arguments.folder {
        Some(folder) => {
            let path = overlay::write(folder, &change)?;
            Ok(format!("\nwrote {}", path.display()))
        }
        None => Ok(format!(
            "\nthe next publish of a folder undoes this unless the folder has {change}"
        )),
    }
}
