//! Rebalancing of engines between the prefill and decode roles, with hysteresis and a cost model.

use std::time::Duration;

use crate::clock::Instant;

/// Time for which a change must be worthwhile continuously before it is made.
const SUSTAINED: Duration = Duration::from_secs(30);
/// Initial cooldown after a change.
const COOLDOWN_MIN: Duration = Duration::from_secs(60);
/// Maximum cooldown; each change that reverts the previous one doubles the cooldown.
const COOLDOWN_MAX: Duration = Duration::from_secs(960);
/// Time without a change after which the cooldown is reset.
const COOLDOWN_RESET: Duration = Duration::from_secs(1_800);
/// Time constant of the moving average that filters the noise of single load reports.
const SMOOTHING_SECONDS: f64 = 10.0;
/// Period over which the gain of a change must exceed the capacity lost during the change.
const PAYBACK: Duration = Duration::from_secs(300);
/// Minimum reduction in the load of the busier role.
const GAIN_MIN: f64 = 0.05;

/// Role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Load of one model's engines at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Offered prefill work relative to the capacity of the prefill engines.
    pub prefill_load: f64,
    /// Offered decode work relative to the decode slots; above 1 when requests wait.
    pub decode_load: f64,
    /// Number of serving prefill engines.
    pub prefill_engines: u32,
    /// Number of serving decode engines.
    pub decode_engines: u32,
}

/// Settings of a [`Balancer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Minimum number of engines of each role.
    pub minimum: u32,
    /// Duration of a role change, during which the engine serves neither role.
    pub change_time: Duration,
}

/// Decides on role changes of one model's engines, one engine at a time.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: Settings,
    /// Time of the last sample, and the moving averages of the prefill and decode loads.
    smoothed: Option<(Instant, f64, f64)>,
    /// Role that needs one more engine, and since when.
    wanted: Option<(Role, Instant)>,
    /// Role and time of the last change.
    last: Option<(Role, Instant)>,
    cooldown: Duration,
}

impl Balancer {
    /// Makes a balancer without history.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            smoothed: None,
            wanted: None,
            last: None,
            cooldown: COOLDOWN_MIN,
        }
    }

    /// Takes a load sample. Returns the role that needs one more engine; the caller then changes
    /// the least useful engine of the other role.
    pub fn sample(&mut self, now: Instant, sample: Sample) -> Option<Role> {
        let (prefill, decode) = self.smooth(now, &sample);
        if let Some((_, at)) = self.last {
            if now.since(at) < self.cooldown {
                self.wanted = None;
                return None;
            }
            if now.since(at) >= COOLDOWN_RESET {
                self.cooldown = COOLDOWN_MIN;
            }
        }
        let role = self.worthwhile(prefill, decode, &sample);
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
        let reverts = self.last.is_some_and(|(last, _)| last != role);
        self.cooldown = if reverts {
            (self.cooldown * 2).min(COOLDOWN_MAX)
        } else {
            COOLDOWN_MIN
        };
        self.wanted = None;
        self.smoothed = None;
        self.last = Some((role, now));
        Some(role)
    }

    /// Updates and returns the moving averages of the prefill and decode loads.
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

    /// The busier role, if one more engine lowers its load by more than the change costs.
    fn worthwhile(&self, prefill: f64, decode: f64, sample: &Sample) -> Option<Role> {
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
        let cost = self.settings.change_time.as_secs_f64() / PAYBACK.as_secs_f64();
        let gain = busy - busy_after.max(idle_after);
        (gain > GAIN_MIN + cost * (idle_after - idle)).then_some(role)
    }
}
