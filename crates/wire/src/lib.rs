//! Messages between the system's own processes: authenticated MessagePack frames over HTTP.

pub mod entry;
pub mod error;
pub mod explanation;
pub mod frame;
pub mod local;
pub mod peer;

pub use error::{Error, Result};
pub use frame::{Frame, Secret};
