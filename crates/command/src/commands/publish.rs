//! `berylknot publish`: publishes a settings folder and waits until every host has it in force.

use std::time::Duration;

use berylknot_coordination::record::Position;
use berylknot_settings::{Fleet, Source};
use serde_json::{Value, json};

use crate::args::Publish;
use crate::config::{Config, Usage};
use crate::difference::{self, Change};
use crate::host::{self, Host};
use crate::platform::Log;
use crate::publication::{self, Outcome};
use crate::report::{Code, Report};

pub(crate) async fn run(config: &Config, arguments: &Publish) -> eyre::Result<Report> {
    let base = arguments.base.as_deref().map(parse_base).transpose()?;
    let source = Source::read_folder(&arguments.folder);
    Fleet::from_source(&source)?;
    let mut log = Log::open(config.platform()?).await?;
    let version = log.version();
    let changes = difference::between(&log.document()?, &source.to_value());
    if changes.is_empty() && version != Position::default() {
        let text = format!("version {} already has these settings", version.as_u64());
        return Ok(confirm(config, arguments.wait, version, "unchanged", text, &changes).await);
    }
    let base = match base {
        Some(Base::Version(base)) => base,
        Some(Base::Current) | None => {
            log.check_history()?;
            base.map_or_else(Position::default, |_| version)
        }
    };
    if base != version {
        return Ok(conflict(&log, base, &source.to_value()));
    }
    match publication::propose(&mut log, base, &source.to_text()).await? {
        Outcome::Accepted(accepted) => {
            let text = format!(
                "{}published version {} on {}",
                difference::text(&changes),
                accepted.as_u64(),
                base.as_u64()
            );
            Ok(confirm(config, arguments.wait, accepted, "accepted", text, &changes).await)
        }
        Outcome::Stale => Ok(conflict(&log, base, &source.to_value())),
        other => Ok(unresolved(&other)),
    }
}

/// Version that the operator's folder is based on.
enum Base {
    Version(Position),
    Current,
}

fn parse_base(text: &str) -> Result<Base, Usage> {
    if text == "current" {
        return Ok(Base::Current);
    }
    text.parse()
        .map(|version| Base::Version(Position::from_u64(version)))
        .map_err(|_| {
            Usage(format!(
                "--base {text:?} is neither a version nor \"current\""
            ))
        })
}

/// Reports that nothing was published, because the version in force is not the base.
fn conflict(log: &Log, base: Position, proposed: &Value) -> Report {
    let version = log.version().as_u64();
    let in_force = log.document().unwrap_or_default();
    let changes = difference::between(&in_force, proposed);
    let base = match base.as_u64() {
        0 => "no base version was given".to_owned(),
        base => format!("the base is version {base}"),
    };
    let text = format!(
        "not published: version {version} is in force, and {base}\n\
         a publish would make these changes:\n{}\
         if they are intended, repeat with --base {version}",
        difference::text(&changes)
    );
    let json = json!({ "outcome": "conflict", "version": version, "changes": changes });
    Report::with_json(Code::Conflict, text, json)
}

/// Reports a proposal that was refused or whose outcome is unknown.
pub(crate) fn unresolved(outcome: &Outcome) -> Report {
    let (outcome, text) = match outcome {
        Outcome::Unknown(id, reason) => {
            let text = format!(
                "outcome unknown: {reason}; the log may have stored record {:x}.{}. \
                 Repeat the same command: it is safe",
                id.incarnation.0, id.sequence
            );
            ("unknown", text)
        }
        Outcome::Refused(reason) => ("refused", format!("not published: {reason}")),
        Outcome::Accepted(_) | Outcome::Stale => ("conflict", "not published".to_owned()),
    };
    Report::with_json(
        Code::Platform,
        text.clone(),
        json!({ "outcome": outcome, "error": text, "exit_code": Code::Platform as u8 }),
    )
}

/// Waits until every host has a version in force or the wait ends, and reports the hosts' state.
pub(crate) async fn confirm(
    config: &Config,
    wait: Option<u64>,
    version: Position,
    outcome: &str,
    text: String,
    changes: &[Change],
) -> Report {
    let wait = Duration::from_secs(wait.unwrap_or(host::CONFIRM_TIMEOUT_S));
    let version = version.as_u64();
    let hosts = host::confirm(config.coordinators(), version, wait).await;
    let confirmed = hosts.iter().filter(|host| host.has(version)).count();
    let mut lines = vec![text];
    if hosts.is_empty() {
        lines.push("no coordinators are set, so no host was asked".to_owned());
    } else {
        lines.push(format!("in force on {confirmed} of {} hosts", hosts.len()));
        lines.push(host::text(&hosts));
    }
    let code = if confirmed == hosts.len() {
        Code::Success
    } else {
        Code::Unconfirmed
    };
    let json = json(outcome, version, changes, &hosts);
    Report::with_json(code, lines.join("\n"), json)
}

fn json(outcome: &str, version: u64, changes: &[Change], hosts: &[Host]) -> Value {
    json!({ "outcome": outcome, "version": version, "changes": changes, "hosts": hosts })
}
