//! Constants of the service model: all assumptions about engines, links and callers in one place.

use crate::Micros;

/// Milliseconds in the tool's unit of time.
pub const MILLISECOND: Micros = 1_000;
/// Seconds in the tool's unit of time.
pub const SECOND: Micros = 1_000_000;

/// Target for the time to the first token (design page, section 1.2).
pub const TTFT_TARGET: Micros = 720 * MILLISECOND;
/// Target for the mean time between tokens (design page, section 1.2).
pub const TPOT_TARGET: Micros = 35 * MILLISECOND;
/// Share of requests that must meet both targets.
pub const ATTAINMENT_TARGET: f64 = 0.95;

/// Service model of engines, links and callers.
#[derive(Clone, Debug)]
pub struct Model {
    /// Requests that a decode engine runs at one time (section 1: about twenty).
    pub slots: usize,
    /// Fixed part of a decode step.
    pub step_base: Micros,
    /// Part of a decode step for each request in the batch; a full batch stays under 35 ms.
    pub step_per_request: Micros,
    /// Fixed part of a prefill.
    pub prefill_base: Micros,
    /// Prefill time for each token that is not cached, in nanoseconds.
    pub prefill_per_token_ns: u64,
    /// Lifetime of a KV result after its prefill (section 1: under one second).
    pub kv_lifetime: Micros,
    /// KV cache size of one token.
    pub kv_bytes_per_token: u64,
    /// Rate of a prefill engine's link inside its data centre, in bytes per microsecond.
    pub local_link: u64,
    /// Rate of the link from one data centre to another, in bytes per microsecond.
    pub cross_link: u64,
    /// Prefix-cache pieces that a prefill engine holds.
    pub cache_pieces: usize,
    /// Tokens in a piece (section 1: about 2,000).
    pub piece_tokens: u32,
    /// Period of load reports.
    pub report_period: Micros,
    /// Age of a load report when it reaches a host.
    pub report_lag: Micros,
    /// Age of a cache event when it reaches a host.
    pub event_lag: Micros,
    /// Share of cache events that are lost.
    pub event_loss: f64,
    /// Share of requests that their callers cancel.
    pub cancel_share: f64,
    /// Median time after which a cancelling caller leaves.
    pub cancel_median: Micros,
    /// Time without a first token after which every caller leaves.
    pub patience: Micros,
    /// Probability that a caller resends a request that was refused, failed or timed out.
    pub resend: f64,
    /// Multiplier of the offered load.
    pub load: f64,
    /// Median prompt length in tokens, before the unique part.
    pub prompt_median: f64,
    /// Shape of the log-normal prompt length.
    pub prompt_sigma: f64,
    /// Median answer length in tokens.
    pub answer_median: f64,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            slots: 20,
            step_base: 14 * MILLISECOND,
            step_per_request: 850,
            prefill_base: 4 * MILLISECOND,
            prefill_per_token_ns: 30_000,
            kv_lifetime: 800 * MILLISECOND,
            kv_bytes_per_token: 40_000,
            local_link: 5_000,
            cross_link: 2_500,
            cache_pieces: 150,
            piece_tokens: 2_000,
            report_period: 100 * MILLISECOND,
            report_lag: 150 * MILLISECOND,
            event_lag: 200 * MILLISECOND,
            event_loss: 0.02,
            cancel_share: 0.62,
            cancel_median: 900 * MILLISECOND,
            patience: 8 * SECOND,
            resend: 0.5,
            load: 1.0,
            prompt_median: 1_300.0,
            prompt_sigma: 1.2,
            answer_median: 90.0,
        }
    }
}

/// Shape of a deployment.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Name in tables.
    pub name: &'static str,
    /// Entry hosts.
    pub hosts: usize,
    /// Data centres; endpoint and host `i` stands in data centre `i % data_centres`.
    pub data_centres: usize,
    /// One-way delay between data centres.
    pub cross_delay: Micros,
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
    /// Plain-service servers.
    pub services: usize,
    /// Share of the demand of each customer.
    pub shares: &'static [f64],
    /// Mean model requests per second at load 1, which fills decode at the peak of the run.
    pub rate: f64,
    /// Plain lookups per second.
    pub lookups: f64,
}

/// The registry deployment: 11 model servers, 3 counter servers.
pub const REGISTRY: Fleet = Fleet {
    name: "registry",
    hosts: 7,
    data_centres: 3,
    cross_delay: 500,
    prefill: 4,
    decode: 7,
    services: 3,
    shares: &[0.38, 0.30, 0.16, 0.10, 0.06],
    rate: 62.0,
    lookups: 60.0,
};

/// The atelier deployment: 6 model servers, 3 order-desk servers.
pub const ATELIER: Fleet = Fleet {
    name: "atelier",
    hosts: 7,
    data_centres: 3,
    cross_delay: 1_000,
    prefill: 2,
    decode: 4,
    services: 3,
    shares: &[0.42, 0.28, 0.15, 0.10, 0.05],
    rate: 36.0,
    lookups: 40.0,
};

/// One-way delay inside a data centre.
pub const LOCAL_DELAY: Micros = 100;
/// Length of a run; measures leave out the first [`WARM_UP`].
pub const RUN: Micros = 70 * SECOND;
/// Time before measuring starts.
pub const WARM_UP: Micros = 10 * SECOND;
/// Start of a fault or pulse.
pub const FAULT_START: Micros = 30 * SECOND;
/// End of a fault or pulse.
pub const FAULT_END: Micros = 42 * SECOND;
/// Rate limit of a customer, as a multiple of its mean demand.
pub const RATE_HEADROOM: f64 = 1.3;
/// Burst of a customer in seconds of its rate.
pub const BURST_SECONDS: f64 = 2.0;
