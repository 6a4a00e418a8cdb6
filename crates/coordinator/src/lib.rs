//! The coordinator: control plane of an entry host.
//!
//! It follows the platform's log, decides on admissions for the gateway of its host and talks to
//! the coordinators of other hosts. The decisions are made by `berylknot-coordination`.

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
