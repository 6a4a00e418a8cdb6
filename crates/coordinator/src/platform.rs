//! Client of the platform: log, host list and weight store.

use std::time::Duration;

use berylknot_border::platform::{
    AppendResponse, HostList, ReadResponse, WeightRequest, WeightResponse,
};
use berylknot_coordination::record::{Entry, Record};
use berylknot_wire::entry;

/// Maximum size of a response.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// Request header with the name of this host.
const HOST_HEADER: &str = "x-platform-client";

/// Result of platform operations.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Failures of platform operations.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// The call failed; an append may still have taken effect.
    #[error("platform call failed: {0}")]
    Unavailable(String),
    /// The records of an append cannot be encoded.
    #[error("log entry cannot be encoded: {0}")]
    Encoding(String),
}

/// Result of a read of the log.
#[derive(Debug)]
pub(crate) struct Segment {
    /// Offset of the oldest retained entry.
    pub(crate) oldest: u64,
    /// Tail offset, which the next append gets.
    pub(crate) next: u64,
    /// Entries from the requested offset on; the read may end before the tail.
    pub(crate) entries: Vec<Entry>,
}

/// Operations of the platform that a coordinator uses.
pub(crate) trait Platform: Clone + Unpin + 'static {
    /// Appends records as one entry and returns its offset.
    async fn append(&self, records: &[Record]) -> Result<u64>;
    /// Reads entries from an offset on.
    async fn read(&self, from: u64) -> Result<Segment>;
    /// Reads the host list, which may be stale.
    async fn hosts(&self) -> Result<HostList>;
    /// Asks the weight store to start a load; false if its rate limit does not permit one now.
    async fn load_weights(&self, request: &WeightRequest) -> Result<bool>;
}

/// Client of the platform's HTTP interface.
#[derive(Clone)]
pub(crate) struct Http {
    client: awc::Client,
    url: String,
    host: String,
}

impl std::fmt::Debug for Http {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Http")
            .field("url", &self.url)
            .finish_non_exhaustive()
    }
}

impl Http {
    /// Makes a client of the platform at a base URL.
    pub(crate) fn new(url: &str, host: &str, timeout: Duration) -> Self {
        let client = awc::Client::builder().timeout(timeout).finish();
        Self {
            client,
            url: url.trim_end_matches('/').to_owned(),
            host: host.to_owned(),
        }
    }
}

impl Platform for Http {
    async fn append(&self, records: &[Record]) -> Result<u64> {
        let body = entry::encode(records).map_err(|error| Error::Encoding(error.to_string()))?;
        let request = self
            .client
            .post(format!("{}/log/append", self.url))
            .insert_header((HOST_HEADER, self.host.as_str()))
            .send_json(&body);
        let mut response = request.await.map_err(unavailable)?;
        if !response.status().is_success() {
            return Err(Error::Unavailable(response.status().to_string()));
        }
        let appended: AppendResponse = response.json().await.map_err(unavailable)?;
        Ok(appended.offset)
    }

    async fn read(&self, from: u64) -> Result<Segment> {
        let request = self
            .client
            .get(format!("{}/log/read?from={from}", self.url))
            .insert_header((HOST_HEADER, self.host.as_str()))
            .send();
        let mut response = request.await.map_err(unavailable)?;
        if !response.status().is_success() {
            return Err(Error::Unavailable(response.status().to_string()));
        }
        let read: ReadResponse = response
            .json()
            .limit(ANSWER_LIMIT_BYTES)
            .await
            .map_err(unavailable)?;
        let mut entries = Vec::with_capacity(read.entries.len());
        for raw in &read.entries {
            entries.push(entry::decode(raw).unwrap_or_else(|error| {
                // A newer release may have written the entry. Its offset must still be consumed.
                tracing::error!(
                    offset = raw.offset,
                    %error,
                    "log: entry could not be decoded; skipping its records"
                );
                let (offset, appended_at_ms) = (raw.offset, raw.appended_at_ms);
                Entry {
                    offset,
                    appended_at_ms,
                    records: Vec::new(),
                }
            }));
        }
        Ok(Segment {
            oldest: read.oldest,
            next: read.next,
            entries,
        })
    }

    async fn hosts(&self) -> Result<HostList> {
        let request = self.client.get(format!("{}/hosts", self.url));
        let request = request
            .insert_header((HOST_HEADER, self.host.as_str()))
            .send();
        let mut response = request.await.map_err(unavailable)?;
        if !response.status().is_success() {
            return Err(Error::Unavailable(response.status().to_string()));
        }
        response
            .json()
            .limit(ANSWER_LIMIT_BYTES)
            .await
            .map_err(unavailable)
    }

    async fn load_weights(&self, weights: &WeightRequest) -> Result<bool> {
        let request = self.client.post(format!("{}/weights/load", self.url));
        let request = request
            .insert_header((HOST_HEADER, self.host.as_str()))
            .send_json(weights);
        let mut response = request.await.map_err(unavailable)?;
        let answer: WeightResponse = response.json().await.map_err(unavailable)?;
        Ok(answer.started)
    }
}

fn unavailable(error: impl std::fmt::Display) -> Error {
    Error::Unavailable(error.to_string())
}
