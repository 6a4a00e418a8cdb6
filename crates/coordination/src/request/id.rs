//! Request ids, unique across hosts and gateway restarts.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::record::Incarnation;

/// Maximum length of a DNS name.
const HOST_MAX_BYTES: usize = 253;

/// Id of a request: `<host>.<gateway incarnation, 16 hexadecimal digits>.<sequence>`.
///
/// The text form is canonical: equal ids have equal texts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    host: String,
    gateway: Incarnation,
    sequence: u64,
}

/// Why a request id could not be made or parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The host name is empty, longer than 253 bytes or contains a character other than ASCII
    /// letters, digits, `-`, `_` and `.`.
    #[error("the host of a request id must have 1 to 253 letters, digits, '-', '_' or '.'")]
    Host,
    /// The incarnation is not 16 lower-case hexadecimal digits.
    #[error("the incarnation of a request id must have 16 lower-case hexadecimal digits")]
    Incarnation,
    /// The sequence is not a decimal number without leading zeros.
    #[error("the sequence of a request id must be a decimal number without leading zeros")]
    Sequence,
}

impl Id {
    /// Makes an id.
    ///
    /// # Errors
    /// [`Error::Host`] if the host name is not allowed in an id.
    pub fn new(
        host: impl Into<String>,
        gateway: Incarnation,
        sequence: u64,
    ) -> Result<Self, Error> {
        let host = host.into();
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if host.is_empty() || host.len() > HOST_MAX_BYTES || !host.bytes().all(allowed) {
            return Err(Error::Host);
        }
        Ok(Self {
            host,
            gateway,
            sequence,
        })
    }

    /// Name of the host that accepted the request.
    #[must_use]
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Incarnation of the gateway that accepted the request.
    #[must_use]
    pub const fn gateway(&self) -> Incarnation {
        self.gateway
    }

    /// Sequence number of the request within the gateway's incarnation.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            host,
            gateway,
            sequence,
        } = self;
        write!(formatter, "{host}.{:016x}.{sequence}", gateway.0)
    }
}

impl FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        // Host names may contain dots, so the fields are split off from the end.
        let (rest, sequence) = text.rsplit_once('.').ok_or(Error::Sequence)?;
        let (host, gateway) = rest.rsplit_once('.').ok_or(Error::Incarnation)?;
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if gateway.len() != 16 || !gateway.bytes().all(digit) {
            return Err(Error::Incarnation);
        }
        let gateway = u64::from_str_radix(gateway, 16).map_err(|_| Error::Incarnation)?;
        let canonical = sequence == "0" || !sequence.starts_with(['0', '+']);
        let sequence = sequence.parse().map_err(|_| Error::Sequence)?;
        if !canonical {
            return Err(Error::Sequence);
        }
        Self::new(host, Incarnation(gateway), sequence)
    }
}
