//! Versions that began streams, for streams that may go on only at the version that began them.
//!
//! While one version serves a service, nothing is kept: the regime says that every stream began there.
//! Once a second one serves, each stream is listed with its version, in memory and in a log that outlives
//! all hosts. A host that knows nothing but the store can then tell where a stream began, or that nobody
//! can. This rests on three conditions, none of which depends on the store being reachable:
//!
//! - A regime is stored for a while before it is stored as open and its new version gets streams, so that
//!   every host whose knowledge is [`Currency::is_current`] has seen that version by then. A host gives
//!   streams to a version only if it has read the stored regime since that version appeared.
//! - While the stored regime names a version for unlisted streams, a stream of another version is listed
//!   before its first event ([`Listing::Ahead`]). A version gets no streams that cannot be listed.
//! - A stream that the log lacks began at the regime's version only if no record of the log is missing,
//!   and if the log announces no later regime: each is announced there before it is stored.
//!
//! A stream is listed by the host that serves it, when its first event has come ([`Evidence::FirstEvent`]).
//! An engine that was merely assigned proves nothing: the answer may be lost or late, the host may have
//! asked another leader meanwhile, or the engine may fail before its first event. A listing that rests on a
//! first event stays true, whenever and by whomever it is written, so that the order of appends and the age of
//! a host's memory do not matter.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::history::Position;

/// Longest answer time of a slow store. An append that takes longer may be lost.
const SLOW_APPEND: Duration = Duration::from_millis(300);

/// Where streams began that are not listed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Regime<V> {
    /// At this version, the only one for as long as a stream can last.
    Single(V),
    /// At this version, which was the only one before others came, less than a stream's lifetime ago.
    Mixing(V),
    /// At an unknown version.
    Mixed,
}

impl<V> Regime<V> {
    /// The version at which unlisted streams began.
    const fn presumed(&self) -> Option<&V> {
        match self {
            Self::Single(version) | Self::Mixing(version) => Some(version),
            Self::Mixed => None,
        }
    }
}

/// A regime as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record<V> {
    /// The regime.
    pub regime: Regime<V>,
    /// Position in the log from which on it lists the streams that began at other versions.
    pub listed_from: Position,
    /// Position in the log after the announcement of the write that brought this record.
    pub written_at: Position,
    /// Whether versions beside the regime's may get streams.
    pub is_open: bool,
}

/// Regime in the store, as far as a host knows.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stored<V> {
    /// Not read yet, or the store was restored from an older copy since.
    Unknown,
    /// None has been written.
    Missing,
    Known(Record<V>),
}

/// Answer to where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<V> {
    /// At this version.
    Known(V),
    /// The log may tell; ask again when it has been read.
    ReadLog,
    /// The store's regime may tell; ask again when it has been read.
    ReadRegime,
    /// At an unknown version.
    Unknown,
}

/// What a listing rests on; the stronger one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Evidence {
    /// An engine was assigned; the stream may have begun elsewhere. Builds up to 06854e7 list streams so.
    Assignment,
    /// The first event came from this version.
    FirstEvent,
}

/// When a stream that begins has to be in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It is there, or is not needed there.
    None,
    /// Some time later.
    Behind,
    /// Before its first event.
    Ahead,
}

/// State of the listing of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The log has it.
    Listed,
    /// It is being written.
    Pending,
    /// Another host has it and writes it.
    Told,
    /// It is certainly not in the log yet.
    Refused,
    /// The last write may be carried out later.
    Doubtful,
}

/// Why the log does not list a stream that a host was told of by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Delay {
    /// This host lists it later; its caller may get events.
    Kept,
    /// It has to be in the log first, and certainly is not; this host has forgotten it.
    Refused,
    /// It has to be in the log first, and may be.
    Doubtful,
}

/// Whether the caller of a stream may get its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beginning {
    /// The log lists the stream, or another host does so later.
    Allowed,
    /// The log certainly lacks the stream; it may begin at another engine.
    Elsewhere,
    /// The stream may be listed, so it must not begin elsewhere.
    Doubtful,
}

#[derive(Clone, Debug)]
struct Begun<V> {
    version: V,
    evidence: Evidence,
    /// Whether several assignments are listed, of which any may have been used.
    is_disputed: bool,
    expires_at: Instant,
    progress: Progress,
}

/// The log of streams, as this host has read and written it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Log {
    /// Time of the last read to the end, and the position from which on no record is missing.
    read: Option<(Instant, Position)>,
    /// Position after the last announcement of regimes that was read.
    announced: Position,
    has_failed: bool,
    appending_since: Option<Instant>,
}

impl Log {
    /// Records that the log had been read to its end at `now`, without a gap from `from` on.
    pub fn read(&mut self, now: Instant, from: Position) {
        self.read = self.read.max(Some((now, from)));
    }

    /// Records that the log announces regimes up to `position`.
    pub fn announced(&mut self, position: Position) {
        self.announced = self.announced.max(position);
    }

    /// Whether the log was read to its end at `since` or later.
    #[must_use]
    pub fn is_read_since(&self, since: Instant) -> bool {
        self.read.is_some_and(|(at, _)| at >= since)
    }

    /// Whether no record from `position` on is missing in what was read.
    fn covers(&self, position: Position) -> bool {
        self.read.is_some_and(|(_, from)| {
            from.era == position.era && from.offset <= position.offset && position.offset < u64::MAX
        })
    }

    /// Records the start of an append.
    pub fn begin_append(&mut self, now: Instant) {
        self.appending_since = Some(now);
    }

    /// Records the end of an append.
    pub const fn end_append(&mut self, succeeded: bool) {
        self.appending_since = None;
        self.has_failed = !succeeded;
    }

    /// Whether the last append has failed, so that one without streams has to tell when the log is back.
    #[must_use]
    pub const fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Whether streams can be listed.
    #[must_use]
    pub fn is_writable(&self, now: Instant) -> bool {
        let is_slow = self
            .appending_since
            .is_some_and(|since| now.since(since) > SLOW_APPEND);
        !self.has_failed && !is_slow
    }
}

/// Age of a host's knowledge of the versions that serve, and whether it has followed them without a gap.
#[derive(Clone, Copy, Debug, Default)]
pub struct Currency {
    as_of: Option<Instant>,
    has_gap: bool,
}

impl Currency {
    /// Records that the host knows the versions that served at `as_of`. A version may have come and gone
    /// unseen since the last time if that was longer ago than `max_age`.
    pub fn confirm(&mut self, as_of: Instant, max_age: Duration) {
        let known = self.as_of.unwrap_or(as_of);
        self.has_gap |= as_of.since(known) > max_age;
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Records that the regimes were read from the store, which tell what a gap has hidden.
    pub const fn close_gap(&mut self) {
        self.has_gap = false;
    }

    /// Whether every version that gets streams at `now` is known, if versions get streams `max_age` after
    /// their regime was stored.
    #[must_use]
    pub fn is_current(&self, now: Instant, max_age: Duration) -> bool {
        !self.has_gap && self.as_of.is_some_and(|at| now.since(at) <= max_age)
    }

    /// Whether the versions were followed without a gap up to the last time.
    #[must_use]
    pub const fn is_gapless(&self) -> bool {
        !self.has_gap && self.as_of.is_some()
    }

    /// Whether every version is known that got streams up to the last time at which the store answered
    /// any host: while it is away, no further one can.
    #[must_use]
    pub fn includes(&self, last_answer: Instant, max_age: Duration) -> bool {
        !self.has_gap && self.as_of.is_some_and(|at| at + max_age >= last_answer)
    }
}

/// Origins of one service's streams, as known to a host.
#[derive(Clone, Debug)]
pub struct Origins<K, V> {
    begun: HashMap<K, Begun<V>>,
    /// Streams that are not in the log yet.
    unwritten: BTreeSet<K>,
    /// `None` before the first observation.
    regime: Option<Regime<V>>,
    stored: Stored<V>,
    /// Time since when the store has that regime, and of its last read.
    stored_at: Instant,
    stored_read: Option<Instant>,
    /// Time of the last change from one version to several.
    mixing_since: Instant,
    /// The only version that serves, and since when.
    alone: Option<(V, Instant)>,
    /// Versions that serve, and when they appeared.
    serving: BTreeMap<V, Instant>,
    /// Whether listings of streams that still run may be lost since a restore of the store, and since
    /// when that is known.
    has_lost_listings: bool,
    lost_since: Option<Instant>,
}

impl<K, V> Default for Origins<K, V> {
    fn default() -> Self {
        Self {
            begun: HashMap::new(),
            unwritten: BTreeSet::new(),
            regime: None,
            stored: Stored::Unknown,
            stored_at: Instant::default(),
            stored_read: None,
            mixing_since: Instant::default(),
            alone: None,
            serving: BTreeMap::new(),
            has_lost_listings: false,
            lost_since: None,
        }
    }
}

impl<K: Copy + Eq + Hash + Ord, V: Clone + Eq + Ord> Origins<K, V> {
    /// Takes over the regime that the store had at `read_at`, if any. `is_dated` says that it was written
    /// before the store was restored from an older copy.
    pub fn restore(&mut self, read_at: Instant, record: Option<Record<V>>, is_dated: bool) {
        self.stored_read = self.stored_read.max(Some(read_at));
        let Some(record) = record else {
            self.stored = Stored::Missing;
            return;
        };
        // What this host has observed since continues the record that it knows, and goes before one that
        // is older than the restore.
        let known = self.stored_record().map(|known| known.written_at);
        let is_followed = known == Some(record.written_at) || is_dated;
        let keeps =
            is_followed && self.regime.is_some() || self.regime.as_ref() == Some(&record.regime);
        if !keeps {
            self.mixing_since = read_at;
            self.regime = Some(record.regime.clone());
        }
        if is_dated {
            self.stored = Stored::Unknown;
            self.has_lost_listings = true;
        } else {
            self.set_stored(read_at, record);
        }
    }

    fn set_stored(&mut self, now: Instant, record: Record<V>) {
        let is_same = self
            .stored_record()
            .is_some_and(|stored| stored.regime == record.regime);
        if !is_same {
            self.stored_at = now;
        }
        self.stored = Stored::Known(record);
    }

    /// Records which versions serve, before the regime in the store is known.
    pub fn note_serving(&mut self, now: Instant, serving: &BTreeSet<V>) {
        self.serving.retain(|version, _| serving.contains(version));
        for version in serving {
            self.serving.entry(version.clone()).or_insert(now);
        }
        let only = serving.first().filter(|_| serving.len() == 1);
        if self.alone.as_ref().map(|(version, _)| version) != only {
            self.alone = only.map(|version| (version.clone(), now));
        }
    }

    /// Records the versions that serve. `is_first` says that no stream began before this host started.
    pub fn observe(
        &mut self,
        now: Instant,
        serving: &BTreeSet<V>,
        lifetime: Duration,
        is_first: bool,
    ) {
        if serving.is_empty() {
            return;
        }
        self.note_serving(now, serving);
        if self.has_lost_listings {
            let since = *self.lost_since.get_or_insert(now);
            if now.since(since) >= lifetime {
                (self.has_lost_listings, self.lost_since) = (false, None);
            }
        }
        let only = self.alone.as_ref().map(|(version, _)| version.clone());
        let settled = self.alone.as_ref();
        let settled = settled.filter(|(_, since)| now.since(*since) >= lifetime);
        let settled = settled.map(|(version, _)| version.clone());
        self.regime = match self.regime.take() {
            None if is_first => only.map(Regime::Single).or(Some(Regime::Mixed)),
            None => settled.map(Regime::Single).or(Some(Regime::Mixed)),
            Some(Regime::Single(version)) if only.as_ref() != Some(&version) => {
                self.mixing_since = now;
                Some(Regime::Mixing(version))
            }
            Some(Regime::Mixing(_) | Regime::Mixed) if settled.is_some() => {
                settled.map(Regime::Single)
            }
            Some(Regime::Mixing(_)) if now.since(self.mixing_since) >= lifetime => {
                Some(Regime::Mixed)
            }
            known => known,
        };
    }

    /// Whether the store's regime has to be read before some version that serves may get streams.
    #[must_use]
    pub fn needs_read(&self) -> bool {
        self.serving
            .values()
            .any(|since| !self.is_read_since(*since))
    }

    fn is_read_since(&self, since: Instant) -> bool {
        self.stored_read.is_some_and(|at| at >= since)
    }

    /// Whether a version may get new streams: the store's regime includes it, and its streams can be
    /// listed.
    #[must_use]
    pub fn is_usable(&self, now: Instant, version: &V, log: &Log) -> bool {
        if self
            .serving
            .get(version)
            .is_none_or(|since| !self.is_read_since(*since))
        {
            return false;
        }
        match &self.stored {
            Stored::Unknown => false,
            Stored::Missing => {
                let presumed = self.regime.as_ref().and_then(Regime::presumed);
                presumed.is_none_or(|presumed| presumed == version)
            }
            Stored::Known(record) => match &record.regime {
                Regime::Single(only) => only == version,
                Regime::Mixing(old) => old == version || record.is_open && log.is_writable(now),
                Regime::Mixed => true,
            },
        }
    }

    /// Records that a stream begins at a version; returns when it has to be in the log.
    pub fn begin(
        &mut self,
        now: Instant,
        stream: K,
        version: &V,
        evidence: Evidence,
        lifetime: Duration,
    ) -> Listing {
        let before = self.begun.get(&stream);
        if before.is_some_and(|before| before.evidence > evidence) {
            return Listing::None;
        }
        let is_moved = before.is_some_and(|before| before.version != *version);
        if !is_moved && self.is_only(version) {
            self.begun.remove(&stream);
            self.unwritten.remove(&stream);
            return Listing::None;
        }
        let listing = if is_moved || self.may_presume_another(version) {
            Listing::Ahead
        } else {
            Listing::Behind
        };
        self.list(now, stream, version, evidence, lifetime);
        match self.progress(stream) {
            Progress::Listed => Listing::None,
            Progress::Pending | Progress::Told | Progress::Refused | Progress::Doubtful => listing,
        }
    }

    /// Whether all streams began at this version, which a host that knows nothing but the store must find too.
    fn is_only(&self, version: &V) -> bool {
        let is_only =
            |regime: &Regime<V>| matches!(regime, Regime::Single(only) if only == version);
        let stored = self.stored_record().map(|record| &record.regime);
        self.regime.as_ref().is_some_and(is_only) && stored.is_some_and(is_only)
    }

    /// Whether the store may name another version for unlisted streams, as far as this host has followed it.
    fn may_presume_another(&self, version: &V) -> bool {
        let is_followed = self
            .serving
            .get(version)
            .is_some_and(|since| self.is_read_since(*since));
        let is_other = match &self.stored {
            Stored::Unknown => true,
            Stored::Missing => false,
            Stored::Known(record) => record
                .regime
                .presumed()
                .is_some_and(|presumed| presumed != version),
        };
        !is_followed || is_other
    }

    /// Adds a stream to those that the log has to list, unless better evidence of it is known.
    pub fn list(
        &mut self,
        now: Instant,
        stream: K,
        version: &V,
        evidence: Evidence,
        lifetime: Duration,
    ) {
        let expires_at = now + lifetime;
        if let Some(before) = self.begun.get_mut(&stream) {
            if before.evidence > evidence {
                return;
            }
            if before.evidence == evidence && before.version == *version {
                before.expires_at = expires_at;
                return;
            }
        }
        let begun = Begun {
            version: version.clone(),
            evidence,
            is_disputed: false,
            expires_at,
            progress: Progress::Pending,
        };
        self.begun.insert(stream, begun);
        self.unwritten.insert(stream);
    }

    /// Lists a stream that its caller takes up, where it was found only by the regime: that may end before
    /// the stream does.
    pub fn renew(&mut self, now: Instant, stream: K, version: &V, lifetime: Duration) {
        if !self.begun.contains_key(&stream) && !self.is_only(version) {
            self.list(now, stream, version, Evidence::FirstEvent, lifetime);
        }
    }

    /// State of the listing of a stream that has begun.
    #[must_use]
    pub fn progress(&self, stream: K) -> Progress {
        let begun = self.begun.get(&stream);
        begun.map_or(Progress::Listed, |begun| begun.progress)
    }

    /// Forgets a stream that is to begin elsewhere, unless it may be listed.
    pub fn withdraw(&mut self, stream: K) {
        if self.progress(stream) == Progress::Refused {
            self.begun.remove(&stream);
            self.unwritten.remove(&stream);
        }
    }

    /// Where a stream began that was asked for at `asked_at`; `None` stands for one that its caller does
    /// not name. A stream that is asked for stays listed, as its caller may return again.
    pub fn find(
        &mut self,
        asked_at: Instant,
        stream: Option<K>,
        lifetime: Duration,
        log: &Log,
    ) -> Origin<V> {
        if let Some(begun) = stream.and_then(|stream| self.begun.get_mut(&stream)) {
            begun.expires_at = asked_at + lifetime;
            // The log may list where the first event came from.
            if begun.evidence == Evidence::Assignment && !log.is_read_since(asked_at) {
                return Origin::ReadLog;
            }
            if begun.is_disputed {
                return Origin::Unknown;
            }
            return Origin::Known(begun.version.clone());
        }
        match &self.regime {
            Some(Regime::Single(version)) => Origin::Known(version.clone()),
            Some(Regime::Mixing(_) | Regime::Mixed) if stream.is_none() => Origin::Unknown,
            Some(Regime::Mixing(_) | Regime::Mixed) if !log.is_read_since(asked_at) => {
                Origin::ReadLog
            }
            Some(Regime::Mixing(version)) => match &self.stored {
                Stored::Unknown => Origin::Unknown,
                Stored::Known(record)
                    if log.announced > record.written_at && !self.is_read_since(asked_at) =>
                {
                    Origin::ReadRegime
                }
                Stored::Known(record) if record.regime.presumed() != Some(version) => {
                    Origin::Unknown
                }
                Stored::Known(record) if matches!(record.regime, Regime::Mixing(_)) => {
                    if log.covers(record.listed_from) {
                        Origin::Known(version.clone())
                    } else {
                        Origin::Unknown
                    }
                }
                // No other version has got streams while the store has only the former regime.
                Stored::Known(_) | Stored::Missing if self.is_read_since(asked_at) => {
                    Origin::Known(version.clone())
                }
                Stored::Known(_) | Stored::Missing => Origin::ReadRegime,
            },
            Some(Regime::Mixed) | None => Origin::Unknown,
        }
    }

    /// Takes the streams with this evidence that the log lacks.
    pub fn take_unwritten(&mut self, evidence: Evidence) -> Vec<(K, V)> {
        let begun = &self.begun;
        let unwritten = self.unwritten.extract_if(.., |stream| {
            begun
                .get(stream)
                .is_none_or(|begun| begun.evidence == evidence)
        });
        let begun = unwritten.filter_map(|stream| {
            let begun = begun.get(&stream)?;
            Some((stream, begun.version.clone()))
        });
        begun.collect()
    }

    /// Records that the log has streams with their versions.
    pub fn written<'a>(&mut self, streams: impl IntoIterator<Item = &'a (K, V)>)
    where
        K: 'a,
        V: 'a,
    {
        for (stream, version) in streams {
            let begun = self.begun.get_mut(stream);
            if let Some(begun) = begun.filter(|begun| begun.version == *version) {
                begun.progress = Progress::Listed;
            }
        }
    }

    /// Whether the caller of a stream that has to be listed first may get its first event; one that may not,
    /// and is certainly not listed, is forgotten.
    pub fn beginning(&mut self, stream: K) -> Beginning {
        match self.progress(stream) {
            Progress::Listed | Progress::Told => Beginning::Allowed,
            Progress::Refused => {
                self.withdraw(stream);
                Beginning::Elsewhere
            }
            Progress::Pending | Progress::Doubtful => Beginning::Doubtful,
        }
    }

    /// Why the log lacks a stream that another host has told of, after an attempt to append it; `listing` is
    /// when it has to be there. One that is refused is forgotten: it may begin elsewhere.
    pub fn delay(&mut self, stream: K, listing: Listing) -> Option<Delay> {
        match (listing, self.progress(stream)) {
            (Listing::None, _) | (_, Progress::Listed) => None,
            (Listing::Behind, _) => Some(Delay::Kept),
            (Listing::Ahead, Progress::Refused) => {
                self.withdraw(stream);
                Some(Delay::Refused)
            }
            (Listing::Ahead, _) => Some(Delay::Doubtful),
        }
    }

    /// Records the answer of another host that was told of a stream; `None` if the log lists it.
    pub fn told(&mut self, listing: &(K, V), delay: Option<Delay>) {
        let stream = listing.0;
        match delay {
            None => self.written([listing]),
            Some(Delay::Kept) => {
                if let Some(begun) = self.begun.get_mut(&stream) {
                    begun.progress = Progress::Told;
                }
            }
            Some(Delay::Refused) => self.return_unwritten([stream], false),
            Some(Delay::Doubtful) => self.return_unwritten([stream], true),
        }
    }

    /// Puts back the streams that another host writes, which may have been lost before it did.
    pub fn tell_again(&mut self) {
        let told = self.begun.iter();
        let told = told.filter(|(_, begun)| begun.progress == Progress::Told);
        self.unwritten.extend(told.map(|(stream, _)| *stream));
    }

    /// Returns streams whose write has failed; a write in doubt may be carried out later.
    pub fn return_unwritten(&mut self, streams: impl IntoIterator<Item = K>, in_doubt: bool) {
        for stream in streams {
            let Some(begun) = self.begun.get_mut(&stream) else {
                continue;
            };
            begun.progress = if in_doubt || begun.progress == Progress::Doubtful {
                Progress::Doubtful
            } else {
                Progress::Refused
            };
            self.unwritten.insert(stream);
        }
    }

    /// Records a stream that the log lists. A first event replaces an assignment; of several assignments nobody
    /// knows which was used.
    pub fn learn(
        &mut self,
        now: Instant,
        stream: K,
        version: V,
        evidence: Evidence,
        lifetime: Duration,
    ) {
        if let Some(known) = self.begun.get_mut(&stream) {
            if known.evidence > evidence {
                return;
            }
            if known.evidence == Evidence::Assignment && evidence == Evidence::Assignment {
                known.is_disputed |= known.version != version;
                return;
            }
            // What this host has not written yet is newer.
            if known.evidence == evidence && known.progress != Progress::Listed {
                return;
            }
        }
        let begun = Begun {
            version,
            evidence,
            is_disputed: false,
            expires_at: now + lifetime,
            progress: Progress::Listed,
        };
        self.begun.insert(stream, begun);
        self.unwritten.remove(&stream);
    }

    /// The record to store after an announcement that ends at `position` in the log. A regime that the
    /// store has already keeps the start of its listings, and is opened after `hold`.
    #[must_use]
    pub fn record(&self, now: Instant, position: Position, hold: Duration) -> Option<Record<V>> {
        let regime = self.regime.clone()?;
        let stored = self.stored_record();
        let stored = stored.filter(|record| record.regime == regime);
        let listed_from = match stored {
            Some(record) => record.listed_from,
            // No read of the log covers it.
            None if self.has_lost_listings => Position::new(position.era, u64::MAX),
            None => position,
        };
        let is_open = match &regime {
            Regime::Single(_) => false,
            Regime::Mixing(_) => {
                stored.is_some_and(|record| record.is_open || now >= self.stored_at + hold)
            }
            Regime::Mixed => true,
        };
        Some(Record {
            regime,
            listed_from,
            written_at: position,
            is_open,
        })
    }

    /// Whether the store lacks the regime, or should have it open.
    #[must_use]
    pub fn is_due(&self, now: Instant, hold: Duration) -> bool {
        let Some(record) = self.record(now, Position::default(), hold) else {
            return false;
        };
        self.stored_record()
            .is_none_or(|stored| stored.regime != record.regime || stored.is_open != record.is_open)
    }

    /// The record that the store has, as far as this host knows.
    #[must_use]
    pub const fn stored_record(&self) -> Option<&Record<V>> {
        match &self.stored {
            Stored::Known(record) => Some(record),
            Stored::Unknown | Stored::Missing => None,
        }
    }

    /// The current regime.
    #[must_use]
    pub const fn regime(&self) -> Option<&Regime<V>> {
        self.regime.as_ref()
    }

    /// Records that the store has a regime since `now`.
    pub fn stored(&mut self, now: Instant, record: Record<V>) {
        self.set_stored(now, record);
        self.stored_read = Some(now);
    }

    /// Writes everything again, since the store was restored from an older copy. Other hosts' streams may
    /// have been lost there.
    pub fn rewrite(&mut self) {
        self.stored = Stored::Unknown;
        self.has_lost_listings = true;
        for begun in self.begun.values_mut() {
            begun.progress = Progress::Pending;
        }
        self.unwritten.extend(self.begun.keys());
    }

    /// Drops the streams that nobody takes up any more.
    pub fn expire(&mut self, now: Instant) {
        self.begun.retain(|_, begun| begun.expires_at > now);
        let begun = &self.begun;
        self.unwritten.retain(|stream| begun.contains_key(stream));
    }
}
