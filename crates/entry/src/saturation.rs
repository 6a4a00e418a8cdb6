//! Engines that refuse work although the forecast has room for it.
//!
//! The forecast is wrong when an engine holds memory that no host reported, is under an order, or has
//! less capacity than configured. In a burst one such engine refused 123 requests in a row, since it
//! looked emptier than all others. A refusal therefore bounds what the engine gets for a while: it
//! gets no more than it held then. Smaller or later requests still fit as its requests end.

use std::collections::HashMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::directory::Key;

/// Duration of the bound after a first refusal.
const FIRST_BOUND: Duration = Duration::from_millis(500);
/// Longest duration of the bound, which doubles with each refusal that follows soon.
const LONGEST_BOUND: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug)]
struct Bound {
    tokens: u64,
    until: Instant,
    duration: Duration,
}

/// Bounds of the engines that have refused work.
#[derive(Debug, Default)]
pub struct Saturation {
    bounds: HashMap<Key, Bound>,
}

impl Saturation {
    /// Records that an engine refused a request while it held `tokens` according to the forecast,
    /// without that request.
    pub fn refused(&mut self, now: Instant, key: Key, tokens: u64) {
        let known = self.bounds.get(&key).copied();
        let recent = known.filter(|bound| now < bound.until + bound.duration);
        let bound = match recent {
            // Requests that were on their way before the bound say nothing new.
            Some(bound) if now < bound.until => Bound {
                tokens: bound.tokens.min(tokens),
                ..bound
            },
            Some(bound) => Self::bound(now, tokens, (bound.duration * 2).min(LONGEST_BOUND)),
            None => Self::bound(now, tokens, FIRST_BOUND),
        };
        self.bounds.insert(key, bound);
    }

    fn bound(now: Instant, tokens: u64, duration: Duration) -> Bound {
        Bound {
            tokens,
            until: now + duration,
            duration,
        }
    }

    /// Tokens that the engine may hold at its forecast peak; `None` without a bound.
    #[must_use]
    pub fn limit(&self, now: Instant, key: Key) -> Option<u64> {
        let bound = self.bounds.get(&key)?;
        (now < bound.until).then_some(bound.tokens)
    }

    /// Forgets an engine that has restarted or is gone.
    pub fn remove(&mut self, key: Key) {
        self.bounds.remove(&key);
    }

    /// Forgets the bounds that ended long enough ago.
    pub fn expire(&mut self, now: Instant) {
        self.bounds
            .retain(|_, bound| now < bound.until + bound.duration);
    }
}
