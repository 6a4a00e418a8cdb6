//! TLS settings for caller connections.

use std::path::PathBuf;

use serde::Deserialize;

/// Certificate and key files; both are reloaded when either changes.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate chain in PEM format.
    pub certificate_file: PathBuf,
    /// Private key in PEM format.
    pub key_file: PathBuf,
}
