//! Queries between hosts for the newest records: the configuration, and the endpoint entries that a host
//! does not read from the store itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::history::Position;
use bytes::Bytes;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::contact::is_listing;
use crate::follow;
use crate::http::Timeouts;
use crate::http::memory::LARGE_BYTES;
use crate::own;
use crate::peer::{entries_age_ms, millis_since};
use crate::platform::{Dialect, Store};
use crate::readers::{Change, Changes};
use crate::state::{Host, now};
use crate::versions::{self, Regimes};

/// Path of these queries.
pub(crate) const PATH: &str = "/v1/records";
/// Timeout of each step of a query to a peer.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = LARGE_BYTES;

/// Query for newer records.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Query {
    /// Version of the configuration that the querying host has.
    configuration: u64,
    /// Whether the endpoint entries are requested, which take a thousand times the bytes.
    endpoints: bool,
    /// Position in the store from which on the changes of the entries are requested.
    changes_from: Option<Position>,
    /// Whether the regimes of software versions are requested.
    regimes: bool,
}

/// Newest records of a peer, as the answer to a query.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Answer {
    /// Age of the peer's configuration, in milliseconds.
    configuration_age_ms: u64,
    /// Age of the peer's endpoint entries, in milliseconds.
    entries_age_ms: u64,
    /// The configuration, if it is newer than that of the querying host.
    configuration: Option<Bytes>,
    /// Endpoint entries by id.
    endpoints: Vec<(String, Bytes)>,
    /// The requested changes and the position up to which they go; `None` if not all are known.
    changes: Option<(Vec<Change>, Position)>,
    /// Digest of the peer's directory.
    digest: u64,
    /// The requested regimes; `None` if the peer does not know them either.
    regimes: Option<Regimes>,
}

/// Answers a peer's query with the parts of the body; `None` if it is malformed.
pub(crate) async fn answer<D: Dialect, S: Store>(
    host: &Host<D, S>,
    body: &[u8],
) -> Option<Vec<Bytes>> {
    let query: Query = rmp_serde::from_slice(body).ok()?;
    if query.changes_from.is_some() {
        // After a failed read the answer tells how old the entries are.
        follow::read_entries(host, host.refresh.get().reader_age()).await;
    }
    let changes = query.changes_from.and_then(|from| {
        let known = host.changes.borrow();
        let known = known.as_ref()?;
        Some((known.since(from)?, known.end()))
    });
    let newer = configuration_version(host) > query.configuration;
    let answer = Answer {
        configuration_age_ms: millis_since(host.configuration_confirmed.get()),
        entries_age_ms: entries_age_ms(host),
        configuration: newer.then(|| host.document.borrow().clone()),
        endpoints: Vec::new(),
        changes,
        digest: host.directory.borrow().digest(),
        regimes: versions::regimes(host).filter(|_| query.regimes),
    };
    let encoded = if query.endpoints {
        let entries = host.entries.borrow_mut().encoded();
        entries.and_then(|entries| encode(&answer, entries))
    } else {
        rmp_serde::to_vec(&answer).map(|bytes| vec![Bytes::from(bytes)])
    };
    encoded
        .inspect_err(|error| tracing::error!(%error, "peer: records could not be encoded"))
        .ok()
}

/// Encodes an answer as [`rmp_serde::to_vec`] does, with `entries` in place of its endpoints: they are encoded
/// already, and shared by all answers.
fn encode(answer: &Answer, entries: Bytes) -> Result<Vec<Bytes>, rmp_serde::encode::Error> {
    let Answer {
        configuration_age_ms,
        entries_age_ms,
        configuration,
        endpoints: _,
        changes,
        digest,
        regimes,
    } = answer;
    let mut before = Vec::new();
    rmp::encode::write_array_len(&mut before, 7)?;
    before.extend(rmp_serde::to_vec(configuration_age_ms)?);
    before.extend(rmp_serde::to_vec(entries_age_ms)?);
    before.extend(rmp_serde::to_vec(configuration)?);
    let mut after = rmp_serde::to_vec(changes)?;
    after.extend(rmp_serde::to_vec(digest)?);
    after.extend(rmp_serde::to_vec(regimes)?);
    Ok(vec![Bytes::from(before), entries, Bytes::from(after)])
}

/// Version of the configuration in force; 0 without one.
fn configuration_version<D, S>(host: &Host<D, S>) -> u64 {
    host.fleet
        .borrow()
        .as_ref()
        .map_or(0, |fleet| fleet.version)
}

/// Asks a peer for its newest records if it has a newer configuration, or if the store is overdue.
pub(crate) async fn fetch_newer<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    is_store_overdue: bool,
) {
    let version = configuration_version(host);
    let draw = rand::rng().random_range(0.0..1.0);
    let source = host
        .view
        .borrow()
        .source(now(), version, is_store_overdue, draw);
    let Some(source) = source else {
        return;
    };
    let query = Query {
        configuration: version,
        endpoints: false,
        changes_from: None,
        regimes: !host.published.is_restored(),
    };
    if let Err(error) = query_peer(host, source, &query, QUERY_TIMEOUT).await {
        tracing::info!(peer = %source, %error, "peer: query for newer records failed; retried at the next maintenance");
    }
}

/// Keeps the endpoint entries current while the store does not answer this host: asks peers that have
/// fresher ones.
pub(crate) async fn confirm_entries<D: Dialect, S: Store>(host: Rc<Host<D, S>>) {
    let mut was_expired = false;
    loop {
        let pause = host.refresh.get().query_pause();
        tokio::time::sleep(pause).await;
        let is_expired = host.is_directory_expired(now());
        if is_expired != was_expired {
            tracing::info!(
                is_expired,
                "directory: age of the endpoint entries checked against the drain deadline"
            );
            was_expired = is_expired;
        }
        if let Some(source) = entries_source(&host) {
            let query = Query {
                configuration: configuration_version(&host),
                endpoints: true,
                changes_from: None,
                regimes: false,
            };
            if let Err(error) = query_peer(&host, source, &query, pause * 2).await {
                tracing::info!(peer = %source, %error, "peer: query for endpoint entries failed; another peer is asked");
            }
        }
    }
}

/// The peer to ask for endpoint entries; `None` while the own ones are young enough.
fn entries_source<D, S: Store>(host: &Host<D, S>) -> Option<SocketAddr> {
    let now = now();
    let refresh = host.refresh.get();
    if !refresh.is_late(now) {
        return None;
    }
    if refresh.confirmed_at().is_none() && is_listing(now, host.store.answered_at()) {
        return None;
    }
    let view = host.view.borrow();
    if !refresh.asks_peer(now, view.freshest_entries(now)) {
        return None;
    }
    let draw = rand::rng().random_range(0.0..1.0);
    view.entries_source(now, refresh.tolerance(), draw)
}

fn time_before(now: Instant, age_ms: u64) -> Option<Instant> {
    let millis = now.as_millis().checked_sub(age_ms);
    millis.map(Instant::from_millis)
}

/// Applies a peer's configuration if it is newer; the peer's was confirmed `age_ms` before the query.
fn apply_configuration<D: Dialect, S: Store>(
    host: &Host<D, S>,
    queried_at: Instant,
    document: Option<Bytes>,
    age_ms: u64,
) {
    if let Some(document) = document {
        follow::configure::<D, S>(host, document, "peer");
    }
    let confirmed = host.configuration_confirmed.get();
    let confirmed = confirmed.max(time_before(queried_at, age_ms));
    host.configuration_confirmed.set(confirmed);
}

/// Sends a query to a peer and reads its answer.
async fn ask<D, S>(
    host: &Host<D, S>,
    peer: SocketAddr,
    query: &Query,
    step_timeout: Duration,
) -> eyre::Result<Answer> {
    let timeouts = Timeouts {
        connect: step_timeout,
        head: step_timeout,
        max_idle: Duration::MAX,
    };
    let (read, limit) = (step_timeout, MAX_ANSWER_BYTES);
    own::ask(&host.pool, peer, PATH, query, timeouts, read, limit).await
}

/// Asks a reader for the changes of the endpoint entries; returns whether it has answered with them.
pub(crate) async fn ask_reader<D: Dialect, S: Store>(host: &Rc<Host<D, S>>) -> bool {
    let from = host.changes.borrow().as_ref().map(Changes::end);
    let own = SocketAddr::new(host.options.address, host.options.listen.peer_port);
    let draw = rand::rng().random_range(0.0..1.0);
    let reader = host.view.borrow().reader(now(), own, draw);
    let (Some(from), Some(reader)) = (from, reader) else {
        return false;
    };
    let query = Query {
        configuration: configuration_version(host),
        endpoints: false,
        changes_from: Some(from),
        regimes: false,
    };
    let queried_at = now();
    let step_timeout = host.refresh.get().query_pause() * 2;
    let answer = match ask(host, reader, &query, step_timeout).await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::info!(%reader, %error, "peer: reader did not answer; the store is read instead");
            return false;
        }
    };
    let as_of = time_before(queried_at, answer.entries_age_ms);
    let is_current = as_of.is_some_and(|as_of| host.refresh.get().accepts(queried_at, as_of));
    let (Some(as_of), Some((changes, end))) = (as_of.filter(|_| is_current), answer.changes) else {
        tracing::info!(%reader, age_ms = answer.entries_age_ms, "peer: reader's entries are too old or incomplete; the store is read instead");
        return false;
    };
    follow::reader_answered(host).await;
    if !follow::is_at(host, Some(from)) {
        tracing::info!(%reader, "peer: entries were read from the store meanwhile; the answer is not used");
        return false;
    }
    follow::apply_changes::<D, S>(host, changes, end, false);
    apply_configuration(
        host,
        queried_at,
        answer.configuration,
        answer.configuration_age_ms,
    );
    if host.directory.borrow().digest() != answer.digest {
        // The hosts deferred removals differently, or one has missed a change: read the whole list.
        tracing::info!(%reader, "peer: reader's directory differs; the store is read instead");
        *host.changes.borrow_mut() = None;
        return false;
    }
    host.confirm_entries(as_of);
    true
}

/// Queries a peer for newer records and applies the answer.
async fn query_peer<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    peer: SocketAddr,
    query: &Query,
    step_timeout: Duration,
) -> eyre::Result<()> {
    let queried_at = now();
    let answer = ask(host, peer, query, step_timeout).await?;
    apply_configuration(
        host,
        queried_at,
        answer.configuration,
        answer.configuration_age_ms,
    );
    versions::adopt_from_peer(host, answer.regimes);
    let as_of = time_before(queried_at, answer.entries_age_ms);
    if let Some(as_of) = as_of.filter(|_| query.endpoints) {
        // The list is complete as of that time, so endpoints that it lacks were removed.
        let is_newer = host.refresh.get().confirmed_at() < Some(as_of);
        follow::merge_endpoints::<D, S>(host, answer.endpoints, is_newer);
        host.confirm_entries(as_of);
    }
    Ok(())
}
