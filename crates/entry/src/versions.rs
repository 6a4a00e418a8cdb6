//! Software versions of the engines that began streams: observes them in the directory, keeps the regimes
//! in the store, and finds the origin of a stream that its caller takes up again.
//!
//! A stream is listed by the host that serves it, when its first event comes (see [`crate::listings`]).

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::history::{Era, Span};
use berylknot_coordination::origin::{Currency, Log, Origin, Origins, Record, Regime};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};

use crate::admission;
use crate::contact::is_overdue;
use crate::findings;
use crate::follow;
use crate::listings::{self, Entry};
use crate::platform::{self, Error, Feed, Result, Store};
use crate::state::{Host, jitter, now};

/// Key of the record of the regimes, next to the announcements of the hosts.
pub(crate) const KEY: &str = "software-versions";
/// Interval between attempts to write, and between checks whether this host has become the leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Mean interval between reads of the regimes at a host that does not write them. Hundreds of hosts that
/// read them at once would burden the store.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);
/// Time beyond the longest timeout of a service's routes in which callers take up a stream.
const RETURN_MARGIN: Duration = Duration::from_secs(6);
/// Most reads of the log at a time. A read that began before a question does not answer it, and one after the
/// other would take longer than the long poll where the store is slow.
const MAX_LOG_READS: usize = 3;
/// Largest number of looks for the origin of a stream, each after a read of the store.
const MAX_LOOKS: usize = 3;

/// Id of the request that began a stream, as a number of 64 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub(crate) struct StreamId(u64);

impl From<&str> for StreamId {
    fn from(id: &str) -> Self {
        Self(u64::from_str_radix(id, 16).unwrap_or_else(|_| {
            let mut hasher = DefaultHasher::new();
            id.hash(&mut hasher);
            hasher.finish()
        }))
    }
}

/// Where a generation may start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Constraint {
    /// At any version: no event of the stream has been delivered.
    None,
    /// At this version, which began the stream.
    Version(String),
    /// At the version that began the stream which the caller takes up; the id of the attempt that
    /// brought its first event, if the caller states it.
    TakenUp(Option<String>),
}

/// Regime of each service, as kept in the store.
pub(crate) type Regimes = HashMap<String, Record<String>>;

/// Bounds the reads of the log that are under way.
#[derive(Debug)]
struct Reads(Semaphore);

impl Default for Reads {
    fn default() -> Self {
        Self(Semaphore::new(MAX_LOG_READS))
    }
}

/// What the hosts keep in the store beyond their announcements, as known to this host.
#[derive(Debug, Default)]
pub(crate) struct Published {
    pub(crate) findings: Cell<findings::Written>,
    pub(crate) services: RefCell<HashMap<String, Origins<StreamId, String>>>,
    /// Whether the regimes in the store are known, from the store or from a peer.
    is_restored: Cell<bool>,
    currency: Cell<Currency>,
    /// Era of the store in which the origins were written.
    era: Cell<Era>,
    pub(crate) log: Cell<Log>,
    /// What has been read of the log.
    span: Cell<Option<Span>>,
    reads: Reads,
    /// Wakes the writer.
    pub(crate) changed: Notify,
    /// Wakes those that wait for a listing.
    pub(crate) appended: Notify,
    /// Whether a peer has told this host of streams, which it then appends whoever leads.
    pub(crate) is_entrusted: Cell<bool>,
    /// The last leader that has answered about streams.
    pub(crate) told_leader: Cell<Option<SocketAddr>>,
    /// Whether it runs an older build, which lists streams by the engines that it assigns and goes by these.
    pub(crate) leader_is_older: Cell<bool>,
}

impl Published {
    /// Whether this host knows the regimes, without which it places no streams.
    pub(crate) fn is_restored(&self) -> bool {
        self.is_restored.get()
    }

    /// Whether this host has followed the regimes without a gap.
    pub(crate) fn is_current(&self) -> bool {
        self.is_restored() && self.currency.get().is_gapless()
    }

    /// Records that the directory includes all changes up to `as_of`.
    pub(crate) fn confirm(&self, as_of: Instant, max_age: Duration) {
        let mut currency = self.currency.get();
        let was_gapless = currency.is_gapless();
        currency.confirm(as_of, max_age);
        self.currency.set(currency);
        if was_gapless && !currency.is_gapless() {
            // No version gets streams until the regimes have been read.
            self.changed.notify_one();
        }
    }
}

/// Longest time between the beginning of a stream of a service and its last resumption.
pub(crate) fn lifetime<D, S>(host: &Host<D, S>, service: &str) -> Duration {
    let fleet = host.fleet.borrow();
    let routes = fleet.iter().flat_map(|fleet| &fleet.routes);
    let routes = routes.filter(|route| route.services.iter().any(|(name, _)| name == service));
    let longest = routes.map(|route| route.timeout).max();
    longest.unwrap_or_default() + RETURN_MARGIN
}

/// Applies the record of the regimes among those of the hosts, as the store had them at `read_at`.
pub(crate) fn restore<D, S: Store>(
    host: &Host<D, S>,
    read_at: Instant,
    records: &[platform::Record],
) {
    let record = records.iter().find(|record| record.key == KEY);
    let value = record.and_then(|record| record.value.as_deref());
    let regimes = match value.map(rmp_serde::from_slice::<Regimes>).transpose() {
        Ok(regimes) => regimes.unwrap_or_default(),
        Err(error) => {
            tracing::warn!(%error, "versions: malformed record in the store ignored");
            Regimes::default()
        }
    };
    let mut currency = host.published.currency.get();
    currency.close_gap();
    host.published.currency.set(currency);
    adopt(host, read_at, regimes);
}

/// Takes over the regimes that the store had at `read_at`, read by this host or by a peer.
fn adopt<D, S: Store>(host: &Host<D, S>, read_at: Instant, mut regimes: Regimes) {
    let is_first = !host.published.is_restored.replace(true);
    let era = host.store.era();
    {
        let mut services = host.published.services.borrow_mut();
        for (service, origins) in services.iter_mut() {
            if !regimes.contains_key(service) {
                origins.restore(read_at, None, false);
            }
        }
        for (service, record) in regimes.drain() {
            let is_dated = record.listed_from.era < era;
            if is_first {
                tracing::info!(service, ?record, is_dated, "versions: regime known");
            }
            let origins = services.entry(service).or_default();
            origins.restore(read_at, Some(record), is_dated);
        }
    }
    observe(host);
}

/// The regimes for a peer that starts while the store is away; `None` if they may be outdated.
pub(crate) fn regimes<D, S: Store>(host: &Host<D, S>) -> Option<Regimes> {
    if !host.published.is_current() {
        return None;
    }
    let services = host.published.services.borrow();
    let records = services
        .iter()
        .filter_map(|(service, origins)| Some((service.clone(), origins.stored_record()?.clone())));
    Some(records.collect())
}

/// Takes over the regimes of a peer, unless this host knows them.
pub(crate) fn adopt_from_peer<D, S: Store>(host: &Host<D, S>, regimes: Option<Regimes>) {
    let is_needed = !host.published.is_restored() && host.directory_known.get();
    if let Some(regimes) = regimes.filter(|_| is_needed) {
        // So that the versions that serve count as known to the peer.
        observe(host);
        adopt(host, now(), regimes);
    }
}

/// Reads the regimes again that the store has.
async fn reread<D, S: Store>(host: &Host<D, S>) -> Result<()> {
    let read_at = now();
    let records = host.store.read_newest(Feed::Hosts).await?.records;
    restore(host, read_at, &records);
    Ok(())
}

/// Observes the versions of all services' engines, after a change of the directory or periodically.
pub(crate) fn observe<D, S>(host: &Host<D, S>) {
    let published = &host.published;
    let mut serving: HashMap<String, BTreeSet<String>> = HashMap::new();
    for (_, endpoint) in host.directory.borrow().iter() {
        if endpoint.stage.is_some() {
            let versions = serving.entry(endpoint.service.clone()).or_default();
            versions.insert(endpoint.version.clone());
        }
    }
    // Without a configuration the lifetime of streams is not known.
    let is_known = published.is_restored() && host.fleet.borrow().is_some();
    let now = now();
    let hold = host.options.bounds.drain();
    let mut services = published.services.borrow_mut();
    for (service, versions) in &serving {
        let lifetime = lifetime(host, service);
        let origins = services.entry(service.clone()).or_default();
        if !is_known {
            origins.note_serving(now, versions);
            continue;
        }
        let before = origins.regime().cloned();
        origins.observe(now, versions, lifetime, host.options.first_start);
        origins.expire(now);
        if before.as_ref() != origins.regime() {
            let regime = origins.regime();
            tracing::info!(service, ?versions, ?regime, "versions: regime changed");
        }
        if origins.is_due(now, hold) || origins.needs_read() {
            published.changed.notify_one();
        }
    }
}

/// Whether the streams of some service are listed, since it has or had several versions.
pub(crate) fn lists_streams<D, S>(host: &Host<D, S>) -> bool {
    let services = host.published.services.borrow();
    let mut regimes = services.values().filter_map(Origins::regime);
    regimes.any(|regime| !matches!(regime, Regime::Single(_)))
}

/// Whether an engine's version may get new streams.
pub(crate) fn is_usable<D, S>(host: &Host<D, S>, service: &str, version: &String) -> bool {
    let published = &host.published;
    if !published.is_current() {
        return false;
    }
    let mut log = published.log.get();
    if host.store.is_lost() {
        // It would not list a stream either.
        log.end_append(false);
    }
    let services = published.services.borrow();
    let origins = services.get(service);
    origins.is_none_or(|origins| origins.is_usable(now(), version, &log))
}

/// The version that began a stream; `None` if nobody knows it.
///
/// # Errors
/// Fails when the store would have to tell and cannot be read.
pub(crate) async fn find<D: platform::Dialect, S: Store>(
    host: &Host<D, S>,
    service: &str,
    stream: Option<&str>,
) -> Result<Option<String>> {
    // Reads that start from now on answer the question, however long they take.
    let asked_at = now();
    let stream = stream.map(StreamId::from);
    let max_age = host.options.bounds.drain();
    let published = &host.published;
    let currency = published.currency.get();
    let is_known = currency.is_current(asked_at, max_age) || misses_nothing(host, currency);
    if !is_known || !published.is_restored() {
        catch_up(host).await?;
    }
    // A host that has just started has not run its periodic observation yet.
    observe(host);
    for _ in 0..MAX_LOOKS {
        let origin = {
            let lifetime = lifetime(host, service);
            let log = host.published.log.get();
            let mut services = host.published.services.borrow_mut();
            let Some(origins) = services.get_mut(service) else {
                return Ok(None);
            };
            origins.find(asked_at, stream, lifetime, &log)
        };
        match origin {
            Origin::Known(version) => return Ok(Some(version)),
            Origin::Unknown => return Ok(None),
            Origin::ReadLog => read_log(host).await?,
            Origin::ReadRegime => reread(host).await?,
        }
    }
    Ok(None)
}

/// Reads the endpoint entries and the regimes after a time in which this host did not follow them.
async fn catch_up<D: platform::Dialect, S: Store>(host: &Host<D, S>) -> Result<()> {
    tracing::info!(
        "versions: this host is out of step; reading the endpoint entries and the regimes"
    );
    // The read of the entries shows the gap that the regimes close.
    follow::read_entries(host, Duration::ZERO).await;
    reread(host).await
}

/// Whether the store is away and has answered no host since this host knew the versions. Without a
/// majority the store may be away for this host alone.
fn misses_nothing<D, S>(host: &Host<D, S>, currency: Currency) -> bool {
    let now = now();
    let own_answer = host.store_answered.get();
    let view = host.view.borrow();
    let (unreachable, known) = view.count_unreachable(now);
    let hears_majority = (known - unreachable + 1) * 2 > known + 1;
    let last_answer = view.last_store_answer().max(own_answer);
    hears_majority
        && is_overdue(now, own_answer, host.refresh.get().period())
        && last_answer.is_some_and(|at| currency.includes(at, host.options.bounds.drain()))
}

/// Reads what hosts have listed since the last read. A few reads may overlap; more wait, and are answered by one
/// that began after the question.
async fn read_log<D, S: Store>(host: &Host<D, S>) -> Result<()> {
    let queried_at = now();
    let published = &host.published;
    // The semaphore is never closed.
    let _permit = published.reads.0.acquire().await;
    if published.log.get().is_read_since(queried_at) {
        return Ok(());
    }
    loop {
        let read_at = now();
        let from = published.span.get().map(|span| span.next);
        let tail = match host.store.log_read(platform::Log::Streams, from).await {
            Err(Error::Restored) => {
                published.span.set(None);
                host.store.log_read(platform::Log::Streams, None).await?
            }
            tail => tail?,
        };
        let Some(span) = Span::joined(published.span.get(), tail.start, tail.next) else {
            // Another read has found a restore meanwhile.
            continue;
        };
        published.span.set(Some(span));
        let mut services = host.published.services.borrow_mut();
        let mut log = host.published.log.get();
        for (index, record) in tail.records.iter().enumerate() {
            let (entry, evidence) = match Entry::decode(record) {
                Ok(decoded) => decoded,
                Err(error) => {
                    tracing::warn!(%error, "versions: malformed record in the log of streams ignored");
                    continue;
                }
            };
            if entry.announces_regimes {
                log.announced(tail.start.after(index as u64 + 1));
            }
            for (service, streams) in entry.streams {
                let lifetime = lifetime(host, &service);
                let origins = services.entry(service).or_default();
                for (stream, version) in streams {
                    origins.learn(read_at, stream, version, evidence, lifetime);
                }
            }
        }
        host.published.log.set(log);
        if tail.records.is_empty() || tail.next == tail.end {
            log.read(read_at, span.start);
            host.published.log.set(log);
            return Ok(());
        }
    }
}

/// Writes regimes and streams to the store; the leader does it for all hosts.
pub(crate) async fn write<D, S: Store>(host: Rc<Host<D, S>>) {
    let mut reread_at = now();
    let mut told_again_at = now();
    loop {
        let changed = host.published.changed.notified();
        drop(tokio::time::timeout(RETRY_INTERVAL, changed).await);
        rewrite_after_restore(&host);
        if now() >= told_again_at + RETRY_INTERVAL {
            told_again_at = now();
            listings::tell_again(&host);
        }
        let is_leader = admission::leader(&host).is_none();
        let is_due = is_regime_due(&host) || needs_read(&host);
        if is_due && (is_leader || now() >= reread_at) {
            reread_at = now() + REREAD_INTERVAL.mul_f64(0.5 + jitter(1.0));
            update_regimes(&host, is_leader).await;
        }
        tokio::time::sleep(listings::batch_time(&host)).await;
        if !listings::write(&host).await {
            host.store.pause(RETRY_INTERVAL).await;
        }
    }
}

/// Marks everything as unwritten when the store was restored from an older copy.
pub(crate) fn rewrite_after_restore<D, S: Store>(host: &Host<D, S>) {
    let era = host.store.era();
    if host.published.era.replace(era) != era {
        for origins in host.published.services.borrow_mut().values_mut() {
            origins.rewrite();
        }
    }
}

fn is_regime_due<D, S>(host: &Host<D, S>) -> bool {
    let hold = host.options.bounds.drain();
    let services = host.published.services.borrow();
    services.values().any(|origins| origins.is_due(now(), hold))
}

/// Whether the regimes have to be read before this host may place streams.
fn needs_read<D, S>(host: &Host<D, S>) -> bool {
    let published = &host.published;
    let services = published.services.borrow();
    let has_gap = !published.currency.get().is_gapless();
    published.is_restored() && (has_gap || services.values().any(Origins::needs_read))
}

/// Reads the regimes that the store has, which another host may have written, and as the leader writes
/// those that differ.
async fn update_regimes<D, S: Store>(host: &Host<D, S>, is_leader: bool) {
    if let Err(error) = reread(host).await {
        tracing::info!(%error, "versions: regimes not read; retried at the next change or interval");
        return;
    }
    if !is_leader || !is_regime_due(host) {
        return;
    }
    if let Err(error) = write_regimes(host).await {
        tracing::info!(%error, "versions: regimes not written; retried at the next change or interval");
    }
}

async fn write_regimes<D, S: Store>(host: &Host<D, S>) -> Result<()> {
    let announcement = Entry {
        announces_regimes: true,
        ..Entry::default()
    };
    let announced = listings::append(host, &announcement, None).await?;
    let regimes: Regimes = {
        let services = host.published.services.borrow();
        let hold = host.options.bounds.drain();
        let records = services.iter().filter_map(|(service, origins)| {
            Some((service.clone(), origins.record(now(), announced, hold)?))
        });
        records.collect()
    };
    let value = rmp_serde::to_vec(&regimes).map_err(|_| Error::Malformed("regimes"))?;
    let era = host.store.announce(KEY, &value).await?;
    if era != announced.era {
        return Err(Error::Restored);
    }
    tracing::info!(?regimes, "versions: regimes written to the store");
    let now = now();
    let mut services = host.published.services.borrow_mut();
    for (service, record) in regimes {
        services.entry(service).or_default().stored(now, record);
    }
    // The new version takes the generations that wait.
    host.capacity_freed.notify_one();
    Ok(())
}
