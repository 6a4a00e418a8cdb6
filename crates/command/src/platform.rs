//! The platform's log, and the state derived from it.

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

/// Deadline of one request to the log.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Deadline for reading the log to its tail.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Offset of a log's first entry.
const FIRST_OFFSET: u64 = 1;

/// Entries asked for at first; fewer when they do not fit [`MAX_BODY_BYTES`].
const PAGE_ENTRIES: u64 = 1_024;

/// Longest answer of the log. One entry with the longest document has about 5.6 MiB in base64.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// The platform does not answer as agreed.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("{0}")]
pub(crate) struct Unreachable(pub(crate) String);

/// Outcome of an append, as far as the answer tells.
#[derive(Debug)]
pub(crate) enum Append {
    /// The log stored the entry.
    Stored,
    /// The log did not store the entry.
    Refused(String),
    /// The answer was lost or tells nothing; the entry may be stored.
    Unknown(String),
}

/// The log, read up to some offset, and the state derived from it.
pub(crate) struct Log {
    client: Client,
    url: String,
    replica: Replica,
    /// Search for a snapshot, while entries before the replica's next one have expired.
    search: Option<Assembler>,
    verdicts: HashMap<Id, (Position, Verdict)>,
    accepted_at_ms: u64,
    unknown_entries: u64,
    /// Offset from which to read on.
    next: u64,
    /// Oldest offset that the log held at the first reading.
    oldest: Option<u64>,
}

impl Log {
    /// Reads the platform's log from its oldest entry to its tail.
    pub(crate) async fn open(url: &str) -> Result<Self, Unreachable> {
        let mut log = Self {
            client: Client::builder().disable_timeout().finish(),
            url: url.to_owned(),
            replica: Replica::default(),
            search: None,
            verdicts: HashMap::new(),
            accepted_at_ms: 0,
            unknown_entries: 0,
            next: 0,
            oldest: None,
        };
        log.read_on().await?;
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

    /// Fails when the log has dropped its first entries and nothing in the rest tells which
    /// configuration is in force. A proposal could not be judged then.
    pub(crate) fn check_history(&self) -> Result<(), Unreachable> {
        let oldest = self.oldest.unwrap_or_default();
        if self.accepted().is_some() || oldest <= FIRST_OFFSET {
            return Ok(());
        }
        Err(self.unreachable(&format!(
            "the log begins at offset {oldest} and does not tell which configuration is in force; \
             wait for a host's snapshot, or give --base 0 if nothing was ever published"
        )))
    }

    /// Entries that this release cannot read.
    pub(crate) const fn unknown_entries(&self) -> u64 {
        self.unknown_entries
    }

    /// Position and fate of a proposal that was read; acceptance counts over repetitions.
    pub(crate) fn verdict(&self, id: Id) -> Option<(Position, Verdict)> {
        self.verdicts.get(&id).copied()
    }

    /// Reads on to the tail, as it is when the reading starts.
    pub(crate) async fn read_on(&mut self) -> Result<(), Unreachable> {
        let deadline = Instant::now() + READ_TIMEOUT;
        let mut tail = None;
        let mut limit = PAGE_ENTRIES;
        while Instant::now() < deadline {
            let Some(page) = self.page(limit).await? else {
                if limit == 1 {
                    return Err(self.unreachable("a single entry is too long to read"));
                }
                limit /= 2;
                continue;
            };
            let tail = *tail.get_or_insert(page.next);
            self.oldest.get_or_insert(page.oldest);
            let next = if self.replica.is_behind(page.oldest) {
                self.search(&page)?
            } else {
                for entry in &page.entries {
                    self.apply(entry);
                }
                self.replica.next_offset()
            };
            if self.replica.next_offset() == next && self.search.take().is_some() {
                // A snapshot was restored, from which the log is read on.
                self.next = next;
                continue;
            }
            let has_advanced = next > self.next;
            self.next = next;
            if next >= tail || !has_advanced {
                return Ok(());
            }
        }
        Err(self.unreachable("the log could not be read to its tail within 60 s"))
    }

    /// Appends an entry.
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

    /// Entries from the first one that was not applied; `None` when they are too long.
    async fn page(&self, limit: u64) -> Result<Option<ReadResponse>, Unreachable> {
        let from = self.next;
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

    /// Looks for a snapshot up to the end of a page and returns the offset from which to read on.
    fn search(&mut self, page: &ReadResponse) -> Result<u64, Unreachable> {
        let search = self.search.get_or_insert_default();
        for stored in &page.entries {
            if let Ok(entry) = entry::decode(stored) {
                search.read(&entry);
            }
        }
        let last = page.entries.last();
        let next = last.map_or(page.next, |entry| entry.offset + 1);
        if next < page.next {
            return Ok(next);
        }
        // A clone, since the chunks of a later snapshot may follow when there is none yet.
        let Some(found) = search.clone().best(page.oldest) else {
            return Ok(next.max(page.oldest));
        };
        let restored = self.replica.restore(&found);
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
                // Acceptance comes before the rejection of any repetition.
                self.verdicts.entry(id).or_insert((position, verdict));
            }
        }
    }

    fn unreachable(&self, reason: &str) -> Unreachable {
        Unreachable(format!("platform {}: {reason}", self.url))
    }
}
