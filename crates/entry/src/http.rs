//! HTTP/1.1 client with one connection pool an address.
//!
//! `hyper` is used below `awc`, since routing must know whether a request left the host at all and
//! must drop a connection that holds bytes nobody asked for.

mod pool;

pub use pool::{Exchange, Pool, Timeouts};

/// Why an exchange failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// No connection could be made, or it was closed before a byte was sent.
    #[error("not sent: {0}")]
    NotSent(std::io::Error),
    /// The request was sent and no answer came.
    #[error("connection lost: {0}")]
    Lost(hyper::Error),
    /// The answer is malformed or incomplete.
    #[error("broken answer: {0}")]
    Broken(hyper::Error),
    /// The answer is larger than the caller of the pool allows.
    #[error("answer too large")]
    TooLarge,
    /// The exchange took too long.
    #[error("timed out")]
    TimedOut,
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;
