//! HTTP/1.1 client with a connection pool per address.
//!
//! Uses `hyper` directly instead of `awc`: routing must know whether a request left the host at
//! all, and a connection with unsolicited bytes must be dropped.

mod pool;

pub use pool::{Exchange, Pool, Timeouts};

/// Why an exchange failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// No connection could be made, or it was closed before a byte was sent.
    #[error("request not sent: {0}")]
    NotSent(std::io::Error),
    /// The request was sent, and the connection failed before an answer came.
    #[error("connection failed before the answer: {0}")]
    Lost(hyper::Error),
    /// The answer is malformed or incomplete.
    #[error("answer malformed or cut off: {0}")]
    Broken(hyper::Error),
    /// The body of the answer exceeds the given limit.
    #[error("answer exceeds the size limit")]
    TooLarge,
    /// A step of the exchange exceeded its timeout.
    #[error("timed out")]
    TimedOut,
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;
