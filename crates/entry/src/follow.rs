//! Follows the records in the platform's store: configuration, endpoints and entry hosts.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::evacuation;
use berylknot_coordination::history::{Era, Position};
use berylknot_coordination::poll;
use bytes::Bytes;

use crate::archive::Batch;
use crate::directory;
use crate::findings;
use crate::platform::{Dialect, Error, Feed, Result, Store};
use crate::readers::{Change, Changes};
use crate::records;
use crate::state::{ColdSource, Host, jitter, now};
use crate::versions;

/// Longest wait of a poll at a host whose reader tells it of new configurations as well.
const BACKED_POLL_WAIT: Duration = Duration::from_secs(25);
/// Base of the exponential backoff after failed store calls; the first delay is twice as long.
const BACKOFF_BASE: Duration = Duration::from_millis(150);
/// Longest backoff after failed store calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Decodes a configuration and applies it unless the same or a newer version is in force.
pub(crate) fn configure<D: Dialect, S: Store>(host: &Host<D, S>, document: Bytes, source: &str) {
    match D::fleet(&document) {
        Ok(fleet) => {
            if host.configure(fleet, document) {
                tracing::info!(source, "config: read");
            }
        }
        Err(error) => tracing::error!(%error, source, "config: malformed; previous one kept"),
    }
}

/// Merges endpoint entries from a peer. A complete list also removes the endpoints that it lacks.
pub(crate) fn merge_endpoints<D: Dialect, S: Store>(
    host: &Host<D, S>,
    entries: Vec<(String, Bytes)>,
    complete: bool,
) {
    if entries.is_empty() {
        return;
    }
    let listed: HashSet<String> = entries.iter().map(|(id, _)| id.clone()).collect();
    for (id, value) in entries {
        put::<D, S>(host, id, value);
    }
    if complete {
        retain(host, &listed);
    }
    if !host.directory_known.replace(true) {
        host.report_to_all();
    }
}

/// Applies an entry; returns whether it changes more than its sequence number.
fn put<D: Dialect, S: Store>(host: &Host<D, S>, id: String, value: Bytes) -> bool {
    match D::endpoint(&id, &value) {
        Ok(endpoint) => {
            let was_expiring = host.directory.borrow().is_expiring(&id);
            let is_complete = host.directory_known.get();
            let change = host.directory.borrow_mut().put(endpoint.clone());
            host.directory_changed(change);
            let has_started = is_complete && matches!(change, directory::Change::Started(_));
            let left = match endpoint.cold {
                None if has_started => {
                    host.service(&endpoint.service, |service| service.cold_start)
                }
                left => left,
            };
            let is_chilled =
                left.is_some_and(|left| host.note_cold(&endpoint, left, ColdSource::Entry));
            host.entries.borrow_mut().insert(id, value);
            was_expiring || is_chilled || change != directory::Change::None
        }
        Err(error) => {
            // A malformed record is logged once per endpoint.
            if host
                .entries
                .borrow_mut()
                .insert(id.clone(), value)
                .is_none()
            {
                tracing::warn!(key = id, %error, "directory: malformed endpoint entry ignored");
            }
            false
        }
    }
}

fn remove<D, S>(host: &Host<D, S>, id: &str) {
    let change = host.directory.borrow_mut().remove(now(), id);
    host.directory_changed(change);
    prune_entries(host);
}

/// Removes the raw entries of endpoints that have left the directory. Those whose removal is deferred
/// stay, so that peers defer it as well.
pub(crate) fn prune_entries<D, S>(host: &Host<D, S>) {
    let directory = host.directory.borrow();
    host.entries
        .borrow_mut()
        .retain(|id| directory.key(id).is_some());
}

fn retain<D, S>(host: &Host<D, S>, listed: &HashSet<String>) {
    let changes = host
        .directory
        .borrow_mut()
        .retain(now(), |id| listed.contains(id));
    for change in changes {
        host.directory_changed(change);
    }
    prune_entries(host);
}

/// Records the outcome of a store call; returns the backoff before the next call after a failure.
fn record_outcome<D, S, T>(
    host: &Host<D, S>,
    feed: Feed,
    result: &Result<T>,
    failures: &mut u32,
) -> Option<Duration> {
    let now = now();
    match result {
        Err(Error::Restored) => {
            // Reading goes on from a listing, whose missing entries may be written again.
            tracing::info!(
                ?feed,
                "store: position of an earlier era; reading the whole feed"
            );
            if feed == Feed::Endpoints && !host.outage.get().is_own(now) {
                host.directory.borrow_mut().store_returned(now);
            }
            *failures = 0;
            None
        }
        Ok(_) | Err(Error::Expired(_)) => {
            if *failures > 0 {
                let is_own = host.outage.get().is_own(now);
                tracing::info!(?feed, failures = *failures, is_own, "store: regained");
                if !is_own {
                    host.directory.borrow_mut().store_returned(now);
                }
            }
            *failures = 0;
            host.store_answered.set(Some(now));
            None
        }
        Err(error @ Error::Abandoned) => {
            tracing::info!(?feed, %error, "store: poll repeated");
            None
        }
        Err(error) => {
            if *failures == 0 {
                tracing::warn!(?feed, %error, "store: lost");
            }
            *failures += 1;
            Some(MAX_BACKOFF.min(BACKOFF_BASE * (1 << (*failures).min(4))))
        }
    }
}

/// Follows the operator's configuration by long polling.
pub(crate) async fn configuration<D: Dialect, S: Store>(host: Rc<Host<D, S>>) {
    let own = SocketAddr::new(host.options.address, host.options.listen.peer_port);
    let mut position = None;
    let mut failures = 0;
    loop {
        let result = match position {
            None => host.store.read_newest(Feed::Configuration).await,
            Some(from) => {
                let has_reader = host.view.borrow().reader(now(), own, 0.0).is_some();
                let wait = if has_reader {
                    BACKED_POLL_WAIT
                } else {
                    poll::wait(host.options.bounds.config_apply())
                };
                host.store.read(Feed::Configuration, from, wait).await
            }
        };
        let pause = record_outcome(&host, Feed::Configuration, &result, &mut failures);
        match result {
            Ok(batch) => {
                if batch.is_complete {
                    host.configuration_confirmed.set(Some(now()));
                }
                note_evacuations::<D, S>(&host, position, &batch);
                for record in batch.records {
                    if let Some(document) = record.value.filter(|_| record.key == CONFIGURATION_KEY)
                    {
                        configure::<D, S>(&host, document, "store");
                    }
                }
                let is_unpublished = position.is_none() && host.fleet.borrow().is_none();
                position = Some(batch.next);
                if is_unpublished {
                    tracing::info!("config: none published yet");
                }
            }
            Err(Error::Expired(_) | Error::Restored | Error::Malformed(_)) => position = None,
            Err(_) => {}
        }
        if let Some(pause) = pause {
            host.store.pause(pause).await;
        }
    }
}

/// Applies the requests for evacuations in a batch that was read from `position` on; `None` for a listing.
fn note_evacuations<D: Dialect, S: Store>(
    host: &Host<D, S>,
    position: Option<Position>,
    batch: &Batch,
) {
    let Some(start) = position else {
        let listed = batch.records.iter().filter(|record| record.value.is_some());
        let listed = listed.filter_map(|record| D::evacuated(&record.key).map(str::to_owned));
        let change = host
            .places
            .borrow_mut()
            .evacuations_mut()
            .list(batch.next, listed);
        host.evacuations_changed(change, "store");
        return;
    };
    for (number, record) in (0..).zip(&batch.records) {
        let Some(data_centre) = D::evacuated(&record.key) else {
            continue;
        };
        let is_known = {
            let directory = host.directory.borrow();
            directory
                .iter()
                .any(|(_, endpoint)| endpoint.data_centre == data_centre)
        };
        if !is_known {
            tracing::info!(
                data_centre,
                "places: no endpoint in the data centre of an evacuation"
            );
        }
        let change = host.places.borrow_mut().evacuations_mut().apply(
            start.after(number),
            data_centre,
            record.value.is_some(),
        );
        host.evacuations_changed(change, "store");
        if change == evacuation::Change::Changed {
            // Queued generations move, and peers whose poll was lost hear of it.
            host.capacity_freed.notify_one();
            host.report_to_all();
        }
    }
    host.places
        .borrow_mut()
        .evacuations_mut()
        .read_to(batch.next);
}

/// Key of the configuration record.
const CONFIGURATION_KEY: &str = "config";

/// Follows the entries of the endpoints: asks a reader for the changes, or reads the store.
pub(crate) async fn endpoints<D: Dialect, S: Store>(host: Rc<Host<D, S>>) {
    loop {
        let backoff = if records::ask_reader(&host).await {
            None
        } else {
            read_entries(&host, Duration::ZERO).await
        };
        match backoff {
            Some(backoff) => host.store.pause(backoff).await,
            None => tokio::time::sleep(host.refresh.get().pause(now())).await,
        }
    }
}

/// Reads the changes of the entries from the store, unless they are younger than `max_age`. Returns the
/// backoff after a failure.
pub(crate) async fn read_entries<D: Dialect, S: Store>(
    host: &Host<D, S>,
    max_age: Duration,
) -> Option<Duration> {
    let mut failures = host.failed_reads.lock().await;
    // Another task may have read them in the meantime.
    if !host.refresh.get().is_older_than(now(), max_age) {
        return None;
    }
    for _ in 0..MAX_READS {
        let started = now();
        let position = host.changes.borrow().as_ref().map(Changes::end);
        let result = match position {
            None => host.store.read_newest(Feed::Endpoints).await,
            Some(from) => {
                let store = &host.store;
                store.read(Feed::Endpoints, from, Duration::ZERO).await
            }
        };
        let backoff = record_outcome(host, Feed::Endpoints, &result, &mut failures);
        if result.is_ok() && !is_at(host, position) {
            continue;
        }
        match result {
            Ok(batch) => {
                // The records of a listing have no offsets, and those of the log follow each other.
                let start = position.map_or(0, |position| position.offset);
                let changes = batch
                    .records
                    .into_iter()
                    .zip(start..)
                    .map(|(record, offset)| Change {
                        offset,
                        key: record.key,
                        value: record.value,
                    });
                apply_changes::<D, S>(host, changes.collect(), batch.next, position.is_none());
                if batch.is_complete {
                    host.confirm_entries(started);
                    return None;
                }
            }
            Err(Error::Expired(_) | Error::Restored) => *host.changes.borrow_mut() = None,
            Err(Error::Malformed(_)) => {
                // A list tells what the answer lacked.
                *host.changes.borrow_mut() = None;
                return backoff;
            }
            Err(_) => return backoff,
        }
    }
    None
}

/// Whether the entries have still been read up to `position`. A read and the answer of a reader may cross, and
/// the older of them would undo changes of the other.
pub(crate) fn is_at<D, S>(host: &Host<D, S>, position: Option<Position>) -> bool {
    host.changes.borrow().as_ref().map(Changes::end) == position
}

/// Reads in a row: one whose position the store no longer has is followed by one of the whole list, and one
/// that does not go up to the end by another. Entries that are late are read again without a pause.
const MAX_READS: usize = 2;

/// Records that a reader has answered with entries of the store.
pub(crate) async fn reader_answered<D, S>(host: &Host<D, S>) {
    let mut failures = host.failed_reads.lock().await;
    record_outcome(host, Feed::Endpoints, &Ok(()), &mut failures);
}

/// Drops the changes that a later one of the same key follows. The host may have the later entry already,
/// from a listing or a peer; an older removal would take it away, and it would then count as removed.
fn keep_newest(changes: &mut Vec<Change>) {
    let newest: HashMap<String, u64> = changes
        .iter()
        .map(|change| (change.key.clone(), change.offset))
        .collect();
    changes.retain(|change| newest.get(&change.key) == Some(&change.offset));
}

/// Applies changes of entries up to the position `end`, and keeps those that matter to other hosts: a
/// heartbeat that changes only its number does not. `complete` changes are the whole list.
pub(crate) fn apply_changes<D: Dialect, S: Store>(
    host: &Host<D, S>,
    mut changes: Vec<Change>,
    end: Position,
    complete: bool,
) {
    let listed: HashSet<String> = changes.iter().map(|change| change.key.clone()).collect();
    keep_newest(&mut changes);
    changes.retain(|change| match &change.value {
        Some(value) => put::<D, S>(host, change.key.clone(), value.clone()),
        None => {
            remove(host, &change.key);
            true
        }
    });
    if complete {
        retain(host, &listed);
    }
    versions::observe(host);
    {
        let mut known = host.changes.borrow_mut();
        if complete {
            known.get_or_insert_default().restart(end);
        } else if let Some(known) = known.as_mut() {
            known.add(end, changes);
        }
    }
    if !host.directory_known.replace(true) {
        host.report_to_all();
    }
}

/// Announces this host and discovers the others; retries until it succeeds, and does it again when the
/// store was restored and may have lost the announcement.
pub(crate) async fn hosts<D: Dialect, S: Store>(host: Rc<Host<D, S>>) {
    let own = SocketAddr::new(host.options.address, host.options.listen.peer_port);
    let mut failures = 0;
    loop {
        let result = announce_and_discover(&host, own).await;
        let pause = record_outcome(&host, Feed::Hosts, &result, &mut failures);
        match (pause, result) {
            (None, Ok(era)) => {
                host.store.restored_since(era).await;
                // Hundreds of hosts write again, at a rate that the store takes.
                let spread = HOST_WRITE_INTERVAL * host.view.borrow().hosts(now()).0 as u32;
                tokio::time::sleep(spread.mul_f64(jitter(1.0))).await;
            }
            (pause, _) => host.store.pause(pause.unwrap_or(BACKOFF_BASE)).await,
        }
    }
}

/// Mean time between the writes of hosts that announce themselves again: half of the rate that the
/// store takes from all hosts.
const HOST_WRITE_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the era of the store in which this host is announced.
async fn announce_and_discover<D, S: Store>(host: &Rc<Host<D, S>>, own: SocketAddr) -> Result<Era> {
    let era = host
        .store
        .announce(&host.options.host, own.ip().to_string().as_bytes())
        .await?;
    let read_at = now();
    let records = host.store.read_newest(Feed::Hosts).await?.records;
    versions::restore(host, read_at, &records);
    for record in records {
        if record.key == versions::KEY {
            continue;
        }
        if record.key == findings::KEY {
            findings::restore(host, record.value.as_deref().unwrap_or_default());
            continue;
        }
        let text = record
            .value
            .as_deref()
            .and_then(|value| std::str::from_utf8(value).ok());
        let address: Option<IpAddr> = text.and_then(|text| text.parse().ok());
        let Some(address) = address.filter(|address| *address != own.ip()) else {
            continue;
        };
        host.view
            .borrow_mut()
            .add_announced(now(), SocketAddr::new(address, own.port()));
    }
    host.hosts_known.set(true);
    host.count_hosts(now());
    host.report_to_all();
    Ok(era)
}
