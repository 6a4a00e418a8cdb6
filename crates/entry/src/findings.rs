//! Keeps the findings on prompt parts that crash engines in the store, so that they outlive a loss of
//! all hosts. Hosts have no disks, and finding such a part again costs several engines.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use berylknot_coordination::history::Era;
use serde::{Deserialize, Serialize};

use crate::admission;
use crate::platform::Store;
use crate::state::{Host, now};
use crate::suspects::{Crash, Source};

/// Key of the record, next to the announcements of the hosts.
pub(crate) const KEY: &str = "crashing-parts";

/// The record. Clocks of hosts differ by seconds, which is little against the retention of crashes.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Findings {
    /// Unix time of the write in milliseconds.
    written_at: u64,
    crashes: Vec<Crash>,
}

/// Findings that the store has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Written {
    revision: u64,
    /// Era of the store in which they were written; a restore may have lost them.
    era: Era,
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}

/// Starts to write the findings to the store if they have changed; the leader does it for all hosts.
pub(crate) fn write_if_changed<D: 'static, S: Store>(host: &Rc<Host<D, S>>) {
    let current = Written {
        revision: host.suspects.borrow().revision(),
        era: host.store.era(),
    };
    let written = host.published.findings.replace(current);
    // Nothing has been found at revision 0.
    if current == written || current.revision == 0 {
        return;
    }
    if admission::leader(host).is_some() {
        host.published.findings.set(written);
        return;
    }
    let host = Rc::clone(host);
    actix_rt::spawn(async move {
        if !write(&host).await {
            host.published.findings.set(written);
        }
    });
}

/// Writes the findings; returns whether the store has them.
async fn write<D, S: Store>(host: &Host<D, S>) -> bool {
    let findings = Findings {
        written_at: unix_millis(),
        crashes: host.suspects.borrow().report(now(), true),
    };
    let count = findings.crashes.len();
    let value = match rmp_serde::to_vec(&findings) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!(%error, "findings: not encoded; a restart of all hosts would lose them");
            return true;
        }
    };
    match host.store.announce(KEY, &value).await {
        Ok(_) => {
            tracing::info!(crashes = count, "findings: written to the store");
            true
        }
        Err(error) => {
            tracing::info!(%error, "findings: not written to the store; retried at the next maintenance");
            false
        }
    }
}

/// Applies the record that a host wrote before this host started.
pub(crate) fn restore<D, S: Store>(host: &Host<D, S>, value: &[u8]) {
    let findings: Findings = match rmp_serde::from_slice(value) {
        Ok(findings) => findings,
        Err(error) => {
            tracing::warn!(%error, "findings: malformed record in the store ignored");
            return;
        }
    };
    let now = now();
    let stored_ms = unix_millis().saturating_sub(findings.written_at);
    for mut crash in findings.crashes {
        crash.age_ms = crash.age_ms.saturating_add(stored_ms);
        host.learn_crash(now, &crash, Source::Peer);
    }
    host.published.findings.set(Written {
        revision: host.suspects.borrow().revision(),
        era: host.store.era(),
    });
}
