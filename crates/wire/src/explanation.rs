//! Explanations of where a host would send a request now, for operators.

use serde::{Deserialize, Serialize};

/// Path at which a host explains, on its address for metrics.
pub const PATH: &str = "/v1/explain";

/// A request as a caller would send it, without its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Question {
    /// Host name that the caller uses.
    pub host: String,
    /// Path, and query if there is one.
    pub path: String,
    /// Names and values of the headers.
    #[serde(default)]
    pub headers: Vec<(String, String)>,
    /// Customer in whose name to ask, instead of an API key in the headers.
    #[serde(default)]
    pub customer: Option<String>,
}

/// Where a request would go, and why.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the host that was asked.
    pub host: String,
    /// Version of the configuration in force; `None` without one.
    pub configuration: Option<u64>,
    /// The accepted request; `None` if it is refused at its arrival.
    pub request: Option<Accepted>,
    /// What would happen, and the endpoints among which to choose.
    pub placement: Placement,
}

/// What a host makes of the head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Accepted {
    /// Name of the route.
    pub route: String,
    /// Kind of the route.
    pub kind: String,
    /// Service that was chosen among those of the route.
    pub service: String,
    /// Services of the route with their weights.
    pub services: Vec<(String, u32)>,
    /// Customer to charge.
    pub customer: Option<String>,
    /// Tokens to charge.
    pub tokens: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time for which the request may take, in milliseconds.
    pub deadline_ms: u64,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Placement {
    /// Name of the host that decides.
    pub decided_by: String,
    /// The decision.
    pub outcome: Outcome,
    /// Endpoints of the service: those that may get the request by their cost, then the others.
    pub endpoints: Vec<Candidate>,
}

/// What would happen to a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
#[non_exhaustive]
pub enum Outcome {
    /// It is sent.
    Sent {
        /// Id of the endpoint that runs it. Hosts add a random part to the costs, so others of nearly the same
        /// cost are chosen too.
        endpoint: String,
        /// Id of the engine that reads the prompt; `None` if the endpoint does so itself.
        prefill: Option<String>,
        /// Share of such requests that is admitted; the others are refused.
        admitted_share: f64,
        /// Whether the endpoint limits its requests, so that the leader has to permit it.
        needs_permit: bool,
    },
    /// It waits for an engine.
    Queued {
        /// Requests that go before it.
        ahead: usize,
        /// Expected wait in milliseconds.
        expected_wait_ms: u64,
    },
    /// It is refused.
    Refused {
        /// Status of the answer.
        status: u16,
        /// Code in the body of the answer.
        reason: String,
        /// Mean `Retry-After` in milliseconds; `None` if a retry cannot help.
        retry_after_ms: Option<u64>,
    },
}

/// An endpoint as a host knows it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Candidate {
    /// Id of the endpoint.
    pub id: String,
    /// Its data centre.
    pub data_centre: String,
    /// Stage of an engine: `prefill` or `decode`.
    pub stage: Option<String>,
    /// Cost, comparable within a stage; `None` if the endpoint is left out.
    pub cost: Option<f64>,
    /// Why the endpoint is left out.
    pub excluded: Option<String>,
    /// Requests that the hosts have there.
    pub requests: u32,
    /// Time that work takes, as a multiple of the usual, if the endpoint states it.
    pub pace: Option<f64>,
    /// Forecast of the time until a call is answered, in milliseconds.
    pub end_ms: Option<u64>,
    /// Requests a second that the endpoint takes.
    pub limit_per_s: Option<f64>,
    /// Whether the endpoint has just started and is slow.
    pub is_cold: bool,
    /// Tokens of the prompt that the engine probably holds.
    pub held_tokens: u32,
}
