//! Settings of TLS towards callers.

use std::path::PathBuf;

use serde::Deserialize;

/// Files of the certificate; both are read again when they change.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate chain in PEM.
    pub certificate_file: PathBuf,
    /// Private key in PEM.
    pub key_file: PathBuf,
}
