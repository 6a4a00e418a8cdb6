//! Metrics of the coordinator.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Label with the reason of a refusal or retry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Reason {
    /// Machine-readable reason.
    pub(crate) reason: String,
}

/// Metrics of the coordinator.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    pub(crate) admissions: Counter,
    pub(crate) refusals: Family<Reason, Counter>,
}

impl Metrics {
    /// Registers all metrics.
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
        Self {
            registry,
            admissions,
            refusals,
        }
    }
}
