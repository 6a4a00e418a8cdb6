//! Discrete-event simulation of scheduling policies: the production decision code of several hosts
//! runs in virtual time against simulated engines, links and callers.

mod admission;
pub mod arguments;
mod engines;
mod fakes;
pub mod load;
mod lookups;
pub mod measure;
pub mod model;
pub mod plot;
pub mod policy;
pub mod report;
pub mod scenario;
mod scheduling;
pub mod workload;
pub mod world;

/// Virtual time or duration in microseconds; points in time count from the start of a run.
pub type Micros = u64;
