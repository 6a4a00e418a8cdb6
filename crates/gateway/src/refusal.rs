//! Error responses to callers: status, body, headers.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use berylknot_border::caller::{ErrorBody, ErrorDetail, Outcome};

/// Header with the outcome of a refused request.
pub(crate) const OUTCOME_HEADER: &str = "x-berylknot-outcome";

/// Header with the request id.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Error response for a request that the gateway does not answer from an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// Machine-readable reason, also used as label of the refusal counter.
    pub(crate) code: &'static str,
    /// Whether the request may have run.
    pub(crate) outcome: Outcome,
    /// Human-readable explanation.
    pub(crate) message: String,
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Suggested delay before a retry in milliseconds; rounded up to seconds in `retry-after`.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Refusal of a request that was not run.
    pub(crate) fn not_run(
        code: &'static str,
        status: StatusCode,
        message: impl Into<String>,
    ) -> Self {
        let message = message.into();
        Self {
            code,
            outcome: Outcome::NotRun,
            message,
            status,
            retry_after_ms: None,
        }
    }

    /// Refusal of a request that may have run, in whole or in part.
    pub(crate) fn may_have_run(
        code: &'static str,
        status: StatusCode,
        message: impl Into<String>,
    ) -> Self {
        let message = message.into();
        Self {
            code,
            outcome: Outcome::MayHaveRun,
            message,
            status,
            retry_after_ms: None,
        }
    }

    /// Sets the suggested delay before a retry.
    pub(crate) fn retry_after_ms(mut self, millis: Option<u64>) -> Self {
        self.retry_after_ms = millis;
        self
    }

    /// Error body in the format of the OpenAI-compatible API.
    pub(crate) fn body(&self, request_id: &str) -> ErrorBody {
        let kind = if self.status.is_client_error() {
            "invalid_request_error"
        } else {
            "server_error"
        };
        ErrorBody {
            error: ErrorDetail {
                message: self.message.clone(),
                type_: kind.to_owned(),
                code: self.code.to_owned(),
                outcome: self.outcome,
                request_id: request_id.to_owned(),
            },
        }
    }

    /// HTTP response with the outcome, request id and `retry-after` headers.
    pub(crate) fn response(&self, request_id: &str) -> HttpResponse {
        const MILLIS_PER_SECOND: u64 = 1_000;
        let mut response = HttpResponse::build(self.status);
        response.insert_header((OUTCOME_HEADER, self.outcome.to_string()));
        response.insert_header((REQUEST_ID_HEADER, request_id));
        if let Some(millis) = self.retry_after_ms {
            let seconds = millis.div_ceil(MILLIS_PER_SECOND).max(1);
            response.insert_header(("retry-after", seconds.to_string()));
        }
        response.json(self.body(request_id))
    }
}
