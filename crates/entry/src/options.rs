//! Settings of the entry daemon's process, one struct per section.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

pub use berylknot_telemetry::log::Log;

/// Settings of the entry daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Region of each data centre; homes of routes and customers name regions.
    #[serde(default)]
    pub regions: HashMap<String, String>,
    /// Address of the host.
    pub address: IpAddr,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Listening addresses.
    pub listen: Listen,
    /// Addresses of some other hosts for peer discovery; they may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Connection to the store of the platform.
    pub store: Store,
    /// Limits that the operator sets for the deployment.
    pub bounds: Bounds,
    /// Resources of the host.
    #[serde(default)]
    pub resources: Resources,
    /// What the deployment's platform offers and asks for, in the platform's words.
    #[serde(default)]
    pub capabilities: Vec<String>,
    /// Behaviour that these call for; the adapter to the platform translates them.
    #[serde(skip)]
    pub features: Features,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// Listening addresses.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// UDP and TCP port for other hosts, the same on all hosts.
    pub peer_port: u16,
    /// TCP port for metrics.
    pub metrics_port: u16,
}

/// Behaviour that not every deployment calls for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Callers compete for too little room at times: the end of calls is forecast also where endpoints state no
    /// pace, prompts go to engines that hold them, and customers share the queue for engines.
    pub competing_callers: bool,
}

/// Resources of the host, which bound what it holds for clients.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Memory that the process may use, in megabytes of 1,000,000 bytes.
    pub memory_mb: usize,
    /// Descriptors that the process may open.
    pub max_files: usize,
}

impl Default for Resources {
    /// The smallest host of the users' sites.
    fn default() -> Self {
        Self {
            memory_mb: 88,
            max_files: 3_075,
        }
    }
}

/// The store of the platform.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Limits that the operator sets for the deployment.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Retry budget: repeated sends per request, over all hosts.
    pub retry_ratio: f64,
    /// Window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// Repeated sends per window that are allowed beyond the ratio.
    pub retry_slack: f64,
    /// Sliding window of the customers' token quotas, in seconds.
    pub quota_window_s: f64,
    /// Drain deadline of a leaving endpoint, after which it must get no requests, in milliseconds.
    pub drain_ms: u64,
    /// Grace period from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Duration of the lease under which a host gives orders to engines, in milliseconds.
    pub lease_ms: u64,
    /// Time after the store has accepted a configuration by when it must be in force, in milliseconds.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: u64,
}

const fn default_config_apply_ms() -> u64 {
    2_000
}

impl Bounds {
    /// Drain deadline of a leaving endpoint, after which it must get no requests.
    #[must_use]
    pub const fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Duration of the lease under which a host gives orders to engines.
    #[must_use]
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Time after the store has accepted a configuration by when it must be in force.
    #[must_use]
    pub const fn config_apply(&self) -> Duration {
        Duration::from_millis(self.config_apply_ms)
    }

    /// Sliding window of the customers' token quotas, in milliseconds.
    #[must_use]
    pub fn quota_window_ms(&self) -> u64 {
        (self.quota_window_s * 1_000.0) as u64
    }

    /// Grace period from SIGTERM to SIGKILL.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

impl Options {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Fails with the findings about the file.
    pub fn read(path: &Path) -> berylknot_settings::Result<Self> {
        berylknot_settings::document::read_file(path)
    }
}
