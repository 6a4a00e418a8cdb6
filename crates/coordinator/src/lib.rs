//! The coordinator: control plane of an entry host.
//!
//! It follows the platform's log, admits or refuses requests for the gateway of its host and
//! exchanges heartbeats, tokens and log entries with the coordinators of other hosts. The protocol
//! rules are in `berylknot-coordination`; this crate does the I/O.

pub mod args;
pub mod options;
pub mod run;

pub(crate) mod admission;
pub(crate) mod clock;
pub(crate) mod core;
pub(crate) mod local;
pub(crate) mod metrics;
pub(crate) mod peer;
pub(crate) mod peers;
pub(crate) mod platform;
pub(crate) mod server;
pub(crate) mod signals;
pub(crate) mod state;
pub(crate) mod work;
