//! Settings of the platform's interfaces.

use serde::Deserialize;

/// Addresses of the platform.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Base URL of the log, the host list and the weight store.
    pub url: String,
    /// Time between two reads of the log in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
    /// Deadline of a call in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Time for which the log keeps entries in milliseconds; a snapshot is written each quarter.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
}

const fn default_poll_ms() -> u64 {
    200
}

const fn default_timeout_ms() -> u64 {
    2_000
}

/// One day. A setting above the real retention would let entries expire without a snapshot.
const fn default_retention_ms() -> u64 {
    24 * 3_600_000
}
