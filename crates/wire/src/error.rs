//! Errors of encoding and decoding frames and log entries.

/// Result of encoding or decoding a frame or a log entry.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a frame or a log entry cannot be encoded or decoded.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The content cannot be represented in MessagePack.
    #[error("frame or log entry cannot be encoded as MessagePack: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not MessagePack of the expected type.
    #[error("frame or log entry cannot be decoded from MessagePack: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The frame is shorter than its authentication code.
    #[error("frame of {length} bytes is shorter than its authentication code")]
    TooShort {
        /// Length of the received data in bytes.
        length: usize,
    },
    /// The authentication code does not match the content: the sender has another secret, or the
    /// frame was changed.
    #[error("frame authentication failed: sender has another secret, or the frame was changed")]
    Authentication,
    /// The sender uses a protocol version outside the accepted range.
    #[error("frame has protocol version {found}, which this release does not support")]
    UnsupportedVersion {
        /// Version in the frame.
        found: u16,
    },
    /// The data of a log entry is not valid base64.
    #[error("log entry at offset {offset} is not valid base64")]
    InvalidBase64 {
        /// Offset of the entry.
        offset: u64,
    },
    /// A log entry has more records than an offset has positions.
    #[error("log entry has {count} records; the limit is 256")]
    TooManyRecords {
        /// Number of records.
        count: usize,
    },
    /// A log entry is empty or starts with an unknown format byte.
    #[error("log entry at offset {offset} has an unknown format")]
    UnknownFormat {
        /// Offset of the entry.
        offset: u64,
    },
    /// A log entry cannot be compressed.
    #[error("log entry cannot be compressed: {0}")]
    Compression(std::io::Error),
}
