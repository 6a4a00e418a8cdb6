//! Ownership of shards and seats, derived from the log.
//!
//! [`Table`] is equal on all hosts; [`Holder`] adds what one host knows by its own clock.

mod holder;
mod plan;
mod table;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::record::{Id, Incarnation, Position};

pub use holder::{Holder, Timing};
pub use table::{Holding, Session, Table};

/// A part of the key space that one host owns at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Shard(u16);

impl Shard {
    /// Number of shards that keys hash to.
    pub const KEYED: usize = 256;
    /// Number of all shards.
    pub const COUNT: usize = Self::KEYED + 1;
    /// The shard whose owner has the controller role; no key hashes to it.
    pub const CONTROLLER: Self = Self(Self::KEYED as u16);

    /// Shard of a customer's name or an idempotency key's hash: the first byte of its SHA-256.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(u16::from(Sha256::digest(key)[0]))
    }

    /// All shards, the controller's last.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=Self::CONTROLLER.0).map(Self)
    }

    /// Number of the shard, below [`Shard::COUNT`] unless it was read from a damaged record.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A host's right to admit from a fixed part of each customer's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Seat(pub u16);

impl Seat {
    /// Highest number of seats.
    pub const LIMIT: u16 = 1_024;

    /// Number of seats for a fleet: a quarter more than the planned hosts and at least one more,
    /// since the seat of a dead host stays taken for an hour.
    #[must_use]
    pub fn count(planned_hosts: u16) -> u16 {
        planned_hosts
            .saturating_add(planned_hosts.div_ceil(4).max(1))
            .min(Self::LIMIT)
    }

    /// Number of the seat.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// What a lease is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Subject {
    /// A shard.
    Shard(Shard),
    /// A seat.
    Seat(Seat),
}

/// Effect of a record on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// An incarnation renewed what it holds.
    Renewed {
        /// Id of the renewal.
        id: Id,
        /// Position of the renewal.
        position: Position,
    },
    /// A subject changed its owner.
    Owner {
        /// The subject.
        subject: Subject,
        /// The new owner, if any.
        owner: Option<Incarnation>,
        /// Position of the record.
        since: Position,
        /// Id of the record.
        id: Id,
    },
}
