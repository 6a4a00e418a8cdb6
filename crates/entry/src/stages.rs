//! How many engines of a service read prompts and how many make tokens.
//!
//! Answers bursts in which one stage binds while engines of the other idle. The policy before it kept
//! the split with which the engines started.

use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::directory::{Key, Stage};

/// Gain in capacity below which engines stay as they are: a change costs an engine's work for as
/// long as it takes.
const LEAST_GAIN: f64 = 1.12;
/// Time for which the same kind of change must be wanted. Engines that are replaced or restart come
/// back within it, and a change for their sake would be undone soon.
pub const DEBOUNCE_TIME: Duration = Duration::from_secs(4);

/// Debounce for a change, and since when it has been there.
#[derive(Clone, Copy, Debug, Default)]
pub struct Debounce {
    since: Option<(Stage, Instant)>,
}

impl Debounce {
    /// Whether a change is due: it has been wanted for `persistence`, or one stage has no engine.
    pub fn is_due(
        &mut self,
        now: Instant,
        wanted: Option<Stage>,
        engines: &[Engine],
        persistence: Duration,
    ) -> bool {
        let Some(stage) = wanted else {
            self.since = None;
            return false;
        };
        let since = match self.since {
            Some((known, since)) if known == stage => since,
            _ => now,
        };
        self.since = Some((stage, since));
        let missing = !engines.iter().any(|engine| engine.stage == stage);
        missing || now.since(since) >= persistence
    }
}

/// An engine that takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Key.
    pub key: Key,
    /// Stage.
    pub stage: Stage,
    /// Number of its data centre.
    pub data_centre: usize,
    /// Requests at it.
    pub requests: u32,
}

/// Requests per second that one engine serves in each stage.
#[derive(Clone, Copy, Debug)]
pub struct Throughput {
    /// Prompts read.
    pub prefill: f64,
    /// Generations made.
    pub decode: f64,
}

impl Throughput {
    fn capacity(&self, prefill: usize, decode: usize) -> f64 {
        (prefill as f64 * self.prefill).min(decode as f64 * self.decode)
    }
}

/// The next engine to change and its new stage; `None` if the split is good enough.
#[must_use]
pub fn next(engines: &[Engine], throughput: Throughput) -> Option<(Key, Stage)> {
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
    let now = throughput.capacity(prefill, total - prefill);
    if best == prefill || throughput.capacity(best, total - best) < now * LEAST_GAIN {
        return None;
    }
    let (from, to) = if best < prefill {
        (Stage::Prefill, Stage::Decode)
    } else {
        (Stage::Decode, Stage::Prefill)
    };
    // Prompts are best read in the data centre in which the tokens are made, so each keeps its share.
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
