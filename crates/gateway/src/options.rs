//! Settings of the gateway process, with one struct per section.

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
    /// Name of the host, part of all request ids.
    pub host: String,
    /// Listening address for callers.
    pub listen: SocketAddr,
    /// Listening address for the operator: readiness, liveness, metrics.
    pub operator_listen: SocketAddr,
    /// Address of the host's coordinator.
    pub coordinator: SocketAddr,
    /// File with the secret that authenticates traffic between the processes of the deployment.
    pub secret_file: PathBuf,
    /// File with the pepper, a secret input to the hashes of API keys.
    pub pepper_file: PathBuf,
    /// TLS towards callers; plain HTTP when absent.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Limits and timeouts for callers and engines.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of the log.
    #[serde(default)]
    pub log: Log,
}

impl Options {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Fails when the file cannot be read or its settings are invalid, and lists the findings.
    pub fn read(path: &Path) -> berylknot_settings::Result<Self> {
        berylknot_settings::document::read_file(path)
    }
}
