//! Change of prefill and decode roles, with hysteresis and the cost of a change.

use std::time::Duration;

use crate::clock::Instant;

/// Time for which a change must look worth while without a break.
const SUSTAINED: Duration = Duration::from_secs(30);
/// Time after a change before the next one.
const REST: Duration = Duration::from_secs(60);
/// Longest rest; the rest doubles with each change that takes the last one back.
const LONGEST_REST: Duration = Duration::from_secs(960);
/// Time without a change back after which the rest is short again.
const CALM: Duration = Duration::from_secs(1_800);
/// Weight of a sample per second of its age, against noise of single reports.
const SMOOTHING_SECONDS: f64 = 10.0;
/// Time over which a change must pay for the capacity lost while it takes place.
const HORIZON: Duration = Duration::from_secs(300);
/// Least gain in the load of the busier role.
const MARGIN: f64 = 0.05;

/// Roles of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Load of one model's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Work offered to the prefill engines, relative to their capacity.
    pub prefill_load: f64,
    /// Work offered to the decode engines, relative to their slots; above 1 when requests wait.
    pub decode_load: f64,
    /// Serving prefill engines.
    pub prefill_engines: u32,
    /// Serving decode engines.
    pub decode_engines: u32,
}

/// Settings of [`Roles`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Least engines of each role.
    pub minimum: u32,
    /// Time for which a changing engine serves neither role.
    pub change_time: Duration,
}

/// Decides on changes of role; one engine at a time.
#[derive(Clone, Debug)]
pub struct Roles {
    settings: Settings,
    smoothed: Option<(Instant, f64, f64)>,
    wanted: Option<(Role, Instant)>,
    last: Option<(Role, Instant)>,
    rest: Duration,
}

impl Roles {
    /// Makes a planner that has changed nothing yet.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            smoothed: None,
            wanted: None,
            last: None,
            rest: REST,
        }
    }

    /// Takes a sample; returns the role that one more engine should have.
    ///
    /// The caller then changes the least useful engine of the other role.
    pub fn sample(&mut self, now: Instant, sample: Sample) -> Option<Role> {
        let (prefill, decode) = self.smooth(now, &sample);
        if let Some((_, at)) = self.last {
            if now.since(at) < self.rest {
                self.wanted = None;
                return None;
            }
            if now.since(at) >= CALM {
                self.rest = REST;
            }
        }
        let role = self.worth(prefill, decode, &sample);
        let Some(role) = role else {
            self.wanted = None;
            return None;
        };
        let since = match self.wanted {
            Some((wanted, since)) if wanted == role => since,
            _ => {
                self.wanted = Some((role, now));
                return None;
            }
        };
        if now.since(since) < SUSTAINED {
            return None;
        }
        let back = self.last.is_some_and(|(last, _)| last != role);
        self.rest = if back {
            (self.rest * 2).min(LONGEST_REST)
        } else {
            REST
        };
        self.wanted = None;
        self.smoothed = None;
        self.last = Some((role, now));
        Some(role)
    }

    fn smooth(&mut self, now: Instant, sample: &Sample) -> (f64, f64) {
        let (prefill, decode) = match self.smoothed {
            None => (sample.prefill_load, sample.decode_load),
            Some((at, prefill, decode)) => {
                let age = now.since(at).as_secs_f64();
                let weight = age / (age + SMOOTHING_SECONDS);
                (
                    prefill + (sample.prefill_load - prefill) * weight,
                    decode + (sample.decode_load - decode) * weight,
                )
            }
        };
        self.smoothed = Some((now, prefill, decode));
        (prefill, decode)
    }

    /// Role whose gain of an engine lowers the load of the busier role by more than it costs.
    fn worth(&self, prefill: f64, decode: f64, sample: &Sample) -> Option<Role> {
        let (role, busy, idle, busy_engines, idle_engines) = if prefill > decode {
            let (gains, gives) = (sample.prefill_engines, sample.decode_engines);
            (Role::Prefill, prefill, decode, gains, gives)
        } else {
            let (gains, gives) = (sample.decode_engines, sample.prefill_engines);
            (Role::Decode, decode, prefill, gains, gives)
        };
        if idle_engines <= self.settings.minimum || busy_engines == 0 {
            return None;
        }
        let (gains, gives) = (f64::from(busy_engines), f64::from(idle_engines));
        let busy_after = busy * gains / (gains + 1.0);
        let idle_after = idle * gives / (gives - 1.0);
        let cost = self.settings.change_time.as_secs_f64() / HORIZON.as_secs_f64();
        let gain = busy - busy_after.max(idle_after);
        (gain > MARGIN + cost * (idle_after - idle)).then_some(role)
    }
}
