//! Checked settings of a fleet.

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
use crate::place::Place;
use crate::{Error, Result, Source, collect, raw};

pub use crate::raw::{Kind, Model, Operation, Quota};
pub use customer::{Customer, CustomerKey};
pub use endpoint::{Endpoint, EndpointKey};
pub use key::Key;
pub use route::Route;

/// Checked settings of a fleet.
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
    /// Reads the JSON text of a merged document.
    ///
    /// # Errors
    /// Fails with all findings.
    pub fn from_json(text: &str) -> Result<Self> {
        Self::from_source(&Source::from_text("", text))
    }

    /// Reads and merges a folder of settings files.
    ///
    /// # Errors
    /// Fails with all findings.
    pub fn read_folder(folder: &FilePath) -> Result<Self> {
        Self::from_source(&Source::read_folder(folder))
    }

    /// Checks settings that were read with their places.
    ///
    /// # Errors
    /// Fails with all findings: faults of syntax, of form and of meaning. A fault that may only
    /// follow from another one is left out.
    pub fn from_source(source: &Source) -> Result<Self> {
        let form = collect::read::<raw::Document>(source);
        let mut findings = source.findings().to_vec();
        findings.extend(form.findings);
        let Some(document) = form.value else {
            return Err(Error::new(findings));
        };
        let (fleet, issues) = build(document);
        for issue in issues {
            findings.extend(issue.resolve(source, &form.faulty));
        }
        if findings.is_empty() {
            Ok(fleet)
        } else {
            Err(Error::new(findings))
        }
    }

    /// All customers, in the order of their names.
    #[must_use]
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// A customer.
    ///
    /// # Panics
    /// Panics when the key belongs to a fleet with more customers.
    #[must_use]
    pub fn customer(&self, key: CustomerKey) -> &Customer {
        &self.customers[key.index()]
    }

    /// Key of the customer with a name.
    #[must_use]
    pub fn customer_named(&self, name: &str) -> Option<CustomerKey> {
        let order = |customer: &Customer| customer.name.as_str().cmp(name);
        let index = self.customers.binary_search_by(order).ok()?;
        u32::try_from(index).ok().map(CustomerKey)
    }

    /// All endpoints with their keys, in the order of their names.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        (0..).map(EndpointKey).zip(&self.endpoints)
    }

    /// Engines of a model that start with a kind.
    pub fn engines(
        &self,
        model: &str,
        kind: Kind,
    ) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints()
            .filter(move |(_, endpoint)| endpoint.kind == kind && endpoint.model == model)
    }

    /// An endpoint.
    ///
    /// # Panics
    /// Panics when the key belongs to a fleet with more endpoints.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> &Endpoint {
        &self.endpoints[key.index()]
    }

    /// Key of the endpoint with a name.
    #[must_use]
    pub fn endpoint_named(&self, name: &str) -> Option<EndpointKey> {
        let order = |endpoint: &Endpoint| endpoint.name.as_str().cmp(name);
        let index = self.endpoints.binary_search_by(order).ok()?;
        u32::try_from(index).ok().map(EndpointKey)
    }

    /// A route to a plain service.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.get(name)
    }

    /// All routes to plain services, in the order of their names.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values()
    }

    /// All models by name.
    #[must_use]
    pub const fn models(&self) -> &BTreeMap<String, raw::Model> {
        &self.models
    }

    /// A model.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&raw::Model> {
        self.models.get(name)
    }

    /// Division of rates over hosts.
    #[must_use]
    pub const fn quota(&self) -> &raw::Quota {
        &self.quota
    }

    /// Finds the key whose hash matches a presented key, withdrawn or not.
    ///
    /// The time depends on the number of stored hashes, not on which of them matches; see
    /// [`Hash::matches`].
    #[must_use]
    pub fn find_key(&self, presented: &str, pepper: &Pepper) -> Option<&Key> {
        let index = self
            .key_index
            .find(&Hash::of(presented, pepper), &self.keys)?;
        self.keys.get(index)
    }

    /// All keys, in the order of their ids, withdrawn ones included.
    #[must_use]
    pub fn keys(&self) -> &[Key] {
        &self.keys
    }

    /// The key with a public id.
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
        let place = Place::default();
        let findings = issues.into_iter().map(|issue| issue.at(&place)).collect();
        Err(Error::new(findings))
    }
}

/// Checks a document section by section. The fleet is complete only without issues.
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
