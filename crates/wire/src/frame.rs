//! Frames: a versioned envelope with the sender's identity, sealed with an authentication code.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::Sha256;

use crate::{Error, Result};

/// Version written by this release.
pub const VERSION: u16 = 1;

/// Oldest version that this release accepts, so that two releases can run side by side.
pub const OLDEST_VERSION: u16 = 1;

/// Length of the HMAC-SHA-256 authentication code in bytes.
const CODE_LENGTH_BYTES: usize = 32;

/// Secret shared by all processes of a deployment.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Wraps the secret's bytes.
    #[must_use]
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    fn code(&self) -> Hmac<Sha256> {
        Hmac::new_from_slice(&self.0).expect("HMAC accepts a key of any length")
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

/// Envelope of a message between two processes of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Frame<B> {
    /// Protocol version of the sender.
    pub version: u16,
    /// Name of the sending host.
    pub sender: String,
    /// Random number of the sending process start.
    pub incarnation: u64,
    /// Number of the frame within the incarnation.
    pub sequence: u64,
    /// The message.
    pub body: B,
}

impl<B> Frame<B> {
    /// Makes a frame of this release's version.
    pub fn new(sender: impl Into<String>, incarnation: u64, sequence: u64, body: B) -> Self {
        Self {
            version: VERSION,
            sender: sender.into(),
            incarnation,
            sequence,
            body,
        }
    }
}

impl<B: Serialize> Frame<B> {
    /// Encodes the frame and prepends its authentication code.
    ///
    /// # Errors
    /// Fails when the body cannot be represented in MessagePack.
    pub fn seal(&self, secret: &Secret) -> Result<Vec<u8>> {
        let content = rmp_serde::to_vec_named(self)?;
        let mut code = secret.code();
        code.update(&content);
        let mut sealed = Vec::with_capacity(CODE_LENGTH_BYTES + content.len());
        sealed.extend_from_slice(&code.finalize().into_bytes());
        sealed.extend_from_slice(&content);
        Ok(sealed)
    }
}

impl<B: DeserializeOwned> Frame<B> {
    /// Verifies and decodes a sealed frame.
    ///
    /// # Errors
    /// Fails when the data is too short, not authentic, of an unsupported version or malformed.
    pub fn open(sealed: &[u8], secret: &Secret) -> Result<Self> {
        let (code, content) = sealed
            .split_at_checked(CODE_LENGTH_BYTES)
            .ok_or(Error::Short {
                length: sealed.len(),
            })?;
        let mut expected = secret.code();
        expected.update(content);
        expected
            .verify_slice(code)
            .map_err(|_| Error::Authentication)?;
        let frame: Self = rmp_serde::from_slice(content)?;
        if !(OLDEST_VERSION..=VERSION).contains(&frame.version) {
            return Err(Error::Version {
                found: frame.version,
            });
        }
        Ok(frame)
    }
}
