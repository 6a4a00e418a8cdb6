//! Models shared by the proofs: the platform's log, a lossy network and seeded runs.

pub(crate) mod log;
pub(crate) mod network;
pub(crate) mod run;
