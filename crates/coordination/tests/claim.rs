//! Simulation of idempotency keys under faults: each key runs at most once, and no call that was
//! reported as not run has run.

mod support {
    pub(crate) mod agreement;
    pub(crate) mod log;
    pub(crate) mod network;
    pub(crate) mod run;
}

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use berylknot_coordination::append::{self, Appender};
use berylknot_coordination::claim::{
    Action, Answer, Claimant, Event, Key, Limits, Outcome, Verdict,
};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::configuration::MAX_DOCUMENT_BYTES;
use berylknot_coordination::record::{Entry, Id, Incarnation, Record};
use berylknot_coordination::replica::{Change, Replica};
use berylknot_coordination::snapshot::MAX_BYTES;
use proptest::prelude::*;
use rand::Rng;
use support::agreement::Agreement;
use support::log::Log;
use support::network::Network;
use support::run::{Result, catches, holds};

const HOSTS: usize = 3;
const TICK_MS: u64 = 50;
const RETENTION_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The winner sends the call after its send timeout.
    SendLate,
    /// The claiming host sends the call before its claim has won.
    SendBeforeWin,
    /// Another host abandons the claim of a winner that it considers dead.
    FreeDeadWinner,
    /// Keys expire after a quarter of the retention period.
    ForgetEarly,
    /// One replica has a lower limit of keys than the others.
    UnequalLimits,
}

#[derive(Clone, Debug)]
enum Step {
    Call {
        host: usize,
        key: u8,
        fingerprint: u64,
    },
    Crash {
        host: usize,
    },
    Pause {
        host: usize,
        millis: u64,
    },
    ToggleLog,
    Cancel {
        host: usize,
    },
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
        6 => (0..HOSTS, 0_u8..4, 0_u64..8).prop_map(|(host, key, fingerprint)| Step::Call {
            host,
            key,
            fingerprint: u64::from(fingerprint == 0),
        }),
        1 => (0..HOSTS).prop_map(|host| Step::Crash { host }),
        1 => (0..HOSTS, 1_000_u64..12_000).prop_map(|(host, millis)| Step::Pause { host, millis }),
        1 => Just(Step::ToggleLog),
        1 => (0..HOSTS).prop_map(|host| Step::Cancel { host }),
        6 => (0_u64..6_000).prop_map(Step::Wait),
    ];
    // Clock rates in parts per million of real time.
    let rates = proptest::array::uniform3(999_000_u64..=1_001_000);
    let steps = proptest::collection::vec(step, 5..40);
    (any::<u64>(), 0_u32..40, rates, steps).prop_map(|(seed, fault_percent, rates, steps)| Plan {
        seed,
        fault_percent,
        rates,
        steps,
    })
}

#[derive(Clone)]
enum Message {
    /// A record in transit to the host that appends it.
    Relay(usize, Event),
    Append(usize, Id, Vec<Record>),
    Answer(usize, Id),
    Entries(usize, Incarnation, Instant, Vec<Entry>),
}

struct Host {
    incarnation: Incarnation,
    replica: Replica,
    appender: Appender,
    claimant: Claimant,
    paused_until: u64,
    waiting: Option<(Id, u64)>,
    to_send: Vec<(u64, Id)>,
    to_finish: Vec<(u64, Id)>,
}

struct World {
    fault: Fault,
    plan: Plan,
    now_ms: u64,
    starts: u64,
    log: Log,
    log_up: bool,
    network: Network<Message>,
    hosts: Vec<Host>,
    keys: BTreeMap<Id, Key>,
    won_ms: BTreeMap<Id, u64>,
    runs: BTreeMap<Id, u64>,
    not_run: BTreeSet<Id>,
    stored: Vec<(Key, Outcome)>,
    results: BTreeSet<(Key, u16)>,
    agreement: Agreement,
}

impl World {
    fn new(plan: &Plan, fault: Fault) -> Self {
        let mut world = Self {
            fault,
            plan: plan.clone(),
            now_ms: 1_000_000,
            starts: 0,
            log: Log::new(u64::MAX / 2),
            log_up: true,
            network: Network::new(plan.seed, plan.fault_percent),
            hosts: Vec::new(),
            keys: BTreeMap::new(),
            won_ms: BTreeMap::new(),
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
            stored: Vec::new(),
            results: BTreeSet::new(),
            agreement: Agreement::default(),
        };
        for host in 0..HOSTS {
            let start = world.start(host);
            world.hosts.push(start);
        }
        world
    }

    fn start(&mut self, host: usize) -> Host {
        self.starts += 1;
        let incarnation = Incarnation(self.starts);
        let early = self.fault == Fault::ForgetEarly;
        let few = self.fault == Fault::UnequalLimits && host == 0;
        let replica = Replica::new(Limits {
            keys: if few { 1 } else { 3 },
            remember_ms: if early {
                RETENTION_MS / 4
            } else {
                RETENTION_MS
            },
            ..Limits::default()
        });
        Host {
            incarnation,
            replica,
            appender: Appender::new(incarnation, append::Limits::default()),
            claimant: Claimant::new(incarnation, 8),
            paused_until: 0,
            waiting: None,
            to_send: Vec::new(),
            to_finish: Vec::new(),
        }
    }

    fn clock(&self, host: usize) -> Instant {
        Instant::from_millis(self.now_ms * self.plan.rates[host] / 1_000_000)
    }

    fn call(&mut self, host: usize, key: u8, fingerprint: u64) {
        let now = self.clock(host);
        let key = Key {
            customer: "c".to_owned(),
            hash: [key; 32],
        };
        let live: BTreeSet<Incarnation> = self.hosts.iter().map(|host| host.incarnation).collect();
        let state = &mut self.hosts[host];
        match state
            .replica
            .claims()
            .answer(&key, fingerprint, |start| !live.contains(&start))
        {
            None | Some(Answer::NotRun) => {}
            Some(Answer::Stored(outcome)) => return self.stored.push((key, outcome)),
            Some(Answer::MayHaveRun) if self.fault == Fault::FreeDeadWinner => {
                // Injected fault: abandon the claim on behalf of the dead winner.
                let dead = self
                    .keys
                    .iter()
                    .filter(|(id, used)| **used == key && !live.contains(&id.incarnation));
                let records: Vec<_> = dead
                    .map(|(id, key)| Event::Abandon {
                        id: *id,
                        key: key.clone(),
                    })
                    .collect();
                for record in records {
                    self.relay(host, record);
                }
                return;
            }
            Some(_) => return,
        }
        let Ok(record) = state.claimant.claim(now, key.clone(), fingerprint) else {
            return;
        };
        self.keys.insert(record.id(), key);
        if self.fault == Fault::SendBeforeWin {
            self.run(record.id());
        }
        self.relay(host, record);
    }

    fn relay(&mut self, host: usize, record: Event) {
        let owner = if self.network.inject_fault() { host } else { 0 };
        self.network
            .send(self.now_ms, 8_000, &Message::Relay(owner, record));
    }

    fn run(&mut self, id: Id) {
        *self.runs.entry(id).or_default() += 1;
    }

    fn act(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => self.relay(host, record),
                Action::Send(id) => {
                    let slow = if self.network.inject_fault() {
                        9_000
                    } else {
                        100
                    };
                    let delay = self.network.random.random_range(0..slow);
                    self.hosts[host].to_send.push((self.now_ms + delay, id));
                }
                Action::NotRun(id) | Action::Taken(id, Answer::NotRun) => {
                    self.not_run.insert(id);
                }
                Action::Taken(id, Answer::Stored(outcome)) => {
                    self.stored.push((self.keys[&id].clone(), outcome));
                }
                Action::Taken(..) => {}
            }
        }
    }

    fn report(&mut self, host: usize, actions: Vec<append::Action>) {
        for action in actions {
            if let append::Action::Append { id, records } = action {
                self.hosts[host].waiting = Some((id, self.now_ms + 1_000));
                self.network
                    .send(self.now_ms, 4_000, &Message::Append(host, id, records));
            }
        }
    }

    fn deliver(&mut self, message: Message) -> Result {
        match message {
            Message::Relay(host, record) => {
                let deadline = self.clock(host) + std::time::Duration::from_secs(6);
                let _full = self.hosts[host]
                    .appender
                    .submit(Record::Key(record), 200, deadline);
            }
            Message::Append(host, id, records) if self.log_up => {
                self.log.append(self.now_ms, records);
                self.network
                    .send(self.now_ms, 4_000, &Message::Answer(host, id));
            }
            Message::Append(..) => {}
            Message::Answer(host, id) => self.answered(host, id, append::Answer::Appended),
            Message::Entries(host, incarnation, sent, entries) => {
                if self.hosts[host].incarnation == incarnation {
                    self.apply(host, sent, &entries)?;
                }
            }
        }
        Ok(())
    }

    fn answered(&mut self, host: usize, id: Id, answer: append::Answer) {
        let now = self.clock(host);
        if self.hosts[host]
            .waiting
            .is_some_and(|waiting| waiting.0 == id)
        {
            self.hosts[host].waiting = None;
            let actions = self.hosts[host].appender.answered(now, id, answer);
            self.report(host, actions);
        }
    }

    fn apply(&mut self, host: usize, sent: Instant, entries: &[Entry]) -> Result {
        let now = self.clock(host);
        for entry in entries {
            for change in self.hosts[host].replica.apply(entry) {
                let Change::Key { id, verdict } = change else {
                    continue;
                };
                if matches!(verdict, Verdict::Won(_)) {
                    self.won_ms.insert(id, entry.appended_at_ms);
                }
                let actions = self.hosts[host].claimant.observe(now, id, &verdict);
                self.act(host, actions);
            }
            self.agreement.check(&self.hosts[host].replica)?;
        }
        let Host {
            appender, replica, ..
        } = &mut self.hosts[host];
        let actions = appender.reached_tail(sent, replica.batches());
        self.report(host, actions);
        Ok(())
    }

    fn poll(&mut self, host: usize) {
        let now = self.clock(host);
        if let Some((id, due)) = self.hosts[host].waiting
            && due <= self.now_ms
        {
            self.answered(host, id, append::Answer::Lost);
        }
        let state = &mut self.hosts[host];
        let mut due = Vec::new();
        state.to_send.retain(|(at, id)| {
            let ready = *at <= self.now_ms;
            due.extend(ready.then_some(*id));
            !ready
        });
        for id in due {
            if state.claimant.begin_send(now, id) || self.fault == Fault::SendLate {
                let takes = self.network.random.random_range(0..3_000);
                state.to_finish.push((self.now_ms + takes, id));
                *self.runs.entry(id).or_default() += 1;
            }
        }
        let mut ended = Vec::new();
        state.to_finish.retain(|(at, id)| {
            let ready = *at <= self.now_ms;
            ended.extend(ready.then_some(*id));
            !ready
        });
        for id in ended {
            let status = 200 + u16::try_from(id.sequence % 90).expect("below 90");
            let outcome = (!self.network.inject_fault()).then_some(Outcome { status, body: None });
            self.results.insert((self.keys[&id].clone(), status));
            let actions = self.hosts[host].claimant.finish(now, id, outcome);
            self.act(host, actions);
        }
        let actions = self.hosts[host].claimant.poll(now);
        self.act(host, actions);
        let actions = self.hosts[host].appender.poll(now);
        self.report(host, actions);
        if self.log_up && self.now_ms.is_multiple_of(200) {
            let state = &self.hosts[host];
            let read = self.log.read(state.replica.next_offset());
            assert!(read.oldest <= state.replica.next_offset());
            let message = Message::Entries(host, state.incarnation, now, read.entries);
            self.network.send(self.now_ms, 2_000, &message);
        }
    }

    fn advance(&mut self, millis: u64) -> Result {
        for _ in 0..millis / TICK_MS {
            self.now_ms += TICK_MS;
            while let Some(message) = self.network.receive(self.now_ms) {
                let target = match &message {
                    Message::Relay(host, _)
                    | Message::Answer(host, _)
                    | Message::Entries(host, ..) => Some(*host),
                    Message::Append(..) => None,
                };
                // A paused host receives messages buffered by its socket when it resumes.
                let paused = target.map_or(0, |host| self.hosts[host].paused_until);
                if paused > self.now_ms {
                    self.network.send(paused, 20, &message);
                } else {
                    self.deliver(message)?;
                }
            }
            for host in 0..HOSTS {
                if self.hosts[host].paused_until <= self.now_ms {
                    self.poll(host);
                }
            }
        }
        Ok(())
    }

    fn step(&mut self, step: &Step) -> Result {
        match *step {
            Step::Call {
                host,
                key,
                fingerprint,
            } => self.call(host, key, fingerprint),
            Step::Crash { host } => self.hosts[host] = self.start(host),
            Step::Pause { host, millis } => self.hosts[host].paused_until = self.now_ms + millis,
            Step::ToggleLog => self.log_up = !self.log_up,
            Step::Cancel { host } => {
                let now = self.clock(host);
                let incarnation = self.hosts[host].incarnation;
                let ids = self.keys.keys().filter(|id| id.incarnation == incarnation);
                for id in ids.copied().collect::<Vec<_>>() {
                    let actions = self.hosts[host].claimant.abandon(now, id);
                    self.act(host, actions);
                }
            }
            Step::Wait(millis) => self.advance(millis)?,
        }
        Ok(())
    }

    fn oracle(&self) -> Result {
        let mut last: BTreeMap<&Key, u64> = BTreeMap::new();
        let mut runs: Vec<_> = self.runs.iter().collect();
        runs.sort_by_key(|(id, _)| self.won_ms.get(id));
        for (id, count) in runs {
            let key = &self.keys[id];
            let Some(won_ms) = self.won_ms.get(id) else {
                return Err(format!("{id:?} ran without a claim that won"));
            };
            let earlier = last.insert(key, *won_ms);
            if *count > 1 || earlier.is_some_and(|earlier| won_ms - earlier < RETENTION_MS) {
                return Err(format!("{key:?} ran twice, the second time by {id:?}"));
            }
            if self.not_run.contains(id) {
                return Err(format!("{id:?} was answered as not run but ran"));
            }
        }
        for (key, outcome) in &self.stored {
            if !self.results.contains(&(key.clone(), outcome.status)) {
                return Err(format!(
                    "{key:?} was answered with an outcome that its call never had"
                ));
            }
        }
        Ok(())
    }
}

fn run(plan: &Plan, fault: Fault) -> std::result::Result<World, String> {
    let mut world = World::new(plan, fault);
    for step in &plan.steps {
        world.step(step)?;
    }
    world.advance(8_000)?;
    world.oracle()?;
    Ok(world)
}

/// Guards against two executions of one key, a call that runs after it was reported as not run, and
/// diverging replicas.
#[test]
fn a_key_runs_at_most_once() {
    let (runs, refused, stored) = (Cell::new(0), Cell::new(0), Cell::new(0));
    holds(1_000, plans(), |plan| {
        let world = run(&plan, Fault::None)?;
        runs.set(runs.get() + world.runs.len());
        refused.set(refused.get() + world.not_run.len());
        stored.set(stored.get() + world.stored.len());
        Ok(())
    });
    let seen = (runs.get(), refused.get(), stored.get());
    assert!(
        seen.0 > 500 && seen.1 > 500 && seen.2 > 500,
        "the generated cases cover too little: {seen:?}"
    );
}

/// Guards against a table that exceeds its memory limit or the largest snapshot.
#[yare::parameterized(
    empty_bodies = { 0 },
    large_bodies = { 4_096 },
)]
fn a_full_table_fits_a_snapshot(body_bytes: usize) {
    let mut replica = Replica::default();
    let mut refused = 0;
    for number in 0..70_000_u64 {
        let id = Id {
            incarnation: Incarnation(u64::MAX),
            sequence: number,
        };
        let mut hash = [0xff; 32];
        hash[..8].copy_from_slice(&number.to_le_bytes());
        let key = Key {
            customer: "a customer with a long name".to_owned(),
            hash,
        };
        let body = Some(vec![0xff; body_bytes].into());
        let outcome = Some(Outcome { status: 200, body });
        let claim = Event::Claim {
            id,
            key: key.clone(),
            fingerprint: u64::MAX,
        };
        let records = vec![
            Record::Key(claim),
            Record::Key(Event::Finish { id, key, outcome }),
        ];
        let entry = Entry {
            offset: number + 1,
            appended_at_ms: 1_700_000_000_000,
            records,
        };
        let changes = replica.apply(&entry);
        let full = |change: &&Change| {
            matches!(
                change,
                Change::Key {
                    verdict: Verdict::Full,
                    ..
                }
            )
        };
        refused += changes.iter().filter(full).count();
    }
    let bytes = replica.claims().size_bytes();
    assert!(
        refused > 0 && bytes < 17 << 20,
        "{refused} claims refused at {bytes} bytes"
    );
    let snapshot = replica.snapshot().expect("the state can be encoded");
    let limit = MAX_BYTES - MAX_DOCUMENT_BYTES;
    assert!(
        snapshot.bytes.len() < limit,
        "{} bytes",
        snapshot.bytes.len()
    );
}

/// Guards against an oracle that does not detect injected faults.
#[yare::parameterized(
    send_late = { Fault::SendLate, "not run but ran" },
    send_before_win = { Fault::SendBeforeWin, "ran without a claim" },
    free_dead_winner = { Fault::FreeDeadWinner, "ran twice" },
    forget_early = { Fault::ForgetEarly, "ran twice" },
    unequal_limits = { Fault::UnequalLimits, "disagree" },
)]
fn oracle_reports_fault(fault: Fault, violation: &str) {
    catches(&plans(), violation, |plan| run(&plan, fault).map(|_| ()));
}
