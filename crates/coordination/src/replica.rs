//! The state that every host derives from the log, in offset order.

use crate::configuration::{Register, Verdict};
use crate::lease;
use crate::record::{Entry, Id, Position, Record};

/// Effect of a record on the derived state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Change {
    /// A configuration proposal was decided.
    Published {
        /// Id of the proposal.
        id: Id,
        /// Position of the proposal.
        position: Position,
        /// Its fate.
        verdict: Verdict,
    },
    /// A lease was renewed or changed its owner.
    Lease(lease::Change),
}

/// State derived from the log.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    next_offset: u64,
    configuration: Register,
    leases: lease::Table,
}

impl Replica {
    /// Applies an entry; entries that were applied before have no effect.
    pub fn apply(&mut self, entry: &Entry) -> Vec<Change> {
        if entry.offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = entry.offset + 1;
        let mut changes = Vec::new();
        for (index, record) in (0..=u8::MAX).zip(&entry.records) {
            let position = Position::new(entry.offset, index);
            match record {
                Record::Publish(publish) => changes.push(Change::Published {
                    id: publish.id,
                    position,
                    verdict: self.configuration.apply(position, publish),
                }),
                Record::Renew(renew) => {
                    let renewed = self.leases.renew(position, renew);
                    changes.extend(renewed.map(Change::Lease));
                }
                Record::Claim(claim) => {
                    let claimed = self.leases.claim(position, claim);
                    changes.extend(claimed.into_iter().map(Change::Lease));
                }
                Record::Release(release) => {
                    let released = self.leases.release(position, release);
                    changes.extend(released.into_iter().map(Change::Lease));
                }
            }
        }
        changes
    }

    /// Offset of the first entry that was not applied.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Owners of shards and seats.
    #[must_use]
    pub const fn leases(&self) -> &lease::Table {
        &self.leases
    }

    /// Accepted configuration.
    #[must_use]
    pub const fn configuration(&self) -> &Register {
        &self.configuration
    }
}
