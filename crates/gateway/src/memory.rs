//! Memory of request bodies, shared by the threads of a gateway.
//!
//! A body claims what it may still become before it is read on. Small bodies need no claim, and those of medium
//! size have a part of their own, so a crowd that holds the memory for large bodies leaves theirs to ordinary
//! callers. A body without room is refused at once: the HTTP library reads ahead for one that waits.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bodies of up to this many bytes need no claim: less than the buffers of a connection.
pub const SMALL_BYTES: usize = 16 << 10;
/// Largest body of medium size, and first claim of a body that states no length.
pub const MEDIUM_BYTES: usize = 256 << 10;
/// Unit of the claims.
const PAGE_BYTES: usize = 1 << 10;
/// Part of the memory for bodies of medium size.
const MEDIUM_SHARE: usize = 4;

/// There is no room at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// Result of a claim.
pub type Result<T> = std::result::Result<T, Exhausted>;

/// A granted claim, which ends with its last clone.
#[derive(Clone, Debug)]
pub struct Charge {
    _permit: Arc<OwnedSemaphorePermit>,
}

/// Memory of request bodies; clones share it.
#[derive(Clone, Debug)]
pub struct Memory {
    medium: Arc<Semaphore>,
    large: Arc<Semaphore>,
}

impl Memory {
    /// Memory of `total` bytes for bodies of up to `largest` bytes; at least two of the largest have room.
    #[must_use]
    pub fn new(total: usize, largest: usize) -> Self {
        let medium = (total / MEDIUM_SHARE).max(2 * MEDIUM_BYTES);
        let large = (total - total / MEDIUM_SHARE).max(2 * largest);
        let class = |bytes| Arc::new(Semaphore::new(pages(bytes).min(Semaphore::MAX_PERMITS)));
        Self {
            medium: class(medium),
            large: class(large),
        }
    }

    /// Takes room for `bytes` more.
    ///
    /// # Errors
    /// Fails when there is none at present.
    pub fn claim(&self, bytes: usize) -> Result<Charge> {
        let class = if bytes <= MEDIUM_BYTES {
            &self.medium
        } else {
            &self.large
        };
        let pages = u32::try_from(pages(bytes)).map_err(|_| Exhausted)?;
        let permit = Arc::clone(class).try_acquire_many_owned(pages);
        Ok(Charge {
            _permit: Arc::new(permit.map_err(|_| Exhausted)?),
        })
    }
}

const fn pages(bytes: usize) -> usize {
    bytes.div_ceil(PAGE_BYTES)
}

/// What the next bytes of a body need before they are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Nothing: there is room.
    Nothing,
    /// A claim of this many bytes, instead of the one that the body has.
    Claim(usize),
    /// The body exceeds its limit.
    TooLarge,
}

/// Memory that a body needs as it grows.
#[derive(Clone, Copy, Debug)]
pub struct Growth {
    /// Stated length, or the largest allowed one.
    largest: usize,
    has_length: bool,
    /// Bytes that the body may take without a further claim.
    room: usize,
}

impl Growth {
    /// Growth of a body that states `length`, of at most `limit` bytes; `None` if it exceeds the limit.
    #[must_use]
    pub fn new(length: Option<usize>, limit: usize) -> Option<Self> {
        if length.is_some_and(|length| length > limit) {
            return None;
        }
        let is_large = length.is_some_and(|length| length > SMALL_BYTES);
        Some(Self {
            largest: length.unwrap_or(limit),
            has_length: length.is_some(),
            // A body that is known to be large claims its memory before its first bytes.
            room: if is_large { 0 } else { SMALL_BYTES },
        })
    }

    /// What is needed for the body to have `length` bytes.
    pub fn grow(&mut self, length: usize) -> Need {
        if length > self.largest {
            return Need::TooLarge;
        }
        if length <= self.room {
            return Need::Nothing;
        }
        self.room = if !self.has_length && length <= MEDIUM_BYTES {
            MEDIUM_BYTES.min(self.largest)
        } else {
            self.largest
        };
        Need::Claim(self.room)
    }
}
