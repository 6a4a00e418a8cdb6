//! Settings of the coordinator's process, one struct per section.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

mod lease;
mod platform;
mod shutdown;

pub use berylknot_telemetry::log::Log;
pub use lease::Lease;
pub use platform::Platform;
pub use shutdown::Shutdown;

/// Settings of the coordinator.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address for the gateway and the other coordinators.
    pub listen: SocketAddr,
    /// File with the secret that authenticates traffic between the processes of the deployment.
    pub secret_file: std::path::PathBuf,
    /// Names of the hosts of the deployment, for the majority rule during a log outage.
    #[serde(default)]
    pub configured_hosts: Vec<String>,
    /// The platform's interfaces.
    pub platform: Platform,
    /// Durations of leases, equal on all hosts.
    #[serde(default)]
    pub lease: Lease,
    /// Bounds of a graceful shutdown.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Logging.
    #[serde(default)]
    pub log: Log,
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
