//! Client of the platform's log, and the state replicated from it.

use std::collections::HashMap;
use std::time::Duration;

use actix_rt::time::{Instant, timeout};
use awc::Client;
use awc::error::PayloadError;
use berylknot_border::platform::{AppendRequest, AppendResponse, ReadResponse};
use berylknot_coordination::configuration::{Accepted, Verdict};
use berylknot_coordination::record::{Entry, Id, Position};
use berylknot_coordination::replica::{Change, Replica};
use berylknot_coordination::snapshot::Assembler;
use berylknot_wire::entry;

/// Timeout of one request to the log.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for reading the log to its tail.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Offset of a log's first entry.
const FIRST_OFFSET: u64 = 1;

/// Initial page size; halved while a page exceeds [`MAX_BODY_BYTES`].
const PAGE_ENTRIES: u64 = 1_024;

/// Limit on an answer of the log. One entry with a document of maximum length takes about 5.6 MiB
/// in base64.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// The platform cannot be reached, or its answer cannot be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("{0}")]
pub(crate) struct Unreachable(pub(crate) String);

/// Outcome of an append, as far as it is known from the answer.
#[derive(Debug)]
pub(crate) enum Append {
    /// The log stored the entry.
    Stored,
    /// The log did not store the entry.
    Refused(String),
    /// The answer was lost or inconclusive; the entry may be stored.
    Unknown(String),
}

/// Log client with the state replicated from the entries read so far.
pub(crate) struct Log {
    client: Client,
    url: String,
    replica: Replica,
    /// Collects the chunks of a snapshot while entries that the replica needs have expired.
    assembler: Option<Assembler>,
    verdicts: HashMap<Id, (Position, Verdict)>,
    accepted_at_ms: u64,
    unknown_entries: u64,
    /// Offset of the next entry to read.
    next_offset: u64,
    /// Oldest offset that the log retained at the first read.
    oldest_offset: Option<u64>,
}

impl Log {
    /// Reads the platform's log from its oldest entry to its tail.
    pub(crate) async fn open(url: &str) -> Result<Self, Unreachable> {
        let mut log = Self {
            client: Client::builder().disable_timeout().finish(),
            url: url.to_owned(),
            replica: Replica::default(),
            assembler: None,
            verdicts: HashMap::new(),
            accepted_at_ms: 0,
            unknown_entries: 0,
            next_offset: 0,
            oldest_offset: None,
        };
        log.read_to_tail().await?;
        Ok(log)
    }

    /// Configuration in force.
    pub(crate) fn accepted(&self) -> Option<&Accepted> {
        self.replica.configuration().accepted()
    }

    /// Version in force; zero when there is none.
    pub(crate) fn version(&self) -> Position {
        self.replica.configuration().version()
    }

    /// Document in force; an empty object when there is none.
    pub(crate) fn document(&self) -> eyre::Result<serde_json::Value> {
        match self.accepted() {
            Some(accepted) => Ok(serde_json::from_str(&accepted.document)?),
            None => Ok(serde_json::Value::Object(serde_json::Map::new())),
        }
    }

    /// Time at which the log stored the version in force, in milliseconds since the Unix epoch.
    pub(crate) const fn accepted_at_ms(&self) -> u64 {
        self.accepted_at_ms
    }

    /// Checks that the configuration in force is known.
    ///
    /// # Errors
    /// Fails when the first entries of the log have expired and the retained ones do not contain
    /// the configuration in force, since a proposal could then not be checked against it.
    pub(crate) fn check_history(&self) -> Result<(), Unreachable> {
        let oldest = self.oldest_offset.unwrap_or_default();
        if self.accepted().is_some() || oldest <= FIRST_OFFSET {
            return Ok(());
        }
        Err(self.unreachable(&format!(
            "the log begins at offset {oldest} and does not contain the configuration in force; \
             wait for a host's snapshot, or give --base 0 if nothing was ever published"
        )))
    }

    /// Number of entries that this release cannot decode.
    pub(crate) const fn unknown_entries(&self) -> u64 {
        self.unknown_entries
    }

    /// Position and verdict of a proposal, if it was read; for a repeated proposal, those of its
    /// first copy.
    pub(crate) fn verdict(&self, id: Id) -> Option<(Position, Verdict)> {
        self.verdicts.get(&id).copied()
    }

    /// Reads from the next entry up to the tail that the first page reports.
    pub(crate) async fn read_to_tail(&mut self) -> Result<(), Unreachable> {
        let deadline = Instant::now() + READ_TIMEOUT;
        let mut tail = None;
        let mut limit = PAGE_ENTRIES;
        while Instant::now() < deadline {
            let Some(page) = self.read_page(limit).await? else {
                if limit == 1 {
                    return Err(self.unreachable("a single log entry exceeds 32 MiB"));
                }
                limit /= 2;
                continue;
            };
            let tail = *tail.get_or_insert(page.next);
            self.oldest_offset.get_or_insert(page.oldest);
            let next_offset = if self.replica.is_behind(page.oldest) {
                self.restore_snapshot(&page)?
            } else {
                for entry in &page.entries {
                    self.apply(entry);
                }
                self.replica.next_offset()
            };
            if self.replica.next_offset() == next_offset && self.assembler.take().is_some() {
                // A snapshot was restored; reading continues with the entries after it.
                self.next_offset = next_offset;
                continue;
            }
            let has_advanced = next_offset > self.next_offset;
            self.next_offset = next_offset;
            if next_offset >= tail {
                return Ok(());
            }
            if !has_advanced {
                return Err(self.unreachable(&format!(
                    "the log has entries before offset {tail}, but sent none from offset {next_offset} on"
                )));
            }
        }
        Err(self.unreachable("the log could not be read to its tail within 60 s"))
    }

    /// Appends an entry to the log, once.
    pub(crate) async fn append(&self, request: &AppendRequest) -> Append {
        let url = format!("{}/log/append", self.url);
        let exchange = async {
            let mut response = self
                .client
                .post(url)
                .send_json(request)
                .await
                .map_err(|error| Append::Unknown(error.to_string()))?;
            let status = response.status();
            if status.is_client_error() {
                return Err(Append::Refused(format!("the log answered {status}")));
            }
            if !status.is_success() {
                return Err(Append::Unknown(format!("the log answered {status}")));
            }
            match response.json::<AppendResponse>().await {
                Ok(_) => Ok(Append::Stored),
                Err(error) => Err(Append::Unknown(error.to_string())),
            }
        };
        match timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(Ok(outcome) | Err(outcome)) => outcome,
            Err(_) => Append::Unknown("no answer within 5 s".to_owned()),
        }
    }

    /// Reads entries from the next one on; `None` when they exceed [`MAX_BODY_BYTES`].
    async fn read_page(&self, limit: u64) -> Result<Option<ReadResponse>, Unreachable> {
        let from = self.next_offset;
        let url = format!("{}/log/read?from={from}&limit={limit}", self.url);
        let exchange = async {
            let mut response = self
                .client
                .get(url)
                .send()
                .await
                .map_err(|error| self.unreachable(&error.to_string()))?;
            if !response.status().is_success() {
                let message = format!("the log answered {}", response.status());
                return Err(self.unreachable(&message));
            }
            let body = match response.body().limit(MAX_BODY_BYTES).await {
                Ok(body) => body,
                Err(PayloadError::Overflow) => return Ok(None),
                Err(error) => return Err(self.unreachable(&error.to_string())),
            };
            serde_json::from_slice(&body)
                .map(Some)
                .map_err(|error| self.unreachable(&format!("unexpected answer: {error}")))
        };
        match timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(page) => page,
            Err(_) => Err(self.unreachable("no answer within 5 s")),
        }
    }

    /// Collects the snapshot chunks of a page, restores the best complete snapshot once the page
    /// reaches the tail, and returns the offset of the next entry to read.
    fn restore_snapshot(&mut self, page: &ReadResponse) -> Result<u64, Unreachable> {
        let assembler = self.assembler.get_or_insert_default();
        for stored in &page.entries {
            if let Ok(entry) = entry::decode(stored) {
                assembler.read(&entry);
            }
        }
        let last = page.entries.last();
        let next_offset = last.map_or(page.next, |entry| entry.offset + 1);
        if next_offset < page.next {
            return Ok(next_offset);
        }
        // A clone, since without a complete snapshot further chunks may still follow.
        let Some(snapshot) = assembler.clone().best(page.oldest) else {
            return Ok(next_offset.max(page.oldest));
        };
        let restored = self.replica.restore(&snapshot);
        restored.map_err(|error| self.unreachable(&error.to_string()))?;
        Ok(self.replica.next_offset())
    }

    fn apply(&mut self, stored: &berylknot_border::platform::LogEntry) {
        let entry = entry::decode(stored).unwrap_or_else(|_| {
            self.unknown_entries += 1;
            Entry {
                offset: stored.offset,
                appended_at_ms: stored.appended_at_ms,
                records: Vec::new(),
            }
        });
        for change in self.replica.apply(&entry) {
            if let Change::Published {
                id,
                position,
                verdict,
            } = change
            {
                if verdict == Verdict::Accepted {
                    self.accepted_at_ms = entry.appended_at_ms;
                }
                // The first verdict stays: an accepted proposal precedes its rejected repetitions.
                self.verdicts.entry(id).or_insert((position, verdict));
            }
        }
    }

    fn unreachable(&self, reason: &str) -> Unreachable {
        Unreachable(format!("platform {}: {reason}", self.url))
    }
}
