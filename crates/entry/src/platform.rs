//! Interface to the platform: caller and endpoint protocols, and the store of records.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use berylknot_coordination::history::Era;
use bytes::Bytes;
use http::header::{HeaderMap, HeaderName};
use http::{Method, StatusCode};

use crate::directory::Endpoint;
use crate::fleet::Fleet;
use crate::options::Features;
use crate::parts::{CachedPart, Part};

/// Error of a platform call or of a record that cannot be decoded.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A message or a record lacks a part or has a malformed one.
    #[error("malformed {0}")]
    Malformed(&'static str),
    /// The requested records are beyond the retention of the store; the first offset that it has.
    #[error("the requested records have expired; the first one is at {0}")]
    Expired(u64),
    /// The store was restored from an older copy, so its records do not continue those read before.
    #[error("the store was restored from an older copy")]
    Restored,
    /// A conditional append was rejected since another writer appended first; the end of the log.
    #[error("append rejected: the log already ends at {0}")]
    Conflict(u64),
    /// The answer has an unexpected status.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The store was lost and is back, so that it may never answer the call.
    #[error("given up when the store was back after a failure")]
    Abandoned,
    /// The exchange failed or timed out.
    #[error("exchange failed: {0}")]
    Exchange(#[from] crate::http::Error),
}

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// Token counts of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Prompt tokens.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub output: u32,
}

/// Decoded head of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// Id of the request, one per attempt of the caller.
    pub id: String,
    /// Timeout of the caller, from the arrival of the request.
    pub deadline: Option<Duration>,
    /// API key.
    pub key: Option<String>,
    /// Token counts that a generation states.
    pub tokens: Option<Tokens>,
    /// The caller's estimate of output tokens.
    pub output_hint: Option<u32>,
    /// Id of the last event that the caller has, when it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the caller's attempt that brought the first event of that stream.
    pub resumes: Option<String>,
    /// Parts of the prompt in order, empty if they are not stated or malformed; only the last one belongs to this request or its session alone.
    pub parts: Vec<Part>,
    /// Tokens of these parts; empty if not all are stated.
    pub part_tokens: Vec<u32>,
}

/// A control request from the router to an endpoint.
#[derive(Clone, Debug)]
pub struct Command {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// JSON body; empty if there is none.
    pub body: Bytes,
}

impl Command {
    /// A command without a body that reads something.
    #[must_use]
    pub fn get(target: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            body: Bytes::new(),
        }
    }
}

/// KV cache of a prompt, held by the endpoint that prefilled it.
#[derive(Clone, Debug)]
pub struct Cache {
    /// Address of the endpoint that holds it.
    pub address: SocketAddr,
    /// Handle that the endpoint issued for it.
    pub handle: String,
}

/// Headers that the router adds to a request.
#[derive(Clone, Debug)]
pub struct Outbound<'a> {
    /// Time left for the endpoint to answer.
    pub deadline: Duration,
    /// Id of the endpoint, so that another endpoint at its address rejects the request.
    pub endpoint: &'a str,
    /// Customer of the API key.
    pub customer: Option<&'a str>,
    /// Whether the endpoint only prefills the prompt.
    pub prefill: bool,
    /// KV cache of the prompt from which to decode.
    pub cache: Option<&'a Cache>,
    /// Engine whose prefix cache may hold parts of the prompt; they are copied instead of
    /// prefilled.
    pub parts_at: Option<SocketAddr>,
    /// Id of the last delivered event, after which the stream resumes.
    pub last_event_id: Option<u64>,
}

/// Decoded head of an answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// Id of the answered request.
    pub id: Option<String>,
    /// Whether the endpoint states that the request did not run.
    pub not_executed: bool,
    /// Whether another endpoint now has the address.
    pub misdirected: bool,
    /// Whether the answer carries the endpoint's signature.
    pub is_signed: bool,
    /// Running requests, waiting requests and slots of the endpoint.
    pub load: Option<(u32, u32, u32)>,
    /// Time that work takes at the endpoint at this moment, as a multiple of the usual; not checked.
    pub pace: Option<f64>,
    /// Time for which the endpoint stays cold.
    pub cold: Option<Duration>,
    /// Requests a second that the endpoint takes from all hosts together.
    pub limit: Option<f64>,
    /// Whether the endpoint states that it leaves.
    pub leaving: bool,
    /// Time for which a refusing endpoint wants no further request of this host.
    pub pause: Option<Duration>,
}

/// The caller and endpoint protocols.
pub trait Dialect: 'static {
    /// Decodes the head of a request.
    ///
    /// # Errors
    /// Fails when the id is missing or a field is malformed.
    fn head(headers: &HeaderMap) -> Result<Head>;
    /// Whether only the router may send the header to endpoints; callers' values are dropped.
    fn is_reserved(name: &HeaderName) -> bool;
    /// Adds the router's headers to a request.
    fn outbound(outbound: &Outbound<'_>, headers: &mut HeaderMap);
    /// Decodes the head of an answer.
    fn answer(status: StatusCode, headers: &HeaderMap) -> AnswerHead;
    /// Decodes the KV handle in the answer to a prefill.
    ///
    /// # Errors
    /// Fails when the body is malformed.
    fn prefill_handle(body: &[u8]) -> Result<String>;
    /// Command that releases a KV handle.
    fn release(handle: &str) -> Command;
    /// Command that lists the prompt parts in the prefix cache of an engine.
    fn list_parts() -> Command;
    /// Command that asks an engine for its load; it takes no slot.
    fn load() -> Command;
    /// Decodes the answer to that list command.
    ///
    /// # Errors
    /// Fails when the body is malformed.
    fn parts(body: &[u8]) -> Result<Vec<CachedPart>>;
    /// Command that orders an engine to change its stage.
    fn order(order: &Order) -> Command;
    /// Adds the id that the endpoint must have to accept a control request.
    fn expect_endpoint(endpoint: &str, headers: &mut HeaderMap);
    /// Path of readiness checks.
    fn ready_path() -> &'static str;
    /// Decodes the operator's configuration.
    ///
    /// # Errors
    /// Fails when the record is malformed.
    fn fleet(value: &[u8]) -> Result<Fleet>;
    /// Decodes the entry of an endpoint.
    ///
    /// # Errors
    /// Fails when the record is malformed, so that it describes no endpoint.
    fn endpoint(id: &str, value: &[u8]) -> Result<Endpoint>;
    /// Behaviour that the capabilities of a deployment call for.
    fn features(capabilities: &[String]) -> Features;
    /// The data centre that a record of the operator's feed asks to evacuate, by its key.
    fn evacuated(key: &str) -> Option<&str>;
}

/// Order to an engine to change its stage.
#[derive(Clone, Debug)]
pub struct Order {
    /// Requested stage.
    pub stage: crate::directory::Stage,
    /// Host that holds the lease.
    pub holder: String,
    /// Fencing token of the lease; engines reject a lower one than they know.
    pub token: u64,
}

/// Feeds of records that the daemon follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feed {
    /// The operator's configuration.
    Configuration,
    /// Entries of the endpoints.
    Endpoints,
    /// Announcements of the entry hosts.
    Hosts,
}

/// Logs of the hosts themselves, whose records expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Log {
    /// Claims of the lease under which a host gives orders.
    Leases,
    /// Streams and the software versions that began them.
    Streams,
}

/// A record of a feed.
#[derive(Clone, Debug)]
pub struct Record {
    /// Key, unique in the feed.
    pub key: String,
    /// Value; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// A page of the newest records of a feed.
#[derive(Clone, Debug)]
pub struct Page {
    /// Newest record of each key on the page.
    pub records: Vec<Record>,
    /// Key after which the next page starts; `None` on the last page.
    pub next: Option<String>,
    /// End offset of the feed, from which to follow it.
    pub end: u64,
}

/// Outcome of a store call.
#[derive(Debug)]
pub struct Answer<T> {
    /// Era of the store that the answer states; `None` without an answer or a statement.
    pub era: Option<Era>,
    /// Result of the call.
    pub result: Result<T>,
}

impl<T> Answer<T> {
    /// Applies a fallible decoder to a successful result.
    pub fn and_then<U>(self, decode: impl FnOnce(T) -> Result<U>) -> Answer<U> {
        Answer {
            era: self.era,
            result: self.result.and_then(decode),
        }
    }
}

/// The platform's store of records. Offsets hold for one era of the store.
pub trait Store: 'static {
    /// Reads a page of the newest records by key, starting after the key `after`.
    fn read_newest(&self, feed: Feed, after: Option<&str>) -> impl Future<Output = Answer<Page>>;
    /// Reads records from an offset on, waiting up to `wait` for the first one; returns the end of the feed
    /// and the first records, at most a megabyte.
    fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Answer<(u64, Vec<Record>)>>;
    /// Publishes a record of the feed of hosts, such as the announcement of an entry host.
    fn announce(&self, key: &str, value: &[u8]) -> impl Future<Output = Answer<()>>;
    /// Reads a log from an offset on; returns its end and the first records, at most a megabyte.
    fn log_read(&self, log: Log, from: u64) -> impl Future<Output = Answer<(u64, Vec<Bytes>)>>;
    /// Appends to a log, with `at` only if it ends at that offset; returns the record's offset.
    fn log_append(
        &self,
        log: Log,
        at: Option<u64>,
        value: &[u8],
    ) -> impl Future<Output = Answer<u64>>;
}
