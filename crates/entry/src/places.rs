//! Data centres and regions in which requests may run: homes of routes and customers, and evacuations.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use berylknot_coordination::evacuation::Evacuations;

/// Most hosts whose regions are kept.
const MAX_HOSTS: usize = 1_024;

/// What the operator says of data centres and regions.
#[derive(Debug, Default)]
pub struct Places {
    /// Region of each data centre.
    regions: HashMap<String, String>,
    /// Region of this host, if the settings name it.
    own: Option<String>,
    /// Regions of other hosts.
    hosts: HashMap<SocketAddr, String>,
    evacuations: Evacuations,
}

impl Places {
    /// Places of a host in `data_centre`; `regions` has the region of each data centre.
    #[must_use]
    pub fn new(regions: HashMap<String, String>, data_centre: &str) -> Self {
        Self {
            own: regions.get(data_centre).cloned(),
            regions,
            ..Self::default()
        }
    }

    /// Evacuated data centres.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Evacuated data centres, to change them.
    pub const fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Whether new work may go to endpoints in a data centre.
    #[must_use]
    pub fn is_open(&self, data_centre: &str) -> bool {
        !self.evacuations.contains(data_centre)
    }

    /// Whether a request whose route and customer have these homes may run in a data centre. Both bind; one
    /// without homes binds nothing. A data centre of unknown region is nobody's home.
    #[must_use]
    pub fn is_home(&self, homes: [&[String]; 2], data_centre: &str) -> bool {
        let region = self.regions.get(data_centre);
        let is_in =
            |homes: &[String]| homes.is_empty() || region.is_some_and(|at| homes.contains(at));
        homes.into_iter().all(is_in)
    }

    /// Whether the deployment has several regions.
    fn has_several_regions(&self) -> bool {
        let regions: HashSet<&String> = self.regions.values().collect();
        regions.len() > 1
    }

    /// Region that this host tells the others, where there are several.
    #[must_use]
    pub fn told_region(&self) -> Option<&str> {
        self.own.as_deref().filter(|_| self.has_several_regions())
    }

    /// Records the region of another host.
    pub fn add_host(&mut self, address: SocketAddr, region: String) {
        if self.hosts.len() < MAX_HOSTS || self.hosts.contains_key(&address) {
            self.hosts.insert(address, region);
        }
    }

    /// Whether another host may get the bodies of requests to relay them: callers are in the region of the
    /// host that they reached, and a body may leave it for its home only.
    #[must_use]
    pub fn may_relay(&self, address: SocketAddr) -> bool {
        !self.has_several_regions() || self.hosts.get(&address) == self.own.as_ref()
    }
}
