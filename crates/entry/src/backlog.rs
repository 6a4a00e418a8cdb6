//! Estimated backlog of each prefill engine, from the prompts that this host assigned.
//!
//! When some prefill engines lose answers during a burst of prompts, ranking them behind all others
//! sends every prompt to the one engine that has not failed, where it waits for a second. The backlog
//! is therefore weighed against a bounded cost of a fault.

use std::collections::HashMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::directory::Key;
use crate::health::Suspicion;
use crate::mix::PREFILL_MS_PER_TOKEN;

/// Backlog beyond which the decode engine runs the prefill itself.
const MAX_BACKLOG: Duration = Duration::from_millis(1_200);
/// Cost of a prefill engine in another data centre than the decode engine, in milliseconds of backlog;
/// a transfer between data centres is billed several times as high as a local one.
const REMOTE_COST_MS: f64 = 120.0;
/// Cost of a suspected prefill engine, in milliseconds of backlog: if it fails again, the decode engine
/// runs the prefill at half the speed, about 200 ms for 5,000 tokens.
const FAULTY_COST_MS: f64 = 200.0;

/// Slowdown of a prefill that a decode engine runs between the tokens of its streams (platform pages).
const DECODE_SLOWDOWN: u32 = 2;
/// Share of the gap objective of streams that such a prefill may take, beside the time of an event.
const MAX_GAP_SHARE: f64 = 0.6;
/// Cost of a decode engine for each second of prompts that it has yet to read, as a share of the engine:
/// its streams pause meanwhile.
const READING_COST_PER_S: f64 = 1.5;

/// Time in which a decode engine reads a prompt itself.
#[must_use]
pub fn decode_read_time(tokens: u32) -> Duration {
    read_time(tokens) * DECODE_SLOWDOWN
}

/// Time in which a prefill engine reads a prompt.
#[must_use]
pub fn read_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) * PREFILL_MS_PER_TOKEN / 1_000.0)
}

/// Whether a decode engine may read a prompt itself without its streams missing their gap objective. It
/// does so where prefill engines limit their requests, which are left to longer prompts.
#[must_use]
pub fn fits_decode(tokens: u32, gap_target: Duration) -> bool {
    decode_read_time(tokens) <= gap_target.mul_f64(MAX_GAP_SHARE)
}

/// Share of the time in which a prefill engine reads a whole prompt, up to which a decode engine reads the missing
/// part of a prompt that it holds: the prefill elsewhere would have to be transferred as well.
const MAX_MISSING_SHARE: f64 = 0.25;

/// Whether a decode engine lacks so little of a prompt that it reads the rest itself.
#[must_use]
pub fn is_nearly_held(missing: u32, whole: u32) -> bool {
    decode_read_time(missing) <= read_time(whole).mul_f64(MAX_MISSING_SHARE)
}

/// Estimated end of each prefill engine's backlog.
#[derive(Debug, Default)]
pub struct Backlogs {
    busy_until: HashMap<Key, Instant>,
}

impl Backlogs {
    fn backlog(&self, now: Instant, key: Key) -> Duration {
        self.busy_until
            .get(&key)
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Cost of a prefill at an engine in milliseconds of backlog; `None` if the decode engine should run
    /// the prefill instead.
    #[must_use]
    pub fn cost(
        &self,
        now: Instant,
        key: Key,
        is_near: bool,
        suspicion: Option<Suspicion>,
    ) -> Option<f64> {
        let backlog = self.backlog(now, key);
        if backlog > MAX_BACKLOG || suspicion == Some(Suspicion::Silent) {
            return None;
        }
        let distance = if is_near { 0.0 } else { REMOTE_COST_MS };
        let fault = if suspicion.is_some() {
            FAULTY_COST_MS
        } else {
            0.0
        };
        Some(backlog.as_secs_f64() * 1_000.0 + distance + fault)
    }

    /// Cost of a decode engine that reads prompts itself, as a share of the engine.
    #[must_use]
    pub fn reading_cost(&self, now: Instant, key: Key) -> f64 {
        self.backlog(now, key).as_secs_f64() * READING_COST_PER_S
    }

    /// Adds a prompt with the estimated prefill time `time`.
    pub fn add(&mut self, now: Instant, key: Key, time: Duration) {
        let until = now + self.backlog(now, key) + time;
        self.busy_until.insert(key, until);
    }

    /// Removes engines without a backlog.
    pub fn expire(&mut self, now: Instant) {
        self.busy_until.retain(|_, until| *until > now);
    }
}
