//! Runs the daemons and the stand-ins as processes on loopback, for the demo, the load run and the
//! acceptance tests.

pub mod caller;
pub mod deployment;
pub mod process;

pub use deployment::{Deployment, Plan};
