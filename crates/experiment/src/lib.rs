//! Experiments with the scheduling policy: the real decision code of several hosts against small
//! fakes of engines, links and callers, in virtual time.

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

/// Virtual time in microseconds since the start of a run.
pub type Micros = u64;
