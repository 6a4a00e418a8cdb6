//! Protocols spoken with callers, engines and the platform.

pub mod batch;
pub mod event;
mod generated;
pub mod sse;

pub use generated::{caller, engine, platform};
