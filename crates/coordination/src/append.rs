//! Appends to the log: batches records, resolves lost answers and lets replicas ignore repeats.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::record::{Id, Incarnation, Position, Record};

/// Time after its last batch for which an appender is remembered, by the log's clock.
///
/// A connection's buffer holds an append back for seconds at most, so a repeat that arrives a day
/// late cannot exist.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Highest number of appenders remembered.
///
/// 360 hosts with 980 restarts a day make 1,340 incarnations in [`RETENTION`].
pub const MAX_APPENDERS: usize = 4_096;

/// Result of submissions.
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons for which a record is not taken for an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// Too many records wait already.
    #[error("{waiting} records wait for an append")]
    Full {
        /// Records that wait.
        waiting: usize,
    },
    /// The record alone exceeds the size of a batch.
    #[error("record of {bytes} bytes exceeds the limit of {limit}")]
    Large {
        /// Size of the record in bytes.
        bytes: usize,
        /// Largest batch in bytes.
        limit: usize,
    },
}

/// Last batch of an appender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Last {
    /// Number of the batch.
    pub sequence: u64,
    /// Offset of its entry.
    pub offset: u64,
    time_ms: u64,
}

/// Replicated table of the last batch of each appender.
///
/// An appender has one batch in flight and numbers them upwards, so one number per incarnation
/// recognises every repeat. A batch that its appender gave up and that takes effect after a later
/// one is ignored as well.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    last: BTreeMap<Incarnation, Last>,
}

impl Table {
    /// Decides whether the batch at `offset` counts; false for a repeated or overtaken batch.
    pub fn apply(&mut self, id: Id, offset: u64, time_ms: u64) -> bool {
        if self
            .last
            .get(&id.incarnation)
            .is_some_and(|last| last.sequence >= id.sequence)
        {
            return false;
        }
        let last = Last {
            sequence: id.sequence,
            offset,
            time_ms,
        };
        self.last.insert(id.incarnation, last);
        if self.last.len() > MAX_APPENDERS {
            let oldest = self.last.iter().min_by_key(|(_, last)| last.offset);
            if let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) {
                self.last.remove(&incarnation);
            }
        }
        true
    }

    /// Forgets appenders that have been silent for [`RETENTION`] at `time_ms` of the log's clock.
    pub fn expire(&mut self, time_ms: u64) {
        let remember_ms = RETENTION.as_millis() as u64;
        self.last
            .retain(|_, last| time_ms < last.time_ms.saturating_add(remember_ms));
    }

    /// Last batch of an appender.
    #[must_use]
    pub fn last(&self, incarnation: Incarnation) -> Option<Last> {
        self.last.get(&incarnation).copied()
    }

    /// Approximate memory in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.last.len() * (size_of::<Incarnation>() + size_of::<Last>()) * 2
    }
}

/// Limits of an appender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Records in one batch, at most one fewer than [`Position::RECORDS_PER_ENTRY`].
    pub records: usize,
    /// Size of one batch in bytes.
    pub bytes: usize,
    /// Records that wait for an append.
    pub waiting: usize,
    /// Least time between two appends.
    pub interval: Duration,
}

impl Default for Limits {
    /// 255 records, 1 MiB, 4,096 waiting records and 50 ms, so at most 20 appends/s per host.
    fn default() -> Self {
        Self {
            records: Position::RECORDS_PER_ENTRY - 1,
            bytes: 1 << 20,
            waiting: 4_096,
            interval: Duration::from_millis(50),
        }
    }
}

/// Number of a submitted record within its appender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What became of a submitted record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record is in the log. Replicas tell its position: a doubled request has two offsets, of
    /// which the log may have answered with the one that does not count.
    Appended,
    /// The record was never sent to the log.
    NotAppended,
    /// The record was sent, and neither reading nor repeating showed what became of it.
    MayHaveBeenAppended,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append these records as one entry.
    Append {
        /// Id of the batch, for [`Appender::answered`].
        id: Id,
        /// Records, the first of which is [`Record::Batch`].
        records: Vec<Record>,
    },
    /// Tell the submitter.
    Report {
        /// The submitted record.
        ticket: Ticket,
        /// What became of it.
        outcome: Outcome,
    },
}

/// Answer of the log to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The entry was appended.
    Appended,
    /// There was no answer within the call's deadline, the connection broke, or the log refused.
    ///
    /// A refusal is no proof either: a doubled request may be refused once and take effect once.
    Lost,
}

#[derive(Clone, Debug)]
struct Submission {
    ticket: Ticket,
    record: Record,
    bytes: usize,
    deadline: Instant,
    reported: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Sent,
    Lost(Instant),
    Repeat,
}

#[derive(Clone, Debug)]
struct Flight {
    id: Id,
    submissions: Vec<Submission>,
    stage: Stage,
}

/// Appender of one process start.
#[derive(Clone, Debug)]
pub struct Appender {
    incarnation: Incarnation,
    limits: Limits,
    next_ticket: u64,
    sequence: u64,
    waiting: VecDeque<Submission>,
    flight: Option<Flight>,
    next_append: Instant,
}

impl Appender {
    /// Makes the appender of a process start.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: Limits) -> Self {
        Self {
            incarnation,
            limits: Limits {
                records: limits.records.clamp(1, Position::RECORDS_PER_ENTRY - 1),
                ..limits
            },
            next_ticket: 0,
            sequence: 0,
            waiting: VecDeque::new(),
            flight: None,
            next_append: Instant::default(),
        }
    }

    /// Takes a record of `bytes` encoded bytes; its fate is reported by `deadline` at the latest.
    ///
    /// # Errors
    /// Fails when the queue is full or the record is larger than a batch. The record is then
    /// certainly not appended.
    pub fn submit(&mut self, record: Record, bytes: usize, deadline: Instant) -> Result<Ticket> {
        if bytes > self.limits.bytes {
            return Err(Error::Large {
                bytes,
                limit: self.limits.bytes,
            });
        }
        if self.waiting.len() >= self.limits.waiting {
            return Err(Error::Full {
                waiting: self.waiting.len(),
            });
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push_back(Submission {
            ticket,
            record,
            bytes,
            deadline,
            reported: false,
        });
        Ok(ticket)
    }

    /// Reports records whose deadline has passed and sends the next batch when one is due.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.expire(now);
        if now < self.next_append {
            return actions;
        }
        if let Some(flight) = &mut self.flight {
            if flight.stage != Stage::Repeat {
                return actions;
            }
            flight.stage = Stage::Sent;
        } else if !self.start() {
            return actions;
        }
        self.next_append = now + self.limits.interval;
        if let Some(flight) = &self.flight {
            let records = flight.submissions.iter().map(|item| item.record.clone());
            actions.push(Action::Append {
                id: flight.id,
                records: std::iter::once(Record::Batch(flight.id))
                    .chain(records)
                    .collect(),
            });
        }
        actions
    }

    /// Takes the log's answer to a batch; answers to earlier batches are ignored.
    ///
    /// The caller reports [`Answer::Lost`] when the call's own deadline passes.
    pub fn answered(&mut self, now: Instant, id: Id, answer: Answer) -> Vec<Action> {
        let Some(flight) = self.flight.as_mut().filter(|flight| flight.id == id) else {
            return Vec::new();
        };
        match answer {
            Answer::Appended => self.finish(),
            Answer::Lost => {
                flight.stage = Stage::Lost(now);
                Vec::new()
            }
        }
    }

    /// Takes note that the replica has applied everything up to the tail of the log, as seen by a
    /// read that was sent at `read_sent`. `table` is the replica's state after that.
    ///
    /// A batch whose answer was lost before the read was sent, and which the read did not show, is
    /// repeated once. It may still be under way, in which case replicas ignore the later of the two.
    pub fn reached_tail(&mut self, read_sent: Instant, table: &Table) -> Vec<Action> {
        let actions = self.observe(table);
        if let Some(flight) = &mut self.flight
            && let Stage::Lost(at) = flight.stage
            && read_sent >= at
        {
            flight.stage = Stage::Repeat;
        }
        actions
    }

    /// Looks for the batch in flight in the replica's state after entries or a snapshot were
    /// applied.
    pub fn observe(&mut self, table: &Table) -> Vec<Action> {
        let last = table.last(self.incarnation);
        match (&self.flight, last) {
            (Some(flight), Some(last)) if flight.id.sequence == last.sequence => self.finish(),
            _ => Vec::new(),
        }
    }

    /// Number of records that wait for an append.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits and nothing is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.flight.is_none()
    }

    fn start(&mut self) -> bool {
        let mut bytes = 0;
        let mut submissions = Vec::new();
        while submissions.len() < self.limits.records
            && let Some(first) = self.waiting.front()
            && bytes + first.bytes <= self.limits.bytes
        {
            bytes += first.bytes;
            submissions.extend(self.waiting.pop_front());
        }
        if submissions.is_empty() {
            return false;
        }
        self.sequence += 1;
        self.flight = Some(Flight {
            id: Id {
                incarnation: self.incarnation,
                sequence: self.sequence,
            },
            submissions,
            stage: Stage::Sent,
        });
        true
    }

    fn finish(&mut self) -> Vec<Action> {
        let Some(flight) = self.flight.take() else {
            return Vec::new();
        };
        let unreported = flight.submissions.iter().filter(|item| !item.reported);
        unreported
            .map(|submission| Action::Report {
                ticket: submission.ticket,
                outcome: Outcome::Appended,
            })
            .collect()
    }

    fn expire(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.waiting.retain(|submission| {
            let expired = submission.deadline <= now;
            if expired {
                actions.push(Action::Report {
                    ticket: submission.ticket,
                    outcome: Outcome::NotAppended,
                });
            }
            !expired
        });
        let Some(flight) = &mut self.flight else {
            return actions;
        };
        for submission in &mut flight.submissions {
            if submission.reported || submission.deadline > now {
                continue;
            }
            submission.reported = true;
            actions.push(Action::Report {
                ticket: submission.ticket,
                outcome: Outcome::MayHaveBeenAppended,
            });
        }
        if flight
            .submissions
            .iter()
            .all(|submission| submission.reported)
        {
            self.flight = None;
        }
        actions
    }
}
