//! Shares out a bounded amount of memory between the answers that are read from several sources.
//!
//! A claim states all the memory that it needs, so a granted one never waits for others. A source gets a
//! part of the memory at most: one whose answers never end leaves the rest to the other sources.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Number of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Bytes that may be granted at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// To all sources together.
    pub total: usize,
    /// To one source.
    pub source: usize,
}

#[derive(Clone, Copy, Debug)]
struct Claim<S> {
    source: S,
    bytes: usize,
}

/// Claims on the memory. Each is granted in its turn, except that those which wait for the share of their
/// source do not delay other sources.
#[derive(Clone, Debug)]
pub struct Memory<S> {
    limits: Limits,
    granted: HashMap<Ticket, Claim<S>>,
    /// Granted bytes of each source that has any.
    held: HashMap<S, usize>,
    waiting: VecDeque<(Ticket, Claim<S>)>,
    last: u64,
}

impl<S: Copy + Eq + Hash> Memory<S> {
    /// Creates a memory of which nothing is granted.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            granted: HashMap::new(),
            held: HashMap::new(),
            waiting: VecDeque::new(),
            last: 0,
        }
    }

    /// Claims bytes for a source; `None` if it can never have that many.
    pub fn claim(&mut self, source: S, bytes: usize) -> Option<Ticket> {
        if bytes > self.limits.source.min(self.limits.total) {
            return None;
        }
        self.last += 1;
        let ticket = Ticket(self.last);
        self.waiting.push_back((ticket, Claim { source, bytes }));
        self.grant();
        Some(ticket)
    }

    /// Whether a claim holds its bytes.
    #[must_use]
    pub fn is_granted(&self, ticket: Ticket) -> bool {
        self.granted.contains_key(&ticket)
    }

    /// Bytes that are granted.
    #[must_use]
    pub fn used(&self) -> usize {
        self.held.values().sum()
    }

    /// Lowers a granted claim to `bytes`; returns the claims that are granted by that.
    pub fn shrink(&mut self, ticket: Ticket, bytes: usize) -> Vec<Ticket> {
        let Some(claim) = self.granted.get_mut(&ticket) else {
            return Vec::new();
        };
        let surplus = claim.bytes.saturating_sub(bytes);
        claim.bytes -= surplus;
        let source = claim.source;
        self.give_back(source, surplus);
        self.grant()
    }

    /// Ends a claim, granted or not; returns the claims that are granted by that.
    pub fn release(&mut self, ticket: Ticket) -> Vec<Ticket> {
        match self.granted.remove(&ticket) {
            Some(claim) => self.give_back(claim.source, claim.bytes),
            None => self.waiting.retain(|(waiting, _)| *waiting != ticket),
        }
        self.grant()
    }

    fn give_back(&mut self, source: S, bytes: usize) {
        if let Some(held) = self.held.get_mut(&source) {
            *held -= bytes;
            if *held == 0 {
                self.held.remove(&source);
            }
        }
    }

    fn grant(&mut self) -> Vec<Ticket> {
        let mut free = self.limits.total - self.used();
        let mut granted = Vec::new();
        for (ticket, claim) in std::mem::take(&mut self.waiting) {
            let held = self.held.get(&claim.source).copied().unwrap_or(0);
            if held + claim.bytes > self.limits.source {
                self.waiting.push_back((ticket, claim));
                continue;
            }
            if claim.bytes > free {
                // Later claims do not overtake one that the sources of others keep waiting.
                free = 0;
                self.waiting.push_back((ticket, claim));
                continue;
            }
            free -= claim.bytes;
            self.held.insert(claim.source, held + claim.bytes);
            self.granted.insert(ticket, claim);
            granted.push(ticket);
        }
        granted
    }
}
