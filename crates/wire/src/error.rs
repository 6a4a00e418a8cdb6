//! Errors of the wire format.

/// Result of wire operations.
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons for which a frame cannot be written or is not accepted.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The body cannot be represented in MessagePack.
    #[error("frame cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not a frame of the expected body type.
    #[error("frame cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The frame is shorter than its authentication code.
    #[error("frame has {length} bytes, which is too short")]
    Short {
        /// Length of the received data in bytes.
        length: usize,
    },
    /// The authentication code does not match the content.
    #[error("frame authentication failed")]
    Authentication,
    /// The sender speaks a protocol version outside the accepted range.
    #[error("protocol version {found} is not supported")]
    Version {
        /// Version that the frame states.
        found: u16,
    },
    /// The data of a log entry is not base64.
    #[error("log entry at offset {offset} is not base64")]
    Base64 {
        /// Offset of the entry.
        offset: u64,
    },
    /// A log entry has more records than there are positions for.
    #[error("log entry has {count} records, more than 256")]
    Records {
        /// Number of records.
        count: usize,
    },
    /// An entry starts with an unknown format byte.
    #[error("entry at offset {offset} has an unknown format")]
    Format {
        /// Offset of the entry.
        offset: u64,
    },
    /// An entry cannot be compressed.
    #[error("entry cannot be compressed: {0}")]
    Compression(std::io::Error),
}
