//! Command-line arguments.
#![expect(missing_docs, reason = "xflags generates the types without comments")]

use std::path::PathBuf;

xflags::xflags! {
    /// Control plane of an entry host: follows the platform's log and decides on admissions.
    ///
    /// Example: berylknot-coordinator --settings /etc/berylknot/coordinator.json
    cmd args {
        /// Settings file in JSON with comments; required except for --version.
        optional --settings file: PathBuf
        /// Check the settings and exit.
        optional --check
        /// Print the version and exit.
        optional --version
    }
}
