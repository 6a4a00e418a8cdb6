//! Logging and metrics shared by the daemons.

pub mod log;
pub mod metrics;
