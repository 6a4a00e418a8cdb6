//! Load of each endpoint as this host knows it: its own requests, and those that peers report.
//!
//! Answers fleets whose hosts all place on the same engines: a place counts as taken from the moment
//! at which any host takes it, plus the delay of the peers' reports.

use std::collections::HashMap;

use berylknot_coordination::clock::Instant;

use crate::directory::Key;

/// Requests and reserved tokens at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Reserved tokens.
    pub tokens: u64,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
    }
}

/// Loads of all endpoints.
#[derive(Debug, Default)]
pub struct Ledger {
    own: HashMap<Key, Load>,
    peers: HashMap<Key, Load>,
}

impl Ledger {
    /// Counts a request of this host.
    pub fn take(&mut self, key: Key, tokens: u64) {
        self.own.entry(key).or_default().add(Load { requests: 1, tokens });
    }

    /// Ends a request of this host.
    pub fn release(&mut self, key: Key, tokens: u64) {
        let Some(load) = self.own.get_mut(&key) else {
            return;
        };
        load.requests = load.requests.saturating_sub(1);
        load.tokens = load.tokens.saturating_sub(tokens);
        if load.requests == 0 {
            self.own.remove(&key);
        }
    }

    /// Replaces what the peers reported.
    pub fn replace_peers(&mut self, loads: impl Iterator<Item = (Key, Load)>) {
        self.peers.clear();
        for (key, load) in loads {
            self.peers.entry(key).or_default().add(load);
        }
    }

    /// Load of an endpoint.
    #[must_use]
    pub fn load(&self, key: Key) -> Load {
        let mut load = self.own(key);
        load.add(self.peers.get(&key).copied().unwrap_or_default());
        load
    }

    /// Load by this host alone.
    #[must_use]
    pub fn own(&self, key: Key) -> Load {
        self.own.get(&key).copied().unwrap_or_default()
    }

    /// Own loads, for the report to peers.
    pub fn report(&self) -> impl Iterator<Item = (Key, Load)> + '_ {
        self.own.iter().map(|(key, load)| (*key, *load))
    }
}

/// Part of the expected output that a running generation occupies on average: it grows from nothing
/// to the whole, and runs of different ages share an engine.
const OUTPUT_SHARE: f64 = 0.55;

/// Tokens that a generation reserves at an engine.
#[must_use]
pub fn reservation(prompt: u32, output: u32) -> u64 {
    u64::from(prompt) + (f64::from(output) * OUTPUT_SHARE) as u64
}

/// Room of an engine for one more generation.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Largest number of requests.
    pub slots: u32,
    /// Tokens of its memory.
    pub capacity: u64,
}

impl Room {
    /// Share of the engine that is taken once the generation is added; `None` if it does not fit.
    #[must_use]
    pub fn after(&self, load: Load, tokens: u64) -> Option<f64> {
        let requests = load.requests + 1;
        let total = load.tokens + tokens;
        if requests > self.slots || (total > self.capacity && load.requests > 0) {
            return None;
        }
        let by_memory = total as f64 / self.capacity.max(1) as f64;
        let by_slots = f64::from(requests) / f64::from(self.slots.max(1));
        Some(by_memory.max(by_slots))
    }
}

/// Time that a report of peers is used before its sender counts as gone.
pub const REPORT_LIFETIME_MS: u64 = 3_000;

/// Whether a report is recent enough.
#[must_use]
pub fn is_recent(now: Instant, heard: Instant) -> bool {
    now.since(heard).as_millis() as u64 <= REPORT_LIFETIME_MS
}
