//! What the entry daemon needs from the platform it runs on.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName};
use http::{Method, StatusCode};

use crate::directory::Endpoint;
use crate::fleet::Fleet;
use crate::parts::{CachedPart, Part};

/// Error of a platform call or of a record that cannot be decoded.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A head or a record has a missing or malformed part.
    #[error("malformed {0}")]
    Malformed(&'static str),
    /// The requested records are no longer kept.
    #[error("the records have expired")]
    Expired,
    /// Another writer appended first; the position at which the log ends.
    #[error("the log ends at {0}")]
    Conflict(u64),
    /// The platform answered with a failure.
    #[error("status {0}")]
    Status(StatusCode),
    /// The exchange failed or timed out.
    #[error("exchange failed: {0}")]
    Exchange(#[from] crate::http::Error),
}

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// Tokens of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Prompt tokens.
    pub prompt: u32,
    /// Largest number of output tokens.
    pub output: u32,
}

/// What the head of a request says.
#[derive(Clone, Debug)]
pub struct Head {
    /// Id of the caller's attempt.
    pub id: String,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// API key.
    pub key: Option<String>,
    /// Tokens, for a generation.
    pub tokens: Option<Tokens>,
    /// The caller's estimate of output tokens.
    pub output_hint: Option<u32>,
    /// Last event that the caller has.
    pub after_event: Option<u64>,
    /// Last part of the prompt, which other requests do not share.
    pub last_part: Option<Part>,
}

/// A call of the system's own to an endpoint.
#[derive(Clone, Debug)]
pub struct Command {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// JSON; empty if there is none.
    pub body: Bytes,
}

/// KV cache of a prompt, kept at the endpoint that read it.
#[derive(Clone, Debug)]
pub struct Cache {
    /// Address of the endpoint that keeps it.
    pub address: SocketAddr,
    /// Its handle.
    pub handle: String,
}

/// What the system adds to a request.
#[derive(Clone, Debug)]
pub struct Outbound<'a> {
    /// Time that the endpoint may take.
    pub deadline: Duration,
    /// Id of the endpoint, so that another one at its address refuses.
    pub endpoint: &'a str,
    /// Customer that the key belongs to.
    pub customer: Option<&'a str>,
    /// Whether only the prompt is read.
    pub prefill: bool,
    /// KV cache to go on from.
    pub cache: Option<&'a Cache>,
    /// Engine that may keep parts of the prompt, which are copied from there instead of read again.
    pub parts_at: Option<SocketAddr>,
    /// Last event that was delivered.
    pub after_event: Option<u64>,
}

/// What the head of an answer says.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether the endpoint states that the request did not run.
    pub not_run: bool,
    /// Whether another endpoint has the address now.
    pub misdirected: bool,
    /// Whether it bears the endpoint's signature.
    pub signed: bool,
    /// Running requests, waiting requests and slots of the endpoint.
    pub load: Option<(u32, u32, u32)>,
}

/// The caller and endpoint protocols.
pub trait Dialect: 'static {
    /// Decodes the head of a request.
    ///
    /// # Errors
    /// Fails when the id is missing or a field is malformed.
    fn head(headers: &HeaderMap) -> Result<Head>;
    /// Whether only the system may send the header to endpoints.
    fn is_reserved(name: &HeaderName) -> bool;
    /// Adds the system's headers.
    fn outbound(outbound: &Outbound<'_>, headers: &mut HeaderMap);
    /// Decodes the head of an answer.
    fn answer(status: StatusCode, headers: &HeaderMap) -> AnswerHead;
    /// Handle in the answer of an endpoint that read a prompt.
    ///
    /// # Errors
    /// Fails when the body is malformed.
    fn prefill_handle(body: &[u8]) -> Result<String>;
    /// Frees a handle.
    fn release(handle: &str) -> Command;
    /// Asks an engine which parts of prompts it keeps.
    fn list_parts() -> Command;
    /// Parts in the answer to that.
    ///
    /// # Errors
    /// Fails when the body is malformed.
    fn parts(body: &[u8]) -> Result<Vec<CachedPart>>;
    /// Orders an engine to take a stage.
    fn order(order: &Order) -> Command;
    /// Adds the id of the endpoint that a call of the system's own is for.
    fn expect_endpoint(endpoint: &str, headers: &mut HeaderMap);
    /// Path that answers readiness checks.
    fn ready_path() -> &'static str;
    /// Decodes the operator's configuration.
    ///
    /// # Errors
    /// Fails when the record is malformed.
    fn fleet(value: &[u8]) -> Result<Fleet>;
    /// Decodes the entry of an endpoint.
    ///
    /// # Errors
    /// Fails when the record is malformed; it then names no endpoint.
    fn endpoint(id: &str, value: &[u8]) -> Result<Endpoint>;
}

/// Order to an engine.
#[derive(Clone, Debug)]
pub struct Order {
    /// Stage that the engine shall take.
    pub stage: crate::directory::Stage,
    /// Host that gives the order.
    pub holder: String,
    /// Fencing token.
    pub token: u64,
}

/// Records that the daemon follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feed {
    /// The operator's configuration.
    Configuration,
    /// Entries of the endpoints.
    Endpoints,
    /// Announcements of the system's own hosts.
    Hosts,
}

/// A record of a feed; one without a value deletes its key.
#[derive(Clone, Debug)]
pub struct Record {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Option<Bytes>,
}

/// Newest records of a feed, in pages.
#[derive(Clone, Debug)]
pub struct Page {
    /// Records.
    pub records: Vec<Record>,
    /// Key after which the next page starts; `None` on the last page.
    pub next: Option<String>,
    /// Position at which the feed ends.
    pub end: u64,
}

/// Records of a feed from a position on.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Records.
    pub records: Vec<Record>,
    /// Position after the last record of the batch.
    pub next: u64,
}

/// The platform's store of records.
pub trait Store: 'static {
    /// Reads a page of the newest record of each key.
    fn newest(&self, feed: Feed, after: Option<&str>) -> impl Future<Output = Result<Page>>;
    /// Reads records from a position on, waiting for the first one for a while.
    fn read(&self, feed: Feed, from: u64, wait: Duration) -> impl Future<Output = Result<Batch>>;
    /// Announces a host of the system to the others.
    fn announce(&self, host: &str, value: &[u8]) -> impl Future<Output = Result<()>>;
    /// End of the log of leases, and its newest record.
    fn lease_tail(&self, from: u64) -> impl Future<Output = Result<(u64, Option<Bytes>)>>;
    /// Appends to the log of leases if it ends at a position; returns the record's position.
    fn lease_append(&self, at: u64, value: &[u8]) -> impl Future<Output = Result<u64>>;
}
