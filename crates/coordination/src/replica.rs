//! Replicated state machine: the state that every host derives from the log in offset order.

use serde::{Deserialize, Serialize};

use crate::configuration::{Register, Verdict};
use crate::lease;
use crate::record::{Entry, Id, Position, Record};
use crate::snapshot::{self, Snapshot};
use crate::{append, claim, quarantine};

/// Effect of an entry or a record on the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Change {
    /// A configuration proposal was accepted or rejected.
    Published {
        /// Id of the proposal.
        id: Id,
        /// Position of the proposal.
        position: Position,
        /// Whether the proposal was accepted, or why not.
        verdict: Verdict,
    },
    /// A lease was renewed or changed its owner.
    Lease(lease::Change),
    /// The entry is a duplicate of the batch with this id and was ignored.
    Duplicate(Id),
    /// A record about an idempotency key was applied or rejected.
    Key {
        /// Id of the claim.
        id: Id,
        /// Effect of the record.
        verdict: claim::Verdict,
    },
    /// The entry was not applied because earlier entries are missing.
    Gap {
        /// Offset of the next entry that the replica needs.
        expected: u64,
        /// Offset of the entry that was passed.
        found: u64,
    },
}

/// Replicated state; identical on all hosts at the same [`Replica::next_offset`].
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
    /// Creates an empty replica with the given limits, which must be equal on all hosts.
    #[must_use]
    pub fn new(claims: claim::Limits) -> Self {
        Self {
            claims: claim::Table::new(claims),
            ..Self::default()
        }
    }

    /// Applies an entry and returns its effects. An entry that was applied before has none.
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
        // The log's clock may be set back; retention is measured against its highest reading.
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

    /// Whether entries that this replica needs have expired; `oldest` is the oldest offset in the
    /// log.
    ///
    /// The replica must then restore a snapshot from the log or from a peer.
    #[must_use]
    pub const fn is_behind(&self, oldest: u64) -> bool {
        self.next_offset < oldest
    }

    /// Encodes the replicated state as a snapshot.
    ///
    /// # Errors
    /// Fails when the state cannot be represented in MessagePack.
    pub fn snapshot(&self) -> snapshot::Result<Snapshot> {
        Ok(Snapshot {
            next_offset: self.next_offset,
            bytes: rmp_serde::to_vec_named(self)?.into(),
        })
    }

    /// Replaces the state by that of a snapshot. Returns false and changes nothing when the current
    /// state is at least as new.
    ///
    /// # Errors
    /// Fails and changes nothing when the bytes cannot be decoded or contain the state for another
    /// offset.
    pub fn restore(&mut self, snapshot: &Snapshot) -> snapshot::Result<bool> {
        if snapshot.next_offset <= self.next_offset {
            return Ok(false);
        }
        let state: Self = rmp_serde::from_slice(&snapshot.bytes)?;
        if state.next_offset != snapshot.next_offset {
            return Err(snapshot::Error::OffsetMismatch {
                claimed: snapshot.next_offset,
                found: state.next_offset,
            });
        }
        *self = state;
        Ok(true)
    }

    /// Approximate memory usage in bytes, without the lease table.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.configuration.size_bytes()
            + self.batches.size_bytes()
            + self.claims.size_bytes()
            + self.snapshots.size_bytes()
            + self.strikes.size_bytes()
    }

    /// Offset of the next entry to apply.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Replicated lease table of shards and seats.
    #[must_use]
    pub const fn leases(&self) -> &lease::Table {
        &self.leases
    }

    /// Highest append time among the applied entries, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn log_time_ms(&self) -> u64 {
        self.log_time_ms
    }

    /// Replicated register of the configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> &Register {
        &self.configuration
    }

    /// Deduplication table of the appenders' batches.
    #[must_use]
    pub const fn batches(&self) -> &append::Table {
        &self.batches
    }

    /// Table of the snapshots in the log.
    #[must_use]
    pub const fn snapshots(&self) -> &snapshot::Table {
        &self.snapshots
    }

    /// Table of strikes against requests that were in flight when an endpoint crashed.
    #[must_use]
    pub const fn strikes(&self) -> &quarantine::Table {
        &self.strikes
    }

    /// Table of idempotency keys.
    #[must_use]
    pub const fn claims(&self) -> &claim::Table {
        &self.claims
    }
}
