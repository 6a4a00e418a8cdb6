//! Messages from a gateway to the coordinator of its host.

use berylknot_coordination::claim;
use berylknot_coordination::record::{Id, Incarnation};
use serde::{Deserialize, Serialize};

/// Path of the coordinator's interface for its gateway.
pub const PATH: &str = "/v1/local";

/// Message of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Request {
    /// Asks for tokens, a decode slot and endpoints for a model request.
    Admit(Admit),
    /// Reports the exact size of a prompt after its prefill.
    Prefilled(Prefilled),
    /// Reports the end of an admitted request.
    Settle(Settle),
    /// Reports that an endpoint crashed while an admitted request was in flight there; answered
    /// when the peers know.
    Strike(Strike),
    /// Claims an idempotency key for one run of a call.
    ClaimKey(ClaimKey),
    /// Reports the end of a call that ran under a claim.
    FinishKey {
        /// Id of the claim.
        id: Id,
        /// Answer of the endpoint; none when it is unknown whether the call ran.
        outcome: Option<claim::Outcome>,
    },
    /// Gives up a claim whose call was not sent.
    AbandonKey {
        /// Id of the claim.
        id: Id,
    },
    /// Reports that a gateway lives; sent once a second.
    Streams(Streams),
    /// Waits for a configuration newer than `after`.
    Watch {
        /// Version in force at the gateway; zero for none.
        after: u64,
    },
    /// Asks for how long the caller keys of the configuration may be honoured.
    AskFreshness,
}

/// Answer of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Response {
    /// The request may run as described.
    Admitted(Admitted),
    /// The request must not run.
    Refused(Refused),
    /// The claim was won: the call may be sent once, within [`claim::SEND_TIMEOUT`] from before
    /// the claim was asked for.
    KeyWon {
        /// Id of the claim.
        id: Id,
    },
    /// The key was used before.
    KeyTaken(claim::Answer),
    /// A configuration newer than the one asked about.
    Configuration(Configuration),
    /// The gateway's streams may be forwarded.
    Forward {
        /// Milliseconds, from before the report was sent, for which no other host cancels them.
        lifetime_ms: u64,
    },
    /// The caller keys may be honoured for a time.
    Fresh {
        /// Version of the configuration that this is about.
        version: u64,
        /// Time from before the question was sent, in milliseconds; zero when it has passed.
        lifetime_ms: u64,
    },
    /// Nothing to report.
    Done,
}

/// Description of a model request for admission.
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
    /// Highest number of tokens to generate.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, one for each complete cache piece.
    pub pieces: Vec<u64>,
    /// Hash of customer, route and body.
    pub fingerprint: u64,
    /// Endpoints that failed this request before.
    pub avoid: Vec<String>,
    /// Whether the last of them refused the request, which is no fault, for instance when full.
    pub refused: bool,
}

/// Claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimKey {
    /// The key.
    pub key: claim::Key,
    /// Hash of route, method, path and body of the call.
    pub fingerprint: u64,
    /// Time after which a call that was sent counts as one with an unknown end, in milliseconds.
    pub timeout_ms: u64,
}

/// Permission to run a model request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Admitted {
    /// Name of the prefill endpoint.
    pub prefill: String,
    /// Name of the decode endpoint.
    pub decode: String,
    /// Tokens charged to the customer.
    pub charged_tokens: u64,
    /// Milliseconds for which the permission is valid.
    pub lifetime_ms: u64,
    /// Scheduling priority for the engines; lower runs first.
    pub priority: i32,
}

/// Refusal of a request that was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refused {
    /// Machine-readable reason, also the label of the refusal counter.
    pub code: String,
    /// Milliseconds after which a retry is worth while.
    pub retry_after_ms: Option<u64>,
}

/// Exact prompt size of a running request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Prefilled {
    /// Request id.
    pub request: String,
    /// Prompt length in tokens, as the engine counted it.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were already cached.
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

/// Ways in which an admitted request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum End {
    /// The whole answer was delivered.
    Finished,
    /// The caller left.
    Cancelled,
    /// An endpoint failed.
    Failed,
    /// No endpoint began the request, so that nothing was used.
    NotRun,
}

/// Report of a gateway about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Streams {
    /// Incarnation in the ids of the gateway's requests.
    pub gateway: Incarnation,
    /// Whether the gateway has no requests and takes no more.
    pub finished: bool,
}

/// A configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Configuration {
    /// Log offset of the accepted publish.
    pub version: u64,
    /// Merged settings as JSON text.
    pub document: String,
}
