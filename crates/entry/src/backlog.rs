//! Prompts that wait at each prefill engine, as far as this host gave them.
//!
//! Answers bursts of prompts while some prefill engines lose answers: to put these behind all others
//! sent every prompt to the one engine that had not failed, which then read it a second late.

use std::collections::HashMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::directory::Key;
use crate::health::Suspicion;

/// Backlog beyond which the decode engine reads the prompt itself.
const LONGEST: Duration = Duration::from_millis(1_200);
/// Cost of a prefill engine in another data centre than the decode engine, in milliseconds of backlog:
/// a transfer between data centres is priced several times as high.
const FAR_MS: f64 = 120.0;
/// Cost of a faulty prefill engine, in milliseconds of backlog: when it fails again the decode engine
/// reads the prompt at half the speed, some 200 ms for 5,000 tokens.
const FAULTY_MS: f64 = 200.0;

/// Times until which the engines have prompts to read.
#[derive(Debug, Default)]
pub struct Backlogs {
    until: HashMap<Key, Instant>,
}

impl Backlogs {
    fn backlog(&self, now: Instant, key: Key) -> Duration {
        self.until
            .get(&key)
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Cost of a prompt at an engine in milliseconds; `None` if the decode engine should rather read it
    /// itself.
    #[must_use]
    pub fn cost(
        &self,
        now: Instant,
        key: Key,
        is_near: bool,
        suspicion: Option<Suspicion>,
    ) -> Option<f64> {
        let backlog = self.backlog(now, key);
        if backlog > LONGEST || suspicion == Some(Suspicion::Silent) {
            return None;
        }
        let distance = if is_near { 0.0 } else { FAR_MS };
        let fault = if suspicion.is_some() { FAULTY_MS } else { 0.0 };
        Some(backlog.as_secs_f64() * 1_000.0 + distance + fault)
    }

    /// Adds a prompt that takes so long to read.
    pub fn add(&mut self, now: Instant, key: Key, time: Duration) {
        let until = now + self.backlog(now, key) + time;
        self.until.insert(key, until);
    }

    /// Forgets engines without prompts.
    pub fn expire(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }
}
