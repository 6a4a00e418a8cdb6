//! Hashing of customers' API keys; settings store only HMACs of keys.

use std::path::Path;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Minimum length of a pepper read from a file: 128 bits rule out a brute-force search for the
/// pepper from known keys and hashes.
const MIN_PEPPER_BYTES: usize = 16;

/// Secret HMAC key of a deployment, under which its API keys are hashed.
#[derive(Clone)]
pub struct Pepper(Vec<u8>);

impl Pepper {
    /// Creates a pepper from the secret's bytes, without checking their length.
    #[must_use]
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Reads the secret from a file and trims trailing ASCII whitespace.
    ///
    /// # Errors
    /// Fails if the file cannot be read or the secret is shorter than 16 bytes.
    pub fn read_file(path: &Path) -> std::io::Result<Self> {
        let bytes = std::fs::read(path)?;
        let secret = bytes.trim_ascii_end();
        if secret.len() < MIN_PEPPER_BYTES {
            let message = format!("the pepper has fewer than {MIN_PEPPER_BYTES} bytes");
            return Err(std::io::Error::new(
                std::io::ErrorKind::InvalidData,
                message,
            ));
        }
        Ok(Self::new(secret))
    }
}

impl std::fmt::Debug for Pepper {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Pepper(..)")
    }
}

/// HMAC-SHA-256 of an API key under the pepper.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Computes the hash of an API key.
    #[must_use]
    pub fn of(key: &str, pepper: &Pepper) -> Self {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&pepper.0).expect("HMAC accepts a key of any length");
        mac.update(key.as_bytes());
        Self(mac.finalize().into_bytes().into())
    }

    /// Compares two hashes in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// The first 8 bytes as a big-endian number, used as an index key.
    pub(crate) fn prefix(&self) -> u64 {
        let (prefix, _) = self.0.split_first_chunk().expect("a hash has 32 bytes");
        u64::from_be_bytes(*prefix)
    }

    /// Formats the hash as 64 lower-case hexadecimal digits.
    #[must_use]
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Parses 64 hexadecimal digits of either case; `None` for any other text.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; 32];
        for (byte, index) in bytes.iter_mut().zip((0..64).step_by(2)) {
            *byte = u8::from_str_radix(&text[index..index + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl std::fmt::Debug for Hash {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Hash(..)")
    }
}
