//! Request fingerprints and prefix hashes, identical on all hosts and releases.

use sha2::{Digest, Sha256};

/// Hashes a sequence of parts. Each is prefixed with its length, so that moving a boundary changes
/// the hash.
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

/// Tokens in one piece, the unit of an engine's prefix cache (design page, section 1).
const PIECE_TOKENS: usize = 2_000;

/// Hashes of a prompt's prefixes, one per complete piece. The hashes are chained, so that equal
/// hashes mean equal prefixes.
pub(crate) fn prefix_hashes(model: &str, prompt: &str, bytes_per_token: u32) -> Vec<u64> {
    let piece_bytes = PIECE_TOKENS * usize::try_from(bytes_per_token.max(1)).unwrap_or(1);
    let mut previous = of(&[model.as_bytes()]);
    let mut prefix_hashes = Vec::with_capacity(prompt.len() / piece_bytes);
    for piece in prompt.as_bytes().chunks_exact(piece_bytes) {
        previous = of(&[&previous.to_be_bytes(), piece]);
        prefix_hashes.push(previous);
    }
    prefix_hashes
}
