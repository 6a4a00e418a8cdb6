//! Coordination of a router fleet, as deterministic state machines.
//!
//! Nothing here reads a clock, draws random numbers or does I/O: callers pass in the time and the
//! event, and execute the returned actions. Durable state is derived from an append-only log by
//! [`replica::Replica`].

pub mod append;
pub mod balance;
pub mod claim;
pub mod clock;
pub mod closing;
pub mod configuration;
pub mod contention;
pub mod deadline;
pub mod drain;
pub mod eject;
pub mod ending;
pub mod evacuation;
pub mod forecast;
pub mod freshness;
pub mod history;
pub mod intake;
pub mod lease;
pub mod link;
pub mod member;
pub mod memory;
pub mod notice;
pub mod offer;
pub mod order;
pub mod origin;
pub mod placement;
pub mod poll;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod reap;
pub mod record;
pub mod relay;
pub mod replica;
pub mod request;
pub mod retry;
pub mod returns;
pub mod reuse;
pub mod rounds;
pub mod share;
pub mod slot;
pub mod snapshot;
pub mod stream;
pub mod trial;
pub mod unread;
