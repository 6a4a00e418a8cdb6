//! Simulation of configuration and snapshots under faults: an accepted version never reverts, not
//! even on hosts that restart empty after old log entries have expired.

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

/// The lease table alone takes about 15 kB, so each snapshot has several chunks.
const CHUNK_BYTES: usize = 6_000;
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const HOSTS: usize = NAMES.len();
const TICK_MS: u64 = 100;
const RETENTION_MS: u64 = 60_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A host restores a snapshot that is older than its state.
    OldSnapshot,
    /// Every proposal is accepted regardless of its base version.
    BaseIgnored,
    /// A host is ready immediately after its start.
    ReadyAtOnce,
    /// A starting host counts peers that are not ready.
    AnyReport,
}

#[derive(Clone, Debug)]
enum Step {
    Publish {
        host: usize,
        copies: usize,
    },
    /// Several hosts crash together, as in a rack failure, and restart empty.
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
    fault_percent: u32,
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
    (any::<u64>(), 0_u32..30, steps).prop_map(|(seed, fault_percent, steps)| Plan {
        seed,
        fault_percent,
        steps,
    })
}

#[derive(Clone)]
enum Message {
    Append(usize, Id, Vec<Record>),
    Answer(usize, Id),
    Entries(usize, Incarnation, Instant, Vec<Entry>, u64),
    Poll(usize, Incarnation, usize, Instant, u64),
    Report(
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
    /// Highest version that a majority of ready hosts has had in force, by the time it first did.
    majority_versions: BTreeMap<u64, Position>,
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
            network: Network::new(plan.seed, plan.fault_percent),
            hosts: Vec::new(),
            majority_versions: BTreeMap::new(),
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
        let state = &mut self.hosts[host];
        if self.fault == Fault::BaseIgnored {
            let mut version = state.replica.configuration().version();
            for (index, record) in (0..=u8::MAX).zip(&mut entry.records) {
                if let Record::Publish(publish) = record
                    && publish.id.sequence > 0
                {
                    publish.base_version = version;
                    version = Position::new(entry.offset, index);
                }
            }
        }
        let before = state.replica.configuration().version();
        let expected = state.replica.next_offset();
        for change in state.replica.apply(&entry) {
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
            state.recent.push(entry, 1);
        }
        self.snapshots
            .insert(state.replica.snapshots().latest().next_offset);
        self.agreement.check(&state.replica)?;
        self.check_monotonic(host, before)
    }

    fn restore(&mut self, host: usize, snapshot: &Snapshot) -> Result {
        let state = &mut self.hosts[host];
        let before = state.replica.configuration().version();
        if self.fault == Fault::OldSnapshot && state.ready {
            state.replica = Replica::default();
        }
        if state
            .replica
            .restore(snapshot)
            .map_err(|error| error.to_string())?
        {
            state.recent.clear();
            self.restored += 1;
        }
        self.agreement.check(&state.replica)?;
        self.check_monotonic(host, before)
    }

    fn check_monotonic(&self, host: usize, before: Position) -> Result {
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
            Message::Poll(from, incarnation, to, sent, offset) => {
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
                let answer =
                    Message::Report(from, incarnation, to, sent, report, entries, snapshot);
                self.network.send(self.now_ms, 3_000, &answer);
            }
            Message::Report(host, incarnation, from, sent, mut report, entries, snapshot) => {
                if self.hosts[host].incarnation != incarnation {
                    return Ok(());
                }
                report.ready |= self.fault == Fault::AnyReport;
                self.hosts[host].readiness.record_report(from, sent, report);
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
        let state = &mut self.hosts[host];
        let next_offset = state.replica.next_offset();
        let serves = state.readiness.poll(now, next_offset) || self.fault == Fault::ReadyAtOnce;
        if !state.ready && serves {
            state.ready = true;
            self.outage_starts += usize::from(!state.tail_seen);
            self.check_ready_version(host)?;
        }
        self.record_majority_version();
        if self.log_up && self.hosts[host].linked && self.now_ms.is_multiple_of(500) {
            let state = &mut self.hosts[host];
            // A starting host reads from the oldest entry.
            let from = if state.ready && self.fault == Fault::None {
                next_offset
            } else {
                1
            };
            let read = self.log.read(from);
            let (incarnation, oldest) = (state.incarnation, read.oldest);
            let message = Message::Entries(host, incarnation, now, read.entries, oldest);
            self.network.send(self.now_ms, 2_000, &message);
        }
        if self.now_ms.is_multiple_of(1_000) {
            let peer = (host + 1 + (self.now_ms / 1_000) as usize % (HOSTS - 1)) % HOSTS;
            let incarnation = self.hosts[host].incarnation;
            let poll = Message::Poll(host, incarnation, peer, now, next_offset);
            self.network.send(self.now_ms, 3_000, &poll);
        }
        if self.now_ms.is_multiple_of(5_000) && self.hosts[host].ready {
            // Stands in for the renewals, which advance the log's clock.
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
        self.write_snapshot(host)
    }

    /// Oracle: a host that becomes ready has at least the version that a majority had in force at
    /// its start, or 10 s ago, the maximum age of a report, if it became ready without the log.
    fn check_ready_version(&self, host: usize) -> Result {
        let state = &self.hosts[host];
        let mut since = state.started_ms;
        if !state.tail_seen {
            since = since.max(self.now_ms - 10_000);
        }
        let majority = self.majority_versions.range(..=since).next_back();
        let version = state.replica.configuration().version();
        if majority.is_some_and(|(_, majority)| version < *majority) {
            return Err(format!(
                "host {host} starts at {version:?} after {majority:?}"
            ));
        }
        Ok(())
    }

    fn record_majority_version(&mut self) {
        let ready = self.hosts.iter().filter(|host| host.ready);
        let mut versions: Vec<_> = ready
            .map(|host| host.replica.configuration().version())
            .collect();
        versions.sort_unstable_by(|left, right| right.cmp(left));
        let last = self.majority_versions.values().next_back().copied();
        if let Some(majority) = versions.get(HOSTS / 2)
            && Some(*majority) > last
        {
            self.majority_versions.insert(self.now_ms, *majority);
        }
    }

    fn write_snapshot(&mut self, host: usize) -> Result {
        let now = self.now();
        let state = &mut self.hosts[host];
        if state.ready && state.chunks.is_empty() && state.appender.is_idle() {
            let (table, time_ms) = (state.replica.snapshots(), state.replica.log_time_ms());
            if state.schedule.due(now, NAMES[host], NAMES, table, time_ms) {
                let id = Id {
                    incarnation: state.incarnation,
                    sequence: self.now_ms,
                };
                let snapshot = state
                    .replica
                    .snapshot()
                    .map_err(|error| error.to_string())?;
                state.chunks =
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

    /// Oracle: the base version of every accepted proposal is the previously accepted version.
    fn check_base_versions(&self) -> Result {
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
    world.check_base_versions()?;
    Ok(world)
}

/// Guards against a reverted configuration, lost updates and diverging replicas.
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
        "the generated cases cover too little: {seen:?}"
    );
}

/// Guards against several hosts writing the same snapshot, and against no host writing it.
#[test]
fn one_host_writes_each_snapshot() {
    let plan = Plan {
        seed: 1,
        fault_percent: 0,
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

/// Guards against an oracle that does not detect injected faults.
#[yare::parameterized(
    old_snapshot = { Fault::OldSnapshot, "reverts" },
    base_ignored = { Fault::BaseIgnored, "unseen" },
    ready_at_once = { Fault::ReadyAtOnce, "starts at" },
    any_report = { Fault::AnyReport, "starts at" },
)]
fn oracle_reports_fault(fault: Fault, violation: &str) {
    catches(&plans(), violation, |plan| run(&plan, fault).map(|_| ()));
}
