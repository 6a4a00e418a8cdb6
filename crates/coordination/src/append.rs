//! Appends to the log: batching, recovery from lost responses, and deduplication on replicas.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::record::{Id, Incarnation, Position, Record};

/// Retention of an appender's deduplication state after its last batch, by the log's clock.
///
/// Connection buffers delay an append by seconds at most, so no duplicate arrives a day late.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Highest number of appenders in the deduplication table; the one with the oldest batch is evicted.
///
/// 360 hosts with 980 restarts a day make 1,340 incarnations in [`RETENTION`].
pub const MAX_APPENDERS: usize = 4_096;

/// Result of [`Appender::submit`].
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons for rejecting a record; it is then not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The queue has reached [`Limits::waiting`].
    #[error("append queue is full ({waiting} records); the record was not appended")]
    QueueFull {
        /// Queue depth in records.
        waiting: usize,
    },
    /// The record alone exceeds [`Limits::bytes`].
    #[error(
        "record of {bytes} bytes exceeds the batch limit of {limit} bytes; it was not appended"
    )]
    TooLarge {
        /// Size of the record in bytes.
        bytes: usize,
        /// Largest batch in bytes.
        limit: usize,
    },
}

/// Last batch of an appender, as stored in the deduplication table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Last {
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Offset of the entry that contains the batch.
    pub offset: u64,
    time_ms: u64,
}

/// Replicated deduplication table: the last batch of each appender.
///
/// An appender has one batch in flight and increasing sequence numbers, so one number per
/// incarnation identifies every duplicate. An abandoned batch that is appended after a later one
/// is ignored as well.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    last: BTreeMap<Incarnation, Last>,
}

impl Table {
    /// Registers the batch at `offset`; returns false if it is a duplicate or precedes the
    /// appender's last batch, and must be ignored.
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

    /// Removes appenders without a batch for [`RETENTION`] at `time_ms` of the log's clock.
    pub fn expire(&mut self, time_ms: u64) {
        let remember_ms = RETENTION.as_millis() as u64;
        self.last
            .retain(|_, last| time_ms < last.time_ms.saturating_add(remember_ms));
    }

    /// Last batch of an appender; `None` if there is none within [`RETENTION`].
    #[must_use]
    pub fn last(&self, incarnation: Incarnation) -> Option<Last> {
        self.last.get(&incarnation).copied()
    }

    /// Approximate memory usage in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.last.len() * (size_of::<Incarnation>() + size_of::<Last>()) * 2
    }
}

/// Limits of an appender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Records per batch; capped at [`Position::RECORDS_PER_ENTRY`] - 1, as the header takes one.
    pub records: usize,
    /// Largest batch in bytes.
    pub bytes: usize,
    /// Highest queue depth in records.
    pub waiting: usize,
    /// Minimum interval between two appends.
    pub interval: Duration,
}

impl Default for Limits {
    /// 255 records, 1 MiB, 4,096 queued records and 50 ms, so at most 20 appends/s per host.
    fn default() -> Self {
        Self {
            records: Position::RECORDS_PER_ENTRY - 1,
            bytes: 1 << 20,
            waiting: 4_096,
            interval: Duration::from_millis(50),
        }
    }
}

/// Handle of a submitted record, unique within its appender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Outcome of a submitted record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record is in the log. Its position must be taken from a replica: a duplicated request
    /// has two offsets, and the log may have responded with the ignored one.
    Appended,
    /// The record was never sent to the log.
    NotAppended,
    /// The record was sent, but neither reads nor retries settled by its deadline whether it was
    /// appended.
    MayHaveBeenAppended,
}

/// Action that the caller must execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append these records as one entry.
    Append {
        /// Id of the batch, for [`Appender::answered`].
        id: Id,
        /// Records of the entry; the first one is [`Record::Batch`].
        records: Vec<Record>,
    },
    /// Report the outcome to the submitter.
    Report {
        /// Handle of the submitted record.
        ticket: Ticket,
        /// Outcome of the record.
        outcome: Outcome,
    },
}

/// Response of the log to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The entry was appended.
    Appended,
    /// The call timed out, the connection failed, or the log refused the append.
    ///
    /// A refusal does not prove that nothing was appended: of a duplicated request, one copy may be
    /// refused and the other appended.
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
    Resend,
}

#[derive(Clone, Debug)]
struct Batch {
    id: Id,
    submissions: Vec<Submission>,
    stage: Stage,
}

/// Appender of one incarnation.
#[derive(Clone, Debug)]
pub struct Appender {
    incarnation: Incarnation,
    limits: Limits,
    next_ticket: u64,
    sequence: u64,
    waiting: VecDeque<Submission>,
    in_flight: Option<Batch>,
    next_append: Instant,
}

impl Appender {
    /// Creates the appender of an incarnation.
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
            in_flight: None,
            next_append: Instant::default(),
        }
    }

    /// Queues a record of `bytes` encoded bytes; its outcome is reported by `deadline` at the
    /// latest.
    ///
    /// # Errors
    /// Fails when the queue is full or the record is larger than a batch. The record is then not
    /// appended.
    pub fn submit(&mut self, record: Record, bytes: usize, deadline: Instant) -> Result<Ticket> {
        if bytes > self.limits.bytes {
            return Err(Error::TooLarge {
                bytes,
                limit: self.limits.bytes,
            });
        }
        if self.waiting.len() >= self.limits.waiting {
            return Err(Error::QueueFull {
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

    /// Reports records whose deadline has passed and sends the next batch if one is due.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.expire_submissions(now);
        if now < self.next_append {
            return actions;
        }
        if let Some(batch) = &mut self.in_flight {
            if batch.stage != Stage::Resend {
                return actions;
            }
            batch.stage = Stage::Sent;
        } else if !self.start_batch() {
            return actions;
        }
        self.next_append = now + self.limits.interval;
        if let Some(batch) = &self.in_flight {
            let records = batch.submissions.iter().map(|item| item.record.clone());
            actions.push(Action::Append {
                id: batch.id,
                records: std::iter::once(Record::Batch(batch.id))
                    .chain(records)
                    .collect(),
            });
        }
        actions
    }

    /// Processes the log's response to a batch; responses to earlier batches are ignored.
    ///
    /// The caller must pass [`Answer::Lost`] when the call times out.
    pub fn answered(&mut self, now: Instant, id: Id, answer: Answer) -> Vec<Action> {
        let Some(batch) = self.in_flight.as_mut().filter(|batch| batch.id == id) else {
            return Vec::new();
        };
        match answer {
            Answer::Appended => self.complete(),
            Answer::Lost => {
                batch.stage = Stage::Lost(now);
                Vec::new()
            }
        }
    }

    /// Records that the replica has applied the log up to the tail returned by a read that was sent
    /// at `read_sent`. `table` is the replica's state after that.
    ///
    /// A batch that the read did not return, and whose response was lost before the read was sent,
    /// is resent once. The first copy may still be in transit; replicas then ignore the later one.
    pub fn reached_tail(&mut self, read_sent: Instant, table: &Table) -> Vec<Action> {
        let actions = self.observe(table);
        if let Some(batch) = &mut self.in_flight
            && let Stage::Lost(at) = batch.stage
            && read_sent >= at
        {
            batch.stage = Stage::Resend;
        }
        actions
    }

    /// Completes the batch in flight if the replica's state contains it; call this after entries or
    /// a snapshot were applied.
    pub fn observe(&mut self, table: &Table) -> Vec<Action> {
        let last = table.last(self.incarnation);
        match (&self.in_flight, last) {
            (Some(batch), Some(last)) if batch.id.sequence == last.sequence => self.complete(),
            _ => Vec::new(),
        }
    }

    /// Queue depth in records, without the batch in flight.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty and no batch is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    fn start_batch(&mut self) -> bool {
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
        self.in_flight = Some(Batch {
            id: Id {
                incarnation: self.incarnation,
                sequence: self.sequence,
            },
            submissions,
            stage: Stage::Sent,
        });
        true
    }

    fn complete(&mut self) -> Vec<Action> {
        let Some(batch) = self.in_flight.take() else {
            return Vec::new();
        };
        let unreported = batch.submissions.iter().filter(|item| !item.reported);
        unreported
            .map(|submission| Action::Report {
                ticket: submission.ticket,
                outcome: Outcome::Appended,
            })
            .collect()
    }

    fn expire_submissions(&mut self, now: Instant) -> Vec<Action> {
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
        let Some(batch) = &mut self.in_flight else {
            return actions;
        };
        for submission in &mut batch.submissions {
            if submission.reported || submission.deadline > now {
                continue;
            }
            submission.reported = true;
            actions.push(Action::Report {
                ticket: submission.ticket,
                outcome: Outcome::MayHaveBeenAppended,
            });
        }
        if batch
            .submissions
            .iter()
            .all(|submission| submission.reported)
        {
            self.in_flight = None;
        }
        actions
    }
}
