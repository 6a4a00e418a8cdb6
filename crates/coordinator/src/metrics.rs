//! Metrics of the coordinator.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label with the reason of a refusal or cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Reason {
    /// Machine-readable reason.
    pub(crate) reason: String,
}

/// Registry and metrics, which the actors and HTTP handlers update.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    pub(crate) admissions: Counter,
    pub(crate) refusals: Family<Reason, Counter>,
    pub(crate) log_appends: Counter,
    pub(crate) log_append_failures: Counter,
    pub(crate) log_read_failures: Counter,
    pub(crate) leases: Gauge,
    pub(crate) reaped: Family<Reason, Counter>,
}

impl Metrics {
    /// Makes all metrics and registers them.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("berylknot_coordinator");
        let admissions = Counter::default();
        registry.register("admissions", "Model requests admitted", admissions.clone());
        let refusals = Family::default();
        registry.register(
            "refusals",
            "Model requests refused, by reason",
            refusals.clone(),
        );
        let log_appends = Counter::default();
        registry.register(
            "log_appends",
            "Batches sent to the log",
            log_appends.clone(),
        );
        let log_append_failures = Counter::default();
        let help = "Appends whose answer was an error or did not come";
        registry.register("log_append_failures", help, log_append_failures.clone());
        let log_read_failures = Counter::default();
        registry.register(
            "log_read_failures",
            "Failed reads of the log",
            log_read_failures.clone(),
        );
        let reaped = Family::<Reason, Counter>::default();
        registry.register(
            "reaped",
            "Requests of gateways that are gone, cancelled at engines, by reason",
            reaped.clone(),
        );
        let leases = Gauge::default();
        registry.register(
            "leases",
            "Shards and seats that this host may use",
            leases.clone(),
        );
        Self {
            registry,
            admissions,
            refusals,
            log_appends,
            log_append_failures,
            log_read_failures,
            leases,
            reaped,
        }
    }
}
