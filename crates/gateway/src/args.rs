//! Command-line arguments.
#![expect(missing_docs, reason = "xflags generates the types without comments")]

use std::path::PathBuf;

xflags::xflags! {
    /// Data plane of an entry host: serves callers and streams responses from endpoints.
    ///
    /// Example: berylknot-gateway --settings /etc/berylknot/gateway.json
    cmd args {
        /// Settings file in JSON with comments; required except with --version.
        optional --settings file: PathBuf
        /// Check the settings and exit.
        optional --check
        /// Print the version and exit.
        optional --version
    }
}
