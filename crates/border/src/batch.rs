//! Base64 encoding of the data of log entries.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

/// Encodes the bytes of an entry in the standard alphabet with padding.
#[must_use]
pub fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes the data of an entry; `None` when it is not valid base64.
#[must_use]
pub fn decode(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}
