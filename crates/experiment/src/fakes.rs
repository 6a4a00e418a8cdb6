//! Simulated prefill engines, decode engines, network links and plain services.

use std::collections::VecDeque;

use berylknot_coordination::placement::CacheChange;

use crate::Micros;
use crate::model::Model;

/// Index of a job in the simulation's job list.
pub(crate) type Key = usize;

/// A prefill in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) request: Key,
    pub(crate) started: Micros,
    pub(crate) ends: Micros,
    pub(crate) tokens: u32,
}

/// Change of a prefix cache as the engine publishes it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    pub(crate) change: CacheChange,
    pub(crate) piece: u64,
}

/// Prefill engine that runs one prompt at a time and keeps an LRU prefix cache.
#[derive(Debug, Default)]
pub(crate) struct Prefill {
    pub(crate) waiting: VecDeque<Key>,
    pub(crate) running: Option<Running>,
    pub(crate) epoch: u64,
    /// Piece hashes, least recently used first.
    cache: VecDeque<u64>,
    sequence: u64,
}

impl Prefill {
    /// Length of the cached prefix of a prompt, in pieces.
    pub(crate) fn cached(&self, pieces: &[u64]) -> usize {
        pieces
            .iter()
            .take_while(|piece| self.cache.contains(piece))
            .count()
    }

    /// Caches the pieces of a prompt, evicting the least recently used ones beyond `capacity`.
    pub(crate) fn store(&mut self, pieces: &[u64], capacity: usize) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        for &piece in pieces {
            if let Some(index) = self.cache.iter().position(|cached| *cached == piece) {
                self.cache.remove(index);
                self.cache.push_back(piece);
                continue;
            }
            if self.cache.len() >= capacity
                && let Some(evicted) = self.cache.pop_front()
            {
                events.push(self.event(CacheChange::Removed, evicted));
            }
            self.cache.push_back(piece);
            events.push(self.event(CacheChange::Stored, piece));
        }
        events
    }

    fn event(&mut self, change: CacheChange, piece: u64) -> CacheEvent {
        self.sequence += 1;
        CacheEvent {
            sequence: self.sequence - 1,
            change,
            piece,
        }
    }
}

/// Attempt that waits for a decode slot after its prefill.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) request: Key,
    pub(crate) attempt: u32,
}

/// Decode engine with continuous batching; the step time grows with the batch size.
#[derive(Debug, Default)]
pub(crate) struct Decode {
    pub(crate) waiting: VecDeque<Waiter>,
    /// Requests that hold a slot while their KV cache is transferred.
    pub(crate) transferring: Vec<Key>,
    pub(crate) batch: Vec<Key>,
    pub(crate) stepping: bool,
    pub(crate) step_started: Micros,
    pub(crate) epoch: u64,
    pub(crate) alive: bool,
    pub(crate) slowdown: u64,
}

impl Decode {
    pub(crate) fn new() -> Self {
        Self {
            alive: true,
            slowdown: 1,
            ..Self::default()
        }
    }

    /// Slots in use.
    pub(crate) fn used(&self) -> usize {
        self.transferring.len() + self.batch.len()
    }

    /// Duration of a step with the current batch.
    pub(crate) fn step_duration(&self, model: &Model) -> Micros {
        (model.step_base + model.step_per_request * self.batch.len() as u64) * self.slowdown
    }

    /// Removes a request from slots and queue; returns whether it held either.
    pub(crate) fn remove(&mut self, request: Key) -> bool {
        let before = self.used() + self.waiting.len();
        self.transferring.retain(|job| *job != request);
        self.batch.retain(|job| *job != request);
        self.waiting.retain(|waiter| waiter.request != request);
        before != self.used() + self.waiting.len()
    }
}

/// Network link that serialises its transfers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Link {
    busy_until: Micros,
}

impl Link {
    /// Queues a transfer and returns its completion time; `rate` is in bytes per microsecond.
    pub(crate) fn send(&mut self, now: Micros, bytes: u64, rate: u64) -> Micros {
        self.busy_until = self.busy_until.max(now) + bytes / rate.max(1);
        self.busy_until
    }
}

/// Plain-service server with four workers and an unbounded queue.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) slowdown: u64,
    workers: [Micros; 4],
}

impl Service {
    /// Queues a call and returns the time of its response; `work` is its service time without slowdown.
    pub(crate) fn call(&mut self, now: Micros, work: Micros) -> Micros {
        let Some(worker) = self.workers.iter_mut().min() else {
            return now;
        };
        *worker = (*worker).max(now) + work * self.slowdown.max(1);
        *worker
    }
}
