//! The section `routes`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A route from `/services/<name>` to the endpoints of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Names of the endpoints, which must be of kind `service`.
    pub endpoints: Vec<String>,
    /// Whether calls are accepted without an API key.
    #[serde(default)]
    pub open: bool,
    /// Names of the customers that may use the route; empty means all.
    #[serde(default)]
    pub customers: Vec<String>,
    /// Operations whose idempotency is declared instead of derived from the method; the first match
    /// applies. Without a match, only GET, HEAD and OPTIONS are idempotent.
    #[serde(default)]
    #[schemars(length(max = "Self::MAX_OPERATIONS"))]
    pub operations: Vec<Operation>,
    /// Deadline of a call in milliseconds.
    #[serde(default = "default_timeout_ms")]
    #[schemars(range(min = "Self::MIN_TIMEOUT_MS", max = "Self::MAX_TIMEOUT_MS"))]
    pub timeout_ms: u64,
}

impl Route {
    /// Minimum deadline; a shorter one is used up by round trips between data centres.
    pub const MIN_TIMEOUT_MS: u64 = 10;

    /// Maximum deadline: 10 min.
    pub const MAX_TIMEOUT_MS: u64 = 600_000;

    /// Maximum number of operations per route; each call may be compared with all of them.
    pub const MAX_OPERATIONS: usize = 256;
}

/// An operation of a plain service with declared idempotency.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// HTTP method in upper case.
    pub method: String,
    /// Path relative to the route, with a leading `/`; it also matches all paths below it.
    pub path: String,
    /// Whether the call may be retried.
    pub idempotent: bool,
}

const fn default_timeout_ms() -> u64 {
    5_000
}
