//! Subcommands, one module each.

pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod explain;
pub(crate) mod key;
pub(crate) mod publish;
pub(crate) mod schema;
pub(crate) mod show;
pub(crate) mod status;
