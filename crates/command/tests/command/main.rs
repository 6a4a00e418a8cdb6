//! Tests of the built binary, offline and against a stand-in for the platform.
#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod offline;
mod online;
mod platform;
