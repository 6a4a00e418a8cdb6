//! The section `models`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Prompt bytes per token, for the estimate at admission.
    #[serde(default = "default_bytes_per_token")]
    #[schemars(range(min = 1, max = "Self::MAX_BYTES_PER_TOKEN"))]
    pub bytes_per_token: u32,
    /// Tokens to generate when the caller states none.
    #[serde(default = "default_max_tokens")]
    #[schemars(range(min = 1, max = "Self::MAX_MAX_TOKENS"))]
    pub max_tokens: u32,
    /// Target for the time to first token, in milliseconds.
    #[serde(default = "default_ttft_ms")]
    #[schemars(range(min = 1, max = "Self::MAX_TTFT_MS"))]
    pub ttft_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    #[serde(default = "default_tpot_ms")]
    #[schemars(range(min = 1, max = "Self::MAX_TPOT_MS"))]
    pub tpot_ms: u64,
}

impl Model {
    /// Highest number of bytes per token; real tokenizers are below 10.
    pub const MAX_BYTES_PER_TOKEN: u32 = 64;

    /// Highest default number of tokens to generate.
    pub const MAX_MAX_TOKENS: u32 = 1_000_000;

    /// Longest target for the time to first token: 10 min.
    pub const MAX_TTFT_MS: u64 = 600_000;

    /// Longest target for the time between tokens: 1 min.
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
