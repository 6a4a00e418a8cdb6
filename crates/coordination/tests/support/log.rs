//! In-memory model of the platform's log.

use std::collections::VecDeque;

use berylknot_coordination::record::{Entry, Record};

pub(crate) struct Log {
    entries: VecDeque<Entry>,
    next: u64,
    retention_ms: u64,
}

pub(crate) struct Read {
    pub(crate) entries: Vec<Entry>,
    pub(crate) oldest: u64,
}

impl Log {
    pub(crate) fn new(retention_ms: u64) -> Self {
        Self {
            entries: VecDeque::new(),
            next: 1,
            retention_ms,
        }
    }

    /// Appends an entry, drops entries past their retention and returns the new entry's offset.
    pub(crate) fn append(&mut self, now_ms: u64, records: Vec<Record>) -> u64 {
        let offset = self.next;
        self.next += 1;
        self.entries.push_back(Entry {
            offset,
            appended_at_ms: now_ms,
            records,
        });
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.appended_at_ms + self.retention_ms < now_ms)
        {
            self.entries.pop_front();
        }
        offset
    }

    /// Reads the retained entries from an offset up to the tail, and the oldest retained offset.
    pub(crate) fn read(&self, from: u64) -> Read {
        let entries = self.entries.iter().filter(|entry| entry.offset >= from);
        Read {
            entries: entries.cloned().collect(),
            oldest: self.entries.front().map_or(self.next, |entry| entry.offset),
        }
    }
}
