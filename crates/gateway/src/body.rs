//! Reads request bodies with a size limit and a timeout.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Payload};

use crate::options::Limits;
use crate::refusal::Refusal;

/// Reads the whole body; refuses the request beyond the size limit or the timeout.
pub(crate) async fn read(payload: Payload, limits: &Limits) -> Result<Bytes, Refusal> {
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let reading = actix_rt::time::timeout(timeout, payload.to_bytes_limited(limits.body_bytes));
    let Ok(read) = reading.await else {
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
    let Ok(complete) = read else {
        let message = format!("the body is larger than {} bytes", limits.body_bytes);
        return Err(Refusal::not_run(
            "body_too_large",
            StatusCode::PAYLOAD_TOO_LARGE,
            message,
        ));
    };
    complete.map_err(|error| {
        let message = format!("the body cannot be read: {error}");
        Refusal::not_run("body_malformed", StatusCode::BAD_REQUEST, message)
    })
}
