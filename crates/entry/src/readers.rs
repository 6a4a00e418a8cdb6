//! Reading the endpoint entries for many hosts: a few hosts read the store, the others ask them for
//! what has changed.
//!
//! Each of 295 hosts read every heartbeat of every endpoint from the store, and the calls were the
//! largest cost of a calm day. A reader that is asked reads the store first unless it has done so just
//! now, so that what the others learn is hardly older than with reads of their own. The heartbeats that
//! change nothing are not passed on.

use std::collections::VecDeque;

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
    /// Offset from which on all changes are kept.
    start: u64,
    /// Offset up to which the store has been read.
    end: u64,
    changes: VecDeque<Change>,
}

impl Changes {
    /// Forgets all changes after a read of the whole list as of the offset `end`.
    pub fn restart(&mut self, end: u64) {
        self.changes.clear();
        (self.start, self.end) = (end, end);
    }

    /// Adds what changed up to the offset `end`.
    pub fn add(&mut self, end: u64, changes: impl IntoIterator<Item = Change>) {
        self.end = end.max(self.end);
        self.changes.extend(changes);
        while self.changes.len() > MAX_CHANGES {
            let dropped = self.changes.pop_front();
            self.start = dropped.map_or(self.end, |change| change.offset + 1);
        }
    }

    /// Offset up to which the store has been read.
    #[must_use]
    pub const fn end(&self) -> u64 {
        self.end
    }

    /// Changes from the offset `from` on; `None` if not all of them are kept.
    #[must_use]
    pub fn since(&self, from: u64) -> Option<Vec<Change>> {
        if from < self.start || from > self.end {
            return None;
        }
        let first = self.changes.partition_point(|change| change.offset < from);
        Some(self.changes.range(first..).cloned().collect())
    }
}
