//! Client of the platform: log and host list.

use std::time::Duration;

use berylknot_border::platform::{
    AppendResponse, HostList, ReadResponse, WeightRequest, WeightResponse,
};
use berylknot_coordination::record::{Entry, Record};
use berylknot_wire::entry;

/// Largest answer of the log in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// Header that names the client's host to the platform.
const HOST_HEADER: &str = "x-platform-client";

/// Result of platform operations.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Failures of the platform.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// The call failed; an append may still have taken effect.
    #[error("platform does not answer: {0}")]
    Unavailable(String),
    /// An entry or record cannot be encoded or decoded.
    #[error("log entry is malformed: {0}")]
    Malformed(String),
}

/// Part of the log that was read.
#[derive(Debug)]
pub(crate) struct Segment {
    /// First retained offset.
    pub(crate) oldest: u64,
    /// Offset of the next append.
    pub(crate) next: u64,
    /// Entries from the asked offset on.
    pub(crate) entries: Vec<Entry>,
}

/// What the platform gives to a coordinator.
pub(crate) trait Platform: Clone + Unpin + 'static {
    /// Appends records as one entry and returns its offset.
    async fn append(&self, records: &[Record]) -> Result<u64>;
    /// Reads entries from an offset on.
    async fn read(&self, from: u64) -> Result<Segment>;
    /// Reads the list of hosts, which lags behind the truth.
    async fn hosts(&self) -> Result<HostList>;
    /// Asks the weight store to start a load; false when its rate does not permit one now.
    async fn load_weights(&self, request: &WeightRequest) -> Result<bool>;
}

/// The platform over HTTP.
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
        let body = entry::encode(records).map_err(|error| Error::Malformed(error.to_string()))?;
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
                // A newer release may have written it; its offset must still be passed.
                tracing::error!(offset = raw.offset, %error, "log: entry is passed over");
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
