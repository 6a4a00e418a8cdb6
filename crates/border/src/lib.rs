//! Protocols at the borders: callers, engines and the platform.

pub mod batch;
mod generated;

pub use generated::{caller, engine, platform};
