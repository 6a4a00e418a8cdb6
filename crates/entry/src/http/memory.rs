//! Memory of the bodies that a host has not passed on, from the first large part of each to its last: answers
//! of endpoints, and requests of callers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use berylknot_coordination::intake::Budget;
use berylknot_coordination::memory::{self, Limits, Ticket};
use bytes::{Bytes, BytesMut};
use tokio::sync::oneshot;

use super::{Error, Result};

/// Answers of up to this many bytes need no claim: as much as a connection reads at once.
pub(crate) const SMALL_BYTES: usize = 16 * 1_024;
/// First claim of an answer that states no length; enough for nearly all of them.
pub(crate) const MEDIUM_BYTES: usize = 256 * 1_024;
/// Largest answer. Two sources can have one each at a time, which together with the medium answers leaves
/// more than half of the smallest host (88 MB) to everything else.
pub(crate) const LARGE_BYTES: usize = 8 * 1_024 * 1_024;
/// Medium answers of all sources; one source may have half, 8 answers of unknown length.
const MEDIUM: Limits = Limits {
    total: 16 * MEDIUM_BYTES,
    source: 8 * MEDIUM_BYTES,
};
/// Large answers of all sources.
const LARGE: Limits = Limits {
    total: 2 * LARGE_BYTES,
    source: LARGE_BYTES,
};

/// Claims of answers in one range of sizes, and those who wait for them.
#[derive(Debug)]
struct Class {
    claims: memory::Memory<SocketAddr>,
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
}

type Shared = Arc<Mutex<Class>>;

fn lock(class: &Shared) -> MutexGuard<'_, Class> {
    // The class holds nothing that a panic could leave half done.
    class.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Class {
    fn shared(limits: Limits) -> Shared {
        Arc::new(Mutex::new(Self {
            claims: memory::Memory::new(limits),
            waiting: HashMap::new(),
        }))
    }

    fn wake(&mut self, granted: Vec<Ticket>) {
        for ticket in granted {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // A claim that is being dropped no longer listens.
                let _ = waiting.send(());
            }
        }
    }
}

/// Memory of bodies of one direction; clones share it. A body that grows claims medium memory before large
/// memory, so bodies never wait for each other in a circle.
#[derive(Clone, Debug)]
pub(crate) struct Memory {
    medium: Shared,
    large: Shared,
    /// Largest body.
    largest: usize,
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            medium: Class::shared(MEDIUM),
            large: Class::shared(LARGE),
            largest: LARGE_BYTES,
        }
    }
}

impl Memory {
    /// Memory of the requests of callers, of which a source may have half.
    pub(crate) fn of_requests(budget: &Budget) -> Self {
        let halves = |total: usize| Limits {
            total,
            source: total / 2,
        };
        let large = halves(budget.large_bodies);
        Self {
            medium: Class::shared(halves(budget.medium_bodies.max(2 * MEDIUM_BYTES))),
            large: Class::shared(large),
            largest: large.source,
        }
    }

    /// Waits until a source may have `bytes` more.
    ///
    /// # Errors
    /// Fails when the source can never have as many.
    pub(crate) async fn claim(&self, source: SocketAddr, bytes: usize) -> Result<Charge> {
        let class = if bytes <= MEDIUM_BYTES {
            &self.medium
        } else {
            &self.large
        };
        let (charge, granted) = {
            let mut locked = lock(class);
            let ticket = locked.claims.claim(source, bytes).ok_or(Error::TooLarge)?;
            let charge = Charge {
                class: Arc::clone(class),
                ticket,
            };
            if locked.claims.is_granted(ticket) {
                return Ok(charge);
            }
            let (sender, granted) = oneshot::channel();
            locked.waiting.insert(ticket, sender);
            (charge, granted)
        };
        granted.await.map_err(|_| Error::TooLarge)?;
        Ok(charge)
    }
}

/// A claim, which ends when dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    class: Shared,
    ticket: Ticket,
}

impl Charge {
    fn shrink(&self, bytes: usize) {
        let mut class = lock(&self.class);
        let granted = class.claims.shrink(self.ticket, bytes);
        class.wake(granted);
    }

    /// Ties the claim to bytes: it ends with their last clone.
    pub(crate) fn cover(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Covered {
            bytes,
            _charge: self,
        })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut class = lock(&self.class);
        class.waiting.remove(&self.ticket);
        let granted = class.claims.release(self.ticket);
        class.wake(granted);
    }
}

struct Covered {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Covered {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is being read.
#[derive(Debug)]
pub(crate) struct Body {
    memory: Memory,
    source: SocketAddr,
    /// Stated length, or the largest allowed one.
    largest: usize,
    has_length: bool,
    bytes: BytesMut,
    /// Bytes that the body may take without a further claim.
    room: usize,
    charge: Option<Charge>,
}

impl Body {
    /// Body of an answer that states `length`, of at most `limit` bytes.
    ///
    /// # Errors
    /// Fails when the stated length exceeds the limit.
    pub(crate) fn new(
        memory: Memory,
        source: SocketAddr,
        length: Option<u64>,
        limit: usize,
    ) -> Result<Self> {
        let limit = limit.min(memory.largest);
        let stated = length.map(usize::try_from).transpose();
        let stated = stated.map_err(|_| Error::TooLarge)?;
        if stated.is_some_and(|length| length > limit) {
            return Err(Error::TooLarge);
        }
        Ok(Self {
            memory,
            source,
            largest: stated.unwrap_or(limit),
            has_length: stated.is_some(),
            bytes: BytesMut::new(),
            // A body that is known to be large claims its memory before its first bytes.
            room: if stated.is_some_and(|length| length > SMALL_BYTES) {
                0
            } else {
                SMALL_BYTES
            },
            charge: None,
        })
    }

    /// Whether more bytes would have to wait for memory first.
    pub(crate) fn needs_room(&self, bytes: usize) -> bool {
        self.bytes.len() + bytes > self.room
    }

    /// Adds received bytes; waits for memory if they need more.
    ///
    /// # Errors
    /// Fails when the body exceeds its limit.
    pub(crate) async fn push(&mut self, data: &[u8]) -> Result<()> {
        let length = self.bytes.len() + data.len();
        if length > self.largest {
            return Err(Error::TooLarge);
        }
        if length > self.room {
            let medium = !self.has_length && length <= MEDIUM_BYTES;
            let bytes = if medium {
                MEDIUM_BYTES.min(self.largest)
            } else {
                self.largest
            };
            let charge = self.memory.claim(self.source, bytes).await?;
            // One allocation: growth in steps would take up to three times the claim while it copies.
            self.bytes.reserve(bytes - self.bytes.len());
            self.charge = Some(charge);
            self.room = bytes;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// The whole body, which holds no more memory than it has bytes.
    pub(crate) fn finish(self) -> Bytes {
        let Some(charge) = self.charge else {
            return self.bytes.freeze();
        };
        if self.bytes.len() == self.room {
            return charge.cover(self.bytes.freeze());
        }
        let bytes = Bytes::copy_from_slice(&self.bytes);
        drop(self.bytes);
        charge.shrink(bytes.len());
        charge.cover(bytes)
    }
}
