//! Which engine keeps the parts of a prompt.
//!
//! Answers the loss of hosts in mid-stream: their callers come back within seconds with the same
//! prompts, and the engines that read these keep them still. No host knows where a stream of a lost
//! one ran, so the engines are asked what they keep when a caller goes on with a stream. Reading such
//! prompts again was the largest waste of days that end with the loss of all hosts.

use std::collections::HashMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use serde::{Deserialize, Serialize};

use crate::directory::Key;

/// Time for which a list is used; engines drop the least recently used parts within seconds.
const LIFETIME: Duration = Duration::from_secs(1);
/// Engines of a service up to which their lists are read; one call each is cheap against a prompt, but
/// hundreds delay the engines' own work.
pub const MAX_ENGINES: usize = 64;

/// Number of a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Part(pub u64);

/// A part of a prompt at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Part.
    pub part: Part,
    /// Its tokens that are kept.
    pub tokens: u32,
}

/// Parts that the engines of a service keep.
#[derive(Debug, Default)]
pub struct Parts {
    engines: HashMap<Part, (Key, u32)>,
    listed: Option<Instant>,
}

impl Parts {
    /// Whether the lists are too old to be used.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        self.listed
            .is_none_or(|listed| now.since(listed) >= LIFETIME)
    }

    /// Replaces what is known by new lists.
    pub fn replace(
        &mut self,
        now: Instant,
        lists: impl IntoIterator<Item = (Key, Vec<CachedPart>)>,
    ) {
        self.engines.clear();
        self.listed = Some(now);
        for (key, list) in lists {
            for kept in list {
                let known = self.engines.entry(kept.part).or_insert((key, 0));
                if kept.tokens > known.1 {
                    *known = (key, kept.tokens);
                }
            }
        }
    }

    /// The engine that keeps most of a part.
    #[must_use]
    pub fn find(&self, part: Part) -> Option<Key> {
        let (key, tokens) = self.engines.get(&part)?;
        (*tokens > 0).then_some(*key)
    }
}
