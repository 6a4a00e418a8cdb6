//! `berylknot drain`.

use berylknot_settings::Fleet;
use serde_json::{Value, json};

use super::publish;
use crate::args::Drain;
use crate::config::Config;
use crate::platform::Log;
use crate::publication::{self, Outcome};
use crate::report::{Code, Report};
use crate::{difference, overlay};

/// Attempts to publish the change on the newest version while other operators publish.
const MAX_ATTEMPTS: usize = 3;

pub(crate) async fn run(config: &Config, arguments: &Drain) -> eyre::Result<Report> {
    let mut log = Log::open(config.platform()?).await?;
    log.check_history()?;
    if let Some(report) = change(&mut log.document()?, arguments) {
        return Ok(report);
    }
    // The folder comes first, so that a fault there is reported before anything is published.
    let kept = keep(arguments)?;
    for _ in 0..MAX_ATTEMPTS {
        let before = log.document()?;
        let mut document = before.clone();
        if let Some(report) = change(&mut document, arguments) {
            return Ok(report);
        }
        Fleet::from_json(&document.to_string())?;
        let base = log.version();
        let changes = difference::between(&before, &document);
        let state = if arguments.undo { "serving" } else { "leaving" };
        if changes.is_empty() {
            let text = format!("endpoint {:?} is {state} already{kept}", arguments.endpoint);
            return Ok(
                publish::confirm(config, arguments.wait, base, "unchanged", text, &changes).await,
            );
        }
        let accepted = match publication::propose(&mut log, base, &document.to_string()).await? {
            Outcome::Accepted(accepted) => accepted,
            // The change concerns one value only, so it is applied to the newer version.
            Outcome::Stale => continue,
            other => return Ok(publish::unresolved(&other)),
        };
        let text = format!(
            "endpoint {:?} is {state} as of version {}{kept}",
            arguments.endpoint,
            accepted.as_u64()
        );
        return Ok(
            publish::confirm(config, arguments.wait, accepted, "accepted", text, &changes).await,
        );
    }
    let text = "not published: other operators published at the same time, three times in a row";
    Ok(Report::failure(Code::Conflict, text))
}

/// Sets the endpoint's state; a report when the endpoint does not exist.
fn change(document: &mut Value, arguments: &Drain) -> Option<Report> {
    let endpoint = &arguments.endpoint;
    let found = document
        .get_mut("endpoints")
        .and_then(|endpoints| endpoints.get_mut(endpoint))
        .and_then(Value::as_object_mut);
    let Some(found) = found else {
        let text = format!("endpoint {endpoint:?} does not exist in the configuration in force");
        return Some(Report::failure(Code::Findings, text));
    };
    // An endpoint without the setting is not leaving, hence nothing is to be undone.
    if !arguments.undo || found.contains_key("leaving") {
        found.insert("leaving".to_owned(), Value::Bool(!arguments.undo));
    }
    None
}

/// Writes the change into a folder, or tells how to keep it there.
fn keep(arguments: &Drain) -> eyre::Result<String> {
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
