//! The operator's configuration after validation, and the choice of routes and services.

use std::collections::HashMap;
use std::time::Duration;

/// Retry semantics of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming,
}

impl Kind {
    /// Name in metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Streaming => "streaming",
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
        }
    }
}

/// A route from callers to a service.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host name that requests must have, compared without case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Retry semantics.
    pub kind: Kind,
    /// Timeout of a request, from its arrival to the end of the answer.
    pub timeout: Duration,
    /// Latency objective: time to the answer, or to the first event of a stream.
    pub latency_target: Duration,
    /// Objective for the gap between the events of a stream.
    pub gap_target: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights in the traffic split.
    pub services: Vec<(String, u32)>,
    /// Maximum number of endpoints that may run one attempt of a caller.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether a broken stream may resume at another endpoint.
    pub resumable: bool,
    /// Regions in which requests may run; any if empty.
    pub homes: Vec<String>,
}

/// A plain service or a group of model engines.
#[derive(Clone, Debug)]
pub struct Service {
    /// Maximum connections that an endpoint accepts from all hosts together.
    pub max_connections: u32,
    /// Path of the endpoints' health checks, if they have any.
    pub health_path: Option<String>,
    /// Engine properties; `None` for plain services.
    pub engine: Option<Engine>,
    /// Time for which an endpoint is cold after its start.
    pub cold_start: Duration,
    /// Requests a second that an endpoint tolerates while it is cold; 0 if endpoints are never cold.
    pub cold_rate: f64,
}

/// Properties of the engines of a service.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Maximum requests in a batch.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub capacity: u32,
    /// Output tokens per event of a stream.
    pub tokens_per_event: u32,
    /// Retention of a prompt's KV cache at a prefill engine.
    pub kv_retention: Duration,
    /// Duration of a change between prefill and decode.
    pub stage_change: Duration,
}

/// A customer with its priority and token quota.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name in logs and reports.
    pub name: String,
    /// Priority that overrides the one of the route.
    pub priority: Option<u8>,
    /// Quota in tokens per second; 0 means unlimited.
    pub rate: u64,
    /// Burst: tokens that may be used beyond the rate.
    pub burst: u64,
    /// Tokens charged for a request that states no token count.
    pub plain_tokens: u64,
    /// Regions in which its requests may run; any if empty.
    pub homes: Vec<String>,
}

/// The operator's configuration.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Version; a configuration is replaced only by one with a higher version.
    pub version: u64,
    /// Routes by host name and path prefix.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Customers; `keys` refers to them by index.
    pub customers: Vec<Customer>,
    /// Index of the customer of each API key.
    pub keys: HashMap<String, usize>,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
}

impl Fleet {
    /// The route of the host name with the longest matching path prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Smallest connection limit of all services.
    #[must_use]
    pub fn min_connection_limit(&self) -> Option<u32> {
        self.services
            .values()
            .map(|service| service.max_connections)
            .min()
    }

    /// Customer of an API key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.customers.get(*self.keys.get(key)?)
    }
}

/// Minimum stall timeout of callers, for streams with tight objectives.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Stall timeout as a multiple of the latency objective; the longest of the three counts.
const STALL_LATENCY_FACTOR: u32 = 4;
/// Stall timeout as a multiple of the gap objective.
const STALL_GAP_FACTOR: u32 = 8;
/// Gap between events after which a resumable stream resumes elsewhere, as a share of the stall
/// timeout. The rest covers the new start.
const RESUME_GAP_SHARE: f64 = 5.0 / 12.0;
/// Timeout of the first event of a resumable stream at an engine, as a share of the stall timeout. It
/// usually comes within 0.1 s.
const FIRST_EVENT_TIMEOUT_SHARE: f64 = 1.0 / 3.0;

impl Route {
    /// Stall timeout: pause between events after which a caller abandons a stream.
    #[must_use]
    pub fn stall_timeout(&self) -> Duration {
        MIN_STALL_TIMEOUT
            .max(self.latency_target * STALL_LATENCY_FACTOR)
            .max(self.gap_target * STALL_GAP_FACTOR)
    }

    /// Longest gap between whole events, after which a resumable stream resumes at another engine.
    #[must_use]
    pub fn resume_gap(&self) -> Duration {
        self.stall_timeout().mul_f64(RESUME_GAP_SHARE)
    }

    /// Timeout from a decode request to its first event, after which a resumable stream starts at
    /// another engine.
    #[must_use]
    pub fn first_event_timeout(&self) -> Duration {
        self.stall_timeout().mul_f64(FIRST_EVENT_TIMEOUT_SHARE)
    }

    /// Weighted random choice of a service; `draw` is uniform in 0..1.
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&str> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut point = draw * total as f64;
        for (service, weight) in &self.services {
            point -= f64::from(*weight);
            if point < 0.0 {
                return Some(service);
            }
        }
        self.services
            .iter()
            .rev()
            .find(|(_, weight)| *weight > 0)
            .map(|(service, _)| service.as_str())
    }
}
