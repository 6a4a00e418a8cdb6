//! Command line of `berylknot-experiment`.

#![expect(
    missing_docs,
    reason = "the macro generates the types without documentation"
)]

xflags::xflags! {
    /// Compares scheduling policies on seeded workloads in virtual time.
    cmd berylknot-experiment {
        /// Prints the table of both fleets.
        cmd table {
            /// Number of seeds; 10 by default.
            optional --seeds seeds: u64
        }
    }
}
