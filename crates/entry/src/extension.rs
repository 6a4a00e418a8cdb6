//! What hosts tell each other beyond their reports: loads of endpoints, cold endpoints, evacuations, and calls of
//! customers that compete.
//!
//! It follows the report in the same datagram, so builds that do not know it, up to 8a62be6, read the report
//! and leave it. It is left out where there is nothing to tell, so a deployment without these mechanisms sends
//! what it did before.

use std::io::Cursor;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::contention::{MAX_TOLD, Total};
use berylknot_coordination::evacuation::{self, Notice};
use berylknot_coordination::forecast;
use serde::{Deserialize, Serialize};

use crate::state::{ColdSource, Host, now};

/// Most loads in a report: those of the endpoints that answered last.
const MAX_LOADS: usize = 16;
/// Most cold endpoints in a report.
const MAX_COLD: usize = 64;
/// Age up to which loads are reported: the forecast counts an eighth of them by then.
const MAX_LOAD_AGE: Duration = Duration::from_millis(800);
/// Longest time for which an endpoint is taken for cold on a peer's word.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// Load that an endpoint has stated, as hosts tell each other.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
    /// Time that work takes, in percent of the usual.
    pub pace_percent: u32,
    /// Time since the answer that stated it, in milliseconds.
    pub age_ms: u64,
}

/// An endpoint that is cold, as hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cold {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Time for which it stays cold, in milliseconds.
    pub left_ms: u64,
}

/// Extension of a report.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Extension {
    /// Evacuated data centres, once any was seen.
    pub evacuations: Option<Notice>,
    /// Endpoints that have told the sender that they are cold.
    pub cold: Vec<Cold>,
    /// Loads that endpoints have stated to the sender.
    pub loads: Vec<Load>,
    /// Region of the sender, where the deployment has several.
    pub region: Option<String>,
}

/// Calls of customers at the sender, behind the extension. Builds up to d3a1f8b read the extension and leave it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// Service, customer and number of calls that have arrived since the start of the sender.
    pub calls: Vec<(String, String, u64)>,
    /// Service and number of calls that were answered since then.
    pub answered: Vec<(String, u64)>,
}

/// Encodes what follows a report; empty if there is nothing to tell.
///
/// # Errors
/// Fails when it cannot be encoded.
pub fn encode(extension: &Extension, demand: &Demand) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = Vec::new();
    if !extension.is_empty() || !demand.calls.is_empty() {
        bytes.extend(rmp_serde::to_vec(extension)?);
    }
    if !demand.calls.is_empty() {
        bytes.extend(rmp_serde::to_vec(demand)?);
    }
    Ok(bytes)
}

/// Decodes what follows a report; empty if nothing does, or if it is malformed.
#[must_use]
pub fn decode(rest: &[u8]) -> (Extension, Demand) {
    if rest.is_empty() {
        return (Extension::default(), Demand::default());
    }
    let mut cursor = Cursor::new(rest);
    let extension = rmp_serde::from_read(&mut cursor).unwrap_or_else(|error| {
        tracing::warn!(%error, "peer: malformed extension of a report ignored");
        Extension::default()
    });
    let end = usize::try_from(cursor.position()).unwrap_or(rest.len());
    let demand = match rest.get(end..) {
        None | Some([]) => Demand::default(),
        Some(rest) => rmp_serde::from_slice(rest).unwrap_or_else(|error| {
            tracing::warn!(%error, "peer: malformed calls of customers ignored");
            Demand::default()
        }),
    };
    (extension, demand)
}

impl Extension {
    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The extension of this host's next report.
pub(crate) fn current<D, S>(host: &Host<D, S>) -> Extension {
    let now = now();
    let directory = host.directory.borrow();
    let since = Instant::from_millis(
        now.as_millis()
            .saturating_sub(MAX_LOAD_AGE.as_millis() as u64),
    );
    let own = host.forecast.borrow().own_since(since);
    let loads = own.into_iter().filter_map(|(key, load, at)| {
        Some(Load {
            endpoint: directory.get(key)?.id.clone(),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            pace_percent: (load.pace * 100.0) as u32,
            age_ms: now.since(at).as_millis() as u64,
        })
    });
    let limits = host.limits.borrow();
    let cold = limits.told_cold(now).map(|(endpoint, left)| Cold {
        endpoint: endpoint.to_owned(),
        left_ms: left.as_millis() as u64,
    });
    let places = host.places.borrow();
    Extension {
        evacuations: places.evacuations().notice(),
        cold: cold.take(MAX_COLD).collect(),
        loads: loads.take(MAX_LOADS).collect(),
        region: places.told_region().map(str::to_owned),
    }
}

/// The calls of customers that this host tells the others.
pub(crate) fn current_demand<D, S>(host: &Host<D, S>) -> Demand {
    let contention = host.contention.borrow();
    let calls = contention.told(now()).into_iter();
    let calls: Vec<_> = calls
        .map(|total| (total.group, total.customer, total.calls))
        .collect();
    if calls.is_empty() {
        return Demand::default();
    }
    let answered = contention.told_answered().take(MAX_TOLD);
    Demand {
        calls,
        answered: answered
            .map(|(group, answered)| (group.clone(), answered))
            .collect(),
    }
}

/// Applies the calls of customers at a peer.
pub(crate) fn apply_demand<D, S>(host: &Host<D, S>, from: SocketAddr, demand: Demand) {
    if !host.options.features.competing_callers {
        return;
    }
    let totals = demand.calls.into_iter().take(MAX_TOLD);
    let totals = totals.map(|(group, customer, calls)| Total {
        group,
        customer,
        calls,
    });
    let mut contention = host.contention.borrow_mut();
    let mut answered = demand.answered;
    answered.truncate(MAX_TOLD);
    contention.heard(now(), from, totals.collect(), answered);
}

/// Applies the extension of a peer's report.
pub(crate) fn apply<D, S>(host: &Rc<Host<D, S>>, from: SocketAddr, extension: Extension) {
    let now = now();
    if let Some(notice) = &extension.evacuations {
        let change = host.places.borrow_mut().evacuations_mut().adopt(notice);
        host.evacuations_changed(change, "peer");
    }
    if let Some(region) = extension.region {
        host.places.borrow_mut().add_host(from, region);
    }
    for cold in extension.cold {
        let known = host.directory.borrow().find(&cold.endpoint);
        if let Some((_, endpoint)) = known {
            let left = Duration::from_millis(cold.left_ms).min(MAX_COLD_TIME);
            host.note_cold(&endpoint, left, ColdSource::Peer);
        }
    }
    let directory = host.directory.borrow();
    let mut forecast = host.forecast.borrow_mut();
    for load in extension.loads {
        let stated = forecast::Load {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            pace: f64::from(load.pace_percent) / 100.0,
        };
        let at = now.as_millis().saturating_sub(load.age_ms);
        if let (Some(key), Some(stated)) = (directory.key(&load.endpoint), stated.checked()) {
            forecast.stated(key, stated, Instant::from_millis(at), false);
        }
    }
}

impl<D, S> Host<D, S> {
    /// Logs a change of the evacuated data centres.
    pub(crate) fn evacuations_changed(&self, change: evacuation::Change, source: &str) {
        match change {
            evacuation::Change::None => {}
            evacuation::Change::Changed => {
                let places = self.places.borrow();
                let evacuated: Vec<&str> = places.evacuations().iter().collect();
                tracing::warn!(?evacuated, source, "places: evacuated data centres changed");
                self.metrics.evacuated.set(evacuated.len() as i64);
            }
            evacuation::Change::Ignored => {
                tracing::warn!(
                    source,
                    "places: evacuation ignored; too many data centres are evacuated"
                );
            }
        }
    }
}
