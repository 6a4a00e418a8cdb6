//! Types generated from the schemas in `schemas/` by `scripts/generate`.
#![expect(missing_docs, reason = "the schemas describe the fields")]

pub mod caller;
pub mod engine;
pub mod platform;
