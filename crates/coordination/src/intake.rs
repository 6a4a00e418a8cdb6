//! Ends uploads and connections that keep the memory of a host from others.
//!
//! The load is a crowd of clients that open connections and send bodies, and stop just short of the end. The
//! memory for bodies is bounded, so the crowd would hold all of it until its timeouts. An upload that has
//! stalled, or is slower than a lower bound, therefore ends when another one waits for memory, and an idle
//! connection when a new one needs its place. Nothing ends while there is room.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;

/// Time without a byte after which an upload counts as stalled. It exceeds the time in which a lost packet is
/// sent again.
pub const STALL_TIME: Duration = Duration::from_millis(1_500);
/// Age from which the pace of an upload counts.
pub const PACE_TIME: Duration = Duration::from_secs(3);
/// Lowest pace of an upload in bytes a second, while others wait for memory. The largest body of 4 MiB has
/// 10 s in any case, 25 times this pace.
pub const MIN_PACE: f64 = 16_384.0;
/// Time without a byte after which an idle connection may give way to a new one.
pub const IDLE_TIME: Duration = Duration::from_secs(1);

/// Number of an upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A body that is being received.
#[derive(Clone, Copy, Debug)]
struct Upload {
    began_at: Instant,
    received_at: Instant,
    bytes: u64,
    /// Whether it waits for memory, so that it receives nothing by itself.
    is_waiting: bool,
    /// Whether it has been told to end.
    is_ended: bool,
}

impl Upload {
    /// Time for which the upload has been too slow; `None` if it is not.
    fn overdue(&self, now: Instant) -> Option<Duration> {
        if self.is_waiting || self.is_ended {
            return None;
        }
        let silent = now.since(self.received_at);
        if silent >= STALL_TIME {
            return Some(silent);
        }
        let age = now.since(self.began_at);
        let is_slow = age >= PACE_TIME && (self.bytes as f64) < MIN_PACE * age.as_secs_f64();
        is_slow.then_some(silent)
    }
}

/// The uploads of a host.
#[derive(Clone, Debug, Default)]
pub struct Uploads {
    uploads: HashMap<Ticket, Upload>,
    last: u64,
}

impl Uploads {
    /// Adds an upload that holds memory.
    pub fn begin(&mut self, now: Instant) -> Ticket {
        self.last += 1;
        let ticket = Ticket(self.last);
        let upload = Upload {
            began_at: now,
            received_at: now,
            bytes: 0,
            is_waiting: false,
            is_ended: false,
        };
        self.uploads.insert(ticket, upload);
        ticket
    }

    /// Records received bytes.
    pub fn received(&mut self, now: Instant, ticket: Ticket, bytes: usize) {
        if let Some(upload) = self.uploads.get_mut(&ticket) {
            upload.received_at = now;
            upload.bytes += bytes as u64;
        }
    }

    /// Records that an upload begins to wait for memory.
    pub fn wait(&mut self, ticket: Ticket) {
        if let Some(upload) = self.uploads.get_mut(&ticket) {
            upload.is_waiting = true;
        }
    }

    /// Records that an upload goes on with the memory that it waited for. The wait does not count against its
    /// pace.
    pub fn go_on(&mut self, now: Instant, ticket: Ticket) {
        if let Some(upload) = self.uploads.get_mut(&ticket) {
            upload.is_waiting = false;
            upload.received_at = now;
            upload.began_at = now;
            upload.bytes = 0;
        }
    }

    /// Removes an upload.
    pub fn remove(&mut self, ticket: Ticket) {
        self.uploads.remove(&ticket);
    }

    /// The upload to end, since another one waits for memory: the one that has been too slow for longest.
    pub fn end_slowest(&mut self, now: Instant) -> Option<Ticket> {
        let overdue = self.uploads.iter();
        let overdue = overdue.filter_map(|(ticket, upload)| Some((upload.overdue(now)?, *ticket)));
        let (_, ticket) = overdue.max()?;
        if let Some(upload) = self.uploads.get_mut(&ticket) {
            upload.is_ended = true;
        }
        Some(ticket)
    }
}

/// The connection to close for a new one: the one without a request on which nothing has arrived for longest.
/// `None` if none has been idle for [`IDLE_TIME`].
pub fn idlest<K: Ord>(now: Instant, idle: impl Iterator<Item = (K, Instant)>) -> Option<K> {
    let idle = idle.map(|(key, received_at)| (now.since(received_at), key));
    let (silent, key) = idle.max()?;
    (silent >= IDLE_TIME).then_some(key)
}

/// Shares of a host's memory that its clients may use. The rest is left to answers and to the host's own
/// state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Bytes of bodies whose size is large or unknown.
    pub large_bodies: usize,
    /// Bytes of bodies of medium size.
    pub medium_bodies: usize,
    /// Connections of clients.
    pub connections: usize,
}

/// Share of the memory for large bodies, and for those of medium size.
const LARGE_SHARE: usize = 10;
const MEDIUM_SHARE: usize = 40;
/// Share of the memory for connections of clients.
const CONNECTION_SHARE: usize = 4;
/// Memory of a connection: the buffers of the HTTP library, its queue of chunks, and a small body.
const CONNECTION_BYTES: usize = 48 * 1_024;
/// Share of the descriptors for connections of clients, in percent; each may need one to an endpoint too.
const FILE_PERCENT: usize = 45;

impl Budget {
    /// Budget of a host with `memory` bytes and `files` descriptors, whose clients may send bodies of up to
    /// `largest` bytes. Two of the largest bodies always have room, so that one client leaves room for another.
    #[must_use]
    pub fn new(memory: usize, files: usize, largest: usize) -> Self {
        Self {
            large_bodies: (memory / LARGE_SHARE).max(largest.saturating_mul(2)),
            medium_bodies: memory / MEDIUM_SHARE,
            connections: (memory / CONNECTION_SHARE / CONNECTION_BYTES)
                .min(files * FILE_PERCENT / 100)
                .max(1),
        }
    }
}
