//! Command line of `berylknot-experiment`.

#![expect(
    missing_docs,
    reason = "the macro generates the types without documentation"
)]

use std::net::SocketAddr;
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
        /// Puts bounded load on a running gateway and prints what it adds and costs.
        cmd load {
            /// Address of the gateway for callers.
            required gateway: SocketAddr
            /// Address of a service behind the route `counter`.
            required service: SocketAddr
            /// Key of a customer.
            required key: String
            /// Process id of the gateway.
            required process: u32
            /// Number of calls; 20,000 by default.
            optional --requests requests: usize
            /// Calls at one time; 16 by default.
            optional --concurrency concurrency: usize
            /// Streams open at one time; 100 by default.
            optional --streams streams: usize
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
