//! Order of generations that wait for room at an engine.
//!
//! Answers bursts beyond the fleet's capacity. First in, first out makes every request late once the
//! queue is longer than the latency objective. Here requests that can still meet the objective go
//! first, by rank and latest start; late ones use what room is left, and those that cannot finish
//! before their deadline are refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::ledger::Run;

/// A waiting generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Latest start that meets the latency objective.
    pub start_by: Instant,
    /// Latest start that can finish before the deadline.
    pub hopeless_at: Instant,
    /// What it needs at an engine.
    pub run: Run,
}

/// Number of a waiting generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Why a generation is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Too many wait already; the time until they are served.
    Full(Duration),
    /// It could not finish before its deadline.
    Hopeless,
}

/// Largest share of an engine that late generations may fill, so that room is left for those that
/// can still meet the objective.
pub const LATE_FILL: f64 = 0.85;
/// Starts over which the interval between them is averaged.
const MEMORY: f64 = 8.0;
/// Interval between starts before any was seen, in milliseconds; optimistic, since a wrong refusal
/// costs a caller its answer and a wrong acceptance only a wait.
const FIRST_INTERVAL_MS: f64 = 50.0;
/// Longest interval between starts that is believed; a longer one was idle time, in milliseconds.
const LONGEST_INTERVAL_MS: f64 = 2_000.0;

/// Waiting generations of one service at this host.
#[derive(Debug)]
pub struct Queue {
    waiters: BTreeMap<Ticket, Waiter>,
    next: u64,
    largest: usize,
    interval_ms: f64,
    last_start: Option<Instant>,
}

impl Queue {
    /// Makes a queue for at most `largest` generations.
    #[must_use]
    pub const fn new(largest: usize) -> Self {
        Self {
            waiters: BTreeMap::new(),
            next: 0,
            largest,
            interval_ms: FIRST_INTERVAL_MS,
            last_start: None,
        }
    }

    /// Number of waiting generations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Expected time until a generation may start behind those that go before it.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, waiter: &Waiter) -> Duration {
        let rank = rank(now, waiter);
        let before = self
            .waiters
            .values()
            .filter(|other| self::rank(now, other) <= rank);
        Duration::from_secs_f64(self.interval_ms * before.count() as f64 / 1_000.0)
    }

    /// Adds a generation.
    ///
    /// # Errors
    /// Refuses when it could not start in time behind those that wait.
    pub fn push(&mut self, now: Instant, waiter: Waiter) -> Result<Ticket, Refusal> {
        if waiter.hopeless_at <= now {
            return Err(Refusal::Hopeless);
        }
        let wait = self.expected_wait(now, &waiter);
        if self.waiters.len() >= self.largest || now + wait > waiter.hopeless_at {
            return Err(Refusal::Full(wait));
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiters.insert(ticket, waiter);
        Ok(ticket)
    }

    /// Removes a generation whose caller is gone.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiters.remove(&ticket);
    }

    /// Takes out those that can no longer finish.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let hopeless: Vec<Ticket> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.hopeless_at <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in &hopeless {
            self.waiters.remove(ticket);
        }
        hopeless
    }

    /// The generation that goes next, and whether it can still meet its objective.
    #[must_use]
    pub fn first(&self, now: Instant) -> Option<(Ticket, Waiter, bool)> {
        self.waiters
            .iter()
            .map(|(ticket, waiter)| (*ticket, *waiter, waiter.start_by >= now))
            .min_by_key(|(ticket, waiter, _)| (rank(now, waiter), *ticket))
    }

    /// Takes out a generation that starts now.
    pub fn start(&mut self, now: Instant, ticket: Ticket) {
        if self.waiters.remove(&ticket).is_none() {
            return;
        }
        if let Some(last) = self.last_start {
            let interval = (now.since(last).as_secs_f64() * 1_000.0).min(LONGEST_INTERVAL_MS);
            self.interval_ms += (interval - self.interval_ms) / MEMORY;
        }
        self.last_start = Some(now);
    }
}

/// Order of the queue: those that can still meet their objective first, then by rank and latest start.
fn rank(now: Instant, waiter: &Waiter) -> (bool, u8, Instant) {
    (waiter.start_by < now, waiter.priority, waiter.start_by)
}
