//! Types of the merged settings before validation.
//!
//! The JSON schema is generated from these types; their doc comments become its descriptions.

mod customer;
mod endpoint;
mod key;
mod model;
mod quota;
mod route;

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use customer::Customer;
pub use endpoint::{Endpoint, Kind};
pub use key::Key;
pub use model::Model;
pub use quota::Quota;
pub use route::{Operation, Route};

/// Settings of a fleet, merged from all files of a folder.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Customers by name.
    pub customers: BTreeMap<String, Customer>,
    /// API keys by public id.
    pub keys: BTreeMap<String, Key>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Routes to plain services by name: the first path segment below `/services/`.
    pub routes: BTreeMap<String, Route>,
    /// Division of rate limits among hosts.
    pub quota: Quota,
}
