//! Log and metrics set-up shared by the daemons.

pub mod log;
pub mod metrics;
