//! The section `models`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A model with its request defaults and latency targets.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Prompt bytes per token, used to estimate prompt tokens at admission.
    #[serde(default = "default_bytes_per_token")]
    #[schemars(range(min = 1, max = "Self::MAX_BYTES_PER_TOKEN"))]
    pub bytes_per_token: u32,
    /// Maximum number of tokens to generate if the request sets none.
    #[serde(default = "default_max_tokens")]
    #[schemars(range(min = 1, max = "Self::MAX_DEFAULT_TOKENS"))]
    pub max_tokens: u32,
    /// Target time to first token (TTFT), in milliseconds.
    #[serde(default = "default_ttft_ms")]
    #[schemars(range(min = 1, max = "Self::MAX_TTFT_MS"))]
    pub ttft_ms: u64,
    /// Target time per output token (TPOT), in milliseconds.
    #[serde(default = "default_tpot_ms")]
    #[schemars(range(min = 1, max = "Self::MAX_TPOT_MS"))]
    pub tpot_ms: u64,
}

impl Model {
    /// Maximum number of bytes per token; real tokenizers are below 10.
    pub const MAX_BYTES_PER_TOKEN: u32 = 64;

    /// Maximum value of the default for `max_tokens`.
    pub const MAX_DEFAULT_TOKENS: u32 = 1_000_000;

    /// Maximum TTFT target: 10 min.
    pub const MAX_TTFT_MS: u64 = 600_000;

    /// Maximum TPOT target: 1 min.
    pub const MAX_TPOT_MS: u64 = 60_000;
}

const fn default_bytes_per_token() -> u32 {
    3
}

const fn default_max_tokens() -> u32 {
    256
}

const fn default_ttft_ms() -> u64 {
    720
}

const fn default_tpot_ms() -> u64 {
    35
}
