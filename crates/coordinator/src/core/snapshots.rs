//! Writes snapshots of the replica to the log, in chunks.

use std::collections::VecDeque;
use std::time::Duration;

use berylknot_coordination::append::{Outcome, Ticket};
use berylknot_coordination::record::{Id, Record};
use berylknot_coordination::snapshot::{self, CHUNK_BYTES, Chunk, Schedule};

use super::Core;
use crate::platform::Platform;

/// Interval at which the schedule is checked.
pub(super) const INTERVAL: Duration = Duration::from_millis(500);

/// Staleness of the log, as age of the last successful read, from which no snapshot is started: its
/// chunks could not be appended.
const MAX_LOG_STALENESS: Duration = Duration::from_secs(3);

/// State of the snapshot writer.
#[derive(Debug)]
pub(super) struct Writer {
    schedule: Schedule,
    configured: Vec<String>,
    sequence: u64,
    /// Chunks of the current snapshot that are still to be submitted.
    chunks: VecDeque<Chunk>,
    /// Chunk in flight. Chunks are appended one at a time, since their order matters.
    in_flight: Option<Ticket>,
}

impl Writer {
    /// Makes the writer; the retention of the log sets its schedule.
    pub(super) fn new(retention: Duration, configured: Vec<String>) -> Self {
        Self {
            schedule: Schedule::new(retention),
            configured,
            sequence: 0,
            chunks: VecDeque::new(),
            in_flight: None,
        }
    }
}

impl<P: Platform> Core<P> {
    /// Starts a snapshot when the schedule assigns one to this host.
    pub(super) fn step_snapshots(&mut self) {
        let now = self.clock.now();
        let in_force = self.published.borrow().version.as_u64() > 0;
        let writing = self.snapshots.in_flight.is_some();
        if !in_force || writing || now.since(self.last_read) >= MAX_LOG_STALENESS {
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
        match self.split_snapshot() {
            Ok(chunks) => {
                tracing::info!(
                    chunks = chunks.len(),
                    "snapshots: writing a snapshot to the log"
                );
                self.snapshots.chunks = chunks;
                self.submit_chunk();
            }
            Err(error) => tracing::error!(%error, "snapshots: snapshot could not be encoded"),
        }
    }

    /// Encodes the replica's state and splits it into chunks.
    fn split_snapshot(&mut self) -> snapshot::Result<VecDeque<Chunk>> {
        self.snapshots.sequence += 1;
        let id = Id {
            incarnation: self.identity.incarnation,
            sequence: self.snapshots.sequence,
        };
        snapshot::split(id, &self.replica.snapshot()?, CHUNK_BYTES)
    }

    /// Queues the next chunk, or abandons the snapshot if the append queue rejects it.
    fn submit_chunk(&mut self) {
        let Some(chunk) = self.snapshots.chunks.pop_front() else {
            return;
        };
        self.snapshots.in_flight = self.submit(Record::Snapshot(chunk));
        if self.snapshots.in_flight.is_none() {
            self.snapshots.chunks.clear();
        }
    }

    /// Continues with the next chunk, or abandons the snapshot if the last one was not appended.
    pub(super) fn record_chunk_outcome(&mut self, ticket: Ticket, outcome: Outcome) {
        if self.snapshots.in_flight != Some(ticket) {
            return;
        }
        self.snapshots.in_flight = None;
        if outcome != Outcome::Appended {
            tracing::warn!(
                fate = ?outcome,
                "snapshots: chunk was not confirmed in the log; abandoning the snapshot"
            );
            self.snapshots.chunks.clear();
        }
        self.submit_chunk();
    }
}
