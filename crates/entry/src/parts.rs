//! Index of the prompt parts in the KV caches of engines.
//!
//! When a host fails, its callers resume their streams at other hosts within seconds, and the engines
//! still have the prompts in their KV caches. The other hosts do not know where those streams ran, so
//! they query the engines for their cached parts when a stream is resumed. Without it, repeated
//! prefills were the largest waste in runs that end with the loss of all hosts.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use serde::{Deserialize, Serialize};

use crate::directory::Key;

/// Lifetime of the index; engines evict the least recently used parts within seconds.
const INDEX_LIFETIME: Duration = Duration::from_secs(1);
/// Largest number of engines that are queried; one call each is cheap compared with a prefill, but
/// hundreds of calls delay the engines' own work.
pub const MAX_ENGINES: usize = 64;

/// Id of a part of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Part(pub u64);

impl fmt::Debug for Part {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Part({self})")
    }
}

impl fmt::Display for Part {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// A part of a prompt in an engine's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Id of the part.
    pub part: Part,
    /// Number of its tokens in the cache.
    pub tokens: u32,
}

/// Cached parts of a service's engines, indexed by part.
#[derive(Debug, Default)]
pub struct Parts {
    engines: HashMap<Part, (Key, u32)>,
    read_at: Option<Instant>,
}

impl Parts {
    /// Whether the index has to be read from the engines again.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        self.read_at
            .is_none_or(|read_at| now.since(read_at) >= INDEX_LIFETIME)
    }

    /// Replaces the index by the lists read from the engines.
    pub fn replace(
        &mut self,
        now: Instant,
        lists: impl IntoIterator<Item = (Key, Vec<CachedPart>)>,
    ) {
        self.engines.clear();
        self.read_at = Some(now);
        for (key, list) in lists {
            for cached in list {
                let known = self.engines.entry(cached.part).or_insert((key, 0));
                if cached.tokens > known.1 {
                    *known = (key, cached.tokens);
                }
            }
        }
    }

    /// The engine with the most cached tokens of a part.
    #[must_use]
    pub fn find(&self, part: Part) -> Option<Key> {
        let (key, tokens) = self.engines.get(&part)?;
        (*tokens > 0).then_some(*key)
    }
}
