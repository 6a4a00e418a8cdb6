//! `berylknot status`: prints the version in force and the state of each host.

use serde_json::json;

use crate::config::Config;
use crate::host;
use crate::platform::Log;
use crate::report::{Code, Report};

pub(crate) async fn run(config: &Config) -> eyre::Result<Report> {
    let (log, hosts) = futures_util::join!(
        Log::open(config.platform()?),
        host::poll(config.coordinators())
    );
    let hosts_text = host::text(&hosts);
    let log = match log {
        Ok(log) => log,
        // The state of the hosts matters most during an outage of the platform.
        Err(error) => {
            return Ok(Report::with_json(
                Code::Platform,
                format!("{error}\n{hosts_text}"),
                json!({ "error": error.to_string(), "exit_code": 4, "hosts": hosts }),
            ));
        }
    };
    let version = log.version().as_u64();
    let current = hosts.iter().filter(|host| host.is_current(version)).count();
    let mut text = match version {
        0 => "no configuration is in force\n".to_owned(),
        _ => format!(
            "version {version}, stored by the log at {} ms since the Unix epoch\n",
            log.accepted_at_ms()
        ),
    };
    if log.unknown_entries() > 0 {
        text += &format!(
            "{} entries of the log cannot be decoded by this release\n",
            log.unknown_entries()
        );
    }
    text += &format!(
        "current on {current} of {} hosts\n{hosts_text}",
        hosts.len()
    );
    let code = if current == hosts.len() {
        Code::Success
    } else {
        Code::Unconfirmed
    };
    Ok(Report::with_json(
        code,
        text,
        json!({
            "version": version,
            "accepted_at_ms": log.accepted_at_ms(),
            "unknown_entries": log.unknown_entries(),
            "hosts": hosts,
        }),
    ))
}
