//! Simulation of the staleness check under faults: every host refuses a withdrawn key in time, and
//! keys keep working in a general log outage.

mod support {
    pub(crate) mod agreement;
    pub(crate) mod log;
    pub(crate) mod network;
    pub(crate) mod run;
}

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::configuration::{Readiness, Report};
use berylknot_coordination::freshness::{STATUS_LIFETIME, Status, TAIL_LIFETIME, Tracker, Verdict};
use berylknot_coordination::record::{Entry, Id, Incarnation, Position, Publish, Record};
use berylknot_coordination::replica::Replica;
use berylknot_coordination::snapshot::Backlog;
use proptest::prelude::*;
use support::agreement::Agreement;
use support::log::Log;
use support::network::Network;
use support::run::{Result, catches, holds};

const HOSTS: usize = 5;
const MAJORITY: usize = HOSTS / 2 + 1;
const TICK_MS: u64 = 100;
/// Tolerance of the bounds: two ticks, plus the clock drift over 10 s.
const SLACK_MS: u64 = 250;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Keys are accepted regardless of the verdict.
    VerdictIgnored,
    /// The age of a tail that a peer reports is taken as zero.
    AgeIgnored,
    /// A known tail counts although the replica has not reached it.
    TailIgnored,
    /// A single host counts as a majority.
    MinorityIsEnough,
    /// The lifetime of a peer's status starts at its arrival instead of at the request.
    CountedOnArrival,
    /// Restarted hosts that are not ready count towards the majority.
    UnreadyCount,
    /// The outage majority can never be reached.
    NoOutageRule,
}

#[derive(Clone, Debug)]
enum Step {
    Withdraw,
    Crash {
        host: usize,
        count: usize,
    },
    Pause {
        host: usize,
        millis: u64,
    },
    ToggleLog,
    /// Connects or disconnects a host's link to the log.
    ToggleLink {
        host: usize,
    },
    /// Partitions the hosts whose bit is set from the others; zero heals the partition.
    Split(u8),
    Wait(u64),
}

#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    fault_percent: u32,
    rates: [u64; HOSTS],
    steps: Vec<Step>,
}

fn plans() -> impl Strategy<Value = Plan> {
    let step = prop_oneof![
        4 => Just(Step::Withdraw),
        1 => (0..HOSTS, 1..HOSTS).prop_map(|(host, count)| Step::Crash { host, count }),
        1 => (0..HOSTS, 1_000_u64..15_000).prop_map(|(host, millis)| Step::Pause { host, millis }),
        2 => Just(Step::ToggleLog),
        3 => (0..HOSTS).prop_map(|host| Step::ToggleLink { host }),
        3 => prop_oneof![Just(0_u8), 0_u8..32].prop_map(Step::Split),
        6 => (0_u64..25_000).prop_map(Step::Wait),
    ];
    let percent = prop_oneof![Just(0_u32), 0_u32..40];
    let rates = proptest::array::uniform5(999_000_u64..=1_001_000);
    let steps = proptest::collection::vec(step, 5..30);
    (any::<u64>(), percent, rates, steps).prop_map(|(seed, fault_percent, rates, steps)| Plan {
        seed,
        fault_percent,
        rates,
        steps,
    })
}

#[derive(Clone)]
enum Message {
    Entries(usize, Incarnation, Instant, Vec<Entry>, u64),
    Poll(usize, Incarnation, usize, Instant, u64),
    Status(usize, Incarnation, usize, Instant, Status, Vec<Entry>),
}

struct Host {
    incarnation: Incarnation,
    replica: Replica,
    recent: Backlog,
    tracker: Tracker<usize>,
    readiness: Readiness<usize>,
    ready: bool,
    linked: bool,
    paused_until: u64,
}

struct Withdrawal {
    position: Position,
    appended_ms: u64,
    known_by: BTreeSet<usize>,
    majority_ms: Option<u64>,
}

struct World {
    fault: Fault,
    rates: [u64; HOSTS],
    now_ms: u64,
    starts: u64,
    log: Log,
    log_up: bool,
    split: u8,
    changed_ms: u64,
    network: Network<Message>,
    hosts: Vec<Host>,
    withdrawals: BTreeMap<Position, Withdrawal>,
    fresh: usize,
    outage: usize,
    stale: usize,
    stable_outage: usize,
    agreement: Agreement,
}

impl World {
    fn new(plan: &Plan, fault: Fault) -> Self {
        let mut world = Self {
            fault,
            rates: plan.rates,
            now_ms: 1_000_000,
            starts: 0,
            log: Log::new(u64::MAX / 2),
            log_up: true,
            split: 0,
            changed_ms: 0,
            network: Network::new(plan.seed, plan.fault_percent),
            hosts: Vec::new(),
            withdrawals: BTreeMap::new(),
            fresh: 0,
            outage: 0,
            stale: 0,
            stable_outage: 0,
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
        let configured = match self.fault {
            Fault::MinorityIsEnough => 1,
            Fault::NoOutageRule => 100,
            _ => HOSTS,
        };
        Host {
            incarnation: Incarnation(self.starts),
            replica: Replica::default(),
            recent: Backlog::new(10_000),
            tracker: Tracker::new(configured, Drift::default()),
            readiness: Readiness::new(HOSTS),
            ready: false,
            linked: true,
            paused_until: 0,
        }
    }

    fn clock(&self, host: usize) -> Instant {
        Instant::from_millis(self.now_ms * self.rates[host] / 1_000_000)
    }

    fn withdraw(&mut self) {
        if !self.log_up {
            return;
        }
        let base_version = self
            .withdrawals
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default();
        let id = Id {
            incarnation: Incarnation(0),
            sequence: self.now_ms,
        };
        let publish = Publish {
            id,
            base_version,
            document: String::new(),
        };
        let offset = self.log.append(self.now_ms, vec![Record::Publish(publish)]);
        let position = Position::new(offset, 0);
        self.withdrawals.insert(
            position,
            Withdrawal {
                position,
                appended_ms: self.now_ms,
                known_by: BTreeSet::new(),
                majority_ms: None,
            },
        );
        self.now_ms += 1;
    }

    fn connected(&self, left: usize, right: usize) -> bool {
        self.split >> left & 1 == self.split >> right & 1
    }

    fn apply(&mut self, host: usize, entries: &[Entry]) -> Result {
        for entry in entries {
            let state = &mut self.hosts[host];
            if entry.offset != state.replica.next_offset() {
                continue;
            }
            state.replica.apply(entry);
            state.recent.push(entry.clone(), 1);
            self.agreement.check(&state.replica)?;
            let known = self.withdrawals.get_mut(&Position::new(entry.offset, 0));
            if let Some(withdrawal) = known {
                withdrawal.known_by.insert(host);
                // From now on, every majority contains a host that knows of the withdrawal.
                if HOSTS - withdrawal.known_by.len() < MAJORITY {
                    withdrawal.majority_ms.get_or_insert(self.now_ms);
                }
            }
        }
        let state = &mut self.hosts[host];
        state.tracker.record_applied(state.replica.next_offset());
        Ok(())
    }

    fn deliver(&mut self, message: Message) -> Result {
        match message {
            Message::Entries(host, incarnation, sent, entries, tail) => {
                if self.hosts[host].incarnation == incarnation && self.hosts[host].linked {
                    self.apply(host, &entries)?;
                    let state = &mut self.hosts[host];
                    let applied = state.replica.next_offset();
                    state.tracker.record_read(sent, tail, applied);
                    state.readiness.record_tail(tail);
                }
            }
            Message::Poll(from, incarnation, to, sent, offset) => {
                if !self.connected(from, to) {
                    return Ok(());
                }
                let now = self.clock(to);
                let lossy = self.network.inject_fault();
                let peer = &self.hosts[to];
                let ready = peer.ready || self.fault == Fault::UnreadyCount;
                let status = peer.tracker.status(now, ready, peer.replica.next_offset());
                let entries = peer.recent.from(offset).filter(|_| !lossy);
                let entries = entries.map(|entries| entries.cloned().collect());
                let entries = entries.unwrap_or_default();
                let message = Message::Status(from, incarnation, to, sent, status, entries);
                self.network.send(self.now_ms, 8_000, &message);
            }
            Message::Status(host, incarnation, from, sent, status, entries) => {
                if self.hosts[host].incarnation == incarnation && self.connected(from, host) {
                    self.receive_status(host, from, sent, status, &entries)?;
                }
            }
        }
        Ok(())
    }

    fn receive_status(
        &mut self,
        host: usize,
        from: usize,
        mut sent: Instant,
        mut status: Status,
        entries: &[Entry],
    ) -> Result {
        self.apply(host, entries)?;
        if self.fault == Fault::CountedOnArrival {
            sent = self.clock(host);
        }
        if let Some(tail) = &mut status.tail {
            match self.fault {
                Fault::AgeIgnored => tail.age_ms = 0,
                Fault::TailIgnored => tail.next_offset = 0,
                _ => {}
            }
        }
        let state = &mut self.hosts[host];
        state
            .tracker
            .record_status(from, sent, status, state.replica.next_offset());
        let report = Report {
            ready: status.ready,
            next_offset: status.next_offset,
        };
        state.readiness.record_report(from, sent, report);
        Ok(())
    }

    fn poll(&mut self, host: usize) -> Result {
        let now = self.clock(host);
        let state = &mut self.hosts[host];
        let applied = state.replica.next_offset();
        state.ready = state.readiness.poll(now, applied);
        let incarnation = state.incarnation;
        if self.log_up && state.linked && self.now_ms.is_multiple_of(500) {
            let entries = self.log.read(applied);
            assert!(entries.oldest <= applied);
            let tail = entries
                .entries
                .last()
                .map_or(applied, |entry| entry.offset + 1);
            let message = Message::Entries(host, incarnation, now, entries.entries, tail);
            self.network.send(self.now_ms, 5_000, &message);
        }
        if self.now_ms.is_multiple_of(1_000) {
            let round = (self.now_ms / 1_000) as usize % (HOSTS - 1);
            for turn in 0..HOSTS - 1 {
                if turn == round || self.hosts[host].tracker.needs_majority(now) {
                    let peer = (host + 1 + turn) % HOSTS;
                    let poll = Message::Poll(host, incarnation, peer, now, applied);
                    self.network.send(self.now_ms, 8_000, &poll);
                }
            }
        }
        self.oracle(host)
    }

    fn oracle(&mut self, host: usize) -> Result {
        let state = &self.hosts[host];
        let verdict = state
            .tracker
            .verdict(self.clock(host), state.replica.next_offset());
        match verdict {
            Verdict::Fresh { .. } => self.fresh += 1,
            Verdict::Outage { .. } => self.outage += 1,
            Verdict::Stale => self.stale += 1,
        }
        let accepts_keys = state.ready && verdict != Verdict::Stale;
        if accepts_keys || self.fault == Fault::VerdictIgnored {
            self.check_withdrawn_keys(host, verdict)?;
        }
        let ready = state.ready;
        if ready && self.has_stable_majority(host) && !accepts_keys {
            return Err(format!(
                "host {host} refuses in a general outage at {} ms",
                self.now_ms
            ));
        }
        Ok(())
    }

    /// Oracle: a host accepts a withdrawn key for at most 10 s, or for the lifetime of a peer's
    /// status after every majority contains a host that knows of the withdrawal.
    fn check_withdrawn_keys(&self, host: usize, verdict: Verdict) -> Result {
        let version = self.hosts[host].replica.configuration().version();
        let mut unseen = self
            .withdrawals
            .values()
            .filter(|withdrawal| withdrawal.position > version);
        let Some(withdrawal) = unseen.next() else {
            return Ok(());
        };
        let Some(majority_ms) = withdrawal.majority_ms else {
            return Ok(());
        };
        let limit = withdrawal.appended_ms + TAIL_LIFETIME.as_millis() as u64;
        let limit = limit.max(majority_ms + STATUS_LIFETIME.as_millis() as u64) + SLACK_MS;
        if self.now_ms > limit {
            return Err(format!(
                "host {host} accepts a withdrawn key: {verdict:?} after {limit}"
            ));
        }
        Ok(())
    }

    /// Whether the log is down for all hosts and this host has been connected to a majority for
    /// 20 s.
    fn has_stable_majority(&mut self, host: usize) -> bool {
        let peers = (0..HOSTS).filter(|peer| self.hosts[*peer].ready);
        let group = peers.filter(|peer| self.connected(host, *peer)).count();
        let stable = !self.log_up
            && self.network.fault_percent == 0
            && group >= MAJORITY
            && self.now_ms > self.changed_ms + 20_000;
        self.stable_outage += usize::from(stable);
        stable
    }

    fn advance(&mut self, millis: u64) -> Result {
        for _ in 0..millis / TICK_MS {
            self.now_ms += TICK_MS - self.now_ms % TICK_MS;
            while let Some(message) = self.network.receive(self.now_ms) {
                let target = match &message {
                    Message::Entries(host, ..) | Message::Status(host, ..) => *host,
                    Message::Poll(_, _, to, ..) => *to,
                };
                let paused = self.hosts[target].paused_until;
                if paused > self.now_ms {
                    self.network.send(paused, 20, &message);
                } else {
                    self.deliver(message)?;
                }
            }
            for host in 0..HOSTS {
                if self.hosts[host].paused_until <= self.now_ms {
                    self.poll(host)?;
                }
            }
        }
        Ok(())
    }

    fn step(&mut self, step: &Step) -> Result {
        match *step {
            Step::Withdraw => self.withdraw(),
            Step::Crash { host, count } => {
                for host in host..host + count {
                    self.hosts[host % HOSTS] = self.start();
                }
            }
            Step::Pause { host, millis } => self.hosts[host].paused_until = self.now_ms + millis,
            Step::ToggleLog => self.log_up = !self.log_up,
            Step::ToggleLink { host } => self.hosts[host].linked = !self.hosts[host].linked,
            Step::Split(split) => self.split = split,
            Step::Wait(millis) => return self.advance(millis),
        }
        // A log outage alone does not restart the 20 s: keys must keep working in it.
        let paused = self.hosts.iter().map(|host| host.paused_until).max();
        match step {
            Step::ToggleLog | Step::Withdraw if self.hosts.iter().all(|host| host.linked) => {}
            _ => self.changed_ms = self.now_ms,
        }
        self.changed_ms = self.changed_ms.max(paused.unwrap_or(0));
        Ok(())
    }
}

fn run(plan: &Plan, fault: Fault) -> std::result::Result<World, String> {
    let mut world = World::new(plan, fault);
    world.advance(5_000)?;
    for step in &plan.steps {
        world.step(step)?;
    }
    world.advance(15_000)?;
    Ok(world)
}

/// Guards against withdrawn keys that keep working, and against keys that stop working in a log
/// outage.
#[test]
fn withdrawn_keys_are_refused_in_time() {
    let seen = Cell::new((0, 0, 0, 0));
    holds(1_000, plans(), |plan| {
        let world = run(&plan, Fault::None)?;
        let sum = seen.get();
        seen.set((
            sum.0 + world.fresh,
            sum.1 + world.outage,
            sum.2 + world.stale,
            sum.3 + world.stable_outage,
        ));
        Ok(())
    });
    let seen = seen.get();
    let least = [seen.0, seen.1, seen.2, seen.3].into_iter().min();
    assert!(
        least > Some(10_000),
        "the generated cases cover too little: {seen:?}"
    );
}

/// Guards against an oracle that does not detect injected faults.
#[yare::parameterized(
    verdict_ignored = { Fault::VerdictIgnored, "accepts a withdrawn key" },
    age_ignored = { Fault::AgeIgnored, "accepts a withdrawn key" },
    tail_ignored = { Fault::TailIgnored, "accepts a withdrawn key" },
    minority_is_enough = { Fault::MinorityIsEnough, "accepts a withdrawn key" },
    counted_on_arrival = { Fault::CountedOnArrival, "accepts a withdrawn key" },
    unready_count = { Fault::UnreadyCount, "accepts a withdrawn key" },
    no_outage_rule = { Fault::NoOutageRule, "refuses in a general outage" },
)]
fn oracle_reports_fault(fault: Fault, violation: &str) {
    catches(&plans(), violation, |plan| run(&plan, fault).map(|_| ()));
}
