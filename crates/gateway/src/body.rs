//! Reads request bodies with a size limit, a timeout and within the memory for them.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use actix_web::web::{Bytes, BytesMut, Payload};
use futures_util::StreamExt;

use crate::memory::{Charge, Exhausted, Growth, MEDIUM_BYTES, Memory, Need};
use crate::options::Limits;
use crate::refusal::Refusal;

/// Suggested delay before a retry of a request whose body has no room; stalled uploads end within the timeout
/// of bodies.
const RETRY_AFTER_MS: u64 = 2_000;

/// A whole body. A large one keeps its claim on the memory for as long as the request lasts; the others are
/// bounded by the number of open requests.
#[derive(Clone, Debug)]
pub(crate) struct Body {
    pub(crate) bytes: Bytes,
    pub(crate) charge: Option<Charge>,
}

/// Why a body was not read.
enum Error {
    TooLarge,
    Malformed(actix_web::error::PayloadError),
    NoMemory,
}

impl From<Exhausted> for Error {
    fn from(_: Exhausted) -> Self {
        Self::NoMemory
    }
}

/// Reads the whole body; refuses the request beyond the size limit or the timeout, or without memory.
pub(crate) async fn read(
    request: &HttpRequest,
    payload: Payload,
    memory: &Memory,
    limits: &Limits,
) -> Result<Body, Refusal> {
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let length = request
        .headers()
        .get(actix_web::http::header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.trim().parse().ok());
    let reading = read_within(payload, memory, length, limits.body_bytes);
    let Ok(read) = actix_rt::time::timeout(timeout, reading).await else {
        let message = format!(
            "the body did not arrive within {} ms",
            limits.body_timeout_ms
        );
        return Err(Refusal::not_run(
            "body_slow",
            StatusCode::REQUEST_TIMEOUT,
            message,
        ));
    };
    read.map_err(|error| match error {
        Error::TooLarge => {
            let message = format!("the body is larger than {} bytes", limits.body_bytes);
            Refusal::not_run("body_too_large", StatusCode::PAYLOAD_TOO_LARGE, message)
        }
        Error::Malformed(error) => {
            let message = format!("the body cannot be read: {error}");
            Refusal::not_run("body_malformed", StatusCode::BAD_REQUEST, message)
        }
        Error::NoMemory => {
            tracing::info!(
                client = request.peer_addr().map(tracing::field::display),
                stated_bytes = length,
                "body: refused, the memory for bodies is taken"
            );
            let message = "this host has no memory for the body at present";
            Refusal::not_run("body_memory", StatusCode::SERVICE_UNAVAILABLE, message)
                .retry_after_ms(Some(RETRY_AFTER_MS))
        }
    })
}

async fn read_within(
    mut payload: Payload,
    memory: &Memory,
    length: Option<usize>,
    limit: usize,
) -> Result<Body, Error> {
    let mut growth = Growth::new(length, limit).ok_or(Error::TooLarge)?;
    let mut bytes = BytesMut::new();
    let mut charge = None;
    while let Some(part) = payload.next().await {
        let part = part.map_err(Error::Malformed)?;
        match growth.grow(bytes.len() + part.len()) {
            Need::Nothing => {}
            Need::Claim(room) => {
                charge = Some(memory.claim(room)?);
                // One allocation: growth in steps would take up to three times the claim while it copies.
                bytes.reserve(room - bytes.len());
            }
            Need::TooLarge => return Err(Error::TooLarge),
        }
        bytes.extend_from_slice(&part);
    }
    Ok(Body {
        charge: charge.filter(|_| bytes.len() > MEDIUM_BYTES),
        bytes: bytes.freeze(),
    })
}
