//! The section `endpoints`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Role of an endpoint: prefill pool, decode pool or plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engine in the prefill pool.
    Prefill,
    /// Model engine in the decode pool.
    Decode,
    /// Plain service, reached through a route.
    Service,
}

impl Kind {
    /// Name of the kind in the settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Service => "service",
        }
    }
}

/// A model engine or plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Initial kind of the endpoint.
    pub kind: Kind,
    /// IP address and port, such as `10.0.0.5:8000` or `[fd00::5]:8000`.
    pub address: String,
    /// Name of the data centre that the endpoint runs in.
    pub data_centre: String,
    /// Name of an engine's model; absent for a service.
    #[serde(default)]
    pub model: Option<String>,
    /// Maximum number of requests that an engine runs concurrently.
    #[serde(default = "default_slots")]
    #[schemars(range(min = 1, max = "Self::MAX_SLOTS"))]
    pub slots: u32,
    /// Whether the engine rejects orders with a stale fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the endpoint is being drained and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

impl Endpoint {
    /// Maximum number of slots; engines typically run about 20 concurrent requests.
    pub const MAX_SLOTS: u32 = 4_096;
}

const fn default_slots() -> u32 {
    20
}
