//! Bounds on what callers can cost.

use serde::Deserialize;

/// Bounds on callers.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Connections of callers at one time, for each worker.
    pub connections: usize,
    /// Requests that run at one time.
    pub open_requests: usize,
    /// Time within which the headers of a request must arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time within which the body of a request must arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// Longest pause between two events of an engine in milliseconds.
    pub event_timeout_ms: u64,
    /// Deadline of a prefill in milliseconds.
    pub prefill_timeout_ms: u64,
    /// Time for which a caller may accept no data, in milliseconds.
    pub caller_stall_ms: u64,
    /// Threads that serve callers.
    pub workers: usize,
    /// Time for running requests to finish at shutdown, in seconds.
    pub drain_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
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
