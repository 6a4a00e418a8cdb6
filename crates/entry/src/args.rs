//! Command-line arguments.
#![expect(missing_docs, reason = "xflags generates the types without comments")]

use std::path::PathBuf;

xflags::xflags! {
    /// Data and control plane of an entry host without a disk.
    ///
    /// Example: berylknot-entry --settings /etc/berylknot/entry.jsonc
    cmd args {
        /// Settings file in JSON with comments; defaults to the path in the platform's variable.
        optional --settings file: PathBuf
        /// Check the settings and exit.
        optional --check
        /// Print the version and exit.
        optional --version
    }
}
