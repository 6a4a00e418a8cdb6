//! Records of the platform's append-only log, which all replicas apply in the same order.

use serde::{Deserialize, Serialize};

use crate::lease::Subject;
use crate::{claim, quarantine, snapshot};

/// Identifies one run of a daemon process; increases with each restart of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Random low bits, which distinguish hosts that start in the same millisecond.
    const RANDOM_BITS: u32 = 20;

    /// Creates the incarnation of a process that starts at a Unix time in milliseconds; only the
    /// lowest 20 bits of `random` are used.
    #[must_use]
    pub const fn new(unix_ms: u64, random: u32) -> Self {
        let mask = (1 << Self::RANDOM_BITS) - 1;
        Self(unix_ms << Self::RANDOM_BITS | (random as u64 & mask))
    }
}

/// Unique record id assigned by the appender, for deduplication after a lost response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Id {
    /// Incarnation of the process that appended the record.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

/// Position of a record in the log: the offset of its entry and the index within the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Position(u64);

impl Position {
    /// Highest number of records in one entry.
    pub const RECORDS_PER_ENTRY: usize = 256;

    /// Offset of the first entry ever appended to a log.
    pub const FIRST_OFFSET: u64 = 1;

    /// Position of the record at `index` of the entry at `offset`.
    #[must_use]
    pub const fn new(offset: u64, index: u8) -> Self {
        Self(offset << 8 | index as u64)
    }

    /// Offset of the entry that contains the record.
    #[must_use]
    pub const fn offset(self) -> u64 {
        self.0 >> 8
    }

    /// The position as an integer that increases along the log; zero precedes every record.
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

/// Entry of the log, as read back.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Offset in the log, at least [`Position::FIRST_OFFSET`], so that no position is zero.
    pub offset: u64,
    /// Append time by the log's clock, in milliseconds since the Unix epoch.
    pub appended_at_ms: u64,
    /// Records in order, at most [`Position::RECORDS_PER_ENTRY`].
    pub records: Vec<Record>,
}

/// Record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Record {
    /// Proposes a configuration.
    Publish(Publish),
    /// Renews all leases of an incarnation.
    Renew(Renew),
    /// Claims shards or a seat.
    Claim(Claim),
    /// Releases shards or a seat.
    Release(Release),
    /// Header of a batch; the rest of the entry is ignored if the batch is a duplicate.
    Batch(Id),
    /// Claims, finishes or abandons an idempotency key.
    Key(claim::Event),
    /// Chunk of a snapshot of the replicated state.
    Snapshot(snapshot::Chunk),
    /// Strikes the requests that were in flight when an endpoint crashed, or clears a strike.
    Strike(quarantine::Event),
}

/// Configuration proposed by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Publish {
    /// Id by which the operator's command recognises the record when it is read back.
    pub id: Id,
    /// Version that the proposal is based on; it is rejected unless this version is in force.
    pub base_version: Position,
    /// Merged settings as a JSON document.
    pub document: String,
}

/// Renewal of all leases that the appender holds at the record's position.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Renew {
    /// Id; the renewal is ignored unless its sequence exceeds that of the incarnation's last one.
    pub id: Id,
    /// Name of the host, at most [`crate::lease::Table::HOST_BYTES`] long.
    pub host: String,
    /// Configuration version in force on the host when it sent the renewal.
    pub configuration_version: Position,
}

/// Claim of shards or a seat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// Id of the record; its incarnation is the claimer.
    pub id: Id,
    /// Each subject with the [`crate::lease::Table::last_owning`] position that the claimer read.
    /// The claim of a subject is void if the position differs, which also makes retries idempotent.
    pub subjects: Vec<(Subject, Position)>,
}

/// Release of shards or a seat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Release {
    /// Id of the record; its incarnation is the releaser.
    pub id: Id,
    /// Each subject with the fencing token of the releaser's lease. The release of a subject is
    /// void if the token differs, so that a delayed duplicate cannot end a later lease.
    pub subjects: Vec<(Subject, Position)>,
    /// Incarnation that owns the subjects from this record on, if any.
    pub successor: Option<Incarnation>,
    /// Whether the releaser is shutting down and must not get further shards.
    pub leaving: bool,
}
