//! Settings: JSON-with-comments documents, their merge, and the checked types made from them.

pub mod document;
pub mod error;
pub mod fleet;
pub mod key;
pub mod raw;

pub use error::{Error, Finding, Result};
pub use fleet::Fleet;
