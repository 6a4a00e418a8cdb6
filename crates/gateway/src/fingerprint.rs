//! Fingerprints of requests, equal on all hosts and releases.

use sha2::{Digest, Sha256};

/// Hashes parts; the boundaries between them count.
pub(crate) fn of(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// Tokens in a piece of an engine's prefix cache (design page, section 1).
const PIECE_TOKENS: usize = 2_000;

/// Hashes of a prompt's prefixes, one for each complete piece. Each hash covers the one before it,
/// so that equal hashes mean equal prefixes.
pub(crate) fn pieces(model: &str, prompt: &str, bytes_per_token: u32) -> Vec<u64> {
    let size = PIECE_TOKENS * usize::try_from(bytes_per_token.max(1)).unwrap_or(1);
    let mut previous = of(&[model.as_bytes()]);
    let mut pieces = Vec::with_capacity(prompt.len() / size);
    for piece in prompt.as_bytes().chunks_exact(size) {
        previous = of(&[&previous.to_be_bytes(), piece]);
        pieces.push(previous);
    }
    pieces
}
