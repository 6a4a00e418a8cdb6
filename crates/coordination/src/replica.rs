//! The state that every host derives from the log, in offset order.

use serde::{Deserialize, Serialize};

use crate::configuration::{Register, Verdict};
use crate::lease;
use crate::record::{Entry, Id, Position, Record};
use crate::snapshot::{self, Snapshot};
use crate::{append, claim, quarantine};

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
    /// An entry repeats a batch and was ignored.
    Duplicate(Id),
    /// An idempotency key was claimed, finished or abandoned, or the attempt to do so failed.
    Key {
        /// Id of the claim.
        id: Id,
        /// What the record did.
        verdict: claim::Verdict,
    },
    /// The entry was not applied because earlier entries are missing.
    Gap {
        /// Offset that the replica needs next.
        expected: u64,
        /// Offset of the entry.
        found: u64,
    },
}

/// State derived from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Replica {
    next_offset: u64,
    log_time_ms: u64,
    configuration: Register,
    leases: lease::Table,
    batches: append::Table,
    claims: claim::Table,
    snapshots: snapshot::Table,
    strikes: quarantine::Table,
}

impl Default for Replica {
    fn default() -> Self {
        Self {
            next_offset: Position::FIRST_OFFSET,
            log_time_ms: 0,
            configuration: Register::default(),
            leases: lease::Table::default(),
            batches: append::Table::default(),
            claims: claim::Table::default(),
            snapshots: snapshot::Table::default(),
            strikes: quarantine::Table::default(),
        }
    }
}

impl Replica {
    /// Makes an empty replica with limits other than the default ones, equal on all hosts.
    #[must_use]
    pub fn new(claims: claim::Limits) -> Self {
        Self {
            claims: claim::Table::new(claims),
            ..Self::default()
        }
    }

    /// Applies an entry; entries that were applied before have no effect.
    ///
    /// An entry after a gap is not applied, see [`Change::Gap`].
    pub fn apply(&mut self, entry: &Entry) -> Vec<Change> {
        if entry.offset < self.next_offset {
            return Vec::new();
        }
        if entry.offset > self.next_offset {
            return vec![Change::Gap {
                expected: self.next_offset,
                found: entry.offset,
            }];
        }
        self.next_offset = entry.offset + 1;
        // The log's clock may be corrected backwards; periods are measured on its highest reading.
        self.log_time_ms = self.log_time_ms.max(entry.appended_at_ms);
        let time_ms = self.log_time_ms;
        self.snapshots.record_entry(time_ms);
        self.batches.expire(time_ms);
        self.claims.expire(time_ms);
        self.strikes.forget(time_ms);
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
                Record::Batch(id) => {
                    if !self.batches.apply(*id, entry.offset, time_ms) {
                        changes.push(Change::Duplicate(*id));
                        break;
                    }
                }
                Record::Key(event) => changes.push(Change::Key {
                    id: event.id(),
                    verdict: self.claims.apply(position, time_ms, event),
                }),
                Record::Snapshot(chunk) => self.snapshots.apply(time_ms, chunk),
                Record::Strike(event) => self.strikes.apply(time_ms, event),
            }
        }
        changes
    }

    /// Whether entries that this replica needs have expired, given the oldest offset of the log.
    ///
    /// It must then restore a snapshot of the log or of a peer before it goes on.
    #[must_use]
    pub const fn is_behind(&self, oldest: u64) -> bool {
        self.next_offset < oldest
    }

    /// Encodes the whole replicated state.
    ///
    /// # Errors
    /// Fails when the state cannot be represented in MessagePack.
    pub fn snapshot(&self) -> snapshot::Result<Snapshot> {
        Ok(Snapshot {
            next_offset: self.next_offset,
            bytes: rmp_serde::to_vec_named(self)?.into(),
        })
    }

    /// Replaces the state by that of a snapshot; false when the own state is at least as new, in
    /// which case nothing changes.
    ///
    /// # Errors
    /// Fails, without a change, when the bytes are no state for the snapshot's offset.
    pub fn restore(&mut self, snapshot: &Snapshot) -> snapshot::Result<bool> {
        if snapshot.next_offset <= self.next_offset {
            return Ok(false);
        }
        let state: Self = rmp_serde::from_slice(&snapshot.bytes)?;
        if state.next_offset != snapshot.next_offset {
            return Err(snapshot::Error::Offset {
                claimed: snapshot.next_offset,
                found: state.next_offset,
            });
        }
        *self = state;
        Ok(true)
    }

    /// Approximate memory in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.configuration.size_bytes()
            + self.batches.size_bytes()
            + self.claims.size_bytes()
            + self.snapshots.size_bytes()
            + self.strikes.size_bytes()
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

    /// Highest time of an append among the applied entries, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn log_time_ms(&self) -> u64 {
        self.log_time_ms
    }

    /// Accepted configuration.
    #[must_use]
    pub const fn configuration(&self) -> &Register {
        &self.configuration
    }

    /// Last batch of each appender.
    #[must_use]
    pub const fn batches(&self) -> &append::Table {
        &self.batches
    }

    /// Snapshots in the log.
    #[must_use]
    pub const fn snapshots(&self) -> &snapshot::Table {
        &self.snapshots
    }

    /// Strikes against requests.
    #[must_use]
    pub const fn strikes(&self) -> &quarantine::Table {
        &self.strikes
    }

    /// Idempotency keys.
    #[must_use]
    pub const fn claims(&self) -> &claim::Table {
        &self.claims
    }
}
