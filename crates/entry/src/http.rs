//! HTTP/1.1 client with a connection pool per address.
//!
//! Uses `hyper` directly instead of `awc`: routing must know whether a request left the host at
//! all, and a connection with unsolicited bytes must be dropped.

use std::error::Error as _;
use std::io::ErrorKind;

pub(crate) mod memory;
mod paths;
mod pool;

pub(crate) use paths::{ENDPOINT_HEADER, Place};
pub use pool::{Destination, Exchange, Pool, Timeouts};
pub(crate) use pool::{guard, open};

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
    /// The answer ended with its connection, and its endpoint was gone then.
    #[error("the endpoint was gone at the end of its answer, which has no length")]
    Unproven,
    /// The status of the answer is not that of a final answer in HTTP (RFC 9110, 15).
    #[error("the answer has the status {0}, which no final answer has")]
    Status(u16),
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

impl Error {
    /// Whether nothing came from the other end within a timeout.
    #[must_use]
    pub fn is_silence(&self) -> bool {
        match self {
            Self::TimedOut => true,
            Self::NotSent(error) => error.kind() == ErrorKind::TimedOut,
            Self::Lost(_) | Self::Broken(_) | Self::Status(_) | Self::Unproven | Self::TooLarge => {
                false
            }
        }
    }

    /// Whether the peer closed or reset the connection, as a process that ends does; a peer that became
    /// silent or sent malformed bytes does not count.
    #[must_use]
    pub fn is_closed_by_peer(&self) -> bool {
        let (Self::Lost(error) | Self::Broken(error)) = self else {
            return false;
        };
        let io = error.source().and_then(|source| source.downcast_ref());
        let kind = io.map(std::io::Error::kind);
        let is_closed = matches!(
            kind,
            Some(ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe)
                | Some(ErrorKind::UnexpectedEof)
        );
        error.is_incomplete_message() || is_closed
    }
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Error>;
