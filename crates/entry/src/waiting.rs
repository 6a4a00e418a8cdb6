//! Deadline-aware priority queue of generations that wait for engine capacity.
//!
//! In a burst beyond the fleet's capacity, a FIFO queue makes every request late once the queueing
//! delay exceeds the latency objective. Here requests that can still meet the objective go first, by
//! priority and latest start; late ones use the remaining capacity, and those that cannot finish
//! before their deadline are refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::share::Tag;

use crate::ledger::Run;

/// Largest share of an engine that a generation may fill, as far as it depends on a restart of the host
/// that decides; `since_restart` is `None` at the first start of a deployment.
#[must_use]
pub fn max_fill(since_restart: Option<Duration>, has_begun: bool) -> f64 {
    let expects_returns = since_restart.is_some_and(|elapsed| elapsed < RETURN_TIME);
    if expects_returns && !has_begun {
        MAX_FILL_BEFORE_RETURNS
    } else {
        f64::INFINITY
    }
}

/// A queued generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Turn by the share of its customer, among those of its priority.
    pub turn: Tag,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Latest start that meets the latency objective.
    pub start_by: Instant,
    /// Latest start that can finish before the deadline.
    pub hopeless_at: Instant,
    /// Tokens it will occupy at an engine.
    pub run: Run,
}

/// Handle of a queued generation, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Why a generation is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is full or too slow; carries the expected wait.
    Full(Duration),
    /// The generation cannot finish before its deadline.
    Hopeless,
}

/// Largest share of an engine that late generations may fill; the rest is reserved for those that can
/// still meet the objective.
pub const MAX_LATE_FILL: f64 = 0.85;
/// Largest share of an engine that new generations may fill while callers may return to streams that
/// broke off with the hosts.
const MAX_FILL_BEFORE_RETURNS: f64 = 0.7;
/// Time after a restart in which callers return: the load balancer uses a host after up to two checks,
/// one second apart, and callers back off for about as long.
const RETURN_TIME: Duration = Duration::from_secs(4);
/// Time constant, in starts, of the moving average of the interval between starts.
const AVERAGED_STARTS: f64 = 8.0;
/// Initial estimate of the interval between starts. It is optimistic, since a wrong refusal costs the
/// caller its answer and a wrong acceptance only a wait.
const INITIAL_INTERVAL_MS: f64 = 50.0;
/// Cap of a measured interval between starts; longer ones are idle time.
const MAX_INTERVAL_MS: f64 = 2_000.0;

/// Queue of one service's generations.
#[derive(Debug)]
pub struct Queue {
    waiters: BTreeMap<Ticket, Waiter>,
    next_ticket: u64,
    limit: usize,
    interval_ms: f64,
    last_start: Option<Instant>,
}

impl Queue {
    /// Creates a queue of at most `limit` generations.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self {
            waiters: BTreeMap::new(),
            next_ticket: 0,
            limit,
            interval_ms: INITIAL_INTERVAL_MS,
            last_start: None,
        }
    }

    /// Queue depth.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no generation is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Generations that rank before `waiter`.
    #[must_use]
    pub fn ahead(&self, now: Instant, waiter: &Waiter) -> usize {
        let rank = rank(now, waiter);
        let before = self
            .waiters
            .values()
            .filter(|other| self::rank(now, other) <= rank);
        before.count()
    }

    /// Expected time until `waiter` could start, behind the generations that rank before it.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, waiter: &Waiter) -> Duration {
        let ahead = self.ahead(now, waiter) as f64;
        Duration::from_secs_f64(self.interval_ms * ahead / 1_000.0)
    }

    /// Whether a generation may be enqueued.
    ///
    /// # Errors
    /// Fails if the queue is full or the generation could not start in time behind those before it.
    pub fn check(&self, now: Instant, waiter: &Waiter) -> Result<(), Refusal> {
        if waiter.hopeless_at <= now {
            return Err(Refusal::Hopeless);
        }
        let wait = self.expected_wait(now, waiter);
        if self.waiters.len() >= self.limit || now + wait > waiter.hopeless_at {
            return Err(Refusal::Full(wait));
        }
        Ok(())
    }

    /// Enqueues a generation.
    ///
    /// # Errors
    /// Fails if the queue is full or the generation could not start in time behind those before it.
    pub fn push(&mut self, now: Instant, waiter: Waiter) -> Result<Ticket, Refusal> {
        self.check(now, &waiter)?;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiters.insert(ticket, waiter);
        Ok(ticket)
    }

    /// Removes a generation whose caller has disconnected.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.waiters.remove(&ticket)
    }

    /// Removes and returns the generations that can no longer finish before their deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let expired: Vec<Ticket> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.hopeless_at <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in &expired {
            self.waiters.remove(ticket);
        }
        expired
    }

    /// The head of the queue, and whether it can still meet its latency objective.
    #[must_use]
    pub fn first(&self, now: Instant) -> Option<(Ticket, Waiter, bool)> {
        self.waiters
            .iter()
            .map(|(ticket, waiter)| (*ticket, *waiter, waiter.start_by >= now))
            .min_by_key(|(ticket, waiter, _)| (rank(now, waiter), *ticket))
    }

    /// Dequeues a generation that starts now and updates the average interval between starts.
    pub fn start(&mut self, now: Instant, ticket: Ticket) {
        if self.waiters.remove(&ticket).is_none() {
            return;
        }
        if let Some(last) = self.last_start {
            let interval = (now.since(last).as_secs_f64() * 1_000.0).min(MAX_INTERVAL_MS);
            self.interval_ms += (interval - self.interval_ms) / AVERAGED_STARTS;
        }
        self.last_start = Some(now);
    }
}

/// Queue order: generations that can still meet their objective first, then by priority, the share of the
/// customer and latest start.
fn rank(now: Instant, waiter: &Waiter) -> (bool, u8, Tag, Instant) {
    let is_late = waiter.start_by < now;
    (is_late, waiter.priority, waiter.turn, waiter.start_by)
}
