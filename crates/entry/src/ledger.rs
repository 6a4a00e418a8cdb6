//! Load of each endpoint as this host knows it: its own requests, and those that peers report.
//!
//! Answers fleets whose hosts all place on the same engines: a place counts as taken from the moment
//! at which any host takes it, plus the delay of the peers' reports. For engines the ledger forecasts
//! the largest memory that the running generations will need together. Reserving the whole output of
//! each would leave half of the memory empty; reserving an average of it overfills engines whose
//! generations started together, and each preemption reads a prompt again.

use std::collections::HashMap;

use berylknot_coordination::clock::Instant;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::directory::Key;

slotmap::new_key_type! {
    /// Key of a request of this host.
    pub struct Ticket;
}

/// Number of a place that a host was granted and has not reported yet.
pub type Grant = u64;

/// A request at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Tokens that it holds.
    pub held: u32,
    /// Tokens that it is expected to make still.
    pub left: u32,
}

/// Output tokens that a generation is expected to make when it has passed its estimate.
const OVERDUE_TOKENS: u32 = 600;

/// Loads of all endpoints.
#[derive(Debug, Default)]
pub struct Ledger {
    own: SlotMap<Ticket, Own>,
    peers: HashMap<Key, Vec<Run>>,
    /// Places granted to other hosts, until these report them or the time is over.
    grants: HashMap<Grant, (Key, Run, Instant)>,
    next_grant: Grant,
}

#[derive(Clone, Copy, Debug)]
struct Own {
    key: Key,
    run: Run,
    grant: Grant,
}

impl Ledger {
    /// Counts a request of this host.
    pub fn take(&mut self, key: Key, run: Run, grant: Grant) -> Ticket {
        self.own.insert(Own { key, run, grant })
    }

    /// Counts a place that a host was granted. Grants are numbered from a start that differs between
    /// the starts of hosts.
    pub fn grant(&mut self, key: Key, run: Run, until: Instant) -> Grant {
        self.next_grant += 1;
        self.grants.insert(self.next_grant, (key, run, until));
        self.next_grant
    }

    /// Sets the number after which grants are numbered.
    pub fn number_grants_from(&mut self, start: Grant) {
        self.next_grant = start;
    }

    /// Ends a grant that its host reported or did not take.
    pub fn settle(&mut self, grant: Grant) {
        self.grants.remove(&grant);
    }

    /// Ends grants that no host reported in time.
    pub fn expire(&mut self, now: Instant) {
        self.grants.retain(|_, (_, _, until)| *until > now);
    }

    /// Notes output tokens of a generation of this host; `most` is its largest output.
    pub fn progress(&mut self, ticket: Ticket, tokens: u32, most: u32) {
        if let Some(Own { run, .. }) = self.own.get_mut(ticket) {
            run.held = run.held.saturating_add(tokens);
            run.left = run
                .left
                .saturating_sub(tokens)
                .max(OVERDUE_TOKENS.min(most));
        }
    }

    /// Ends a request of this host.
    pub fn release(&mut self, ticket: Ticket) {
        self.own.remove(ticket);
    }

    /// Replaces what the peers reported.
    pub fn replace_peers(&mut self, runs: impl Iterator<Item = (Key, Run)>) {
        for known in self.peers.values_mut() {
            known.clear();
        }
        for (key, run) in runs {
            self.peers.entry(key).or_default().push(run);
        }
        self.peers.retain(|_, runs| !runs.is_empty());
    }

    /// Requests at an endpoint.
    pub fn runs(&self, key: Key) -> impl Iterator<Item = Run> + '_ {
        let own = self
            .own
            .values()
            .filter(move |own| own.key == key)
            .map(|own| own.run);
        let granted = self
            .grants
            .values()
            .filter(move |(at, ..)| *at == key)
            .map(|(_, run, _)| *run);
        own.chain(granted)
            .chain(self.peers.get(&key).into_iter().flatten().copied())
    }

    /// Number of requests at an endpoint.
    #[must_use]
    pub fn requests(&self, key: Key) -> u32 {
        self.runs(key).count() as u32
    }

    /// Tokens held by the requests at an endpoint.
    #[must_use]
    pub fn tokens(&self, key: Key) -> u64 {
        self.runs(key).map(|run| u64::from(run.held)).sum()
    }

    /// Own requests, for the report to peers.
    pub fn report(&self) -> impl Iterator<Item = (Key, Run, Grant)> + '_ {
        self.own.values().map(|own| (own.key, own.run, own.grant))
    }
}

/// Allowance for wrong estimates, in standard deviations of the sum of all outputs, where one output's
/// deviation is taken as half of what is left. Callers' estimates are right at the median and off by
/// a factor of two in a tenth of the cases.
const ALLOWANCE: f64 = 1.0;

/// Largest memory in tokens that the generations will hold together, if all make tokens at the same
/// pace and end after what they are expected to make, with an allowance for wrong estimates.
#[must_use]
pub fn peak(runs: &mut [Run]) -> u64 {
    let squares: f64 = runs.iter().map(|run| f64::from(run.left).powi(2)).sum();
    peak_as_expected(runs) + (ALLOWANCE * squares.sqrt()) as u64
}

fn peak_as_expected(runs: &mut [Run]) -> u64 {
    runs.sort_unstable_by_key(|run| std::cmp::Reverse(run.left));
    let mut held = 0;
    let mut peak = 0;
    // At the end of a generation, those with at least as many tokens left are running still.
    for (index, run) in runs.iter().enumerate() {
        held += u64::from(run.held);
        peak = peak.max(held + u64::from(run.left) * (index as u64 + 1));
    }
    peak
}

/// Room of an engine for generations.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Largest number of requests.
    pub slots: u32,
    /// Tokens of its memory.
    pub capacity: u64,
}

impl Room {
    /// Share of the engine that the generations take at their peak; `None` if they do not fit. One
    /// alone always fits.
    #[must_use]
    pub fn share(&self, runs: &mut [Run]) -> Option<f64> {
        let requests = runs.len() as u32;
        let peak = peak(runs);
        if requests > self.slots || (peak > self.capacity && requests > 1) {
            return None;
        }
        let by_memory = peak as f64 / self.capacity.max(1) as f64;
        let by_slots = f64::from(requests) / f64::from(self.slots.max(1));
        Some(by_memory.max(by_slots))
    }
}
