//! Limits and timeouts that bound the resources used by callers.

use serde::Deserialize;

/// Limits and timeouts for callers and engines.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Memory in bytes for request bodies of more than 16 KiB, a quarter of it for those of up to 256 KiB. At
    /// least two of the largest have room. The default has room for nine of the default largest size.
    pub body_memory_bytes: usize,
    /// Maximum number of concurrent caller connections per worker.
    pub connections: usize,
    /// Maximum number of concurrent model requests; at the limit, service calls are refused too.
    pub open_requests: usize,
    /// Timeout for receiving the headers of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout for receiving the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Timeout for the next event of an engine's stream, in milliseconds.
    pub event_timeout_ms: u64,
    /// Timeout of a prefill in milliseconds.
    pub prefill_timeout_ms: u64,
    /// Timeout for a caller that accepts no data, in milliseconds; its request is then cancelled.
    pub caller_stall_ms: u64,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Drain timeout in seconds; requests still running then are cut off.
    pub drain_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            body_memory_bytes: 48 << 20,
            connections: 10_000,
            open_requests: 10_000,
            header_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            event_timeout_ms: 5_000,
            prefill_timeout_ms: 30_000,
            caller_stall_ms: 15_000,
            workers: 2,
            drain_s: 60,
        }
    }
}
