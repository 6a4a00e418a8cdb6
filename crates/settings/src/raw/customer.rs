//! The section `customers`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A customer and its rate limit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Rate limit in tokens per second, summed over all hosts.
    #[schemars(range(min = 1, max = "Self::MAX_TOKENS"))]
    pub rate: u64,
    /// Burst size in tokens, summed over all hosts; at least the rate times 1 s.
    #[schemars(range(min = 1, max = "Self::MAX_TOKENS"))]
    pub burst: u64,
    /// Weight in the admission queue, relative to other customers.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = "Self::MAX_WEIGHT"))]
    pub weight: u32,
}

impl Customer {
    /// Maximum rate in tokens per second and maximum burst in tokens: about 100 times the peak load
    /// of the largest planned fleet. It keeps products of rates and times within 64 bits.
    pub const MAX_TOKENS: u64 = 1_000_000_000;

    /// Maximum weight in the admission queue.
    pub const MAX_WEIGHT: u32 = 1_000;
}

const fn default_weight() -> u32 {
    1
}
