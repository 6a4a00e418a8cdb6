//! Coordination parts of a router fleet, as deterministic state machines.
//!
//! Nothing here reads a clock, draws random numbers or does I/O: callers pass the time and the
//! event, and carry out the returned actions. State that must last is derived from an append-only
//! log by [`replica::Replica`].

pub mod append;
pub mod claim;
pub mod clock;
pub mod configuration;
pub mod freshness;
pub mod order;
pub mod quarantine;
pub mod record;
pub mod replica;
pub mod snapshot;
