//! Settings of the command itself, from its settings file and its arguments.

use std::path::{Path, PathBuf};

use berylknot_settings::document;
use berylknot_settings::key::Pepper;
use serde::Deserialize;

use crate::args::Berylknot;

/// Settings file read without `--settings`, if it exists.
const DEFAULT_FILE: &str = "berylknot.jsonc";

/// Wrong usage of the command, or a fault in its settings.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("{0}")]
pub(crate) struct Usage(pub(crate) String);

/// Content of the command's settings file.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct File {
    platform: Option<String>,
    coordinators: Vec<String>,
    pepper_file: Option<PathBuf>,
}

/// Settings of the command after merging file and arguments.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    platform: Option<String>,
    coordinators: Vec<String>,
    pepper_file: Option<PathBuf>,
}

impl Config {
    /// Reads the settings file; arguments take precedence.
    pub(crate) fn new(arguments: &Berylknot) -> Result<Self, Usage> {
        let path = match &arguments.settings {
            Some(path) => Some(path.as_path()),
            None => Some(Path::new(DEFAULT_FILE)).filter(|path| path.exists()),
        };
        let mut file = File::default();
        if let Some(path) = path {
            file = document::read_file(path).map_err(|error| Usage(error.to_string()))?;
            // A relative path is relative to the folder of the settings file.
            file.pepper_file = file
                .pepper_file
                .map(|pepper| path.with_file_name("").join(pepper));
        }
        let coordinators = if arguments.coordinator.is_empty() {
            file.coordinators
        } else {
            arguments.coordinator.clone()
        };
        let platform = arguments.platform.clone().or(file.platform);
        Ok(Self {
            platform: platform.map(|address| url(&address)),
            coordinators: coordinators.iter().map(|address| url(address)).collect(),
            pepper_file: arguments.pepper.clone().or(file.pepper_file),
        })
    }

    /// URL of the platform, without a trailing slash.
    pub(crate) fn platform(&self) -> Result<&str, Usage> {
        self.platform.as_deref().ok_or_else(|| {
            Usage("no platform: give --platform ADDRESS or set platform in berylknot.jsonc".into())
        })
    }

    /// URLs of the coordinators, without a trailing slash.
    pub(crate) fn coordinators(&self) -> &[String] {
        &self.coordinators
    }

    /// Reads the pepper of the deployment's key hashes.
    pub(crate) fn pepper(&self) -> Result<Pepper, Usage> {
        let path = self.pepper_file.as_deref().ok_or_else(|| {
            Usage("no pepper: give --pepper FILE or set pepper_file in berylknot.jsonc".into())
        })?;
        Pepper::read_file(path).map_err(|error| Usage(format!("{}: {error}", path.display())))
    }
}

fn url(address: &str) -> String {
    let address = address.trim_end_matches('/');
    if address.contains("://") {
        address.to_owned()
    } else {
        format!("http://{address}")
    }
}
