//! The section `endpoints`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engine that runs prefills.
    Prefill,
    /// Model engine that runs decodes.
    Decode,
    /// Plain service.
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

/// An endpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Kind of the endpoint at start.
    pub kind: Kind,
    /// IP address and port, such as `10.0.0.5:8000` or `[fd00::5]:8000`.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Model of an engine; absent for a service.
    #[serde(default)]
    pub model: Option<String>,
    /// Requests that an engine runs at one time.
    #[serde(default = "default_slots")]
    #[schemars(range(min = 1, max = "Self::MAX_SLOTS"))]
    pub slots: u32,
    /// Whether the engine refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the endpoint takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

impl Endpoint {
    /// Highest number of slots; engines hold about twenty requests.
    pub const MAX_SLOTS: u32 = 4_096;
}

const fn default_slots() -> u32 {
    20
}
