//! Messages from a gateway to the coordinator of its host.

use berylknot_coordination::claim;
use berylknot_coordination::record::{Id, Incarnation};
use serde::{Deserialize, Serialize};

/// Path of the coordinator's interface for its gateway.
pub const PATH: &str = "/v1/local";

/// Request from a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Request {
    /// Asks to admit a model request: for quota tokens, a decode slot and endpoints.
    Admit(Admit),
    /// Reports the exact length of a prompt after its prefill.
    Prefilled(Prefilled),
    /// Reports the end of an admitted request.
    Settle(Settle),
    /// Reports that an endpoint crashed with an admitted request in flight; answered once the peers
    /// have been told.
    Strike(Strike),
    /// Claims an idempotency key for a single execution of a call.
    ClaimKey(ClaimKey),
    /// Reports the end of a call that ran under a claim.
    FinishKey {
        /// Id of the claim.
        id: Id,
        /// Answer of the endpoint; `None` when it is unknown whether the call ran.
        outcome: Option<claim::Outcome>,
    },
    /// Abandons a claim whose call was not sent.
    AbandonKey {
        /// Id of the claim.
        id: Id,
    },
    /// Heartbeat of a gateway, sent once a second.
    Streams(Streams),
    /// Long poll for a configuration newer than `after`.
    Watch {
        /// Version in force at the gateway; zero for none.
        after: u64,
    },
    /// Asks for the remaining lifetime of the configuration's caller keys.
    AskFreshness,
}

/// Answer of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Response {
    /// The request is admitted.
    Admitted(Admitted),
    /// The request is not admitted and must not run.
    Refused(Refused),
    /// The claim is granted: the call may be sent once, within [`claim::SEND_TIMEOUT`] measured
    /// from before the request for the claim was sent.
    KeyWon {
        /// Id of the claim.
        id: Id,
    },
    /// The key was already claimed.
    KeyTaken(claim::Answer),
    /// A configuration newer than that of the request.
    Configuration(Configuration),
    /// The gateway may forward its streams.
    Forward {
        /// Lifetime of the permission in milliseconds, measured from before the heartbeat was sent;
        /// no other host cancels the streams before it ends.
        lifetime_ms: u64,
    },
    /// Remaining lifetime of the caller keys.
    Fresh {
        /// Version of the configuration that has the keys.
        version: u64,
        /// Lifetime in milliseconds, measured from before the request was sent; zero when the keys
        /// have expired.
        lifetime_ms: u64,
    },
    /// Acknowledgement without content; for [`Request::Watch`], no newer configuration appeared
    /// before the timeout.
    Done,
}

/// Model request to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Admit {
    /// Request id, unique over all hosts.
    pub request: String,
    /// Name of the customer; empty on open routes.
    pub customer: String,
    /// Name of the model.
    pub model: String,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, one for each complete cache piece.
    pub pieces: Vec<u64>,
    /// Hash of customer, route and body.
    pub fingerprint: u64,
    /// Endpoints on which earlier attempts of this request failed or were refused.
    pub avoid: Vec<String>,
    /// Whether the last endpoint of `avoid` refused the request, for instance because it was full.
    /// A refusal does not count as a fault of the endpoint.
    pub refused: bool,
}

/// Claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimKey {
    /// Idempotency key to claim.
    pub key: claim::Key,
    /// Hash of route, method, path and body of the call.
    pub fingerprint: u64,
    /// Timeout of the call in milliseconds; a call that was sent and has not finished by then has
    /// an unknown outcome.
    pub timeout_ms: u64,
}

/// Admission of a model request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Admitted {
    /// Name of the prefill endpoint.
    pub prefill: String,
    /// Name of the decode endpoint.
    pub decode: String,
    /// Tokens charged to the customer.
    pub charged_tokens: u64,
    /// Lifetime of the admission in milliseconds.
    pub lifetime_ms: u64,
    /// Scheduling priority for the engines; lower runs first.
    pub priority: i32,
}

/// Refusal of a request, which was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refused {
    /// Machine-readable reason, also the label of the refusal counter.
    pub code: String,
    /// Suggested delay before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Exact prompt length of an admitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Prefilled {
    /// Request id.
    pub request: String,
    /// Prompt length in tokens, as the engine counted it.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that the prefix cache already held.
    pub cached_tokens: u32,
}

/// Crash of an endpoint with a request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Strike {
    /// Request id.
    pub request: String,
    /// Name of the endpoint.
    pub endpoint: String,
}

/// End of an admitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Settle {
    /// Request id.
    pub request: String,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// How the request ended.
    pub end: End,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum End {
    /// The whole answer was delivered.
    Finished,
    /// The gateway stopped the request, for instance because the caller disconnected.
    Cancelled,
    /// An endpoint failed.
    Failed,
    /// No endpoint started the request, so no tokens were used.
    NotRun,
}

/// Heartbeat of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Streams {
    /// Incarnation of the gateway, which is part of its requests' ids.
    pub gateway: Incarnation,
    /// Whether the gateway is drained: it has no open requests and accepts no new ones.
    pub finished: bool,
}

/// Configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Configuration {
    /// Log position of the accepted publish.
    pub version: u64,
    /// Merged settings as JSON text.
    pub document: String,
}
