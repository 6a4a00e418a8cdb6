//! The operator's configuration in checked form, and the choice of a route.

use std::collections::HashMap;
use std::time::Duration;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a series of events.
    Streaming,
}

/// A route from callers to a service.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host name that callers ask for.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency objective.
    pub latency_target: Duration,
    /// Longest pause between events for which a stream is on time.
    pub gap_target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub services: Vec<(String, u32)>,
    /// Largest number of endpoints that one attempt of a caller may run on.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Whether a broken stream may go on at another endpoint.
    pub resumable: bool,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Connections that an endpoint accepts from all hosts together.
    pub max_connections: u32,
    /// Engine properties, for model servers.
    pub engine: Option<Engine>,
}

/// Properties of the engines of a service.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens that fit into the memory.
    pub capacity: u32,
    /// Output tokens in an event of a stream.
    pub tokens_per_event: u32,
    /// Time that the KV cache of a prompt is kept.
    pub kv_retention: Duration,
    /// Time that a change of stage takes.
    pub stage_change: Duration,
}

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name.
    pub name: String,
    /// Rank that takes precedence over the route's.
    pub priority: Option<u8>,
    /// Tokens per second; 0 is no limit.
    pub rate: u64,
    /// Tokens that may be used at once beyond the rate.
    pub burst: u64,
    /// Tokens of a request that does not say how many it has.
    pub plain_tokens: u64,
}

/// The operator's configuration.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Version; only ever replaced by a higher one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Customers.
    pub customers: Vec<Customer>,
    /// Customer of each key.
    pub keys: HashMap<String, usize>,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
}

impl Fleet {
    /// The route with the longest prefix of the path among those of the host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }

    /// Connections that the endpoints of every service accept from all hosts together.
    #[must_use]
    pub fn min_connection_limit(&self) -> Option<u32> {
        self.services
            .values()
            .map(|service| service.max_connections)
            .min()
    }

    /// Customer of a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.customers.get(*self.keys.get(key)?)
    }
}

/// Pause after which callers abandon any stream.
const SHORTEST_PATIENCE: Duration = Duration::from_secs(2);
/// Callers wait for this many times the latency objective, or the longest pause, if that is longer.
const TARGET_PATIENCE: u32 = 4;
const PAUSE_PATIENCE: u32 = 8;

impl Route {
    /// Time without an event after which a caller abandons a stream.
    #[must_use]
    pub fn stall_timeout(&self) -> Duration {
        SHORTEST_PATIENCE
            .max(self.latency_target * TARGET_PATIENCE)
            .max(self.gap_target * PAUSE_PATIENCE)
    }

    /// Service for a request, in proportion to the weights; `draw` is uniform in 0..1.
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
