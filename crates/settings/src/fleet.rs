//! Checked settings of a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::key::{Hash, Pepper};
use crate::raw;
use crate::{Error, Finding, Result};

pub use crate::raw::Kind;

/// Index of a customer in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerKey(u32);

/// Index of an endpoint in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(u32);

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name.
    pub name: String,
    /// Tokens per second over all hosts.
    pub rate: u64,
    /// Tokens that may be used at once.
    pub burst: u64,
    /// Share of the fleet relative to other customers.
    pub weight: u32,
}

/// A key of a customer.
#[derive(Clone, Debug)]
pub struct Key {
    /// Public id of the key.
    pub id: String,
    /// Customer that the key belongs to.
    pub customer: CustomerKey,
    /// Keyed hash of the key.
    pub hash: Hash,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name.
    pub name: String,
    /// Kind at start.
    pub kind: Kind,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Model of an engine; empty for a service.
    pub model: String,
    /// Requests that an engine runs at one time.
    pub slots: u32,
    /// Whether the engine refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Whether the endpoint takes no new work.
    pub leaving: bool,
}

/// A route to a plain service.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name, which is the first path segment below `/services/`.
    pub name: String,
    /// Endpoints of the service.
    pub endpoints: Vec<EndpointKey>,
    /// Whether the route needs no key.
    pub open: bool,
    /// Customers that may use the route; empty for all.
    pub customers: Vec<CustomerKey>,
    /// Operations that are not described by their method's usual meaning.
    pub operations: Vec<raw::Operation>,
    /// Deadline of a call in milliseconds.
    pub timeout_ms: u64,
}

impl Route {
    /// Whether a call may be repeated: by a described operation, else by its method.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        for operation in &self.operations {
            if operation.method.eq_ignore_ascii_case(method) && path.starts_with(&operation.path) {
                return operation.idempotent;
            }
        }
        matches!(method, "GET" | "HEAD" | "OPTIONS")
    }
}

/// Checked settings of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    customers: Vec<Customer>,
    keys: Vec<Key>,
    models: BTreeMap<String, raw::Model>,
    endpoints: Vec<Endpoint>,
    routes: BTreeMap<String, Route>,
    quota: raw::Quota,
}

impl Fleet {
    /// Reads the JSON text of a merged document.
    ///
    /// # Errors
    /// Fails with all findings.
    pub fn from_json(text: &str) -> Result<Self> {
        let document: raw::Document = serde_json::from_str(text)
            .map_err(|error| Error::new(vec![finding("", &error.to_string())]))?;
        Self::try_from(document)
    }

    /// All customers.
    #[must_use]
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// A customer.
    #[must_use]
    pub fn customer(&self, key: CustomerKey) -> &Customer {
        &self.customers[key.0 as usize]
    }

    /// Key of the customer with a name.
    #[must_use]
    pub fn customer_named(&self, name: &str) -> Option<CustomerKey> {
        let index = self
            .customers
            .binary_search_by(|customer| customer.name.as_str().cmp(name))
            .ok()?;
        u32::try_from(index).ok().map(CustomerKey)
    }

    /// All endpoints with their keys.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        (0..).map(EndpointKey).zip(&self.endpoints)
    }

    /// An endpoint.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> &Endpoint {
        &self.endpoints[key.0 as usize]
    }

    /// Key of the endpoint with a name.
    #[must_use]
    pub fn endpoint_named(&self, name: &str) -> Option<EndpointKey> {
        let index = self
            .endpoints
            .binary_search_by(|endpoint| endpoint.name.as_str().cmp(name))
            .ok()?;
        u32::try_from(index).ok().map(EndpointKey)
    }

    /// A route to a plain service.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.get(name)
    }

    /// All models by name.
    #[must_use]
    pub const fn models(&self) -> &BTreeMap<String, raw::Model> {
        &self.models
    }

    /// Division of rates over hosts.
    #[must_use]
    pub const fn quota(&self) -> &raw::Quota {
        &self.quota
    }

    /// Finds the key whose hash matches a presented key, withdrawn or not.
    #[must_use]
    pub fn find_key(&self, presented: &str, pepper: &Pepper) -> Option<&Key> {
        let hash = Hash::of(presented, pepper);
        let mut found = None;
        // All keys are compared, so that the time does not tell which one matched.
        for key in &self.keys {
            if key.hash.matches(&hash) {
                found = Some(key);
            }
        }
        found
    }

    /// The key with a public id.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<&Key> {
        self.keys.iter().find(|key| key.id == id)
    }
}

impl TryFrom<raw::Document> for Fleet {
    type Error = Error;

    fn try_from(document: raw::Document) -> Result<Self> {
        let mut findings = Vec::new();
        let mut fleet = Self {
            models: document.models,
            quota: document.quota,
            ..Self::default()
        };
        for (name, customer) in document.customers {
            let raw::Customer {
                rate,
                burst,
                weight,
            } = customer;
            fleet.customers.push(Customer {
                name,
                rate,
                burst,
                weight,
            });
        }
        for (id, key) in document.keys {
            let Some(customer) = fleet.customer_named(&key.customer) else {
                findings.push(finding(
                    &format!("keys.{id}.customer"),
                    "customer does not exist",
                ));
                continue;
            };
            let Some(hash) = Hash::from_hex(&key.hash) else {
                findings.push(finding(
                    &format!("keys.{id}.hash"),
                    "hash is not 64 hexadecimal digits",
                ));
                continue;
            };
            fleet.keys.push(Key {
                id,
                customer,
                hash,
                withdrawn: key.withdrawn,
            });
        }
        for (name, endpoint) in document.endpoints {
            let Ok(address) = endpoint.address.parse() else {
                findings.push(finding(
                    &format!("endpoints.{name}.address"),
                    "address is not IP:port",
                ));
                continue;
            };
            fleet.endpoints.push(Endpoint {
                name,
                kind: endpoint.kind,
                address,
                data_centre: endpoint.data_centre,
                model: endpoint.model.unwrap_or_default(),
                slots: endpoint.slots,
                checks_fencing: endpoint.checks_fencing,
                leaving: endpoint.leaving,
            });
        }
        for (name, route) in document.routes {
            let mut endpoints = Vec::new();
            for endpoint in &route.endpoints {
                match fleet.endpoint_named(endpoint) {
                    Some(key) => endpoints.push(key),
                    None => findings.push(finding(
                        &format!("routes.{name}.endpoints"),
                        &format!("endpoint {endpoint:?} does not exist"),
                    )),
                }
            }
            let mut customers = Vec::new();
            for customer in &route.customers {
                match fleet.customer_named(customer) {
                    Some(key) => customers.push(key),
                    None => findings.push(finding(
                        &format!("routes.{name}.customers"),
                        &format!("customer {customer:?} does not exist"),
                    )),
                }
            }
            let raw::Route {
                open,
                operations,
                timeout_ms,
                ..
            } = route;
            fleet.routes.insert(
                name.clone(),
                Route {
                    name,
                    endpoints,
                    open,
                    customers,
                    operations,
                    timeout_ms,
                },
            );
        }
        if findings.is_empty() {
            Ok(fleet)
        } else {
            Err(Error::new(findings))
        }
    }
}

fn finding(path: &str, message: &str) -> Finding {
    Finding {
        file: String::new(),
        line: 0,
        column: 0,
        path: path.to_owned(),
        message: message.to_owned(),
        hint: String::new(),
    }
}
