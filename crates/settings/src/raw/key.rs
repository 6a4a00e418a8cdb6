//! The section `keys`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An API key of a customer; only its hash is stored.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the customer that owns the key.
    pub customer: String,
    /// HMAC-SHA-256 of the key under the deployment's pepper, as 64 hexadecimal digits.
    #[schemars(regex(pattern = r"^[0-9a-fA-F]{64}$"))]
    pub hash: String,
    /// Whether the key was withdrawn and is no longer accepted.
    #[serde(default)]
    pub withdrawn: bool,
}
