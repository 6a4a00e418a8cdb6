//! Hosts that begin streams at versions that come and go, over a store that fails in several ways.

use std::collections::{BTreeSet, HashMap};

use berylknot_coordination::clock::Instant;
use berylknot_coordination::history::{Era, Position};
use berylknot_coordination::origin::{Currency, Listing, Log, Origin, Origins, Progress, Record};
use rand::seq::{IndexedMutRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{HOLD, LIFETIME};

const HOSTS: usize = 3;
const STEP_MS: u64 = 20;
/// Steps between the writes of a host, and between its reads of the versions.
const WRITE_STEPS: u64 = 3;
const READ_STEPS: u64 = 60;
/// Steps from the start of a stream to its first event, and to its end.
const FIRST_EVENT_STEPS: u64 = 5;
const STREAM_STEPS: u64 = 13_000 / STEP_MS;
/// Steps for which the store keeps records of the log.
const KEPT_STEPS: u64 = 20_000 / STEP_MS;

/// What goes wrong beside the loss of hosts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trouble {
    pub(crate) outages: bool,
    /// Appends that get no answer may be carried out when the store is back.
    pub(crate) late_appends: bool,
    /// Single hosts stand still, or are cut off from the store and the others.
    pub(crate) freezes: bool,
    /// The store drops the records of the log.
    pub(crate) drops: bool,
    pub(crate) restores: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) taken_up: u64,
    pub(crate) unknown: u64,
    pub(crate) mixed: u64,
}

/// Record of the log.
#[derive(Clone, Debug, Default)]
struct Entry {
    streams: Vec<(u32, u8)>,
    announces_regimes: bool,
}

#[derive(Clone, Debug, Default)]
struct Store {
    record: Option<Record<u8>>,
    /// Offset of the first record that is kept.
    first: u64,
    log: Vec<(u64, Entry)>,
    era: u64,
    away_until: u64,
    is_silent: bool,
    /// Appends without an answer that are still to be carried out.
    late: Vec<Entry>,
}

impl Store {
    fn end(&self) -> Position {
        Position::new(Era(self.era), self.first + self.log.len() as u64)
    }
}

#[derive(Debug)]
struct Host {
    origins: Origins<u32, u8>,
    log: Log,
    currency: Currency,
    /// Versions that served at the last read of them.
    seen: BTreeSet<u8>,
    era: u64,
    /// Start and end of what was read of the log.
    span: Option<(Position, Position)>,
    is_first: bool,
    is_restored: bool,
    frozen_until: u64,
    cut_until: u64,
    /// Streams that must be listed before they begin.
    waiting: Vec<(u32, u8)>,
}

impl Host {
    fn new(is_first: bool) -> Self {
        Self {
            origins: Origins::default(),
            log: Log::default(),
            currency: Currency::default(),
            seen: BTreeSet::new(),
            era: 0,
            span: None,
            is_first,
            is_restored: false,
            frozen_until: 0,
            cut_until: 0,
            waiting: Vec::new(),
        }
    }
}

#[derive(Debug)]
struct Stream {
    version: u8,
    begun: u64,
}

#[derive(Debug)]
pub(crate) struct World {
    random: ChaCha8Rng,
    trouble: Trouble,
    step: u64,
    versions: BTreeSet<u8>,
    store: Store,
    /// Last time at which the store answered any host.
    last_answer: Instant,
    /// Copy to which the store may go back.
    copy: Store,
    hosts: Vec<Host>,
    streams: HashMap<u32, Stream>,
    next: u32,
}

impl World {
    pub(crate) fn new(seed: u64, trouble: Trouble) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            trouble,
            step: 0,
            versions: BTreeSet::from([1]),
            store: Store::default(),
            last_answer: Instant::default(),
            copy: Store::default(),
            hosts: (0..HOSTS).map(|_| Host::new(true)).collect(),
            streams: HashMap::new(),
            next: 0,
        }
    }

    pub(crate) fn run(mut self, steps: u64) -> Outcome {
        let mut outcome = Outcome::default();
        for step in 0..steps {
            self.step = step;
            self.disturb();
            for index in 0..self.hosts.len() {
                if self.hosts[index].frozen_until > step {
                    continue;
                }
                if (step + 7 * index as u64).is_multiple_of(READ_STEPS)
                    || !self.hosts[index].is_restored
                {
                    self.read_versions(index);
                }
                if (step + index as u64).is_multiple_of(WRITE_STEPS) {
                    self.write(index);
                }
            }
            self.begin();
            self.take_up(&mut outcome);
        }
        outcome
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.step * STEP_MS)
    }

    fn disturb(&mut self) {
        let step = self.step;
        self.streams
            .retain(|_, stream| step - stream.begun < STREAM_STEPS);
        while self
            .store
            .log
            .first()
            .is_some_and(|(at, _)| step - *at > KEPT_STEPS)
        {
            self.store.log.remove(0);
            self.store.first += 1;
        }
        if self.random.random_bool(0.002) {
            let newest = self.versions.last().copied().unwrap_or(1);
            if self.versions.len() > 1 && self.random.random_bool(0.6) {
                self.versions.pop_first();
            } else {
                self.versions.insert(newest + 1);
            }
        }
        if self.random.random_bool(0.003) {
            let index = self.random.random_range(0..HOSTS);
            self.hosts[index] = Host::new(false);
        }
        if self.random.random_bool(0.001) {
            self.hosts = (0..HOSTS).map(|_| Host::new(false)).collect();
        }
        let trouble = self.trouble;
        if trouble.outages && self.store.away_until <= step && self.random.random_bool(0.003) {
            self.store.away_until = step + self.random.random_range(10..250);
            self.store.is_silent = self.random.random_bool(0.5);
        }
        if trouble.freezes && self.random.random_bool(0.004) {
            let until = step + self.random.random_range(20..300);
            let is_cut = self.random.random_bool(0.5);
            let host = self.hosts.choose_mut(&mut self.random);
            let host = host.expect("there are hosts");
            if is_cut {
                host.cut_until = until;
            } else {
                host.frozen_until = until;
            }
        }
        if trouble.drops && self.random.random_bool(0.002) {
            self.store.first += self.store.log.len() as u64;
            self.store.log.clear();
        }
        if step.is_multiple_of(150) {
            self.copy = self.store.clone();
        }
        if trouble.restores && self.random.random_bool(0.001) {
            let (era, late) = (self.store.era + 1, std::mem::take(&mut self.store.late));
            self.store = self.copy.clone();
            (self.store.era, self.store.late) = (era, late);
            self.copy = self.store.clone();
        }
        if self.store.away_until <= step {
            for late in std::mem::take(&mut self.store.late) {
                self.store.log.push((step, late));
            }
        }
    }

    /// Whether a host reaches the store; it notices a restore then.
    fn reaches(&mut self, index: usize) -> bool {
        let host = &mut self.hosts[index];
        if self.store.away_until > self.step || host.cut_until > self.step {
            return false;
        }
        self.last_answer = Instant::from_millis(self.step * STEP_MS);
        if host.era != self.store.era {
            host.era = self.store.era;
            host.span = None;
            host.origins.rewrite();
        }
        true
    }

    fn read_regime(&mut self, index: usize) -> bool {
        if !self.reaches(index) {
            return false;
        }
        let now = self.now();
        let host = &mut self.hosts[index];
        let record = self.store.record.clone();
        let is_dated = record
            .as_ref()
            .is_some_and(|record| record.listed_from.era < Era(self.store.era));
        host.origins.restore(now, record, is_dated);
        host.currency.close_gap();
        host.is_restored = true;
        let is_first = host.is_first;
        host.origins
            .observe(now, &self.versions, LIFETIME, is_first);
        true
    }

    fn read_versions(&mut self, index: usize) {
        if !self.hosts[index].is_restored && !self.read_regime(index) || !self.reaches(index) {
            return;
        }
        let now = self.now();
        let host = &mut self.hosts[index];
        host.currency.confirm(now, HOLD);
        let is_first = host.is_first;
        host.origins
            .observe(now, &self.versions, LIFETIME, is_first);
        host.origins.expire(now);
    }

    fn observe(&mut self, index: usize) -> bool {
        let now = self.now();
        let host = &mut self.hosts[index];
        let is_first = host.is_first;
        // What the host has read of the versions last.
        let seen = host.seen.clone();
        host.origins.observe(now, &seen, LIFETIME, is_first);
        true
    }

    /// Appends to the log; `None` if the append was refused or got no answer, with whether it is in
    /// doubt.
    fn append(&mut self, index: usize, entry: Entry) -> Result<Position, bool> {
        if !self.reaches(index) {
            let is_cut = self.hosts[index].cut_until > self.step;
            let in_doubt = is_cut || self.store.is_silent;
            let is_late = self.trouble.late_appends && !is_cut && self.store.is_silent;
            if is_late && self.random.random_bool(0.5) {
                self.store.late.push(entry);
            }
            self.hosts[index].log.end_append(false);
            return Err(in_doubt);
        }
        self.store.log.push((self.step, entry));
        self.hosts[index].log.end_append(true);
        Ok(self.store.end())
    }

    fn write(&mut self, index: usize) {
        if !self.hosts[index].is_restored {
            return;
        }
        let now = self.now();
        let announcement = Entry {
            announces_regimes: true,
            ..Entry::default()
        };
        let host = &self.hosts[index];
        let needs_read = host.origins.needs_read() || !host.currency.is_gapless();
        if (needs_read || host.origins.is_due(now, HOLD))
            && self.read_regime(index)
            && self.observe(index)
            && self.hosts[index].origins.is_due(now, HOLD)
            && let Ok(end) = self.append(index, announcement)
            && let Some(record) = self.hosts[index].origins.record(now, end, HOLD)
        {
            self.store.record = Some(record.clone());
            self.hosts[index].origins.stored(now, record);
        }
        let listings = self.hosts[index].origins.take_unwritten();
        if !listings.is_empty() || self.hosts[index].log.has_failed() {
            let entry = Entry {
                streams: listings.clone(),
                announces_regimes: false,
            };
            let result = self.append(index, entry);
            let origins = &mut self.hosts[index].origins;
            match result {
                Ok(_) => origins.written(&listings),
                Err(in_doubt) => {
                    let streams = listings.into_iter().map(|(stream, _)| stream);
                    origins.return_unwritten(streams, in_doubt);
                }
            }
        }
        for (stream, version) in std::mem::take(&mut self.hosts[index].waiting) {
            let origins = &mut self.hosts[index].origins;
            let progress = origins.progress(stream);
            origins.withdraw(stream);
            match progress {
                Progress::Listed => self.start(stream, version),
                Progress::Pending => self.hosts[index].waiting.push((stream, version)),
                Progress::Refused | Progress::Doubtful => {}
            }
        }
    }

    fn start(&mut self, stream: u32, version: u8) {
        let begun = self.step;
        self.streams.insert(stream, Stream { version, begun });
    }

    /// Any host places a stream, as the leader or since it does not hear the leader.
    fn begin(&mut self) {
        let Some(index) = self.awake() else {
            return;
        };
        let now = self.now();
        let host = &mut self.hosts[index];
        let usable = self.versions.iter().copied();
        let usable = usable.filter(|version| host.origins.is_usable(now, version, &host.log));
        let Some(version) = usable.choose(&mut self.random) else {
            return;
        };
        let stream = self.next;
        self.next += 1;
        match host.origins.begin(now, stream, &version, LIFETIME) {
            Listing::Ahead => host.waiting.push((stream, version)),
            Listing::None | Listing::Behind => self.start(stream, version),
        }
    }

    fn awake(&mut self) -> Option<usize> {
        let step = self.step;
        let hosts = self.hosts.iter().enumerate();
        let awake = hosts.filter(|(_, host)| host.is_restored && host.frozen_until <= step);
        awake.map(|(index, _)| index).choose(&mut self.random)
    }

    fn take_up(&mut self, outcome: &mut Outcome) {
        let step = self.step;
        let begun = self
            .streams
            .iter()
            .filter(|(_, stream)| step - stream.begun >= FIRST_EVENT_STEPS);
        // The order of a hash map differs between runs.
        let mut begun: Vec<(u32, u8)> = begun
            .map(|(stream, begun)| (*stream, begun.version))
            .collect();
        begun.sort_unstable();
        let Some((stream, version)) = begun.into_iter().choose(&mut self.random) else {
            return;
        };
        let Some(index) = self.awake() else {
            return;
        };
        outcome.taken_up += 1;
        match self.find(index, stream) {
            Some(found) if found == version => {}
            Some(_) => outcome.mixed += 1,
            None => outcome.unknown += 1,
        }
    }

    fn find(&mut self, index: usize, stream: u32) -> Option<u8> {
        let now = self.now();
        let host = &self.hosts[index];
        // A host that is cut off hears no majority, so that only it may have lost the store.
        let is_outage_shared = host.cut_until <= self.step && self.store.away_until > self.step;
        let misses_nothing = is_outage_shared && host.currency.includes(self.last_answer, HOLD);
        if !host.currency.is_current(now, HOLD) && !misses_nothing {
            self.read_versions(index);
            if !self.read_regime(index) {
                return None;
            }
        }
        for _ in 0..3 {
            let host = &mut self.hosts[index];
            match host.origins.find(now, Some(stream), LIFETIME, &host.log) {
                Origin::Known(version) => return Some(version),
                Origin::Unknown => return None,
                Origin::ReadRegime => {
                    if !self.read_regime(index) {
                        return None;
                    }
                }
                Origin::ReadLog => {
                    if !self.reaches(index) {
                        return None;
                    }
                    self.read_log(index);
                }
            }
        }
        None
    }

    fn read_log(&mut self, index: usize) {
        let now = self.now();
        let (first, end) = (self.store.first, self.store.end());
        let host = &mut self.hosts[index];
        let (start, next) = host.span.unwrap_or_default();
        let is_joined = host.span.is_some() && next.offset >= first;
        let from = next.offset.max(first);
        let start = if is_joined {
            start
        } else {
            Position::new(end.era, from)
        };
        for (position, (_, entry)) in (from + 1..).zip(&self.store.log[(from - first) as usize..]) {
            if entry.announces_regimes {
                host.log.announced(Position::new(end.era, position));
            }
            for (stream, version) in &entry.streams {
                host.origins.learn(now, *stream, *version, LIFETIME);
            }
        }
        host.span = Some((start, end));
        host.log.read(now, start);
    }
}
