//! Starts real processes of the system and its stand-ins on loopback, for the demo and the
//! acceptance tests.

pub mod caller;
pub mod deployment;
pub mod process;

pub use deployment::{Deployment, Plan};
