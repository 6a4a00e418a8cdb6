//! The gateway: data plane of an entry host.
//!
//! It serves callers, runs their requests at the endpoints chosen by the host's coordinator, and
//! cancels the work at an endpoint as soon as the caller disconnects.

pub mod args;
pub mod memory;
pub mod options;
pub mod run;

pub(crate) mod body;
pub(crate) mod budget;
pub(crate) mod caller;
pub(crate) mod clock;
pub(crate) mod completion;
pub(crate) mod configuration;
pub(crate) mod connection;
pub(crate) mod control;
pub(crate) mod endpoint;
pub(crate) mod engine;
pub(crate) mod fingerprint;
pub(crate) mod flow;
pub(crate) mod freshness;
pub(crate) mod metrics;
pub(crate) mod refusal;
pub(crate) mod server;
pub(crate) mod service;
pub(crate) mod shutdown;
pub(crate) mod state;
pub(crate) mod streams;
pub(crate) mod strike;
pub(crate) mod tls;
