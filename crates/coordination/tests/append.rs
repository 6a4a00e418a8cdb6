//! Simulation of the appender under faults: records take effect at most once, and the reported
//! outcomes are true.

mod support {
    pub(crate) mod agreement;
    pub(crate) mod log;
    pub(crate) mod network;
    pub(crate) mod run;
}

use std::cell::Cell;
use std::collections::BTreeMap;

use berylknot_coordination::append::{Action, Answer, Appender, Limits, Outcome, Ticket};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::record::{Id, Incarnation, Position, Publish, Record};
use berylknot_coordination::replica::{Change, Replica};
use proptest::prelude::*;
use support::agreement::Agreement;
use support::log::Log;
use support::network::Network;
use support::run::{Result, catches, holds};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// After a lost response the records are resent as a new batch without a read of the log.
    ResendUnresolved,
    /// Replicas apply duplicate batches.
    RepeatsCount,
    /// A sent record is reported as not appended when its deadline passes.
    DeadlineMeansNo,
}

#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    fault_percent: u32,
    steps: Vec<(u8, u16)>,
}

fn plans() -> impl Strategy<Value = Plan> {
    let steps = proptest::collection::vec((0_u8..10, 0_u16..3_000), 10..40);
    (any::<u64>(), 0_u32..50, steps).prop_map(|(seed, fault_percent, steps)| Plan {
        seed,
        fault_percent,
        steps,
    })
}

#[derive(Clone)]
enum Message {
    Append(Id, Vec<Record>),
    Answer(Id, Answer),
}

struct World {
    fault: Fault,
    now_ms: u64,
    log: Log,
    log_up: bool,
    network: Network<Message>,
    appender: Appender,
    replica: Replica,
    submitted: u64,
    tickets: BTreeMap<Ticket, u64>,
    outcomes: BTreeMap<u64, Vec<Outcome>>,
    effects: BTreeMap<u64, Vec<Position>>,
    pending: Option<(Id, u64, Vec<Record>)>,
    agreement: Agreement,
}

impl World {
    fn submit(&mut self, number: u64) {
        let publish = Publish {
            id: Id {
                incarnation: Incarnation(9),
                sequence: number,
            },
            base_version: Position::default(),
            document: String::new(),
        };
        let deadline = Instant::from_millis(self.now_ms + 4_000);
        if let Ok(ticket) = self
            .appender
            .submit(Record::Publish(publish), 100, deadline)
        {
            self.tickets.insert(ticket, number);
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append { id, records } => {
                    self.pending = Some((id, self.now_ms + 500, records.clone()));
                    self.network
                        .send(self.now_ms, 3_000, &Message::Append(id, records));
                }
                Action::Report { ticket, outcome } => {
                    let outcome = match outcome {
                        Outcome::MayHaveBeenAppended if self.fault == Fault::DeadlineMeansNo => {
                            Outcome::NotAppended
                        }
                        outcome => outcome,
                    };
                    self.outcomes
                        .entry(self.tickets[&ticket])
                        .or_default()
                        .push(outcome);
                }
            }
        }
    }

    fn lose_response(&mut self, id: Id) {
        if self.fault == Fault::ResendUnresolved
            && let Some((_, _, records)) = self.pending.take()
        {
            // Injected fault: drop the lost batch and append its records under a new id.
            let replacement = Id {
                sequence: id.sequence + 1_000,
                ..id
            };
            let records = std::iter::once(Record::Batch(replacement))
                .chain(records.into_iter().skip(1))
                .collect();
            self.network
                .send(self.now_ms, 3_000, &Message::Append(replacement, records));
        }
        self.pending = None;
        let actions = self
            .appender
            .answered(Instant::from_millis(self.now_ms), id, Answer::Lost);
        self.act(actions);
    }

    fn deliver(&mut self, message: Message) {
        let now = Instant::from_millis(self.now_ms);
        match message {
            Message::Append(id, records) if self.log_up => {
                self.log.append(self.now_ms, records);
                self.network
                    .send(self.now_ms, 3_000, &Message::Answer(id, Answer::Appended));
            }
            Message::Append(id, _) => {
                self.network
                    .send(self.now_ms, 3_000, &Message::Answer(id, Answer::Lost));
            }
            Message::Answer(id, answer) => {
                if self.pending.as_ref().is_some_and(|pending| pending.0 == id) {
                    self.pending = None;
                    let actions = self.appender.answered(now, id, answer);
                    self.act(actions);
                }
            }
        }
    }

    fn read(&mut self) -> Result {
        if !self.log_up || self.network.inject_fault() {
            return Ok(());
        }
        let read = self.log.read(self.replica.next_offset());
        assert!(read.oldest <= self.replica.next_offset());
        for mut entry in read.entries {
            if self.fault == Fault::RepeatsCount {
                entry.records.remove(0);
            }
            for change in self.replica.apply(&entry) {
                if let Change::Published { id, position, .. } = change {
                    self.effects.entry(id.sequence).or_default().push(position);
                }
            }
            self.agreement.check(&self.replica)?;
        }
        let now = Instant::from_millis(self.now_ms);
        let actions = self.appender.reached_tail(now, self.replica.batches());
        self.act(actions);
        Ok(())
    }

    fn advance(&mut self, millis: u64) -> Result {
        for _ in 0..millis / 50 {
            self.now_ms += 50;
            while let Some(message) = self.network.receive(self.now_ms) {
                self.deliver(message);
            }
            if let Some((id, due, _)) = self.pending
                && due <= self.now_ms
            {
                self.lose_response(id);
            }
            let actions = self.appender.poll(Instant::from_millis(self.now_ms));
            self.act(actions);
            self.read()?;
        }
        Ok(())
    }

    fn oracle(&self) -> Result {
        for number in self.tickets.values() {
            let effects = self.effects.get(number).map_or(&[][..], Vec::as_slice);
            if effects.len() > 1 {
                return Err(format!("record {number} counts twice: {effects:?}"));
            }
            match self.outcomes.get(number).map_or(&[][..], Vec::as_slice) {
                [Outcome::NotAppended] if !effects.is_empty() => {
                    return Err(format!("record {number} was reported as not appended"));
                }
                [Outcome::Appended] if effects.is_empty() => {
                    return Err(format!("record {number} was reported as appended"));
                }
                [_] => {}
                outcomes => return Err(format!("record {number} has outcomes {outcomes:?}")),
            }
        }
        Ok(())
    }
}

fn run(plan: &Plan, fault: Fault) -> std::result::Result<usize, String> {
    let limits = Limits {
        records: 3,
        waiting: 8,
        ..Limits::default()
    };
    let mut world = World {
        fault,
        now_ms: 1_000,
        log: Log::new(u64::MAX / 2),
        log_up: true,
        network: Network::new(plan.seed, plan.fault_percent),
        appender: Appender::new(Incarnation(1), limits),
        replica: Replica::default(),
        submitted: 0,
        tickets: BTreeMap::new(),
        outcomes: BTreeMap::new(),
        effects: BTreeMap::new(),
        pending: None,
        agreement: Agreement::default(),
    };
    for &(step, millis) in &plan.steps {
        match step {
            0 => world.log_up = !world.log_up,
            1..=6 => {
                for _ in 0..step {
                    world.submitted += 1;
                    world.submit(world.submitted);
                }
            }
            _ => {}
        }
        world.advance(u64::from(millis))?;
    }
    world.log_up = true;
    world.network.fault_percent = 0;
    world.advance(10_000)?;
    world.oracle()?;
    Ok(world.effects.len())
}

/// Guards against records that take effect twice, are lost, or have a false reported outcome.
#[test]
fn records_count_once_and_fates_are_true() {
    let appended = Cell::new(0);
    holds(2_000, plans(), |plan| {
        appended.set(appended.get() + run(&plan, Fault::None)?);
        Ok(())
    });
    assert!(appended.get() > 50_000, "only {} records", appended.get());
}

/// Guards against an oracle that does not detect injected faults.
#[yare::parameterized(
    resend_unresolved = { Fault::ResendUnresolved, "counts twice" },
    repeats_count = { Fault::RepeatsCount, "counts twice" },
    deadline_means_no = { Fault::DeadlineMeansNo, "reported as not appended" },
)]
fn oracle_reports_fault(fault: Fault, violation: &str) {
    catches(&plans(), violation, |plan| run(&plan, fault).map(|_| ()));
}
