//! Endpoints (engines and plain services) and their checks.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use super::{Kind, check};
use crate::issue::Issue;
use crate::place::{Path, path_to};
use crate::raw;

/// Index of an endpoint in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(pub(super) u32);

impl EndpointKey {
    pub(super) const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A model engine or plain service.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name, unique within the fleet.
    pub name: String,
    /// Initial kind.
    pub kind: Kind,
    /// Unicast address and port, unique within the fleet.
    pub address: SocketAddr,
    /// Name of the data centre that the endpoint runs in.
    pub data_centre: String,
    /// Name of an engine's model; empty for a service.
    pub model: String,
    /// Maximum number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Whether the engine rejects orders with a stale fencing token.
    pub checks_fencing: bool,
    /// Whether the endpoint is being drained and gets no new requests.
    pub leaving: bool,
}

/// Placeholder for an invalid address, so that references to the endpoint can still be checked.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

pub(super) fn check(
    endpoints: BTreeMap<String, raw::Endpoint>,
    models: &BTreeMap<String, raw::Model>,
    issues: &mut Vec<Issue>,
) -> Vec<Endpoint> {
    let mut checked = Vec::new();
    for (name, endpoint) in endpoints {
        check::name("endpoints", &name, "", issues);
        let path = path_to!["endpoints", name.as_str()];
        if endpoint.data_centre.is_empty() {
            issues.push(Issue::new(path.join("data_centre"), "data centre is empty"));
        }
        check_model(&path, &endpoint, models, issues);
        check::bounds(
            path.join("slots"),
            endpoint.slots,
            1..=raw::Endpoint::MAX_SLOTS,
            "requests",
            issues,
        );
        checked.push(Endpoint {
            name,
            kind: endpoint.kind,
            address: address(&path, &endpoint.address, issues),
            data_centre: endpoint.data_centre,
            model: endpoint.model.unwrap_or_default(),
            slots: endpoint.slots,
            checks_fencing: endpoint.checks_fencing,
            leaving: endpoint.leaving,
        });
    }
    check_duplicates(&checked, issues);
    checked
}

fn address(path: &Path, text: &str, issues: &mut Vec<Issue>) -> SocketAddr {
    let message = match text.parse::<SocketAddr>() {
        Err(_) => format!("address {text:?} is not an IP number with a port"),
        Ok(address) if address.port() == 0 => "port is 0".to_owned(),
        Ok(address) if !is_unicast(address.ip().to_canonical()) => {
            format!("{} is not the address of one host", address.ip())
        }
        Ok(address) => return address,
    };
    issues.push(
        Issue::new(path.join("address"), message)
            .hint("such as 10.0.0.5:8000 or [fd00::5]:8000; host names are not resolved"),
    );
    PLACEHOLDER_ADDRESS
}

fn is_unicast(ip: IpAddr) -> bool {
    !ip.is_unspecified() && !ip.is_multicast() && ip != IpAddr::V4(Ipv4Addr::BROADCAST)
}

fn check_model(
    path: &Path,
    endpoint: &raw::Endpoint,
    models: &BTreeMap<String, raw::Model>,
    issues: &mut Vec<Issue>,
) {
    let model_path = path.join("model");
    let issue = match (&endpoint.model, endpoint.kind) {
        (None, Kind::Service) => return,
        (Some(_), Kind::Service) => Issue::new(model_path, "a service has no model")
            .hint("remove it, or set the kind to prefill or decode"),
        (None, kind) => Issue::new(
            model_path,
            format!("a {} endpoint needs a model", kind.as_str()),
        ),
        (Some(model), _) if models.contains_key(model) => return,
        (Some(model), _) => {
            let known = models.keys().map(String::as_str);
            return check::dangling(model_path, ("model", "models"), model, known, issues);
        }
    };
    issues.push(issue.requires(path.join("kind")));
}

fn check_duplicates(endpoints: &[Endpoint], issues: &mut Vec<Issue>) {
    let mut owners = HashMap::new();
    for endpoint in endpoints {
        if endpoint.address == PLACEHOLDER_ADDRESS {
            continue;
        }
        // An IPv4-mapped IPv6 address reaches the same host as the IPv4 address.
        let address = (
            endpoint.address.ip().to_canonical(),
            endpoint.address.port(),
        );
        if let Some(first) = owners.get(&address) {
            let message = format!("address {} belongs to {first:?}, too", endpoint.address);
            issues.push(Issue::new(
                path_to!["endpoints", endpoint.name.as_str(), "address"],
                message,
            ));
            continue;
        }
        owners.insert(address, endpoint.name.as_str());
    }
}
