//! Records of the platform's log, which every replica applies in the same order.

use serde::{Deserialize, Serialize};

use crate::lease::Subject;
use crate::{claim, quarantine, snapshot};

/// Number that identifies one start of a daemon process; a later start of a host has a higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Random bits that keep apart two hosts that start in the same millisecond.
    const RANDOM_BITS: u32 = 20;

    /// Makes the incarnation of a process that starts at a Unix time in milliseconds.
    #[must_use]
    pub const fn new(unix_ms: u64, random: u32) -> Self {
        let mask = (1 << Self::RANDOM_BITS) - 1;
        Self(unix_ms << Self::RANDOM_BITS | (random as u64 & mask))
    }
}

/// Unique id that an appender gives to a record, to recognise it after a lost answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id {
    /// Process start that appended the record.
    pub incarnation: Incarnation,
    /// Number of the record within the incarnation.
    pub sequence: u64,
}

/// Place of a record in the log: the offset of its entry and its index in the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Position(u64);

impl Position {
    /// Highest number of records in one entry.
    pub const RECORDS_PER_ENTRY: usize = 256;

    /// Offset of the first entry of a log from which nothing has expired.
    pub const FIRST_OFFSET: u64 = 1;

    /// Position of the record at `index` of the entry at `offset`.
    #[must_use]
    pub const fn new(offset: u64, index: u8) -> Self {
        Self(offset << 8 | index as u64)
    }

    /// Offset of the entry.
    #[must_use]
    pub const fn offset(self) -> u64 {
        self.0 >> 8
    }

    /// The position as one number, increasing along the log. Zero comes before every record.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Restores a position from [`Position::as_u64`].
    #[must_use]
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }
}

/// An entry of the log, as read back.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Offset in the log; the first entry has offset 1 or later, so that no position is zero.
    pub offset: u64,
    /// Time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub appended_at_ms: u64,
    /// Records of the entry, at most [`Position::RECORDS_PER_ENTRY`].
    pub records: Vec<Record>,
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Record {
    /// Proposes a configuration.
    Publish(Publish),
    /// Renews everything that a host holds.
    Renew(Renew),
    /// Takes shards or a seat.
    Claim(Claim),
    /// Gives up shards or a seat.
    Release(Release),
    /// First record of a batch; the rest of the entry is ignored when the batch is a duplicate.
    Batch(Id),
    /// Claims, finishes or abandons an idempotency key.
    Key(claim::Event),
    /// Part of a snapshot of the replicated state.
    Snapshot(snapshot::Chunk),
    /// Strikes requests that were in flight when an endpoint crashed, or clears one.
    Strike(quarantine::Event),
}

/// Proposal of a configuration by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Publish {
    /// Id by which the operator's command finds the record again.
    pub id: Id,
    /// Version that the operator saw; the proposal is rejected when another is accepted by now.
    pub base_version: Position,
    /// Merged settings as JSON text.
    pub document: String,
}

/// Renewal of the seat and all shards that the appender holds at the record's position.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Renew {
    /// Id; a renewal is ignored unless its sequence exceeds that of the incarnation's last one.
    pub id: Id,
    /// Name of the host.
    pub host: String,
    /// Configuration that was in force on the host when it sent the renewal.
    pub configuration_version: Position,
}

/// Claim of shards or a seat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// Id of the record; the claimer is its incarnation.
    pub id: Id,
    /// Each subject with the position of its last owning record, as the claimer read it. The claim
    /// of a subject is void when the position differs, which also makes a repetition harmless.
    pub subjects: Vec<(Subject, Position)>,
}

/// Release of shards or a seat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Release {
    /// Id of the record; the releaser is its incarnation.
    pub id: Id,
    /// Each subject with the position from which the releaser held it. The release of a subject is
    /// void when the position differs, so that a late copy cannot end a later holding.
    pub subjects: Vec<(Subject, Position)>,
    /// Incarnation that holds the subjects from this record on, if any.
    pub successor: Option<Incarnation>,
    /// Whether the releaser is shutting down and takes no more shards.
    pub leaving: bool,
}
