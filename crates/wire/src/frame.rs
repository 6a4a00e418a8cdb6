//! Frames: a versioned envelope with the sender's identity, authenticated with HMAC-SHA-256.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::Sha256;

use crate::{Error, Result};

/// Protocol version of the frames that this release sends.
pub const VERSION: u16 = 1;

/// Oldest protocol version that this release accepts, so that two releases can run side by side.
pub const OLDEST_VERSION: u16 = 1;

/// Length of the HMAC-SHA-256 authentication code in bytes.
const MAC_LENGTH_BYTES: usize = 32;

/// HMAC key shared by all processes of a deployment; `Debug` does not print it.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Wraps the secret's bytes.
    #[must_use]
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    fn mac(&self) -> Hmac<Sha256> {
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
    /// Incarnation of the sending process, drawn anew at each start.
    pub incarnation: u64,
    /// Sequence number within the requester's incarnation; an answer repeats that of its request.
    pub sequence: u64,
    /// The message.
    pub body: B,
}

impl<B> Frame<B> {
    /// Creates a frame of protocol version [`VERSION`].
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
        let mut mac = secret.mac();
        mac.update(&content);
        let mut sealed = Vec::with_capacity(MAC_LENGTH_BYTES + content.len());
        sealed.extend_from_slice(&mac.finalize().into_bytes());
        sealed.extend_from_slice(&content);
        Ok(sealed)
    }
}

impl<B: DeserializeOwned> Frame<B> {
    /// Verifies and decodes a sealed frame.
    ///
    /// # Errors
    /// Fails when the data is too short, not authentic, malformed or of an unsupported version.
    pub fn open(sealed: &[u8], secret: &Secret) -> Result<Self> {
        let (mac, content) = sealed
            .split_at_checked(MAC_LENGTH_BYTES)
            .ok_or(Error::TooShort {
                length: sealed.len(),
            })?;
        let mut expected = secret.mac();
        expected.update(content);
        expected
            .verify_slice(mac)
            .map_err(|_| Error::Authentication)?;
        let frame: Self = rmp_serde::from_slice(content)?;
        if !(OLDEST_VERSION..=VERSION).contains(&frame.version) {
            return Err(Error::UnsupportedVersion {
                found: frame.version,
            });
        }
        Ok(frame)
    }
}
