//! Records of the platform's log, which every replica applies in the same order.

use serde::{Deserialize, Serialize};

use crate::{claim, quarantine, snapshot};

/// Random number that identifies one start of a coordinator process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Unique id that an appender gives to a record, to recognise it after a lost answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Process start that appended the record.
    pub incarnation: Incarnation,
    /// Number of the record within the incarnation.
    pub sequence: u64,
}

/// Place of a record in the log: the offset of its entry and its index in the entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset in the log; the first entry has offset 1 or later, so that no position is zero.
    pub offset: u64,
    /// Time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub appended_at_ms: u64,
    /// Records of the entry, at most [`Position::RECORDS_PER_ENTRY`].
    pub records: Vec<Record>,
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum Record {
    /// Proposes a configuration.
    Publish(Publish),
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Id by which the operator's command finds the record again.
    pub id: Id,
    /// Version that the operator saw; the proposal is rejected when another is accepted by now.
    pub base_version: Position,
    /// Merged settings as JSON text.
    pub document: String,
}
