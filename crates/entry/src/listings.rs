//! Lists streams with the software versions that began them in a log of the store, so that a stream which its
//! caller takes up goes on at its version although its host is gone.
//!
//! The host that serves a stream knows where its first event came from. It tells the leader, which appends the
//! streams of all hosts together. The engine that a leader assigned proves nothing: its answer may be lost or
//! late, and the stream then begins at an engine of another leader.

use std::collections::HashMap;
use std::io::Cursor;
use std::net::SocketAddr;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::history::Position;
use berylknot_coordination::origin::{Beginning, Delay, Evidence, Listing, Log, Progress};
use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::admission::{self, ANSWER_TIMEOUT, LONG_POLL};
use crate::directory::Endpoint;
use crate::http::{Error as ExchangeError, Timeouts};
use crate::own;
use crate::platform::{self, Error, Result, Store};
use crate::request::Call;
use crate::state::{Host, now};
use crate::versions::{self, StreamId};

/// Path of the queries with which hosts tell the leader of streams that have begun.
pub(crate) const PATH: &str = "/v1/begun";
/// Time in which the host that appends collects streams for one append. A stream whose host dies before is lost,
/// and the store takes several hundred appends a second of all kinds.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// Time in which a host collects streams before it tells the leader, which collects them in turn.
const TELL_BATCH_TIME: Duration = Duration::from_millis(5);
/// Appends per second of all hosts together while the leader runs an older build: a fraction of what the store
/// takes.
const OWN_APPENDS_PER_SECOND: f64 = 80.0;
/// Longest time for which the first event of a stream is held until the log lists it: two leaders may fail to
/// answer before.
const LISTING_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which a first event is held until the leader knows of the stream, where it need not be listed
/// before. Bounds the delay while the leader does not answer.
const TELL_TIMEOUT: Duration = Duration::from_millis(50);
/// Largest accepted answer to streams that were told.
const MAX_ANSWER_BYTES: usize = 256 * 1_024;

/// Streams of each service and the versions that began them.
type Listings = HashMap<String, Vec<(StreamId, String)>>;

/// Record of the log of streams.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) streams: Listings,
    /// Whether the writer stores regimes next.
    pub(crate) announces_regimes: bool,
}

impl Entry {
    /// Encodes a record. Builds up to 06854e7 leave what follows the streams, and write nothing there.
    fn encode(&self, evidence: Option<Evidence>) -> Result<Vec<u8>> {
        let malformed = |_| Error::Malformed("log entry");
        let mut bytes = rmp_serde::to_vec(self).map_err(malformed)?;
        if let Some(evidence) = evidence {
            bytes.extend(rmp_serde::to_vec(&evidence).map_err(malformed)?);
        }
        Ok(bytes)
    }

    /// Decodes a record, with what its listings rest on.
    pub(crate) fn decode(
        bytes: &[u8],
    ) -> std::result::Result<(Self, Evidence), rmp_serde::decode::Error> {
        let mut cursor = Cursor::new(bytes);
        let entry = rmp_serde::from_read(&mut cursor)?;
        let rest = usize::try_from(cursor.position()).ok();
        let rest = rest.and_then(|start| bytes.get(start..));
        let evidence = match rest {
            None | Some([]) => Evidence::Assignment,
            Some(rest) => rmp_serde::from_slice(rest)?,
        };
        Ok((entry, evidence))
    }
}

/// Records that the first event of a stream has come from an engine, before its caller gets it. Where others
/// would take the stream for one of another version, waits until the log lists it, and otherwise briefly until
/// the leader knows of it: the stream would be lost with this host before.
pub(crate) async fn begin<D, S>(host: &Host<D, S>, call: &Call, endpoint: &Endpoint) -> Beginning {
    // A stream that its caller takes up is known already, and one that cannot be taken up need not be.
    if call.head.last_event_id.is_some() || !call.route().resumable {
        return Beginning::Allowed;
    }
    let (id, version) = (call.head.id.as_str(), &endpoint.version);
    let listing = note_begun(host, &call.service, id, version, Evidence::FirstEvent);
    let started = now();
    match listing {
        Listing::None => return Beginning::Allowed,
        Listing::Behind => {
            wait_for_append(host, &call.service, id, started + TELL_TIMEOUT).await;
            return Beginning::Allowed;
        }
        Listing::Ahead => {}
    }
    let deadline = started + LISTING_TIMEOUT;
    let beginning = loop {
        wait_for_append(host, &call.service, id, deadline).await;
        let beginning = {
            let mut services = host.published.services.borrow_mut();
            let origins = services.entry(call.service.clone()).or_default();
            origins.beginning(id.into())
        };
        if beginning != Beginning::Doubtful {
            break beginning;
        }
        // A listing in doubt is written again.
        let appended = host.published.appended.notified();
        if timeout(deadline.since(now()), appended).await.is_err() {
            break beginning;
        }
    };
    let held_ms = now().since(started).as_millis() as u64;
    tracing::info!(
        id,
        version,
        ?beginning,
        held_ms,
        "versions: first event held for the listing"
    );
    beginning
}

/// Records that a stream begins at a version, on this evidence; returns when the log has to list it.
fn note_begun<D, S>(
    host: &Host<D, S>,
    service: &str,
    stream: impl Into<StreamId>,
    version: &String,
    evidence: Evidence,
) -> Listing {
    let lifetime = versions::lifetime(host, service);
    let is_current = host.published.is_current();
    let mut services = host.published.services.borrow_mut();
    let origins = services.entry(service.to_owned()).or_default();
    let stream = stream.into();
    let listing = if is_current {
        origins.begin(now(), stream, version, evidence, lifetime)
    } else {
        // The regimes that this host knows may have been replaced.
        origins.list(now(), stream, version, evidence, lifetime);
        Listing::Ahead
    };
    if listing != Listing::None {
        host.published.changed.notify_one();
    }
    listing
}

/// Lists a stream of a host that runs an older build and does not do it itself. Waits until the log lists it
/// where it has to, or certainly lacks it, or until `deadline`. A stream that it certainly lacks has not begun.
pub(crate) async fn assign<D, S>(
    host: &Host<D, S>,
    service: &str,
    stream: &str,
    version: &String,
    deadline: Instant,
) -> Progress {
    if note_begun(host, service, stream, version, Evidence::Assignment) != Listing::Ahead {
        return Progress::Listed;
    }
    let progress = wait_for_append(host, service, stream, deadline).await;
    let mut services = host.published.services.borrow_mut();
    if let Some(origins) = services.get_mut(service) {
        origins.withdraw(stream.into());
    }
    progress
}

/// Keeps a stream listed that its caller takes up.
pub(crate) fn renew<D, S>(host: &Host<D, S>, service: &str, stream: &str, version: &String) {
    let lifetime = versions::lifetime(host, service);
    let mut services = host.published.services.borrow_mut();
    if let Some(origins) = services.get_mut(service) {
        origins.renew(now(), stream.into(), version, lifetime);
        host.published.changed.notify_one();
    }
}

/// Waits for the end of an append that has the stream, or until `deadline`.
async fn wait_for_append<D, S>(
    host: &Host<D, S>,
    service: &str,
    stream: impl Into<StreamId>,
    deadline: Instant,
) -> Progress {
    let stream = stream.into();
    let progress = || {
        let services = host.published.services.borrow();
        let origins = services.get(service);
        origins.map_or(Progress::Listed, |origins| origins.progress(stream))
    };
    loop {
        let appended = host.published.appended.notified();
        let progress = progress();
        if progress != Progress::Pending {
            return progress;
        }
        let left = deadline.since(now());
        if timeout(left, appended).await.is_err() {
            return Progress::Pending;
        }
    }
}

/// Time in which streams are collected before they are written.
pub(crate) fn batch_time<D, S>(host: &Host<D, S>) -> Duration {
    if appends(host) {
        return BATCH_TIME;
    }
    if !host.published.leader_is_older.get() {
        return TELL_BATCH_TIME;
    }
    let hosts = host.view.borrow().addresses().count() + 1;
    BATCH_TIME.max(Duration::from_secs_f64(
        hosts as f64 / OWN_APPENDS_PER_SECOND,
    ))
}

/// Whether this host appends the streams that it knows, rather than the leader.
fn appends<D, S>(host: &Host<D, S>) -> bool {
    host.published.is_entrusted.get() || admission::leader(host).is_none()
}

/// Lists the streams that the log lacks, or has the leader list them; returns whether that succeeded.
pub(crate) async fn write<D, S: Store>(host: &Host<D, S>) -> bool {
    let is_assigned_listed = append_streams(host, Evidence::Assignment).await;
    let is_begun_listed = if appends(host) {
        host.published.is_entrusted.set(false);
        append_streams(host, Evidence::FirstEvent).await
    } else {
        tell_leader(host).await
    };
    host.published.appended.notify_waiters();
    is_assigned_listed && is_begun_listed
}

/// Puts back the streams that a leader lists, which may have been lost before it did.
pub(crate) fn tell_again<D, S>(host: &Host<D, S>) {
    let mut services = host.published.services.borrow_mut();
    for origins in services.values_mut() {
        origins.tell_again();
    }
}

fn take_unwritten<D, S>(host: &Host<D, S>, evidence: Evidence) -> Listings {
    let mut services = host.published.services.borrow_mut();
    let unwritten = services
        .iter_mut()
        .map(|(service, origins)| (service.clone(), origins.take_unwritten(evidence)));
    unwritten
        .filter(|(_, streams)| !streams.is_empty())
        .collect()
}

fn count(streams: &Listings) -> usize {
    streams.values().map(Vec::len).sum()
}

/// Records that the log has streams.
fn note_listed<D, S>(host: &Host<D, S>, streams: &Listings) {
    let mut services = host.published.services.borrow_mut();
    for (service, streams) in streams {
        let origins = services.entry(service.clone()).or_default();
        origins.written(streams);
    }
}

/// Puts streams back among those to be written.
fn return_unwritten<D, S>(host: &Host<D, S>, streams: &Listings, in_doubt: bool) {
    let mut services = host.published.services.borrow_mut();
    for (service, streams) in streams {
        let origins = services.entry(service.clone()).or_default();
        origins.return_unwritten(streams.iter().map(|(stream, _)| *stream), in_doubt);
    }
}

/// Records what another host has done with streams that it was told; `delays` has those that the log lacks.
fn note_told<D, S>(host: &Host<D, S>, streams: &Listings, delays: &HashMap<StreamId, Delay>) {
    let mut services = host.published.services.borrow_mut();
    for (service, streams) in streams {
        let origins = services.entry(service.clone()).or_default();
        for listing in streams {
            origins.told(listing, delays.get(&listing.0).copied());
        }
    }
}

/// Tells the leader of streams that have begun; returns whether it lists them.
async fn tell_leader<D, S: Store>(host: &Host<D, S>) -> bool {
    let Some(leader) = admission::leader(host) else {
        return false;
    };
    let streams = take_unwritten(host, Evidence::FirstEvent);
    let published = &host.published;
    let is_known = published.told_leader.get() == Some(leader);
    // A new leader is told of none, to learn whether it runs an older build.
    if streams.is_empty() && (is_known || !versions::lists_streams(host)) {
        return true;
    }
    let count = count(&streams);
    match tell(host, leader, &streams).await {
        Ok(delays) => {
            published.told_leader.set(Some(leader));
            published.leader_is_older.set(false);
            let delayed = delays.len();
            tracing::debug!(%leader, count, delayed, "versions: leader told of streams");
            note_told(host, &streams, &delays);
            delays.values().all(|delay| *delay == Delay::Kept)
        }
        Err(error) if error.downcast_ref() == Some(&own::Status(StatusCode::BAD_REQUEST)) => {
            published.told_leader.set(Some(leader));
            if !published.leader_is_older.replace(true) {
                tracing::info!(%leader, "versions: leader of an older build; this host lists and finds streams itself");
            }
            // That leader has listed the engines that it assigned.
            let all = streams.values().flatten();
            let kept = all.map(|(stream, _)| (*stream, Delay::Kept)).collect();
            note_told(host, &streams, &kept);
            published.appended.notify_waiters();
            tell_again(host);
            append_streams(host, Evidence::FirstEvent).await
        }
        // The next query for a place finds out whether the leader is lost.
        Err(_) if streams.is_empty() => true,
        Err(error) => {
            tracing::info!(%leader, count, %error, "versions: leader lost; streams are told to the next one");
            admission::cool_down(host, leader);
            return_unwritten(host, &streams, true);
            published.changed.notify_one();
            true
        }
    }
}

async fn tell<D, S>(
    host: &Host<D, S>,
    leader: SocketAddr,
    streams: &Listings,
) -> eyre::Result<HashMap<StreamId, Delay>> {
    let timeouts = Timeouts {
        connect: ANSWER_TIMEOUT,
        head: LONG_POLL + ANSWER_TIMEOUT,
        max_idle: Duration::MAX,
    };
    let (read, limit) = (ANSWER_TIMEOUT, MAX_ANSWER_BYTES);
    own::ask(&host.pool, leader, PATH, streams, timeouts, read, limit).await
}

/// Lists the streams that a peer tells, and answers why the log lacks some; `None` if the query is malformed.
pub(crate) async fn answer<D, S>(host: &Host<D, S>, body: &[u8]) -> Option<Bytes> {
    let streams: Listings = rmp_serde::from_slice(body).ok()?;
    host.published.is_entrusted.set(true);
    let mut listings = Vec::new();
    for (service, streams) in &streams {
        for (stream, version) in streams {
            let listing = note_begun(host, service, *stream, version, Evidence::FirstEvent);
            if listing != Listing::None {
                listings.push((service, *stream, listing));
            }
        }
    }
    let deadline = now() + LONG_POLL;
    let mut delays = HashMap::new();
    for (service, stream, listing) in listings {
        if listing == Listing::Ahead {
            wait_for_append(host, service, stream, deadline).await;
        }
        let mut services = host.published.services.borrow_mut();
        let origins = services.entry(service.clone()).or_default();
        if let Some(delay) = origins.delay(stream, listing) {
            delays.insert(stream, delay);
        }
    }
    rmp_serde::to_vec(&delays).ok().map(Bytes::from)
}

/// Appends the streams with this evidence that the log lacks; returns whether it has all of them.
async fn append_streams<D, S: Store>(host: &Host<D, S>, evidence: Evidence) -> bool {
    let streams = take_unwritten(host, evidence);
    // After a failure an append without streams shows when the log takes them again.
    let is_trial = evidence == Evidence::FirstEvent && host.published.log.get().has_failed();
    if streams.is_empty() && !is_trial {
        return true;
    }
    let count = count(&streams);
    let entry = Entry {
        streams,
        announces_regimes: false,
    };
    let result = append(host, &entry, Some(evidence)).await;
    // A restore that the answer shows comes first: it marks all streams as unwritten.
    versions::rewrite_after_restore(host);
    match result {
        Ok(_) => {
            tracing::debug!(count, "versions: streams listed");
            note_listed(host, &entry.streams);
            true
        }
        Err(error) => {
            tracing::info!(count, %error, "versions: streams not listed; retried");
            return_unwritten(host, &entry.streams, is_in_doubt(&error));
            false
        }
    }
}

/// Appends a record to the log of streams; returns the position after it.
pub(crate) async fn append<D, S: Store>(
    host: &Host<D, S>,
    entry: &Entry,
    evidence: Option<Evidence>,
) -> Result<Position> {
    let value = entry.encode(evidence)?;
    let set = |change: &dyn Fn(&mut Log)| {
        let mut log = host.published.log.get();
        change(&mut log);
        host.published.log.set(log);
    };
    set(&|log| log.begin_append(now()));
    let result = host
        .store
        .log_append(platform::Log::Streams, None, &value)
        .await;
    set(&|log| log.end_append(result.is_ok()));
    Ok(result?.after(1))
}

/// Whether a failed append may still be carried out.
const fn is_in_doubt(error: &Error) -> bool {
    !matches!(
        error,
        Error::Status(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
            | Error::Exchange(ExchangeError::NotSent(_))
            | Error::Malformed(_)
    )
}
