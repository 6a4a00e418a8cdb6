//! Moving averages of a service's finished generations: prompt and output lengths, and the decode
//! speed of its engines.
//!
//! The configuration states neither the lengths nor the speed. With a fixed decode time per token, the
//! capacity of engines of a larger model was overestimated seven times, and decode engines were
//! ordered to prefill under load.

use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::fleet::Engine;
use crate::stages::Throughput;

/// Time constant of the moving averages, in generations.
const AVERAGED_GENERATIONS: f64 = 64.0;
/// Weight of the initial averages, in generations, so that the first ones count little.
const INITIAL_WEIGHT: f64 = 16.0;
/// Initial average of the prompt tokens (specified workload).
const INITIAL_PROMPT_TOKENS: f64 = 5_200.0;
/// Initial average of the events per stream (specified workload).
const INITIAL_EVENTS: f64 = 70.0;
/// Initial interval between the events of a stream at a busy engine, in milliseconds (specified
/// workload). Engines produce events of several tokens so that the interval is similar for all models.
const INITIAL_EVENT_INTERVAL_MS: f64 = 49.3;
/// Prefill time per prompt token (specified: 55.6 tokens per ms).
pub const PREFILL_MS_PER_TOKEN: f64 = 0.018;

/// Average generation of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Prompt tokens per generation.
    pub prompt: f64,
    /// Output tokens per generation.
    pub output: f64,
    /// Decode time per output token, in milliseconds.
    pub ms_per_token: f64,
    /// The same of the slowest recent generation.
    pub slowest_ms_per_token: f64,
    /// Generations that the averages represent, at most [`AVERAGED_GENERATIONS`].
    weight: f64,
}

impl Mix {
    /// Initial averages of a service whose streams carry `tokens_per_event` tokens per event.
    #[must_use]
    pub fn new(tokens_per_event: u32) -> Self {
        let tokens_per_event = f64::from(tokens_per_event.max(1));
        let ms_per_token = INITIAL_EVENT_INTERVAL_MS / tokens_per_event;
        Self {
            prompt: INITIAL_PROMPT_TOKENS,
            output: INITIAL_EVENTS * tokens_per_event,
            ms_per_token,
            slowest_ms_per_token: ms_per_token,
            weight: INITIAL_WEIGHT,
        }
    }

    /// Adds a finished generation; `pace` is its decode time per token in milliseconds, `None` for a
    /// stream that was too short or interrupted.
    pub fn add(&mut self, prompt: u32, output: u32, pace: Option<f64>) {
        self.weight = (self.weight + 1.0).min(AVERAGED_GENERATIONS);
        self.prompt += (f64::from(prompt) - self.prompt) / self.weight;
        self.output += (f64::from(output) - self.output) / self.weight;
        if let Some(pace) = pace {
            self.ms_per_token += (pace - self.ms_per_token) / self.weight;
            let slowest = &mut self.slowest_ms_per_token;
            *slowest += (self.ms_per_token - *slowest) / self.weight;
            *slowest = slowest.max(pace);
        }
    }

    /// Decode time of `output` tokens.
    #[must_use]
    pub fn decode_time(&self, output: u32) -> Duration {
        Duration::from_secs_f64(f64::from(output) * self.ms_per_token / 1_000.0)
    }

    /// Decode time of `output` tokens at the pace of the slowest recent generation.
    #[must_use]
    pub fn longest_decode_time(&self, output: u32) -> Duration {
        Duration::from_secs_f64(f64::from(output) * self.slowest_ms_per_token / 1_000.0)
    }

    /// Decode time of an average generation.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.output * self.ms_per_token / 1_000.0)
    }

    /// Estimated throughput of an engine in each stage. Prefills run one at a time; decodes run
    /// concurrently up to the slots and the KV cache, where a generation holds half of its output on
    /// average.
    #[must_use]
    pub fn throughput(&self, engine: &Engine) -> Throughput {
        let by_memory = f64::from(engine.capacity) / (self.prompt + self.output / 2.0).max(1.0);
        let concurrent = by_memory.min(f64::from(engine.slots)).max(1.0);
        Throughput {
            prefill: 1_000.0 / (self.prompt * PREFILL_MS_PER_TOKEN).max(0.1),
            decode: concurrent * 1_000.0 / (self.output * self.ms_per_token).max(0.1),
        }
    }
}

/// Measures the decode speed of a stream from the times of its events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    first: Option<(u64, u32)>,
    last: Option<(u64, u32)>,
}

/// Fewest events between the first and the last one for a speed; fewer are dominated by the batching
/// of events on the way.
const MIN_EVENTS: u32 = 8;

impl Pace {
    /// Records that `events` events of the stream have arrived at `now`, in total.
    pub fn record(&mut self, now: Instant, events: u32) {
        let point = (now.as_millis(), events);
        self.first = self.first.or(Some(point));
        self.last = Some(point);
    }

    /// Decode time per token in milliseconds; `None` if too few events have arrived.
    #[must_use]
    pub fn ms_per_token(&self, tokens_per_event: u32) -> Option<f64> {
        let ((start, before), (end, events)) = (self.first?, self.last?);
        let events = events - before;
        let tokens = f64::from(events * tokens_per_event.max(1));
        (events >= MIN_EVENTS).then_some(end.saturating_sub(start) as f64 / tokens)
    }
}
