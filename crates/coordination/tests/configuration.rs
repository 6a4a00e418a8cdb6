//! Proof of configuration and snapshots: an accepted version never reverts, also on hosts that
//! restart empty after the log has dropped old records.

mod support {
    pub(crate) mod agreement;
    pub(crate) mod log;
    pub(crate) mod network;
    pub(crate) mod run;
}

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use berylknot_coordination::append::{self, Appender, Limits};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::configuration::{Readiness, Report, Verdict};
use berylknot_coordination::record::{Entry, Id, Incarnation, Position, Publish, Record};
use berylknot_coordination::replica::{Change, Replica};
use berylknot_coordination::snapshot::{Assembler, Backlog, Chunk, Schedule, Snapshot, split};
use proptest::prelude::*;
use support::agreement::Agreement;
use support::log::Log;
use support::network::Network;
use support::run::{Result, catches, holds};

/// The table of shards alone takes about 15 kB, so that each snapshot has several chunks.
const CHUNK_BYTES: usize = 6_000;
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const HOSTS: usize = NAMES.len();
const TICK_MS: u64 = 100;
const RETENTION_MS: u64 = 60_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A host restores a snapshot although its state is newer.
    OldSnapshot,
    /// Every proposal is accepted, whatever version its operator saw.
    BaseIgnored,
    /// A host serves as soon as it has started.
    ReadyAtOnce,
    /// A starting host counts peers that are not ready themselves.
    AnyReport,
}

#[derive(Clone, Debug)]
enum Step {
    Publish {
        host: usize,
        copies: usize,
    },
    /// Hosts of a rack crash together and restart empty.
    Crash {
        host: usize,
        count: usize,
    },
    ToggleLog,
    ToggleLink {
        host: usize,
    },
    Wait(u64),
}

#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    trouble_percent: u32,
    steps: Vec<Step>,
}

fn plans() -> impl Strategy<Value = Plan> {
    let step = prop_oneof![
        4 => (0..HOSTS, 1_usize..3).prop_map(|(host, copies)| Step::Publish { host, copies }),
        3 => (0..HOSTS, 1..HOSTS).prop_map(|(host, count)| Step::Crash { host, count }),
        1 => Just(Step::ToggleLog),
        2 => (0..HOSTS).prop_map(|host| Step::ToggleLink { host }),
        5 => (0_u64..4_000).prop_map(Step::Wait),
        1 => (0_u64..RETENTION_MS).prop_map(Step::Wait),
    ];
    let steps = proptest::collection::vec(step, 5..40);
    (any::<u64>(), 0_u32..30, steps).prop_map(|(seed, trouble_percent, steps)| Plan {
        seed,
        trouble_percent,
        steps,
    })
}

#[derive(Clone)]
enum Message {
    Append(usize, Id, Vec<Record>),
    Answer(usize, Id),
    Entries(usize, Incarnation, Instant, Vec<Entry>, u64),
    Ask(usize, Incarnation, usize, Instant, u64),
    Word(
        usize,
        Incarnation,
        usize,
        Instant,
        Report,
        Vec<Entry>,
        Option<Snapshot>,
    ),
}

struct Host {
    incarnation: Incarnation,
    started_ms: u64,
    replica: Replica,
    appender: Appender,
    recent: Backlog,
    schedule: Schedule,
    chunks: std::collections::VecDeque<Chunk>,
    readiness: Readiness<usize>,
    ready: bool,
    linked: bool,
    waiting: Option<(Id, u64)>,
    tail_seen: bool,
}

struct World {
    fault: Fault,
    now_ms: u64,
    starts: u64,
    proposals: u64,
    log: Log,
    log_up: bool,
    network: Network<Message>,
    hosts: Vec<Host>,
    /// Highest version that a majority of ready hosts has held, by the time of its first such hold.
    held: BTreeMap<u64, Position>,
    bases: BTreeMap<u64, Position>,
    accepted: BTreeMap<Position, (Position, u64)>,
    restored: usize,
    outage_starts: usize,
    snapshots: BTreeSet<u64>,
    agreement: Agreement,
}

impl World {
    fn new(plan: &Plan, fault: Fault) -> Self {
        let mut world = Self {
            fault,
            now_ms: 1_000_000,
            starts: 0,
            proposals: 0,
            log: Log::new(RETENTION_MS),
            log_up: true,
            network: Network::new(plan.seed, plan.trouble_percent),
            hosts: Vec::new(),
            held: BTreeMap::new(),
            bases: BTreeMap::new(),
            accepted: BTreeMap::new(),
            restored: 0,
            outage_starts: 0,
            snapshots: BTreeSet::new(),
            agreement: Agreement::default(),
        };
        for _ in 0..HOSTS {
            let host = world.start();
            world.hosts.push(host);
        }
        world
    }

    fn start(&mut self) -> Host {
        self.starts += 1;
        let incarnation = Incarnation(self.starts);
        let limits = Limits {
            waiting: 20,
            ..Limits::default()
        };
        Host {
            incarnation,
            started_ms: self.now_ms,
            replica: Replica::default(),
            appender: Appender::new(incarnation, limits),
            recent: Backlog::new(20),
            schedule: Schedule::new(Duration::from_millis(RETENTION_MS)),
            chunks: std::collections::VecDeque::new(),
            readiness: Readiness::new(HOSTS),
            ready: false,
            linked: true,
            waiting: None,
            tail_seen: false,
        }
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn publish(&mut self, host: usize, copies: usize) {
        for _ in 0..copies {
            self.proposals += 1;
            let base = self.hosts[host].replica.configuration().version();
            self.bases.insert(self.proposals, base);
            self.submit(
                host,
                Record::Publish(Publish {
                    id: Id {
                        incarnation: Incarnation(0),
                        sequence: self.proposals,
                    },
                    base_version: base,
                    document: "x".repeat(1_000),
                }),
            );
        }
    }

    fn submit(&mut self, host: usize, record: Record) {
        let deadline = self.now() + Duration::from_secs(5);
        let _full = self.hosts[host].appender.submit(record, 1_000, deadline);
    }

    fn report(&mut self, host: usize, actions: Vec<append::Action>) {
        for action in actions {
            if let append::Action::Append { id, records } = action {
                self.hosts[host].waiting = Some((id, self.now_ms + 1_000));
                if self.hosts[host].linked {
                    self.network
                        .send(self.now_ms, 3_000, &Message::Append(host, id, records));
                }
            }
        }
    }

    fn apply(&mut self, host: usize, mut entry: Entry) -> Result {
        let one = &mut self.hosts[host];
        if self.fault == Fault::BaseIgnored {
            let mut version = one.replica.configuration().version();
            for (index, record) in (0..=u8::MAX).zip(&mut entry.records) {
                if let Record::Publish(publish) = record
                    && publish.id.sequence > 0
                {
                    publish.base_version = version;
                    version = Position::new(entry.offset, index);
                }
            }
        }
        let before = one.replica.configuration().version();
        let expected = one.replica.next_offset();
        for change in one.replica.apply(&entry) {
            if let Change::Published {
                id,
                position,
                verdict: Verdict::Accepted,
            } = change
            {
                self.accepted
                    .insert(self.bases[&id.sequence], (position, id.sequence));
            }
        }
        if expected == entry.offset {
            one.recent.push(entry, 1);
        }
        self.snapshots
            .insert(one.replica.snapshots().latest().next_offset);
        self.agreement.check(&one.replica)?;
        self.monotonic(host, before)
    }

    fn restore(&mut self, host: usize, snapshot: &Snapshot) -> Result {
        let one = &mut self.hosts[host];
        let before = one.replica.configuration().version();
        if self.fault == Fault::OldSnapshot && one.ready {
            one.replica = Replica::default();
        }
        if one
            .replica
            .restore(snapshot)
            .map_err(|error| error.to_string())?
        {
            one.recent.clear();
            self.restored += 1;
        }
        self.agreement.check(&one.replica)?;
        self.monotonic(host, before)
    }

    fn monotonic(&self, host: usize, before: Position) -> Result {
        let after = self.hosts[host].replica.configuration().version();
        if after < before {
            return Err(format!("host {host} reverts from {before:?} to {after:?}"));
        }
        Ok(())
    }

    fn deliver(&mut self, message: Message) -> Result {
        match message {
            Message::Append(host, id, records) => {
                if self.log_up {
                    self.log.append(self.now_ms, records);
                    self.network
                        .send(self.now_ms, 3_000, &Message::Answer(host, id));
                }
            }
            Message::Answer(host, id) => self.answered(host, id, append::Answer::Appended),
            Message::Entries(host, incarnation, sent, entries, oldest) => {
                if self.hosts[host].incarnation == incarnation {
                    self.read(host, sent, entries, oldest)?;
                }
            }
            Message::Ask(from, incarnation, to, asked, offset) => {
                let peer = &self.hosts[to];
                let next_offset = peer.replica.next_offset();
                let report = Report {
                    ready: peer.ready,
                    next_offset,
                };
                let entries = peer
                    .recent
                    .from(offset)
                    .map(|entries| entries.cloned().collect());
                let snapshot = match entries {
                    None if offset < next_offset => peer.replica.snapshot().ok(),
                    _ => None,
                };
                let entries = entries.unwrap_or_default();
                let word = Message::Word(from, incarnation, to, asked, report, entries, snapshot);
                self.network.send(self.now_ms, 3_000, &word);
            }
            Message::Word(host, incarnation, from, asked, mut report, entries, snapshot) => {
                if self.hosts[host].incarnation != incarnation {
                    return Ok(());
                }
                report.ready |= self.fault == Fault::AnyReport;
                self.hosts[host]
                    .readiness
                    .record_report(from, asked, report);
                for entry in entries {
                    self.apply(host, entry)?;
                }
                if let Some(snapshot) = snapshot {
                    self.restore(host, &snapshot)?;
                }
            }
        }
        Ok(())
    }

    fn answered(&mut self, host: usize, id: Id, answer: append::Answer) {
        let now = self.now();
        if self.hosts[host]
            .waiting
            .is_some_and(|waiting| waiting.0 == id)
        {
            self.hosts[host].waiting = None;
            let actions = self.hosts[host].appender.answered(now, id, answer);
            self.report(host, actions);
        }
    }

    fn read(&mut self, host: usize, sent: Instant, entries: Vec<Entry>, oldest: u64) -> Result {
        let tail = entries.last().map_or(oldest, |entry| entry.offset + 1);
        self.hosts[host].readiness.record_tail(tail);
        self.hosts[host].tail_seen = true;
        let gap = self.hosts[host].replica.is_behind(oldest);
        if gap || self.fault == Fault::OldSnapshot {
            let mut search = Assembler::default();
            for entry in &entries {
                search.read(entry);
            }
            if let Some(snapshot) = search.best(oldest) {
                self.restore(host, &snapshot)?;
            }
        }
        for entry in entries {
            self.apply(host, entry)?;
        }
        let Host {
            appender, replica, ..
        } = &mut self.hosts[host];
        if replica.next_offset() >= tail {
            let actions = appender.reached_tail(sent, replica.batches());
            self.report(host, actions);
        }
        Ok(())
    }

    fn poll(&mut self, host: usize) -> Result {
        let now = self.now();
        if let Some((id, due)) = self.hosts[host].waiting
            && due <= self.now_ms
        {
            self.answered(host, id, append::Answer::Lost);
        }
        let actions = self.hosts[host].appender.poll(now);
        self.report(host, actions);
        let one = &mut self.hosts[host];
        let next_offset = one.replica.next_offset();
        let serves = one.readiness.poll(now, next_offset) || self.fault == Fault::ReadyAtOnce;
        if !one.ready && serves {
            one.ready = true;
            self.outage_starts += usize::from(!one.tail_seen);
            self.started(host)?;
        }
        self.hold();
        if self.log_up && self.hosts[host].linked && self.now_ms.is_multiple_of(500) {
            let one = &mut self.hosts[host];
            // A starting host reads from the oldest entry on.
            let from = if one.ready && self.fault == Fault::None {
                next_offset
            } else {
                1
            };
            let read = self.log.read(from);
            let (incarnation, oldest) = (one.incarnation, read.oldest);
            let message = Message::Entries(host, incarnation, now, read.entries, oldest);
            self.network.send(self.now_ms, 2_000, &message);
        }
        if self.now_ms.is_multiple_of(1_000) {
            let peer = (host + 1 + (self.now_ms / 1_000) as usize % (HOSTS - 1)) % HOSTS;
            let incarnation = self.hosts[host].incarnation;
            let ask = Message::Ask(host, incarnation, peer, now, next_offset);
            self.network.send(self.now_ms, 3_000, &ask);
        }
        if self.now_ms.is_multiple_of(5_000) && self.hosts[host].ready {
            // Stands for the renewals that keep the log's time going.
            let base_version = Position::from_u64(u64::MAX);
            let id = Id {
                incarnation: Incarnation(0),
                sequence: 0,
            };
            let document = String::new();
            self.submit(
                host,
                Record::Publish(Publish {
                    id,
                    base_version,
                    document,
                }),
            );
        }
        self.write(host)
    }

    /// Oracle: a host that has just become ready knows what a majority held before. A report may be
    /// 10 s old; a tail is as of the start.
    fn started(&self, host: usize) -> Result {
        let one = &self.hosts[host];
        let mut since = one.started_ms;
        if !one.tail_seen {
            since = since.max(self.now_ms - 10_000);
        }
        let held = self.held.range(..=since).next_back();
        let version = one.replica.configuration().version();
        if held.is_some_and(|(_, held)| version < *held) {
            return Err(format!("host {host} starts at {version:?} after {held:?}"));
        }
        Ok(())
    }

    fn hold(&mut self) {
        let ready = self.hosts.iter().filter(|host| host.ready);
        let mut versions: Vec<_> = ready
            .map(|host| host.replica.configuration().version())
            .collect();
        versions.sort_unstable_by(|left, right| right.cmp(left));
        let last = self.held.values().next_back().copied();
        if let Some(held) = versions.get(HOSTS / 2)
            && Some(*held) > last
        {
            self.held.insert(self.now_ms, *held);
        }
    }

    fn write(&mut self, host: usize) -> Result {
        let now = self.now();
        let one = &mut self.hosts[host];
        if one.ready && one.chunks.is_empty() && one.appender.is_idle() {
            let (table, time_ms) = (one.replica.snapshots(), one.replica.log_time_ms());
            if one.schedule.due(now, NAMES[host], NAMES, table, time_ms) {
                let id = Id {
                    incarnation: one.incarnation,
                    sequence: self.now_ms,
                };
                let snapshot = one.replica.snapshot().map_err(|error| error.to_string())?;
                one.chunks =
                    split(id, &snapshot, CHUNK_BYTES).map_err(|error| error.to_string())?;
            }
        }
        if self.hosts[host].appender.is_idle()
            && let Some(chunk) = self.hosts[host].chunks.pop_front()
        {
            self.submit(host, Record::Snapshot(chunk));
        }
        Ok(())
    }

    fn advance(&mut self, millis: u64) -> Result {
        for _ in 0..millis / TICK_MS {
            self.now_ms += TICK_MS;
            while let Some(message) = self.network.receive(self.now_ms) {
                self.deliver(message)?;
            }
            for host in 0..HOSTS {
                self.poll(host)?;
            }
        }
        Ok(())
    }

    /// Oracle: every accepted proposal was made on the version accepted before it.
    fn chain(&self) -> Result {
        let mut version = Position::default();
        for (base, (position, proposal)) in &self.accepted {
            if *base != version {
                return Err(format!("proposal {proposal} overwrites {version:?} unseen"));
            }
            version = *position;
        }
        Ok(())
    }
}

fn run(plan: &Plan, fault: Fault) -> std::result::Result<World, String> {
    let mut world = World::new(plan, fault);
    world.advance(5_000)?;
    for step in &plan.steps {
        match *step {
            Step::Publish { host, copies } => world.publish(host, copies),
            Step::Crash { host, count } => {
                for host in host..host + count {
                    world.hosts[host % HOSTS] = world.start();
                }
            }
            Step::ToggleLog => world.log_up = !world.log_up,
            Step::ToggleLink { host } => world.hosts[host].linked = !world.hosts[host].linked,
            Step::Wait(millis) => world.advance(millis)?,
        }
    }
    world.advance(2_000)?;
    world.chain()?;
    Ok(world)
}

/// Guards against reverted configuration, lost updates and replicas that disagree.
#[test]
fn accepted_configuration_never_reverts() {
    let (accepted, restored, outage) = (Cell::new(0), Cell::new(0), Cell::new(0));
    holds(1_000, plans(), |plan| {
        let world = run(&plan, Fault::None)?;
        accepted.set(accepted.get() + world.accepted.len());
        restored.set(restored.get() + world.restored);
        outage.set(outage.get() + world.outage_starts);
        Ok(())
    });
    let seen = (accepted.get(), restored.get(), outage.get());
    assert!(
        seen.0 > 1_000 && seen.1 > 200 && seen.2 > 100,
        "the cases show too little: {seen:?}"
    );
}

/// Guards against hosts that all write a snapshot at once, and against none that writes.
#[test]
fn one_host_writes_each_snapshot() {
    let plan = Plan {
        seed: 1,
        trouble_percent: 0,
        steps: Vec::new(),
    };
    let mut world = World::new(&plan, Fault::None);
    world.publish(0, 1);
    world.advance(10 * RETENTION_MS).expect("no violation");
    let entries = world.log.read(1).entries;
    let records = entries.iter().flat_map(|entry| &entry.records);
    let first = |record: &&Record| matches!(record, Record::Snapshot(chunk) if chunk.index == 0);
    let starts = records.filter(first).count();
    assert!(
        (3..=4).contains(&starts),
        "{starts} snapshots in one retention"
    );
    assert!(
        world.snapshots.len() > 30,
        "{} snapshots",
        world.snapshots.len()
    );
}

/// Guards against an oracle that cannot fail.
#[yare::parameterized(
    old_snapshot = { Fault::OldSnapshot, "reverts" },
    base_ignored = { Fault::BaseIgnored, "unseen" },
    ready_at_once = { Fault::ReadyAtOnce, "starts at" },
    any_report = { Fault::AnyReport, "starts at" },
)]
fn oracle_reports_fault(fault: Fault, violation: &str) {
    catches(&plans(), violation, |plan| run(&plan, fault).map(|_| ()));
}
