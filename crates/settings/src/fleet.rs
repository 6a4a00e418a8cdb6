//! Validated settings of a fleet.

mod check;
mod customer;
mod endpoint;
mod key;
mod model;
mod quota;
mod route;

use std::collections::BTreeMap;
use std::path::Path as FilePath;

use crate::issue::Issue;
use crate::key::{Hash, Pepper};
use crate::place::Location;
use crate::{Error, Result, Source, collect, raw};

pub use crate::raw::{Kind, Model, Operation, Quota};
pub use customer::{Customer, CustomerKey};
pub use endpoint::{Endpoint, EndpointKey};
pub use key::Key;
pub use route::Route;

/// Validated settings of a fleet, with lookups by name and key.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    customers: Vec<Customer>,
    keys: Vec<Key>,
    key_index: key::Index,
    models: BTreeMap<String, raw::Model>,
    endpoints: Vec<Endpoint>,
    routes: BTreeMap<String, Route>,
    quota: raw::Quota,
}

impl Fleet {
    /// Parses and validates the JSON text of a merged document.
    ///
    /// # Errors
    /// Fails with all findings.
    pub fn from_json(text: &str) -> Result<Self> {
        Self::from_source(&Source::from_text("", text))
    }

    /// Reads, merges and validates a folder of settings files.
    ///
    /// # Errors
    /// Fails with all findings.
    pub fn read_folder(folder: &FilePath) -> Result<Self> {
        Self::from_source(&Source::read_folder(folder))
    }

    /// Validates settings that were read with their locations.
    ///
    /// # Errors
    /// Fails with all findings: syntax, type and semantic errors. An error that may only be a
    /// consequence of another one is left out.
    pub fn from_source(source: &Source) -> Result<Self> {
        let outcome = collect::read::<raw::Document>(source);
        let mut findings = source.findings().to_vec();
        findings.extend(outcome.findings);
        let Some(document) = outcome.value else {
            return Err(Error::new(findings));
        };
        let (fleet, issues) = build(document);
        for issue in issues {
            findings.extend(issue.resolve(source, &outcome.faulty));
        }
        if findings.is_empty() {
            Ok(fleet)
        } else {
            Err(Error::new(findings))
        }
    }

    /// All customers, sorted by name.
    #[must_use]
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// The customer at a key of this fleet.
    ///
    /// # Panics
    /// Panics if the key comes from another fleet and is out of range.
    #[must_use]
    pub fn customer(&self, key: CustomerKey) -> &Customer {
        &self.customers[key.index()]
    }

    /// Looks up a customer's key by name.
    #[must_use]
    pub fn customer_named(&self, name: &str) -> Option<CustomerKey> {
        let order = |customer: &Customer| customer.name.as_str().cmp(name);
        let index = self.customers.binary_search_by(order).ok()?;
        u32::try_from(index).ok().map(CustomerKey)
    }

    /// All endpoints with their keys, sorted by name.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        (0..).map(EndpointKey).zip(&self.endpoints)
    }

    /// Engines of a model whose initial kind is `kind`.
    pub fn engines(
        &self,
        model: &str,
        kind: Kind,
    ) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints()
            .filter(move |(_, endpoint)| endpoint.kind == kind && endpoint.model == model)
    }

    /// The endpoint at a key of this fleet.
    ///
    /// # Panics
    /// Panics if the key comes from another fleet and is out of range.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> &Endpoint {
        &self.endpoints[key.index()]
    }

    /// Looks up an endpoint's key by name.
    #[must_use]
    pub fn endpoint_named(&self, name: &str) -> Option<EndpointKey> {
        let order = |endpoint: &Endpoint| endpoint.name.as_str().cmp(name);
        let index = self.endpoints.binary_search_by(order).ok()?;
        u32::try_from(index).ok().map(EndpointKey)
    }

    /// Looks up a route to a plain service by name.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.get(name)
    }

    /// All routes to plain services, sorted by name.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// All models by name.
    #[must_use]
    pub const fn models(&self) -> &BTreeMap<String, raw::Model> {
        &self.models
    }

    /// Looks up a model by name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&raw::Model> {
        self.models.get(name)
    }

    /// Division of rate limits among hosts.
    #[must_use]
    pub const fn quota(&self) -> &raw::Quota {
        &self.quota
    }

    /// Finds the key whose hash matches a presented key, including withdrawn keys.
    ///
    /// The search time depends on the number of stored hashes, not on which of them matches; see
    /// [`Hash::matches`].
    #[must_use]
    pub fn find_key(&self, presented: &str, pepper: &Pepper) -> Option<&Key> {
        let index = self
            .key_index
            .find(&Hash::of(presented, pepper), &self.keys)?;
        self.keys.get(index)
    }

    /// All keys, sorted by id, including withdrawn keys.
    #[must_use]
    pub fn keys(&self) -> &[Key] {
        &self.keys
    }

    /// Looks up a key by its public id.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<&Key> {
        let index = self
            .keys
            .binary_search_by(|key| key.id.as_str().cmp(id))
            .ok()?;
        self.keys.get(index)
    }
}

impl TryFrom<raw::Document> for Fleet {
    type Error = Error;

    fn try_from(document: raw::Document) -> Result<Self> {
        let (fleet, issues) = build(document);
        if issues.is_empty() {
            return Ok(fleet);
        }
        let location = Location::default();
        let findings = issues
            .into_iter()
            .map(|issue| issue.into_finding(&location))
            .collect();
        Err(Error::new(findings))
    }
}

/// Validates a document section by section. The fleet is complete only if there are no issues.
fn build(document: raw::Document) -> (Fleet, Vec<Issue>) {
    let mut issues = Vec::new();
    let mut fleet = Fleet::default();
    quota::check(&document.quota, &mut issues);
    fleet.quota = document.quota;
    fleet.customers = customer::check(document.customers, &fleet.quota, &mut issues);
    fleet.keys = key::check(document.keys, &fleet, &mut issues);
    fleet.key_index = key::Index::new(&fleet.keys);
    fleet.endpoints = endpoint::check(document.endpoints, &document.models, &mut issues);
    model::check(&document.models, &fleet, &mut issues);
    fleet.models = document.models;
    fleet.routes = route::check(document.routes, &fleet, &mut issues);
    (fleet, issues)
}
