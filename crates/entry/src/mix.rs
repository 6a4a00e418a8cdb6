//! Averages of the generations that a host has seen.

use crate::fleet::Engine;
use crate::stages::Throughput;

/// Generations over which the averages run.
const MEMORY: f64 = 64.0;
/// Time of one output token at a busy engine, in milliseconds (sheets: 0.6 to 0.9).
pub const DECODE_MS_PER_TOKEN: f64 = 0.85;
/// Time that an engine needs to read a prompt token, in milliseconds (sheets: 1/55.6).
pub const PREFILL_MS_PER_TOKEN: f64 = 0.018;
/// Averages before any generation was seen, as on the sheets: 5,200 prompt and 4,060 output tokens.
const FIRST: Mix = Mix {
    prompt: 5_200.0,
    output: 4_060.0,
};

/// Average generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Prompt tokens.
    pub prompt: f64,
    /// Output tokens.
    pub output: f64,
}

impl Default for Mix {
    fn default() -> Self {
        FIRST
    }
}

impl Mix {
    /// Counts a finished generation.
    pub fn add(&mut self, prompt: u32, output: u32) {
        self.prompt += (f64::from(prompt) - self.prompt) / MEMORY;
        self.output += (f64::from(output) - self.output) / MEMORY;
    }

    /// What an engine serves in each stage: its prompts are read one after another, and it makes as
    /// many generations at once as its slots and its memory allow, half made on average.
    #[must_use]
    pub fn throughput(&self, engine: &Engine) -> Throughput {
        let by_memory = f64::from(engine.capacity) / (self.prompt + self.output / 2.0).max(1.0);
        let at_once = by_memory.min(f64::from(engine.slots)).max(1.0);
        Throughput {
            prefill: 1_000.0 / (self.prompt * PREFILL_MS_PER_TOKEN).max(0.1),
            decode: at_once * 1_000.0 / (self.output * DECODE_MS_PER_TOKEN).max(0.1),
        }
    }
}
