//! Settings file of the coordinator, one struct per section.

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

/// Settings of the coordinator; unknown keys are rejected.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Listening address for the gateways of the host and the other coordinators.
    pub listen: SocketAddr,
    /// File with the secret that authenticates traffic between the processes of the deployment.
    pub secret_file: std::path::PathBuf,
    /// Names of all hosts of the deployment, for the majority rule during a log outage.
    #[serde(default)]
    pub configured_hosts: Vec<String>,
    /// Address, timeouts and retention of the platform.
    pub platform: Platform,
    /// Lease durations, which must be equal on all hosts.
    #[serde(default)]
    pub lease: Lease,
    /// Time limits of a graceful shutdown.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// Log output.
    #[serde(default)]
    pub log: Log,
}

impl Options {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or is invalid.
    pub fn read(path: &Path) -> berylknot_settings::Result<Self> {
        berylknot_settings::document::read_file(path)
    }
}
