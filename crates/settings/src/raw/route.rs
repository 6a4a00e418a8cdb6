//! The section `routes`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A route from callers to a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Names of the endpoints, which are of the kind `service`.
    pub endpoints: Vec<String>,
    /// Whether the route needs no key.
    #[serde(default)]
    pub open: bool,
    /// Names of the customers that may use the route; empty for all.
    #[serde(default)]
    pub customers: Vec<String>,
    /// Operations that are not described by their method's usual meaning; the first that matches
    /// a call counts. Without a match, GET, HEAD and OPTIONS are idempotent.
    #[serde(default)]
    #[schemars(length(max = "Self::MAX_OPERATIONS"))]
    pub operations: Vec<Operation>,
    /// Deadline of a call in milliseconds.
    #[serde(default = "default_timeout_ms")]
    #[schemars(range(min = "Self::MIN_TIMEOUT_MS", max = "Self::MAX_TIMEOUT_MS"))]
    pub timeout_ms: u64,
}

impl Route {
    /// Shortest deadline; below it, round trips between data centres use up the deadline.
    pub const MIN_TIMEOUT_MS: u64 = 10;

    /// Longest deadline: 10 min.
    pub const MAX_TIMEOUT_MS: u64 = 600_000;

    /// Most operations of a route; each call is compared with all of them.
    pub const MAX_OPERATIONS: usize = 256;
}

/// An operation of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// HTTP method in capitals.
    pub method: String,
    /// Path below the route, with a leading `/`; paths below it match, too.
    pub path: String,
    /// Whether the call may be repeated.
    pub idempotent: bool,
}

const fn default_timeout_ms() -> u64 {
    5_000
}
