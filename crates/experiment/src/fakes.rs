//! Fakes of prefill engines, decode engines, links and plain services at their interfaces.

use std::collections::VecDeque;

use berylknot_coordination::placement::CacheChange;

use crate::Micros;
use crate::model::Model;

/// Index of a request in the run's arena.
pub(crate) type Key = usize;

/// A prefill in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) request: Key,
    pub(crate) started: Micros,
    pub(crate) ends: Micros,
    pub(crate) tokens: u32,
}

/// Change of a prefix cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    pub(crate) change: CacheChange,
    pub(crate) piece: u64,
}

/// A prefill engine: one prompt at a time, with a prefix cache.
#[derive(Debug, Default)]
pub(crate) struct Prefill {
    pub(crate) waiting: VecDeque<Key>,
    pub(crate) running: Option<Running>,
    pub(crate) epoch: u64,
    /// Least recently used piece first.
    cache: VecDeque<u64>,
    sequence: u64,
}

impl Prefill {
    /// Pieces of the prompt that are cached from its start on.
    pub(crate) fn cached(&self, pieces: &[u64]) -> usize {
        pieces
            .iter()
            .take_while(|piece| self.cache.contains(piece))
            .count()
    }

    /// Stores the pieces of a prompt, dropping the least recently used ones.
    pub(crate) fn store(&mut self, pieces: &[u64], capacity: usize) -> Vec<CacheEvent> {
        let mut events = Vec::new();
        for &piece in pieces {
            if let Some(place) = self.cache.iter().position(|held| *held == piece) {
                self.cache.remove(place);
                self.cache.push_back(piece);
                continue;
            }
            if self.cache.len() >= capacity
                && let Some(dropped) = self.cache.pop_front()
            {
                events.push(self.event(CacheChange::Removed, dropped));
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

/// A request that waits for a decode slot with its KV result.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrived {
    pub(crate) request: Key,
    pub(crate) attempt: u32,
}

/// A decode engine: continuous batching, with step time growing with the batch.
#[derive(Debug, Default)]
pub(crate) struct Decode {
    pub(crate) waiting: VecDeque<Arrived>,
    /// Requests that hold a slot while their KV cache is transferred.
    pub(crate) joining: Vec<Key>,
    pub(crate) batch: Vec<Key>,
    pub(crate) stepping: bool,
    pub(crate) step_started: Micros,
    pub(crate) epoch: u64,
    pub(crate) alive: bool,
    pub(crate) slowness: u64,
}

impl Decode {
    pub(crate) fn new() -> Self {
        Self {
            alive: true,
            slowness: 1,
            ..Self::default()
        }
    }

    /// Slots in use.
    pub(crate) fn used(&self) -> usize {
        self.joining.len() + self.batch.len()
    }

    /// Duration of the next step.
    pub(crate) fn step(&self, model: &Model) -> Micros {
        (model.step_base + model.step_per_request * self.batch.len() as u64) * self.slowness
    }

    /// Frees whatever the request holds; true when it held anything.
    pub(crate) fn remove(&mut self, request: Key) -> bool {
        let before = self.used() + self.waiting.len();
        self.joining.retain(|one| *one != request);
        self.batch.retain(|one| *one != request);
        self.waiting.retain(|one| one.request != request);
        before != self.used() + self.waiting.len()
    }
}

/// A link that carries one transfer after the other.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Link {
    busy_until: Micros,
}

impl Link {
    /// Sends bytes and returns the time at which the last one arrives.
    pub(crate) fn send(&mut self, now: Micros, bytes: u64, rate: u64) -> Micros {
        self.busy_until = self.busy_until.max(now) + bytes / rate.max(1);
        self.busy_until
    }
}

/// A plain service: a few workers, then a queue.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) slowness: u64,
    workers: [Micros; 4],
}

impl Service {
    /// Takes a call and returns the time of its answer.
    pub(crate) fn call(&mut self, now: Micros, work: Micros) -> Micros {
        let Some(worker) = self.workers.iter_mut().min() else {
            return now;
        };
        *worker = (*worker).max(now) + work * self.slowness.max(1);
        *worker
    }
}
