//! Configuration register with optimistic concurrency: the first proposal on a version wins, and
//! versions only increase.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::record::{Id, Position, Publish};

/// Largest configuration document in bytes; larger proposals are rejected.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Maximum age of a peer's report for the readiness of a starting host, measured from before the
/// request for it.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// Accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Accepted {
    /// Log position of the accepted proposal.
    pub version: Position,
    /// Id of the accepted proposal.
    pub id: Id,
    /// Merged settings as a JSON document.
    pub document: String,
}

/// Decision on a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Verdict {
    /// Accepted: the proposal is now in force.
    Accepted,
    /// Rejected: the proposal's base version is not the version in force.
    Stale,
    /// Rejected: the document exceeds [`MAX_DOCUMENT_BYTES`].
    Large,
    /// Duplicate of the proposal in force; no effect.
    Repeated,
}

/// Replicated register of the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Register {
    accepted: Option<Accepted>,
}

impl Register {
    /// Accepts or rejects a proposal at its log position.
    pub fn apply(&mut self, position: Position, publish: &Publish) -> Verdict {
        if self
            .accepted
            .as_ref()
            .is_some_and(|accepted| accepted.id == publish.id)
        {
            return Verdict::Repeated;
        }
        if publish.base_version != self.version() {
            return Verdict::Stale;
        }
        if publish.document.len() > MAX_DOCUMENT_BYTES {
            return Verdict::Large;
        }
        self.accepted = Some(Accepted {
            version: position,
            id: publish.id,
            document: publish.document.clone(),
        });
        Verdict::Accepted
    }

    /// Version in force; position zero when there is none.
    #[must_use]
    pub fn version(&self) -> Position {
        self.accepted
            .as_ref()
            .map_or_else(Position::default, |accepted| accepted.version)
    }

    /// Configuration in force; `None` before the first proposal is accepted.
    #[must_use]
    pub fn accepted(&self) -> Option<&Accepted> {
        self.accepted.as_ref()
    }

    /// Approximate memory usage in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let document = self
            .accepted
            .as_ref()
            .map_or(0, |accepted| accepted.document.len());
        size_of::<Self>() + document
    }
}

/// State of a peer, as reported to a starting host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Whether the peer is ready.
    pub ready: bool,
    /// Offset of the next entry that the peer will apply.
    pub next_offset: u64,
}

/// Readiness check of a starting host.
///
/// The host is ready when its replica has reached the tail returned by a log read after the start.
/// During a log outage it is ready when a majority of the configured hosts, itself excluded, have
/// reported that they are ready, and its replica has reached the highest of their offsets. The host
/// itself does not count, since it has lost its state: a majority that includes it might not
/// contain a host that has the last version.
#[derive(Clone, Debug)]
pub struct Readiness<H> {
    configured: usize,
    target: Option<u64>,
    reports: BTreeMap<H, (Instant, Report)>,
    ready: bool,
}

impl<H: Ord> Readiness<H> {
    /// Creates the check for a host that starts among `configured` hosts, itself included.
    #[must_use]
    pub const fn new(configured: usize) -> Self {
        Self {
            configured,
            target: None,
            reports: BTreeMap::new(),
            ready: false,
        }
    }

    /// Records the tail offset returned by a log read that was sent after the start. Only the first
    /// one counts.
    pub fn record_tail(&mut self, next_offset: u64) {
        self.target.get_or_insert(next_offset);
    }

    /// Records a configured peer's response to a request sent at `sent`.
    pub fn record_report(&mut self, host: H, sent: Instant, report: Report) {
        if self.ready || self.reports.len() >= self.configured && !self.reports.contains_key(&host)
        {
            return;
        }
        self.reports.insert(host, (sent, report));
    }

    /// Whether the host is ready; `next_offset` is that of its replica. Once true, it stays true.
    pub fn poll(&mut self, now: Instant, next_offset: u64) -> bool {
        if self.ready {
            return true;
        }
        self.reports
            .retain(|_, (sent, _)| now.since(*sent) <= MAX_REPORT_AGE);
        let ready = self.reports.values().filter(|(_, report)| report.ready);
        let majority = self.configured / 2 + 1;
        let caught_up = ready
            .clone()
            .all(|(_, report)| report.next_offset <= next_offset);
        self.ready = self.target.is_some_and(|target| target <= next_offset)
            || ready.count() >= majority && caught_up;
        if self.ready {
            self.reports.clear();
        }
        self.ready
    }
}
