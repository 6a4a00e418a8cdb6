//! Writing of snapshots to the log.

use std::collections::VecDeque;
use std::time::Duration;

use berylknot_coordination::append::{Outcome, Ticket};
use berylknot_coordination::record::{Id, Record};
use berylknot_coordination::snapshot::{self, CHUNK_BYTES, Chunk, Schedule};

use super::Core;
use crate::platform::Platform;

/// Time between two looks at the schedule.
pub(super) const INTERVAL: Duration = Duration::from_millis(500);

/// Age of the last read above which no snapshot is started, since its chunks could not be appended.
const LOG_SILENCE: Duration = Duration::from_secs(3);

/// Snapshot that this host writes.
#[derive(Debug)]
pub(super) struct Writer {
    schedule: Schedule,
    configured: Vec<String>,
    sequence: u64,
    chunks: VecDeque<Chunk>,
    /// The chunk under way. Chunks are appended one after the other, since their order counts.
    waiting: Option<Ticket>,
}

impl Writer {
    /// Makes the writer for a log with this retention.
    pub(super) fn new(retention: Duration, configured: Vec<String>) -> Self {
        Self {
            schedule: Schedule::new(retention),
            configured,
            sequence: 0,
            chunks: VecDeque::new(),
            waiting: None,
        }
    }
}

impl<P: Platform> Core<P> {
    /// Starts a snapshot when it is this host's turn.
    pub(super) fn step_snapshots(&mut self) {
        let now = self.clock.now();
        let in_force = self.published.borrow().version.as_u64() > 0;
        let writing = self.snapshots.waiting.is_some();
        if !in_force || writing || now.since(self.last_read) >= LOG_SILENCE {
            return;
        }
        let Writer {
            schedule,
            configured,
            ..
        } = &mut self.snapshots;
        let due = schedule.due(
            now,
            &self.identity.host,
            configured.iter().map(String::as_str),
            self.replica.snapshots(),
            self.replica.log_time_ms(),
        );
        if !due {
            return;
        }
        match self.cut() {
            Ok(chunks) => {
                tracing::info!(chunks = chunks.len(), "snapshots: writing");
                self.snapshots.chunks = chunks;
                self.submit_chunk();
            }
            Err(error) => tracing::error!(%error, "snapshots: cannot be written"),
        }
    }

    fn cut(&mut self) -> snapshot::Result<VecDeque<Chunk>> {
        self.snapshots.sequence += 1;
        let id = Id {
            incarnation: self.identity.incarnation,
            sequence: self.snapshots.sequence,
        };
        snapshot::split(id, &self.replica.snapshot()?, CHUNK_BYTES)
    }

    fn submit_chunk(&mut self) {
        let Some(chunk) = self.snapshots.chunks.pop_front() else {
            return;
        };
        self.snapshots.waiting = self.submit(Record::Snapshot(chunk));
        if self.snapshots.waiting.is_none() {
            self.snapshots.chunks.clear();
        }
    }

    /// Goes on to the next chunk, or gives the snapshot up when a chunk was not appended.
    pub(super) fn chunk_reported(&mut self, ticket: Ticket, outcome: Outcome) {
        if self.snapshots.waiting != Some(ticket) {
            return;
        }
        self.snapshots.waiting = None;
        if outcome != Outcome::Appended {
            tracing::warn!(fate = ?outcome, "snapshots: given up");
            self.snapshots.chunks.clear();
        }
        self.submit_chunk();
    }
}
