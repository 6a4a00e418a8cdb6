//! Keys of customers, which settings hold as keyed hashes only.

use std::path::Path;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Shortest pepper in a file: 128 bits, too many to guess from known keys and hashes.
const MIN_PEPPER_BYTES: usize = 16;

/// Secret of a deployment that is mixed into the hashes of its keys.
#[derive(Clone)]
pub struct Pepper(Vec<u8>);

impl Pepper {
    /// Wraps the secret's bytes.
    #[must_use]
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Reads the secret from a file; blanks and line breaks at its end do not count.
    ///
    /// # Errors
    /// Fails when the file cannot be read or its secret is shorter than 16 bytes.
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

/// Keyed hash of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Hashes the text of a key.
    #[must_use]
    pub fn of(key: &str, pepper: &Pepper) -> Self {
        let mut code =
            Hmac::<Sha256>::new_from_slice(&pepper.0).expect("HMAC accepts a key of any length");
        code.update(key.as_bytes());
        Self(code.finalize().into_bytes().into())
    }

    /// Compares in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// The first bytes as a number, for an index.
    pub(crate) fn prefix(&self) -> u64 {
        let (prefix, _) = self.0.split_first_chunk().expect("a hash has 32 bytes");
        u64::from_be_bytes(*prefix)
    }

    /// The hash in hexadecimal.
    #[must_use]
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads a hexadecimal hash.
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
