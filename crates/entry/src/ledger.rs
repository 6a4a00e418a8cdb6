//! Load of each endpoint as this host knows it: local requests, grants to other hosts, and the requests
//! that peers report.
//!
//! All hosts send requests to the same engines, so each reservation counts as soon as it is made or
//! reported. For engines the ledger forecasts the peak KV cache use of the running generations
//! together. Reserving the whole output of each would leave half of the memory unused; reserving an
//! average output overloads engines whose generations started together, and each preemption costs a
//! repeated prefill.

use std::collections::HashMap;

use berylknot_coordination::clock::Instant;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::directory::Key;

slotmap::new_key_type! {
    /// Key of a local request.
    pub struct Ticket;
}

/// Number of a capacity grant; counted until the host that holds it reports the request.
pub type Grant = u64;

/// A request that runs at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Tokens it occupies in the KV cache.
    pub held: u32,
    /// Output tokens it is still expected to produce.
    pub left: u32,
}

/// Output tokens still expected of a generation that has reached or exceeded its estimate, as a share
/// of the estimate. Estimates are off by a factor of two in a tenth of the cases.
const MIN_REMAINING_SHARE: f64 = 0.15;

/// Output tokens still expected of a generation with the estimate `estimate` that has produced
/// `produced` tokens.
#[must_use]
pub fn remaining(estimate: u32, produced: u32) -> u32 {
    let least = (f64::from(estimate) * MIN_REMAINING_SHARE).ceil() as u32;
    estimate.saturating_sub(produced).max(least)
}

/// Load of all endpoints.
#[derive(Debug, Default)]
pub struct Ledger {
    local: SlotMap<Ticket, Local>,
    peers: HashMap<Key, Vec<Run>>,
    /// Grants until their hosts report the requests or the grants expire.
    grants: HashMap<Grant, (Key, Run, Instant)>,
    next_grant: Grant,
}

#[derive(Clone, Copy, Debug)]
struct Local {
    key: Key,
    run: Run,
    grant: Grant,
    /// Output tokens expected at the start.
    estimate: u32,
    /// Output tokens produced since.
    produced: u32,
}

impl Ledger {
    /// Adds a local request.
    pub fn add(&mut self, key: Key, run: Run, grant: Grant) -> Ticket {
        self.local.insert(Local {
            key,
            run,
            grant,
            estimate: run.left,
            produced: 0,
        })
    }

    /// Reserves capacity for a request of any host until `until`. Grant numbers are unique across
    /// hosts and restarts, see [`Ledger::number_grants_from`].
    pub fn grant(&mut self, key: Key, run: Run, until: Instant) -> Grant {
        self.next_grant += 1;
        self.grants.insert(self.next_grant, (key, run, until));
        self.next_grant
    }

    /// Sets the base of the grant numbers; it must differ between hosts and between restarts.
    pub fn number_grants_from(&mut self, start: Grant) {
        self.next_grant = start;
    }

    /// Removes a grant whose host has reported the request or did not accept the grant.
    pub fn settle(&mut self, grant: Grant) {
        self.grants.remove(&grant);
    }

    /// Removes grants that were not reported in time.
    pub fn expire(&mut self, now: Instant) {
        self.grants.retain(|_, (_, _, until)| *until > now);
    }

    /// Adds output tokens of a local generation that may produce at most `max_tokens` more.
    pub fn progress(&mut self, ticket: Ticket, tokens: u32, max_tokens: u32) {
        if let Some(local) = self.local.get_mut(ticket) {
            local.produced = local.produced.saturating_add(tokens);
            local.run.held = local.run.held.saturating_add(tokens);
            local.run.left = remaining(local.estimate, local.produced).min(max_tokens);
        }
    }

    /// Removes a local request.
    pub fn release(&mut self, ticket: Ticket) {
        self.local.remove(ticket);
    }

    /// Replaces the requests reported by peers.
    pub fn replace_peers(&mut self, runs: impl Iterator<Item = (Key, Run)>) {
        for known in self.peers.values_mut() {
            known.clear();
        }
        for (key, run) in runs {
            self.peers.entry(key).or_default().push(run);
        }
        self.peers.retain(|_, runs| !runs.is_empty());
    }

    /// Requests at an endpoint: local, granted and reported by peers.
    pub fn runs(&self, key: Key) -> impl Iterator<Item = Run> + '_ {
        let local = self
            .local
            .values()
            .filter(move |local| local.key == key)
            .map(|local| local.run);
        let granted = self
            .grants
            .values()
            .filter(move |(at, ..)| *at == key)
            .map(|(_, run, _)| *run);
        local
            .chain(granted)
            .chain(self.peers.get(&key).into_iter().flatten().copied())
    }

    /// Number of requests at an endpoint.
    #[must_use]
    pub fn requests(&self, key: Key) -> u32 {
        self.runs(key).count() as u32
    }

    /// KV cache tokens of the requests at an endpoint.
    #[must_use]
    pub fn tokens(&self, key: Key) -> u64 {
        self.runs(key).map(|run| u64::from(run.held)).sum()
    }

    /// Local requests, for the report to peers.
    pub fn report(&self) -> impl Iterator<Item = (Key, Run, Grant)> + '_ {
        self.local
            .values()
            .map(|local| (local.key, local.run, local.grant))
    }
}

/// Margin for estimation errors, in standard deviations of the sum of all outputs; one output's
/// deviation is approximated by its expected remaining tokens. Callers' estimates are right at the
/// median and off by a factor of two in a tenth of the cases.
const ERROR_MARGIN: f64 = 1.0;

/// Forecast peak of the KV cache tokens that the generations occupy together, assuming equal decode
/// speed and the expected output lengths, plus a margin for estimation errors.
#[must_use]
pub fn peak(runs: &mut [Run]) -> u64 {
    let squares: f64 = runs.iter().map(|run| f64::from(run.left).powi(2)).sum();
    expected_peak(runs) + (ERROR_MARGIN * squares.sqrt()) as u64
}

fn expected_peak(runs: &mut [Run]) -> u64 {
    runs.sort_unstable_by_key(|run| std::cmp::Reverse(run.left));
    let mut held = 0;
    let mut peak = 0;
    // When a generation ends, those with at least as many remaining tokens are still running.
    for (index, run) in runs.iter().enumerate() {
        held += u64::from(run.held);
        peak = peak.max(held + u64::from(run.left) * (index as u64 + 1));
    }
    peak
}

/// Capacity of an engine for generations.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Concurrent requests.
    pub slots: u32,
    /// KV cache size in tokens.
    pub kv_tokens: u64,
}

impl Capacity {
    /// Share of the engine that the generations use at their peak; `None` if they do not fit. A single
    /// generation always fits.
    #[must_use]
    pub fn share(&self, runs: &mut [Run]) -> Option<f64> {
        let requests = runs.len() as u32;
        let peak = peak(runs);
        if requests > self.slots || (peak > self.kv_tokens && requests > 1) {
            return None;
        }
        let by_memory = peak as f64 / self.kv_tokens.max(1) as f64;
        let by_slots = f64::from(requests) / f64::from(self.slots.max(1));
        Some(by_memory.max(by_slots))
    }
}
