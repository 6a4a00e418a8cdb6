//! HTTP client for endpoints, which sends each request on a connection of its own.

use awc::ClientRequest;
use awc::http::Method;

/// Client of endpoints, one per thread.
///
/// A faulty endpoint may write an answer once more, late, where the next answer on the connection is
/// due. Plain services need not repeat a request id, and the id of a request that is sent again does
/// not tell its answers apart, so no connection carries a second request.
#[derive(Clone)]
pub(crate) struct Client(awc::Client);

impl std::fmt::Debug for Client {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Client(..)")
    }
}

impl Client {
    /// Creates a client without timeouts, which are set per request. It follows no redirects: the
    /// connection of a followed one would be kept.
    pub(crate) fn new() -> Self {
        Self(
            awc::Client::builder()
                .disable_timeout()
                .disable_redirects()
                .finish(),
        )
    }

    /// Request on a new connection, which is closed after the answer.
    pub(crate) fn request(&self, method: Method, url: &str) -> ClientRequest {
        self.0.request(method, url).force_close()
    }
}
