//! Rejections: answers of the router itself instead of an endpoint.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::header::{HeaderMap, HeaderValue, RETRY_AFTER};

use crate::request::Reply;

/// Mean `Retry-After` of a stopping host; another host serves the retry.
pub(crate) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Why the router rejects a request; [`Reason::code`] is the outward name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Reason {
    Unreadable,
    TooLarge,
    TooSlow,
    NoMemory,
    UnknownRoute,
    UnknownKey,
    NoConfiguration,
    StaleConfiguration,
    OverQuota,
    QueueFull,
    Hopeless,
    NoEndpoint,
    Starting,
    Stopping,
    CrashesEndpoints,
    UnknownVersion,
    VersionGone,
    StoreAway,
    EndpointsRefused,
    EndpointsLimited,
    LinksLost,
    NoPlace,
    Overloaded,
    EndpointLost,
    TimedOut,
    Interrupted,
}

impl Reason {
    /// Code in logs and answer bodies, and label of the counter of refusals.
    pub(crate) const fn code(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::TooLarge => "too_large",
            Self::TooSlow => "too_slow",
            Self::NoMemory => "no_memory",
            Self::UnknownRoute => "unknown_route",
            Self::UnknownKey => "unknown_key",
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::OverQuota => "over_quota",
            Self::QueueFull => "queue_full",
            Self::Hopeless => "hopeless",
            Self::NoEndpoint => "no_endpoint",
            Self::Starting => "starting",
            Self::Stopping => "stopping",
            Self::CrashesEndpoints => "crashes_endpoints",
            Self::UnknownVersion => "unknown_version",
            Self::VersionGone => "version_gone",
            Self::StoreAway => "store_away",
            Self::EndpointsRefused => "endpoints_refused",
            Self::EndpointsLimited => "endpoints_limited",
            Self::LinksLost => "links_lost",
            Self::NoPlace => "no_place",
            Self::Overloaded => "overloaded",
            Self::EndpointLost => "endpoint_lost",
            Self::TimedOut => "timed_out",
            Self::Interrupted => "interrupted",
        }
    }

    /// HTTP status. 408, 421, 429 and 503 state that the request has not run and never will.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::Unreadable => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::NoMemory
            | Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::QueueFull
            | Self::Hopeless
            | Self::NoEndpoint
            | Self::Starting
            | Self::Stopping
            | Self::CrashesEndpoints
            | Self::UnknownVersion
            | Self::VersionGone
            | Self::StoreAway
            | Self::EndpointsRefused
            | Self::EndpointsLimited
            | Self::LinksLost
            | Self::NoPlace
            | Self::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            Self::EndpointLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::Interrupted => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the answer, with a `Retry-After` header if a retry may succeed.
    pub(crate) fn reply(self, retry_after: Option<Duration>) -> Reply {
        let mut headers = HeaderMap::new();
        let seconds = retry_after.map(|after| format!("{:.2}", after.as_secs_f64()));
        if let Some(value) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(RETRY_AFTER, value);
        }
        Reply::Whole {
            status: self.status(),
            headers,
            body: Bytes::from_static(self.code().as_bytes()),
        }
    }
}
