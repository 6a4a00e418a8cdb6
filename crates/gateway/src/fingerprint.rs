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
