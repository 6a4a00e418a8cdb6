//! What engines probably still hold of the prompts that they have read, and what a request saves by it.
//!
//! The host that assigns prompts to engines remembers which parts it has sent where. An engine drops the parts
//! that were used longest ago when it needs the memory, so a part counts as held while the parts that followed it
//! leave room for it. The saved reading is weighed against the wait for each request: a busy engine that holds a
//! prompt loses against an idle one as soon as the wait is longer than the reading.
//!
//! The knowledge is a guess that costs little when it is wrong, so it is neither shared nor stored: a new host
//! in that role starts with none, and an engine that lacks a part reads it.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Instant;

/// Time for which a part counts as held, whatever room there is.
const MAX_AGE: Duration = Duration::from_secs(20);
/// Share of an engine's memory that parts of finished prompts keep; running requests use the rest.
const KEPT_SHARE: f64 = 0.5;
/// Largest number of parts that are remembered of an engine.
const MAX_PARTS: usize = 256;
/// Share of the saved reading that counts, since the guess may be wrong.
const TRUST: f64 = 0.8;

/// A part of a prompt with its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part<P> {
    /// Id of the part.
    pub id: P,
    /// Tokens.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct Held<P> {
    part: Part<P>,
    used_at: Instant,
}

/// Parts that each engine has read, the least recently used first.
#[derive(Clone, Debug)]
pub struct Prefixes<K, P> {
    engines: HashMap<K, VecDeque<Held<P>>>,
}

impl<K, P> Default for Prefixes<K, P> {
    fn default() -> Self {
        Self {
            engines: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash, P: Copy + Eq> Prefixes<K, P> {
    /// Records that an engine with memory for `capacity` tokens reads a prompt.
    pub fn read(&mut self, now: Instant, engine: K, prompt: &[Part<P>], capacity: u32) {
        let held = self.engines.entry(engine).or_default();
        for part in prompt {
            held.retain(|known| known.part.id != part.id);
            held.push_back(Held {
                part: *part,
                used_at: now,
            });
        }
        let room = (f64::from(capacity) * KEPT_SHARE) as u64;
        let tokens = |held: &VecDeque<Held<P>>| -> u64 {
            held.iter().map(|held| u64::from(held.part.tokens)).sum()
        };
        while held.len() > MAX_PARTS || (held.len() > 1 && tokens(held) > room) {
            held.pop_front();
        }
    }

    /// Tokens of a prompt that an engine need not read: those of the first parts that it holds.
    #[must_use]
    pub fn held(&self, now: Instant, engine: K, prompt: &[Part<P>]) -> u32 {
        let Some(held) = self.engines.get(&engine) else {
            return 0;
        };
        let is_held = |part: &&Part<P>| {
            held.iter()
                .any(|known| known.part.id == part.id && now.since(known.used_at) < MAX_AGE)
        };
        prompt
            .iter()
            .take_while(is_held)
            .fold(0, |sum: u32, part| sum.saturating_add(part.tokens))
    }

    /// Forgets an engine that has left, restarted or changed its stage.
    pub fn remove(&mut self, engine: K) {
        self.engines.remove(&engine);
    }

    /// Forgets what no longer counts as held.
    pub fn expire(&mut self, now: Instant) {
        self.engines.retain(|_, held| {
            held.retain(|held| now.since(held.used_at) < MAX_AGE);
            !held.is_empty()
        });
    }
}

/// Time that held tokens save, of which a token takes `ms_per_token` to read, in milliseconds.
#[must_use]
pub fn saved_ms(held: u32, ms_per_token: f64) -> f64 {
    f64::from(held) * ms_per_token * TRUST
}
