//! Command line of `berylknot-experiment`.

#![expect(
    missing_docs,
    reason = "the macro generates the types without documentation"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Compares scheduling policies on seeded workloads in virtual time.
    cmd berylknot-experiment {
        /// Prints the table of both fleets.
        cmd table {
            /// First seed; 1 by default.
            optional --first first: u64
            /// Number of seeds; 10 by default.
            optional --seeds seeds: u64
        }
        /// Prints goodput around each fault for both fleets.
        cmd faults {
            /// Number of seeds; 10 by default.
            optional --seeds seeds: u64
        }
        /// Changes one constant of the service model at a time.
        cmd sensitivity {
            /// Number of seeds; 10 by default.
            optional --seeds seeds: u64
        }
        /// Writes the plots of both fleets.
        cmd plots {
            /// Folder of the plots.
            required folder: PathBuf
            /// Number of seeds; 10 by default.
            optional --seeds seeds: u64
        }
    }
}
