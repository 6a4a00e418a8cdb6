//! Moving averages of the prompt and output lengths of finished generations.

use crate::fleet::Engine;
use crate::stages::Throughput;

/// Time constant of the moving averages, in generations.
const AVERAGED_GENERATIONS: f64 = 64.0;
/// Decode time per output token at a busy engine (specified range: 0.6 to 0.9 ms).
pub const DECODE_MS_PER_TOKEN: f64 = 0.85;
/// Prefill time per prompt token (specified: 55.6 tokens per ms).
pub const PREFILL_MS_PER_TOKEN: f64 = 0.018;
/// Initial averages: the specified workload of 5,200 prompt and 4,060 output tokens.
const INITIAL: Mix = Mix {
    prompt: 5_200.0,
    output: 4_060.0,
};

/// Average generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Prompt tokens per generation.
    pub prompt: f64,
    /// Output tokens per generation.
    pub output: f64,
}

impl Default for Mix {
    fn default() -> Self {
        INITIAL
    }
}

impl Mix {
    /// Adds a finished generation to the averages.
    pub fn add(&mut self, prompt: u32, output: u32) {
        self.prompt += (f64::from(prompt) - self.prompt) / AVERAGED_GENERATIONS;
        self.output += (f64::from(output) - self.output) / AVERAGED_GENERATIONS;
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
            decode: concurrent * 1_000.0 / (self.output * DECODE_MS_PER_TOKEN).max(0.1),
        }
    }
}
