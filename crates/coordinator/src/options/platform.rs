//! Settings of the platform client.

use serde::Deserialize;

/// Address of the platform, and timing of its log.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the log, the host list and the weight store.
    pub url: String,
    /// Interval between reads of the log, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Retention of the log, in milliseconds; a snapshot is written every quarter of it.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
}

const fn default_poll_ms() -> u64 {
    200
}

const fn default_timeout_ms() -> u64 {
    2_000
}

/// One day. A setting above the log's real retention lets entries expire without a snapshot.
const fn default_retention_ms() -> u64 {
    24 * 3_600_000
}
