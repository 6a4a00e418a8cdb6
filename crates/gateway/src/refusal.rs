//! Refusals towards callers: status, error body, headers.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use berylknot_border::caller::{ErrorBody, ErrorDetail, Outcome};

/// Header with the outcome of a refused request.
pub(crate) const OUTCOME_HEADER: &str = "x-berylknot-outcome";

/// Header with the request id.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// A request that gets no answer from an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// Machine-readable reason, also the label of the refusal counter.
    pub(crate) code: &'static str,
    /// Whether the request was run.
    pub(crate) outcome: Outcome,
    /// Explanation for people.
    pub(crate) message: String,
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Milliseconds after which a retry is worth while.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A request that was not run.
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

    /// A request that may have run, in whole or in part.
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

    /// Adds the time after which a retry is worth while.
    pub(crate) fn retry_after_ms(mut self, millis: Option<u64>) -> Self {
        self.retry_after_ms = millis;
        self
    }

    /// Error body for a caller.
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

    /// Response for a caller.
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
