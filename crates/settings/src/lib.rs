//! Settings: parsing and merging of JSON-with-comments documents, and their validated types.

mod collect;
pub mod document;
pub mod error;
pub mod fleet;
mod issue;
pub mod key;
mod merge;
mod near;
mod node;
mod place;
pub mod raw;
mod reader;
pub mod schema;
mod source;
mod syntax;

pub use error::{Error, Finding, Result};
pub use fleet::Fleet;
pub use source::Source;
