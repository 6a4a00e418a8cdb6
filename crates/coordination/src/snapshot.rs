//! Snapshots of the replicated state in the log, and catch-up of hosts that lack log entries.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::clock::Instant;
use crate::record::{Entry, Id, Record};

/// Largest chunk in bytes; it fits into a batch of 1 MiB in any encoding.
pub const CHUNK_BYTES: usize = 256 << 10;

/// Largest snapshot in bytes: enough for 16 MiB of idempotency keys, 4 MiB of configuration and the
/// small tables.
pub const MAX_BYTES: usize = 32 << 20;

/// Highest number of incomplete snapshots that are tracked; the oldest one is dropped.
pub const MAX_OPEN: usize = 2;

/// Timeout after which the next host in the schedule takes over writing a due snapshot.
pub const TURN_TIMEOUT: Duration = Duration::from_secs(10);

/// Snapshots per retention period of the log: one is due after this fraction of the retention.
pub const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// Result of snapshot operations.
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons for failing to write or restore a snapshot.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The state cannot be represented in MessagePack.
    #[error("snapshot cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes do not contain a state of this or an adjacent release.
    #[error("snapshot cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The state exceeds [`MAX_BYTES`] or needs more than [`u16::MAX`] chunks.
    #[error("snapshot of {bytes} bytes exceeds the size or chunk limit; it was not written")]
    TooLarge {
        /// Size of the encoded state in bytes.
        bytes: usize,
    },
    /// The encoded state is for another offset than the snapshot states.
    #[error("snapshot for offset {claimed} contains state for offset {found}; it was not restored")]
    OffsetMismatch {
        /// Offset in the snapshot's header.
        claimed: u64,
        /// Offset in the decoded state.
        found: u64,
    },
}

/// Encoded replicated state up to an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset of the first entry that the state does not contain.
    pub next_offset: u64,
    /// Replicated state, encoded in MessagePack.
    pub bytes: Bytes,
}

/// Chunk of a snapshot in the log. Chunks of a snapshot are appended in index order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Chunk {
    /// Id shared by all chunks of the snapshot.
    pub id: Id,
    /// Offset of the first entry that the snapshot does not contain.
    pub next_offset: u64,
    /// Zero-based index of the chunk.
    pub index: u16,
    /// Number of chunks in the snapshot.
    pub count: u16,
    /// SHA-256 of the whole snapshot.
    pub digest: [u8; 32],
    /// Bytes of this chunk, at most [`CHUNK_BYTES`].
    pub bytes: Bytes,
}

/// Splits a snapshot into chunks for the log, of at most `chunk_bytes` and [`CHUNK_BYTES`] bytes.
///
/// # Errors
/// Fails when the snapshot exceeds [`MAX_BYTES`] or would need more than [`u16::MAX`] chunks.
pub fn split(id: Id, snapshot: &Snapshot, chunk_bytes: usize) -> Result<VecDeque<Chunk>> {
    let bytes = snapshot.bytes.len();
    let chunk_bytes = chunk_bytes.clamp(1, CHUNK_BYTES);
    let count = u16::try_from(bytes.div_ceil(chunk_bytes)).ok();
    let Some(count) = count.filter(|_| bytes <= MAX_BYTES) else {
        return Err(Error::TooLarge { bytes });
    };
    let digest = Sha256::digest(&snapshot.bytes).into();
    let chunks = (0..count).zip(snapshot.bytes.chunks(chunk_bytes));
    let chunks = chunks
        .map(|(index, bytes)| Chunk {
            id,
            next_offset: snapshot.next_offset,
            index,
            count,
            digest,
            bytes: Bytes::copy_from_slice(bytes),
        })
        .collect();
    Ok(chunks)
}

/// Replicated table of the snapshots in the log, by which hosts agree when the next one is due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    open: VecDeque<Progress>,
    chunks: u64,
    latest: Latest,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Progress {
    id: Id,
    next_index: u16,
}

/// Latest complete snapshot in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Latest {
    /// Offset of the first entry that the snapshot does not contain; zero without a snapshot.
    pub next_offset: u64,
    /// Append time of the last chunk; without a snapshot, of the first entry.
    pub time_ms: u64,
}

impl Table {
    /// Records the append time of an entry; until the first snapshot, the first entry's time counts.
    pub fn record_entry(&mut self, time_ms: u64) {
        if self.latest == Latest::default() {
            self.latest.time_ms = time_ms;
        }
    }

    /// Records a chunk that was appended at `time_ms`.
    pub fn apply(&mut self, time_ms: u64, chunk: &Chunk) {
        self.chunks += 1;
        if chunk.index == 0 {
            self.open.retain(|open| open.id != chunk.id);
            self.open.push_back(Progress {
                id: chunk.id,
                next_index: 0,
            });
            if self.open.len() > MAX_OPEN {
                self.open.pop_front();
            }
        }
        let Some(at) = self.open.iter().position(|open| open.id == chunk.id) else {
            return;
        };
        if self.open[at].next_index != chunk.index {
            return;
        }
        self.open[at].next_index += 1;
        if self.open[at].next_index < chunk.count {
            return;
        }
        self.open.remove(at);
        if chunk.next_offset > self.latest.next_offset {
            self.latest = Latest {
                next_offset: chunk.next_offset,
                time_ms,
            };
        }
    }

    /// Latest complete snapshot; the default value when there is none.
    #[must_use]
    pub const fn latest(&self) -> Latest {
        self.latest
    }

    /// Approximate memory usage in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        size_of::<Self>() + self.open.len() * size_of::<Progress>()
    }
}

/// Schedules the snapshots of this host.
///
/// A snapshot is due when a quarter of the retention has passed since the latest one by the log's
/// clock. Hosts are ranked by a hash of host name and latest snapshot; each waits [`TURN_TIMEOUT`]
/// by its local clock for every host of lower rank, and once more while another host's snapshot is
/// incomplete. New chunks restart the wait.
#[derive(Clone, Debug)]
pub struct Schedule {
    retention: Duration,
    seen: Option<(Latest, u64, Instant)>,
    not_before: Instant,
}

impl Schedule {
    /// Creates the schedule for a log with this retention.
    #[must_use]
    pub const fn new(retention: Duration) -> Self {
        Self {
            retention,
            seen: None,
            not_before: Instant::from_millis(0),
        }
    }

    /// Whether this host must write a snapshot now. `hosts` are the configured or live hosts.
    ///
    /// Call this only while no snapshot is being written. After it returns true, it does not do so
    /// again for [`TURN_TIMEOUT`], so that the host can read its own chunks back.
    pub fn due<'a>(
        &mut self,
        now: Instant,
        host: &str,
        hosts: impl IntoIterator<Item = &'a str>,
        table: &Table,
        log_time_ms: u64,
    ) -> bool {
        let age_ms = u128::from(log_time_ms.saturating_sub(table.latest.time_ms));
        if age_ms * u128::from(SNAPSHOTS_PER_RETENTION) < self.retention.as_millis() {
            self.seen = None;
            return false;
        }
        let since = match self.seen {
            Some((latest, chunks, since)) if (latest, chunks) == (table.latest, table.chunks) => {
                since
            }
            _ => {
                self.seen = Some((table.latest, table.chunks, now));
                now
            }
        };
        let own = rank(host, table.latest);
        let hosts_before = hosts
            .into_iter()
            .filter(|other| rank(other, table.latest) < own)
            .count();
        // Wait one more turn while another host may still be writing its snapshot.
        let turns = hosts_before + usize::from(!table.open.is_empty());
        let turns = u32::try_from(turns).unwrap_or(u32::MAX);
        let due = now >= self.not_before && now.since(since) >= TURN_TIMEOUT.saturating_mul(turns);
        if due {
            self.not_before = now + TURN_TIMEOUT;
        }
        due
    }
}

fn rank(host: &str, latest: Latest) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(latest.next_offset.to_be_bytes());
    hash.update(host.as_bytes());
    hash.finalize().into()
}

/// Assembles snapshots from log entries, for a host that lacks expired entries.
///
/// Pass it all entries from the oldest one to the tail, restore the best snapshot, and continue
/// reading at its [`Snapshot::next_offset`].
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    open: BTreeMap<Id, (u64, Vec<u8>, u16)>,
    best: Option<Snapshot>,
}

impl Assembler {
    /// Processes the next entry.
    pub fn read(&mut self, entry: &Entry) {
        for record in &entry.records {
            if let Record::Snapshot(chunk) = record {
                self.add_chunk(entry.offset, chunk);
            }
        }
    }

    /// Most recent complete snapshot; `None` if there is none or if entries after it have expired.
    /// `oldest` is the oldest offset in the log.
    #[must_use]
    pub fn best(self, oldest: u64) -> Option<Snapshot> {
        self.best.filter(|best| best.next_offset >= oldest)
    }

    fn add_chunk(&mut self, offset: u64, chunk: &Chunk) {
        let known = self.best.as_ref().map_or(0, |best| best.next_offset);
        if chunk.next_offset <= known {
            return;
        }
        if chunk.index == 0 {
            if !self.open.contains_key(&chunk.id) && self.open.len() >= MAX_OPEN {
                let first = self.open.iter().min_by_key(|(_, open)| open.0);
                if let Some(id) = first.map(|(id, _)| *id) {
                    self.open.remove(&id);
                }
            }
            self.open.insert(chunk.id, (offset, Vec::new(), 0));
        }
        let Some((_, bytes, next_index)) = self.open.get_mut(&chunk.id) else {
            return;
        };
        if *next_index != chunk.index || bytes.len() + chunk.bytes.len() > MAX_BYTES {
            return;
        }
        bytes.extend_from_slice(&chunk.bytes);
        *next_index += 1;
        if *next_index < chunk.count {
            return;
        }
        let Some((_, bytes, _)) = self.open.remove(&chunk.id) else {
            return;
        };
        if <[u8; 32]>::from(Sha256::digest(&bytes)) == chunk.digest {
            self.best = Some(Snapshot {
                next_offset: chunk.next_offset,
                bytes: bytes.into(),
            });
        }
    }
}

/// Replication backlog: the last applied entries, from which peers catch up when the log is slow.
#[derive(Clone, Debug)]
pub struct Backlog {
    entries: VecDeque<(Entry, usize)>,
    bytes: usize,
    max_bytes: usize,
}

impl Backlog {
    /// Creates an empty backlog that retains at most `max_bytes` of encoded entries.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Adds an entry of `bytes` encoded bytes that the local replica has just applied, and evicts
    /// the oldest entries above the limit.
    pub fn push(&mut self, entry: Entry, bytes: usize) {
        self.bytes += bytes;
        self.entries.push_back((entry, bytes));
        while self.bytes > self.max_bytes {
            let Some((_, bytes)) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= bytes;
        }
    }

    /// Entries from an offset on; `None` if some were evicted and the peer needs a snapshot of the
    /// replica instead.
    pub fn from(&self, offset: u64) -> Option<impl Iterator<Item = &Entry>> {
        let first = self.entries.front()?.0.offset;
        (first <= offset).then(|| {
            let entries = self.entries.iter().map(|(entry, _)| entry);
            entries.filter(move |entry| entry.offset >= offset)
        })
    }

    /// Removes all entries; call it after the local replica has restored a snapshot.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }
}
