//! Events of a decode stream.

use std::borrow::Cow;

use serde::Deserialize;

/// An event of a decode stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A generated token.
    Token {
        /// Request that the token belongs to.
        request_id: Cow<'a, str>,
        /// Attempt that generated it.
        attempt: u32,
        /// Index in the whole answer.
        index: u32,
        /// Text of the token.
        text: Cow<'a, str>,
    },
    /// End of the answer.
    Finish {
        /// Request that the event belongs to.
        request_id: Cow<'a, str>,
        /// Attempt that ended.
        attempt: u32,
        /// Number of tokens of the whole answer.
        count: u32,
        /// Why the answer ended.
        finish_reason: Cow<'a, str>,
    },
}

/// Data that is not an event of a decode stream.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The data is not JSON of the expected form.
    #[error("event is malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// The event is neither a token nor an end.
    #[error("event is neither a token nor an end")]
    Kind,
}

#[derive(Deserialize)]
struct Raw<'a> {
    #[serde(borrow)]
    request_id: Cow<'a, str>,
    attempt: u32,
    index: Option<u32>,
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
    count: Option<u32>,
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
}

impl<'a> TryFrom<&'a [u8]> for Event<'a> {
    type Error = Error;

    fn try_from(data: &'a [u8]) -> Result<Self, Error> {
        let Raw {
            request_id,
            attempt,
            index,
            text,
            count,
            finish_reason,
        } = serde_json::from_slice(data)?;
        match (index, text, count, finish_reason) {
            (Some(index), Some(text), None, None) => Ok(Self::Token {
                request_id,
                attempt,
                index,
                text,
            }),
            (None, None, Some(count), Some(finish_reason)) => Ok(Self::Finish {
                request_id,
                attempt,
                count,
                finish_reason,
            }),
            _ => Err(Error::Kind),
        }
    }
}
