//! Split of a service's engines between prefill and decode.
//!
//! With a fixed split, one stage is the bottleneck in a burst while engines of the other are idle.

use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::directory::{Key, Stage};

/// Smallest capacity ratio that justifies a change; an engine serves nothing while it changes stage.
const MIN_CAPACITY_GAIN: f64 = 1.12;
/// Resolution of the rate of granted generations.
const PERIOD: Duration = Duration::from_millis(250);
/// Periods over which the rate is taken, 2 s together. A longer time would join bursts that follow
/// each other into a lasting shift.
const PERIODS: usize = 8;
/// Largest share of a service's engines that change their stage at a time under load; at least one may.
const MAX_CHANGING_SHARE: f64 = 1.0 / 16.0;

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

/// Rate of the generations that were granted to a service recently.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Number of the period and its generations, by the number modulo the periods.
    counts: [(u64, u32); PERIODS],
}

impl Demand {
    fn period(now: Instant) -> u64 {
        now.as_millis() / PERIOD.as_millis() as u64
    }

    /// Counts a granted generation.
    pub fn count(&mut self, now: Instant) {
        let period = Self::period(now);
        let (known, count) = &mut self.counts[period as usize % PERIODS];
        if *known != period {
            (*known, *count) = (period, 0);
        }
        *count += 1;
    }

    /// Granted generations per second.
    #[must_use]
    pub fn per_second(&self, now: Instant) -> f64 {
        let period = Self::period(now);
        let recent = self
            .counts
            .iter()
            .filter(|(known, _)| known + PERIODS as u64 > period);
        let count: u32 = recent.map(|(_, count)| count).sum();
        f64::from(count) / (PERIOD.as_secs_f64() * PERIODS as f64)
    }
}

/// Debounce delay of a stage change: the time that the change itself takes, the generations that the
/// engine has to finish included. A shift of the load that has lasted so long is likely to last until
/// the change has paid off; a burst that is over sooner is not.
#[must_use]
pub fn debounce_time(stage_change: Duration, generation: Duration) -> Duration {
    stage_change + generation
}

/// Largest number of engines of a service that change their stage at a time.
#[must_use]
pub fn max_changing(engines: usize) -> usize {
    ((engines as f64 * MAX_CHANGING_SHARE) as usize).max(1)
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
    /// Whether it may be ordered to change its stage: it has not been recently.
    pub can_change: bool,
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

/// The next engine to change and its new stage; `None` if no change serves enough more of `demand`
/// generations per second (infinite while generations wait).
#[must_use]
pub fn next_change(
    engines: &[Engine],
    throughput: Throughput,
    demand: f64,
) -> Option<(Key, Stage)> {
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
    let served = throughput.capacity(best, total - best).min(demand);
    if best == prefill || served <= current.min(demand) * MIN_CAPACITY_GAIN {
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
        .filter(|engine| engine.stage == from && engine.can_change)
        .max_by_key(|engine| {
            let share = in_data_centre(engine, from).cast_signed()
                - in_data_centre(engine, to).cast_signed();
            (share, std::cmp::Reverse(engine.requests), engine.key)
        })?;
    Some((changed.key, to))
}
