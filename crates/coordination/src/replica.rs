//! The state that every host derives from the log, in offset order.

use crate::configuration::{Register, Verdict};
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
}

/// State derived from the log.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    next_offset: u64,
    configuration: Register,
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
            }
        }
        changes
    }

    /// Offset of the first entry that was not applied.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Accepted configuration.
    #[must_use]
    pub const fn configuration(&self) -> &Register {
        &self.configuration
    }
}
