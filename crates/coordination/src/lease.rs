//! Leases on shards and seats, derived from the log.
//!
//! [`Table`] is the replicated ownership state, identical on all hosts. [`Holder`] decides lease
//! validity and expiry on one host by its local clock.

mod holder;
mod plan;
mod table;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::record::{Id, Incarnation, Position};

pub use holder::{Holder, Timing};
pub use table::{Holding, Session, Table};

/// Partition of the key space; at most one host owns it at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Shard(u16);

impl Shard {
    /// Number of shards in the key space, without [`Shard::CONTROLLER`].
    pub const KEYED: usize = 256;
    /// Number of shards including [`Shard::CONTROLLER`].
    pub const COUNT: usize = Self::KEYED + 1;
    /// The shard whose owner has the controller role; no key hashes to it.
    pub const CONTROLLER: Self = Self(Self::KEYED as u16);

    /// Maps a customer name or the hash of an idempotency key to its shard: the first byte of its
    /// SHA-256.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(u16::from(Sha256::digest(key)[0]))
    }

    /// Iterates over all shards; [`Shard::CONTROLLER`] comes last.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=Self::CONTROLLER.0).map(Self)
    }

    /// Zero-based index, below [`Shard::COUNT`] unless the shard was decoded from a corrupt record.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Leased right of a host to admit requests against a fixed share of each customer's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Seat(pub u16);

impl Seat {
    /// Highest number of seats.
    pub const LIMIT: u16 = 1_024;

    /// Number of seats for a fleet: the planned hosts plus a quarter more, at least one, since a
    /// dead host keeps its seat until the one-hour lease expires. Capped at [`Seat::LIMIT`].
    #[must_use]
    pub fn count(planned_hosts: u16) -> u16 {
        planned_hosts
            .saturating_add(planned_hosts.div_ceil(4).max(1))
            .min(Self::LIMIT)
    }

    /// Zero-based index, below [`Seat::LIMIT`] unless the seat was decoded from a corrupt record.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Resource that a lease covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Subject {
    /// Partition of the key space, under [`Timing::shard_lease`].
    Shard(Shard),
    /// Share of each customer's rate, under [`Timing::seat_lease`].
    Seat(Seat),
}

/// Change of the lease table caused by a record of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// An incarnation renewed all leases that it holds.
    Renewed {
        /// Id of the renewal.
        id: Id,
        /// Position of the renewal.
        position: Position,
    },
    /// The owner of a subject changed by a claim or a release.
    Owner {
        /// Shard or seat whose owner changed.
        subject: Subject,
        /// New owner; `None` after a release without a successor.
        owner: Option<Incarnation>,
        /// Position of the claim or release; fencing token of the new owner.
        since: Position,
        /// Id of the claim or release.
        id: Id,
    },
}
