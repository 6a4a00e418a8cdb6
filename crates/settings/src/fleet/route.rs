//! Routes to plain services and their checks.

use std::collections::{BTreeMap, HashMap};

use super::{CustomerKey, EndpointKey, Fleet, Kind, Operation, check};
use crate::issue::Issue;
use crate::place::{Path, path_to};
use crate::raw;

/// A route from `/services/<name>` to the endpoints of a plain service.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name: the first path segment below `/services/`.
    pub name: String,
    /// Endpoints of the service.
    pub endpoints: Vec<EndpointKey>,
    /// Whether calls are accepted without an API key.
    pub open: bool,
    /// Customers that may use the route; empty means all.
    pub customers: Vec<CustomerKey>,
    /// Operations whose idempotency is declared instead of derived from the method.
    pub operations: Vec<Operation>,
    /// Deadline of a call in milliseconds.
    pub timeout_ms: u64,
}

impl Route {
    /// Whether a call may be retried: as declared by the first matching operation, otherwise only
    /// for GET, HEAD and OPTIONS.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        for operation in &self.operations {
            if operation.method.eq_ignore_ascii_case(method) && covers(&operation.path, path) {
                return operation.idempotent;
            }
        }
        matches!(method, "GET" | "HEAD" | "OPTIONS")
    }

    /// Whether a customer may use the route.
    #[must_use]
    pub fn allows(&self, customer: CustomerKey) -> bool {
        self.customers.is_empty() || self.customers.contains(&customer)
    }
}

/// Whether an operation's path equals a call's path or is a parent of it. A plain string prefix is
/// not enough: `/stock` marked as idempotent must not cover `/stock-orders`.
fn covers(operation: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(operation) else {
        return false;
    };
    rest.is_empty() || operation.ends_with('/') || rest.starts_with(['/', '?'])
}

pub(super) fn check(
    routes: BTreeMap<String, raw::Route>,
    fleet: &Fleet,
    issues: &mut Vec<Issue>,
) -> BTreeMap<String, Route> {
    check_names(&routes, issues);
    check_shared_endpoints(&routes, issues);
    let mut checked = BTreeMap::new();
    for (name, route) in routes {
        let path = path_to!["routes", name.as_str()];
        check::bounds(
            path.join("timeout_ms"),
            route.timeout_ms,
            raw::Route::MIN_TIMEOUT_MS..=raw::Route::MAX_TIMEOUT_MS,
            "ms",
            issues,
        );
        check_operations(&path, &route.operations, issues);
        if route.open && !route.customers.is_empty() {
            issues.push(
                Issue::new(
                    path.join("open"),
                    "an open route cannot be limited to customers",
                )
                .hint("callers of an open route send no key"),
            );
        }
        let endpoints = endpoints(&path, &route.endpoints, fleet, issues);
        let customers = customers(&path, &route.customers, fleet, issues);
        let route = Route {
            name: name.clone(),
            endpoints,
            open: route.open,
            customers,
            operations: route.operations,
            timeout_ms: route.timeout_ms,
        };
        checked.insert(name, route);
    }
    checked
}

/// Checks route names. Names that differ only in case are rejected, since case-insensitive callers
/// and proxies cannot tell them apart.
fn check_names(routes: &BTreeMap<String, raw::Route>, issues: &mut Vec<Issue>) {
    let mut owners = HashMap::new();
    for name in routes.keys() {
        check::name("routes", name, "", issues);
        if name == "." || name == ".." {
            issues.push(Issue::new(
                path_to!["routes", name.as_str()],
                "name is a relative path segment",
            ));
        }
        if let Some(first) = owners.insert(name.to_lowercase(), name) {
            let message = format!("route overlaps route {first:?}: names differ only in case");
            issues.push(Issue::new(path_to!["routes", name.as_str()], message));
        }
    }
}

/// Checks that routes with a common endpoint agree on which operations are idempotent.
fn check_shared_endpoints(routes: &BTreeMap<String, raw::Route>, issues: &mut Vec<Issue>) {
    let mut described = HashMap::<(&str, String, &str), (&str, bool)>::new();
    for (name, route) in routes {
        for (index, operation) in route.operations.iter().enumerate() {
            for endpoint in &route.endpoints {
                let method = operation.method.to_uppercase();
                let (first, idempotent) = *described
                    .entry((endpoint, method, &operation.path))
                    .or_insert((name, operation.idempotent));
                if first == name || idempotent == operation.idempotent {
                    continue;
                }
                let message = format!(
                    "route overlaps route {first:?}, where {} {} at {endpoint:?} is described \
                     differently",
                    operation.method, operation.path
                );
                let path = path_to!["routes", name.as_str(), "operations", index];
                issues.push(Issue::new(path.join("idempotent"), message));
                break;
            }
        }
    }
}

fn check_operations(route: &Path, operations: &[Operation], issues: &mut Vec<Issue>) {
    if operations.len() > raw::Route::MAX_OPERATIONS {
        let message = format!("more than {} operations", raw::Route::MAX_OPERATIONS);
        issues.push(Issue::new(route.join("operations"), message));
        return;
    }
    for (index, operation) in operations.iter().enumerate() {
        let path = route.join("operations").join(index);
        let method = &operation.method;
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            issues.push(
                Issue::new(
                    path.join("method"),
                    format!("{method:?} is not an HTTP method"),
                )
                .hint("write it in capitals, such as POST"),
            );
        }
        if !operation.path.starts_with('/') || operation.path.contains(['?', '#', ' ']) {
            issues.push(
                Issue::new(
                    path.join("path"),
                    format!("{:?} is not a path", operation.path),
                )
                .hint("begin with / and leave out query and fragment"),
            );
        }
        let shadow = operations[..index].iter().position(|earlier| {
            earlier.method.eq_ignore_ascii_case(method) && covers(&earlier.path, &operation.path)
        });
        if let Some(shadow) = shadow {
            let message = format!(
                "{method} {} is shadowed by operation {shadow}",
                operation.path
            );
            issues.push(
                Issue::new(path.clone(), message)
                    .hint("the first match counts: put the longer path first")
                    .requires_subtree(route.join("operations").join(shadow))
                    .requires_subtree(path),
            );
        }
    }
}

fn endpoints(
    route: &Path,
    names: &[String],
    fleet: &Fleet,
    issues: &mut Vec<Issue>,
) -> Vec<EndpointKey> {
    let path = route.join("endpoints");
    if names.is_empty() {
        issues.push(Issue::new(path.clone(), "route has no endpoint"));
    }
    let mut keys = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let path = path.join(index);
        let Some(key) = fleet.endpoint_named(name) else {
            let services = fleet
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.kind == Kind::Service);
            let known = services.map(|endpoint| &*endpoint.name);
            check::dangling(path, ("endpoint", "endpoints"), name, known, issues);
            continue;
        };
        let kind = fleet.endpoint(key).kind;
        if kind != Kind::Service {
            let message = format!("endpoint {name:?} is a {} engine", kind.as_str());
            let issue = Issue::new(path, message).hint("a route needs endpoints of kind service");
            issues.push(issue.requires(path_to!["endpoints", name.as_str(), "kind"]));
        } else if keys.contains(&key) {
            issues.push(Issue::new(path, format!("endpoint {name:?} occurs twice")));
        } else {
            keys.push(key);
        }
    }
    keys
}

fn customers(
    route: &Path,
    names: &[String],
    fleet: &Fleet,
    issues: &mut Vec<Issue>,
) -> Vec<CustomerKey> {
    let mut keys = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let path = route.join("customers").join(index);
        match fleet.customer_named(name) {
            Some(key) if keys.contains(&key) => {
                issues.push(Issue::new(path, format!("customer {name:?} occurs twice")));
            }
            Some(key) => keys.push(key),
            None => {
                let known = fleet.customers.iter().map(|customer| &*customer.name);
                check::dangling(path, ("customer", "customers"), name, known, issues);
            }
        }
    }
    keys
}
