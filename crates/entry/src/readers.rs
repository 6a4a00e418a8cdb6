//! Reading the endpoint entries for many hosts: a few hosts read the store, the others ask them for
//! what has changed.
//!
//! Each of 295 hosts read every heartbeat of every endpoint from the store, and the calls were the
//! largest cost of a calm day. A reader that is asked reads the store first unless it has done so just
//! now, so that what the others learn is hardly older than with reads of their own. The heartbeats that
//! change nothing are not passed on.

use std::collections::VecDeque;

use berylknot_coordination::history::Position;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Smallest number of hosts for which readers save calls: each reader reads more often for the others.
const MIN_HOSTS: usize = 18;
/// Hosts for each reader beyond the first; it answers each of them about every second.
const HOSTS_PER_READER: usize = 64;
/// Largest number of changes that are kept for other hosts; those that lag further behind read the
/// store.
const MAX_CHANGES: usize = 1_024;

/// Number of hosts that read the store for `hosts` hosts; `None` if each reads for itself.
#[must_use]
pub fn count(hosts: usize) -> Option<usize> {
    (hosts >= MIN_HOSTS).then_some(2 + hosts / HOSTS_PER_READER)
}

/// A change of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Offset of the record in the store.
    pub offset: u64,
    /// Key of the entry.
    pub key: String,
    /// The new entry; `None` after its removal.
    pub value: Option<Bytes>,
}

/// Recent changes of the entries, in the order of their offsets in the store.
#[derive(Debug, Default)]
pub struct Changes {
    /// Offset from which on all changes are kept, in the era of `end`.
    start: u64,
    /// Position up to which the store has been read.
    end: Position,
    changes: VecDeque<Change>,
}

impl Changes {
    /// Forgets all changes after a read of the whole list as of the position `end`.
    pub fn restart(&mut self, end: Position) {
        self.changes.clear();
        (self.start, self.end) = (end.offset, end);
    }

    /// Adds what changed up to the position `end`. Changes before the known end, or of another era, are not
    /// kept again: the search for a position needs rising offsets.
    pub fn add(&mut self, end: Position, changes: impl IntoIterator<Item = Change>) {
        if end.era != self.end.era {
            return;
        }
        let known = self.end.offset;
        let changes = changes.into_iter();
        self.changes
            .extend(changes.filter(|change| change.offset >= known));
        self.end = end.max(self.end);
        while self.changes.len() > MAX_CHANGES {
            let dropped = self.changes.pop_front();
            self.start = dropped.map_or(self.end.offset, |change| change.offset + 1);
        }
    }

    /// Position up to which the store has been read.
    #[must_use]
    pub const fn end(&self) -> Position {
        self.end
    }

    /// Changes from the position `from` on; `None` if not all of them are kept, or if the store was
    /// restored in between.
    #[must_use]
    pub fn since(&self, from: Position) -> Option<Vec<Change>> {
        if from.era != self.end.era || from.offset < self.start || from.offset > self.end.offset {
            return None;
        }
        let is_before = |change: &Change| change.offset < from.offset;
        let first = self.changes.partition_point(is_before);
        Some(self.changes.range(first..).cloned().collect())
    }
}
