//! Settings of the gateway's process, one struct per section.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

mod limits;
mod tls;

pub use berylknot_telemetry::log::Log;
pub use limits::Limits;
pub use tls::Tls;

/// Settings of the gateway.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Name of the host.
    pub host: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the operator: readiness, liveness, metrics.
    pub operator_listen: SocketAddr,
    /// Address of the host's coordinator.
    pub coordinator: SocketAddr,
    /// File with the secret that authenticates traffic between the processes of the deployment.
    pub secret_file: PathBuf,
    /// File with the secret that is mixed into the hashes of keys.
    pub pepper_file: PathBuf,
    /// TLS towards callers; plain HTTP when absent.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Bounds on what callers can cost.
    #[serde(default)]
    pub limits: Limits,
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
