//! Requests of callers and their replies, independent of the HTTP server library.

use std::cell::Cell;
use std::rc::Rc;

use berylknot_coordination::clock::Instant;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};

use crate::directory::Endpoint;
use crate::fleet::{Fleet, Route};
use crate::outbox::Events;
use crate::parts::Part;
use crate::platform::{AnswerHead, Dialect, Head, Outbound};
use crate::strikes::Fingerprint;

/// A request as received from a caller.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: Method,
    /// Path and query as received, not normalised.
    pub(crate) target: String,
    pub(crate) host: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Reason of a stream that ends before its last event.
#[derive(Clone, Copy, Debug)]
#[derive(thiserror::Error)]
#[error("{0}")]
pub(crate) struct Cut(pub(crate) &'static str);

/// Reply to a caller.
pub(crate) enum Reply {
    /// Reply with a complete body.
    Whole {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    },
    /// Reply with a stream of events.
    Stream {
        status: StatusCode,
        headers: HeaderMap,
        events: Events,
    },
}

impl Reply {
    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::Whole { status, .. } | Self::Stream { status, .. } => *status,
        }
    }
}

/// An accepted request in progress.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: Request,
    pub(crate) head: Head,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) route: usize,
    pub(crate) service: String,
    pub(crate) customer: Option<usize>,
    /// Tokens charged to the quota of the customer.
    pub(crate) tokens: u64,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Instant,
    /// Deadline of the caller.
    pub(crate) caller_deadline: Instant,
    /// Deadline for the end of the answer, by the route's timeout.
    pub(crate) route_deadline: Instant,
    /// Whether an endpoint may have run the request.
    pub(crate) may_have_run: Cell<bool>,
}

impl Call {
    pub(crate) fn route(&self) -> &Route {
        &self.fleet.routes[self.route]
    }

    pub(crate) fn customer_name(&self) -> Option<&str> {
        Some(&self.fleet.customers[self.customer?].name)
    }

    /// Regions in which the request may run: those of its route and those of its customer.
    pub(crate) fn homes(&self) -> [&[String]; 2] {
        let customer = self.customer.map(|index| &self.fleet.customers[index]);
        let customer = customer.map_or(&[][..], |customer| &customer.homes);
        [&self.route().homes, customer]
    }

    /// Ids of the prompt's parts, for log lines.
    pub(crate) fn parts(&self) -> String {
        let ids: Vec<String> = self.head.parts.iter().map(Part::to_string).collect();
        ids.join(",")
    }

    pub(crate) fn deadline(&self) -> Instant {
        self.caller_deadline.min(self.route_deadline)
    }

    /// Priority of the request; the customer's overrides the route's.
    pub(crate) fn priority(&self) -> u8 {
        let customer = self
            .customer
            .and_then(|index| self.fleet.customers[index].priority);
        customer.unwrap_or(self.route().priority)
    }

    /// Classifies the head of an answer to the request.
    pub(crate) fn classify(
        &self,
        answer: &AnswerHead,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Classification {
        // Endpoints echo the id: an answer without it may be an earlier one, written once more.
        if answer.id.as_deref() != Some(self.head.id.as_str()) {
            return Classification::Mismatched;
        }
        if answer.not_executed {
            return Classification::NotRun;
        }
        let is_encoded = headers.contains_key(http::header::CONTENT_ENCODING);
        if is_encoded || (status.is_success() && !answer.is_signed) {
            return Classification::Mismatched;
        }
        Classification::Valid
    }

    /// Headers that the router adds for an endpoint, without a KV cache or an event to resume
    /// after.
    pub(crate) fn addressed<'a>(&'a self, endpoint: &'a Endpoint, now: Instant) -> Outbound<'a> {
        Outbound {
            deadline: self.caller_deadline.since(now),
            endpoint: &endpoint.id,
            customer: self.customer_name(),
            prefill: false,
            cache: None,
            parts_at: None,
            last_event_id: None,
        }
    }

    /// Builds the request to an endpoint, without hop-by-hop and reserved headers of the caller. From here
    /// on the endpoint may have run it, unless it is asked to read the prompt only.
    pub(crate) fn outbound<D: Dialect>(
        &self,
        outbound: &Outbound<'_>,
    ) -> std::result::Result<http::Request<http_body_util::Full<Bytes>>, http::Error> {
        let mut request = http::Request::builder()
            .method(self.request.method.clone())
            .uri(self.request.target.as_str())
            .body(http_body_util::Full::new(self.request.body.clone()))?;
        let headers = request.headers_mut();
        let connection_names = named_by_connection(&self.request.headers);
        for (name, value) in &self.request.headers {
            if is_hop_by_hop(name) || D::is_reserved(name) || connection_names.contains(name) {
                continue;
            }
            headers.append(name.clone(), value.clone());
        }
        D::outbound(outbound, headers);
        if !outbound.prefill {
            self.may_have_run.set(true);
        }
        Ok(request)
    }
}

/// Meaning of the head of an answer for the request it was received for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Classification {
    /// The endpoint's answer to the request.
    Valid,
    /// The endpoint states that the request did not run.
    NotRun,
    /// The answer belongs to another request or was altered on the way.
    Mismatched,
}

/// Headers that apply to a single connection, or that are set anew for the next hop.
const HOP_BY_HOP: [HeaderName; 12] = [
    http::header::AUTHORIZATION,
    http::header::CONNECTION,
    http::header::CONTENT_LENGTH,
    http::header::EXPECT,
    HeaderName::from_static("keep-alive"),
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name)
}

/// Headers that the `Connection` header lists as hop-by-hop.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Headers of an endpoint's answer without hop-by-hop headers.
pub(crate) fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_names = named_by_connection(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if is_hop_by_hop(name) || connection_names.contains(name) {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}
