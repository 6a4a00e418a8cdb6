//! The real binary, alone and against a stand-in of the platform.
#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod offline;
mod online;
mod platform;
