//! Events of an engine's decode stream: generated tokens, then the end of the answer.

use std::borrow::Cow;

use serde::Deserialize;

/// Event of a decode stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A generated token.
    Token {
        /// Request that the token belongs to.
        request_id: Cow<'a, str>,
        /// Attempt that generated it.
        attempt: u32,
        /// Index in the whole answer, counted over all attempts.
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
        /// Number of tokens in the whole answer, counted over all attempts.
        count: u32,
        /// Reason for the end, such as `length`.
        finish_reason: Cow<'a, str>,
    },
}

/// Reason why data is not an event of a decode stream.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The data is not JSON with the fields of an event.
    #[error("decode event is malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// The fields are neither those of a token nor those of an end of the answer.
    #[error("decode event has neither the fields of a token nor those of an end")]
    Ambiguous,
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
            _ => Err(Error::Ambiguous),
        }
    }
}
