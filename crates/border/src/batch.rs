//! Base64 text of log entries, as the platform's log stores them.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;

/// Encodes the bytes of an entry.
#[must_use]
pub fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes the text of an entry; `None` when it is not base64.
#[must_use]
pub fn decode(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}
