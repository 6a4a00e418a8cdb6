//! Parameters of the simulation: assumptions about engines, links, callers and fleets.

use crate::Micros;

/// One millisecond in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;

/// TTFT target (design page, section 1.2).
pub const TTFT_TARGET: Micros = 720 * MILLISECOND;
/// TPOT target, the mean time between tokens (design page, section 1.2).
pub const TPOT_TARGET: Micros = 35 * MILLISECOND;
/// Share of requests that must meet both targets.
pub const ATTAINMENT_TARGET: f64 = 0.95;

/// Service model of engines, links and callers.
#[derive(Clone, Debug)]
pub struct Model {
    /// Slots of a decode engine (section 1: about twenty).
    pub slots: usize,
    /// Fixed time of a decode step.
    pub step_base: Micros,
    /// Added time of a decode step for each request in the batch; a full batch stays under 35 ms.
    pub step_per_request: Micros,
    /// Fixed time of a prefill.
    pub prefill_base: Micros,
    /// Prefill time in nanoseconds for each token outside the cached prefix.
    pub prefill_per_token_ns: u64,
    /// Lifetime of prefilled KV data at the prefill engine (section 1: under one second).
    pub kv_lifetime: Micros,
    /// KV cache size of one token.
    pub kv_bytes_per_token: u64,
    /// Bandwidth of a prefill engine's link inside its data centre.
    pub local_link_bytes_per_us: u64,
    /// Bandwidth of the link between two data centres in one direction.
    pub cross_link_bytes_per_us: u64,
    /// Prefix-cache capacity of a prefill engine in pieces.
    pub cache_pieces: usize,
    /// Tokens in a prefix-cache piece (section 1: about 2,000).
    pub piece_tokens: u32,
    /// Interval between load reports.
    pub report_period: Micros,
    /// Age of a load report when it reaches a host.
    pub report_lag: Micros,
    /// Age of a cache event when it reaches a host.
    pub event_lag: Micros,
    /// Share of cache events that are lost.
    pub event_loss: f64,
    /// Share of requests that their callers cancel.
    pub cancel_share: f64,
    /// Median delay between a request and its cancellation by the caller.
    pub cancel_median: Micros,
    /// Caller's timeout for the first token.
    pub first_token_timeout: Micros,
    /// Probability that a caller resends a request that was refused, failed or timed out.
    pub resend: f64,
    /// Multiplier of the offered load.
    pub load_factor: f64,
    /// Median length of the shared prompt prefix; each request adds a unique tail.
    pub prompt_median_tokens: f64,
    /// Shape parameter (sigma) of the log-normal prefix length.
    pub prompt_sigma: f64,
    /// Median answer length.
    pub answer_median_tokens: f64,
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
            local_link_bytes_per_us: 5_000,
            cross_link_bytes_per_us: 2_500,
            cache_pieces: 150,
            piece_tokens: 2_000,
            report_period: 100 * MILLISECOND,
            report_lag: 150 * MILLISECOND,
            event_lag: 200 * MILLISECOND,
            event_loss: 0.02,
            cancel_share: 0.62,
            cancel_median: 900 * MILLISECOND,
            first_token_timeout: 8 * SECOND,
            resend: 0.5,
            load_factor: 1.0,
            prompt_median_tokens: 1_300.0,
            prompt_sigma: 1.2,
            answer_median_tokens: 90.0,
        }
    }
}

/// Size, topology and demand of a deployment.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Name in tables.
    pub name: &'static str,
    /// Entry hosts.
    pub hosts: usize,
    /// Data centres; endpoint or host `i` is in data centre `i % data_centres`.
    pub data_centres: usize,
    /// One-way delay between data centres.
    pub cross_delay: Micros,
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
    /// Plain-service servers.
    pub services: usize,
    /// Each customer's share of the demand.
    pub demand_shares: &'static [f64],
    /// Mean model requests per second at load factor 1, which fills the decode slots at the peak of the
    /// run.
    pub requests_per_s: f64,
    /// Mean plain lookups per second.
    pub lookups_per_s: f64,
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
    demand_shares: &[0.38, 0.30, 0.16, 0.10, 0.06],
    requests_per_s: 62.0,
    lookups_per_s: 60.0,
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
    demand_shares: &[0.42, 0.28, 0.15, 0.10, 0.05],
    requests_per_s: 36.0,
    lookups_per_s: 40.0,
};

/// One-way delay inside a data centre.
pub const LOCAL_DELAY: Micros = 100;
/// Duration of a run; measures leave out the first [`WARM_UP`].
pub const RUN_DURATION: Micros = 70 * SECOND;
/// Warm-up before measuring starts.
pub const WARM_UP: Micros = 10 * SECOND;
/// Start of the fault or overload pulse.
pub const FAULT_START: Micros = 30 * SECOND;
/// End of the fault or overload pulse.
pub const FAULT_END: Micros = 42 * SECOND;
/// Rate limit of a customer, as a multiple of its mean demand.
pub const RATE_HEADROOM: f64 = 1.3;
/// Token bucket capacity of a customer, in seconds of its rate limit.
pub const BURST_S: f64 = 2.0;
