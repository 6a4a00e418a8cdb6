//! Split of a service's engines between prefill and decode.
//!
//! With a fixed split, one stage is the bottleneck in a burst while engines of the other are idle.

use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::directory::{Key, Stage};

/// Smallest capacity ratio that justifies a change; an engine serves nothing while it changes stage.
const MIN_CAPACITY_GAIN: f64 = 1.12;
/// Debounce delay of a stage change. It covers engines that restart or are replaced, whose absence
/// would cause a change that is soon undone.
pub const DEBOUNCE_TIME: Duration = Duration::from_secs(4);

/// Debounces stage changes: tracks the wanted stage and the time since which it has been wanted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Debounce {
    since: Option<(Stage, Instant)>,
}

impl Debounce {
    /// Whether a change is due: it has been wanted for `delay`, or no engine has the wanted stage.
    pub fn is_due(
        &mut self,
        now: Instant,
        wanted: Option<Stage>,
        engines: &[Engine],
        delay: Duration,
    ) -> bool {
        let Some(stage) = wanted else {
            self.since = None;
            return false;
        };
        let start = match self.since {
            Some((known, since)) if known == stage => since,
            _ => now,
        };
        self.since = Some((stage, start));
        let missing = !engines.iter().any(|engine| engine.stage == stage);
        missing || now.since(start) >= delay
    }
}

/// An engine that accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Key in the directory.
    pub key: Key,
    /// Stage it serves now.
    pub stage: Stage,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Requests running at it.
    pub requests: u32,
}

/// Requests per second that one engine serves in each stage.
#[derive(Clone, Copy, Debug)]
pub struct Throughput {
    /// Prefills per second.
    pub prefill: f64,
    /// Completed generations per second.
    pub decode: f64,
}

impl Throughput {
    fn capacity(&self, prefill: usize, decode: usize) -> f64 {
        (prefill as f64 * self.prefill).min(decode as f64 * self.decode)
    }
}

/// The next engine to change and its new stage; `None` if no change gains enough capacity.
#[must_use]
pub fn next_change(engines: &[Engine], throughput: Throughput) -> Option<(Key, Stage)> {
    let total = engines.len();
    let prefill = engines
        .iter()
        .filter(|engine| engine.stage == Stage::Prefill)
        .count();
    if total < 2 {
        return None;
    }
    let best = (1..total).max_by(|one, other| {
        let one = throughput.capacity(*one, total - one);
        one.total_cmp(&throughput.capacity(*other, total - other))
    })?;
    let current = throughput.capacity(prefill, total - prefill);
    if best == prefill || throughput.capacity(best, total - best) < current * MIN_CAPACITY_GAIN {
        return None;
    }
    let (from, to) = if best < prefill {
        (Stage::Prefill, Stage::Decode)
    } else {
        (Stage::Decode, Stage::Prefill)
    };
    // A prefill should run in the data centre of its decode engine, so both stages stay balanced in
    // each data centre.
    let in_data_centre = |engine: &Engine, stage| {
        engines
            .iter()
            .filter(|other| other.data_centre == engine.data_centre && other.stage == stage)
            .count()
    };
    let changed = engines
        .iter()
        .filter(|engine| engine.stage == from)
        .max_by_key(|engine| {
            let share = in_data_centre(engine, from).cast_signed()
                - in_data_centre(engine, to).cast_signed();
            (share, std::cmp::Reverse(engine.requests), engine.key)
        })?;
    Some((changed.key, to))
}
