//! Raw form of the merged settings, before checks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Whole document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Customers by name.
    pub customers: BTreeMap<String, Customer>,
    /// Keys by id.
    pub keys: BTreeMap<String, Key>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// Division of rates over hosts.
    pub quota: Quota,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Tokens per second over all hosts.
    pub rate: u64,
    /// Tokens that may be used at once.
    pub burst: u64,
    /// Share of the fleet relative to other customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A key of a customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the customer.
    pub customer: String,
    /// Keyed hash of the key, in hexadecimal.
    pub hash: String,
    /// Whether the key was withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Prompt bytes per token, for the estimate at admission.
    #[serde(default = "default_bytes_per_token")]
    pub bytes_per_token: u32,
    /// Tokens to generate when the caller states none.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Target for the time to first token, in milliseconds.
    #[serde(default = "default_ttft_ms")]
    pub ttft_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    #[serde(default = "default_tpot_ms")]
    pub tpot_ms: u64,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engine that runs prefills.
    Prefill,
    /// Model engine that runs decodes.
    Decode,
    /// Plain service.
    Service,
}

/// An endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Kind of the endpoint at start.
    pub kind: Kind,
    /// IP address and port.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Model of an engine.
    #[serde(default)]
    pub model: Option<String>,
    /// Requests that an engine runs at one time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the engine refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the endpoint takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A route from callers to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Names of the endpoints.
    pub endpoints: Vec<String>,
    /// Whether the route needs no key.
    #[serde(default)]
    pub open: bool,
    /// Names of the customers that may use the route; empty for all.
    #[serde(default)]
    pub customers: Vec<String>,
    /// Operations that are not described by their method's usual meaning.
    #[serde(default)]
    pub operations: Vec<Operation>,
    /// Deadline of a call in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// An operation of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// HTTP method.
    pub method: String,
    /// Path prefix below the route.
    pub path: String,
    /// Whether the call may be repeated.
    pub idempotent: bool,
}

/// Division of rates over hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Percentage of each rate that is divided into floors.
    pub floor_percent: u32,
    /// Number of hosts that are planned.
    pub planned_hosts: u32,
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            floor_percent: 25,
            planned_hosts: 7,
        }
    }
}

const fn default_weight() -> u32 {
    1
}

const fn default_bytes_per_token() -> u32 {
    3
}

const fn default_max_tokens() -> u32 {
    256
}

const fn default_ttft_ms() -> u64 {
    720
}

const fn default_tpot_ms() -> u64 {
    35
}

const fn default_slots() -> u32 {
    20
}

const fn default_timeout_ms() -> u64 {
    5_000
}
