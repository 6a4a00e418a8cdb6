//! Metrics of the gateway.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Bucket bounds of the TTFT histogram in seconds; the target is 0.72 s.
const TTFT_BUCKETS_S: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.36, 0.5, 0.72, 1.0, 2.0, 5.0];

/// Bucket bounds of the TPOT histogram in seconds; the target is 0.035 s.
const TPOT_BUCKETS_S: [f64; 9] = [0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.5, 2.0];

/// Label with the reason of a refusal, retry or cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Reason {
    /// Machine-readable reason.
    pub(crate) reason: &'static str,
}

/// Registry of the gateway and handles to its metrics.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    pub(crate) finished: Counter,
    pub(crate) refusals: Family<Reason, Counter>,
    pub(crate) retries: Family<Reason, Counter>,
    pub(crate) retries_denied: Family<Reason, Counter>,
    pub(crate) cancelled: Family<Reason, Counter>,
    pub(crate) service_calls: Counter,
    pub(crate) tokens: Counter,
    pub(crate) open_requests: Gauge,
    pub(crate) configuration_version: Gauge,
    pub(crate) ttft: Histogram,
    pub(crate) tpot: Histogram,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let metrics = Self {
            registry: Registry::default(),
            finished: Counter::default(),
            refusals: Family::default(),
            retries: Family::default(),
            retries_denied: Family::default(),
            cancelled: Family::default(),
            service_calls: Counter::default(),
            tokens: Counter::default(),
            open_requests: Gauge::default(),
            configuration_version: Gauge::default(),
            ttft: Histogram::new(TTFT_BUCKETS_S),
            tpot: Histogram::new(TPOT_BUCKETS_S),
        };
        metrics.registered()
    }

    fn registered(mut self) -> Self {
        let mut registry = Registry::with_prefix("berylknot_gateway");
        registry.register(
            "finished",
            "Model requests answered whole",
            self.finished.clone(),
        );
        registry.register(
            "refusals",
            "Requests refused, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "retries",
            "Attempts after the first, by reason",
            self.retries.clone(),
        );
        registry.register(
            "retries_denied",
            "Attempts for which the retry budget had nothing left, by reason",
            self.retries_denied.clone(),
        );
        registry.register(
            "cancelled",
            "Model requests cancelled, by reason",
            self.cancelled.clone(),
        );
        registry.register(
            "service_calls",
            "Calls answered by services",
            self.service_calls.clone(),
        );
        registry.register("tokens", "Tokens delivered to callers", self.tokens.clone());
        registry.register(
            "open_requests",
            "Requests that run now",
            self.open_requests.clone(),
        );
        let version = self.configuration_version.clone();
        registry.register(
            "configuration_version",
            "Version of the settings in force",
            version,
        );
        registry.register("ttft_seconds", "Time to first token", self.ttft.clone());
        registry.register("tpot_seconds", "Time between tokens", self.tpot.clone());
        self.registry = registry;
        self
    }

    /// Counts a refusal under its code.
    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&Reason { reason }).inc();
    }
}
