//! Counters and latency histograms.

use berylknot_telemetry::log::Dropped;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Label {
    pub(crate) reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Kind {
    pub(crate) kind: &'static str,
}

/// Buckets of the latency histograms in seconds; they cover the latency objectives of the
/// deployments.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 0.9, 2.0, 5.0, 15.0,
];

/// Metrics of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) refusals: Family<Label, Counter>,
    pub(crate) retries: Family<Label, Counter>,
    pub(crate) answers: Family<Kind, Counter>,
    pub(crate) unframed_answers: Family<Kind, Counter>,
    pub(crate) cuts: Family<Label, Counter>,
    pub(crate) unproven_ends: Family<Label, Counter>,
    pub(crate) silent_streams: Counter,
    pub(crate) latency: Family<Kind, Histogram>,
    pub(crate) crashes: Counter,
    pub(crate) link_losses: Counter,
    pub(crate) relayed: Counter,
    pub(crate) evacuated: Gauge,
    pub(crate) cold: Counter,
    pub(crate) saved_tokens: Counter,
    pub(crate) shed_calls: Counter,
    pub(crate) hopeless_calls: Counter,
    pub(crate) shared_turns: Counter,
    pub(crate) trials: Counter,
    dropped_lines: Counter,
    dropped: Dropped,
}

impl Metrics {
    pub(crate) fn new(dropped: Dropped) -> Self {
        let mut registry = Registry::with_prefix("berylknot");
        let refusals = Family::default();
        let retries = Family::default();
        let answers = Family::default();
        let unframed_answers = Family::default();
        let cuts = Family::default();
        let unproven_ends = Family::default();
        let silent_streams = Counter::default();
        let latency =
            Family::<Kind, Histogram>::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS_S));
        let crashes = Counter::default();
        let link_losses = Counter::default();
        let relayed = Counter::default();
        let evacuated = Gauge::default();
        let cold = Counter::default();
        let saved_tokens = Counter::default();
        let shed_calls = Counter::default();
        let hopeless_calls = Counter::default();
        let shared_turns = Counter::default();
        let trials = Counter::default();
        let dropped_lines = Counter::default();
        registry.register(
            "refusals",
            "Answers of the system's own by reason",
            refusals.clone(),
        );
        registry.register("retries", "Repeated sends by reason", retries.clone());
        registry.register(
            "answers",
            "Answers of endpoints by kind of route",
            answers.clone(),
        );
        registry.register(
            "unframed_answers",
            "Answers of endpoints without a length and chunks, which end with their connection, by kind of route",
            unframed_answers.clone(),
        );
        registry.register("cuts", "Streams that ended early by reason", cuts.clone());
        registry.register(
            "unproven_ends",
            "Streams that ended with their connection and whose engine did not prove that they are whole, by reason",
            unproven_ends.clone(),
        );
        registry.register(
            "silent_streams",
            "Streams without an event for so long that another engine was sought",
            silent_streams.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time to the first byte by kind",
            latency.clone(),
        );
        registry.register(
            "crashes",
            "Generations whose engine closed the connection before the first event",
            crashes.clone(),
        );
        registry.register(
            "link_losses",
            "Losses of this host's links to all endpoints",
            link_losses.clone(),
        );
        registry.register(
            "relayed_connections",
            "Connections to endpoints relayed for other hosts",
            relayed.clone(),
        );
        registry.register(
            "evacuated_data_centres",
            "Data centres that the operator evacuates, as this host knows",
            evacuated.clone(),
        );
        registry.register(
            "cold_endpoints",
            "Endpoints that this host has learned to be cold",
            cold.clone(),
        );
        registry.register(
            "saved_prompt_tokens",
            "Prompt tokens that the chosen prefill engines probably held",
            saved_tokens.clone(),
        );
        registry.register(
            "shed_calls",
            "Calls refused since their customer sends far more than its share of a full service",
            shed_calls.clone(),
        );
        registry.register(
            "hopeless_calls",
            "Calls refused at arrival since no endpoint would answer before their callers leave",
            hopeless_calls.clone(),
        );
        registry.register(
            "shared_turns",
            "Generations queued by the share of their customer",
            shared_turns.clone(),
        );
        registry.register(
            "silent_engine_trials",
            "Endpoints that hosts have agreed to be silent, and that get one request at a time",
            trials.clone(),
        );
        registry.register(
            "dropped_log_lines",
            "Log lines that were not written",
            dropped_lines.clone(),
        );
        Self {
            registry,
            refusals,
            retries,
            answers,
            unframed_answers,
            cuts,
            unproven_ends,
            silent_streams,
            latency,
            crashes,
            link_losses,
            relayed,
            evacuated,
            cold,
            saved_tokens,
            shed_calls,
            hopeless_calls,
            shared_turns,
            trials,
            dropped_lines,
            dropped,
        }
    }

    /// Renders all metrics in the text format, with the current count of dropped log lines.
    ///
    /// # Errors
    /// Fails when a metric cannot be formatted.
    pub(crate) fn render(&self) -> eyre::Result<String> {
        let new = self
            .dropped
            .count()
            .saturating_sub(self.dropped_lines.get());
        self.dropped_lines.inc_by(new);
        berylknot_telemetry::metrics::render(&self.registry)
    }

    /// Counts a repeated send.
    pub(crate) fn retry(&self, reason: &'static str) {
        self.retries.get_or_create(&Label { reason }).inc();
    }
}
