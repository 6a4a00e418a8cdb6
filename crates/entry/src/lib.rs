//! Entry daemon: routes requests to model engines and plain services by their headers.
//!
//! Decision code ([`directory`], [`refresh`], [`readers`], [`ledger`], [`saturation`], [`waiting`],
//! [`quota`], [`budget`], [`gossip`], [`stages`], [`orders`], [`strikes`], [`suspects`],
//! [`limits`]) is free of I/O: it takes the current time
//! and an event. The platform is a type parameter ([`platform`]).

pub mod args;
pub mod backlog;
pub mod budget;
pub mod contact;
pub mod directory;
pub mod events;
pub mod extension;
pub mod fleet;
pub mod gossip;
pub mod health;
pub mod http;
pub mod lease;
pub mod ledger;
pub mod limits;
pub mod mix;
pub mod options;
pub mod orders;
pub mod parts;
pub mod places;
pub mod platform;
pub mod quota;
pub mod readers;
pub mod refresh;
pub mod run;
pub mod saturation;
pub mod shutdown;
pub mod stages;
pub mod strikes;
pub mod suspects;
pub mod waiting;

pub(crate) mod aborts;
pub(crate) mod admission;
pub(crate) mod archive;
pub(crate) mod arrival;
pub(crate) mod assignment;
pub(crate) mod call;
pub(crate) mod choice;
pub(crate) mod completion;
pub(crate) mod connection;
pub(crate) mod control;
pub(crate) mod ending;
pub(crate) mod entries;
pub(crate) mod explain;
pub(crate) mod findings;
pub(crate) mod follow;
pub(crate) mod intake;
pub(crate) mod link;
pub(crate) mod listings;
pub(crate) mod locate;
pub(crate) mod metrics;
pub(crate) mod offers;
pub(crate) mod outbox;
pub(crate) mod overload;
pub(crate) mod own;
pub(crate) mod peer;
pub(crate) mod permit;
pub(crate) mod prefill;
pub(crate) mod records;
pub(crate) mod refusal;
pub(crate) mod relay;
pub(crate) mod request;
pub(crate) mod server;
pub(crate) mod state;
pub(crate) mod stream;
pub(crate) mod termination;
pub(crate) mod versions;
