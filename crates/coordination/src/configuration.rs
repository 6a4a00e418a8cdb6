//! The accepted configuration: first proposal on a version wins, and versions only grow.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::record::{Id, Position, Publish};

/// Largest configuration in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Age up to which a peer's report counts for a starting host, from before it was asked for.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Accepted {
    /// Position of the accepted proposal.
    pub version: Position,
    /// Id of the accepted proposal.
    pub id: Id,
    /// Merged settings as JSON text.
    pub document: String,
}

/// Fate of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Verdict {
    /// The proposal is the configuration in force.
    Accepted,
    /// Another configuration was accepted after the proposal's base version.
    Stale,
    /// The proposal exceeds [`MAX_DOCUMENT_BYTES`].
    Large,
    /// The proposal was accepted before, at the version in force.
    Repeated,
}

/// Register of the accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Register {
    accepted: Option<Accepted>,
}

impl Register {
    /// Decides on a proposal at its position in the log.
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

    /// Version in force; the zero position when there is none.
    #[must_use]
    pub fn version(&self) -> Position {
        self.accepted
            .as_ref()
            .map_or_else(Position::default, |accepted| accepted.version)
    }

    /// Configuration in force.
    #[must_use]
    pub fn accepted(&self) -> Option<&Accepted> {
        self.accepted.as_ref()
    }

    /// Approximate memory in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let document = self
            .accepted
            .as_ref()
            .map_or(0, |accepted| accepted.document.len());
        size_of::<Self>() + document
    }
}

/// What a peer tells a starting host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Whether the peer itself is ready.
    pub ready: bool,
    /// Offset of the first entry that the peer has not applied.
    pub next_offset: u64,
}

/// Decides when a starting host may serve.
///
/// It may when its replica has reached the tail that a read after the start showed. In an outage it
/// may when a majority of the configured hosts, not counting itself, have each reported that they
/// are ready, and its replica has reached the highest of their offsets. It does not count itself
/// because it has lost what it knew: with itself, a majority need not contain a host that knows the
/// last version.
#[derive(Clone, Debug)]
pub struct Readiness<H> {
    configured: usize,
    target: Option<u64>,
    reports: BTreeMap<H, (Instant, Report)>,
    ready: bool,
}

impl<H: Ord> Readiness<H> {
    /// Makes the rule for a host that starts among `configured` hosts, itself included.
    #[must_use]
    pub const fn new(configured: usize) -> Self {
        Self {
            configured,
            target: None,
            reports: BTreeMap::new(),
            ready: false,
        }
    }

    /// Takes the offset of the next append as shown by a read that was sent after the start.
    pub fn record_tail(&mut self, next_offset: u64) {
        self.target.get_or_insert(next_offset);
    }

    /// Takes a configured peer's answer to a question that was sent at `asked`.
    pub fn record_report(&mut self, host: H, asked: Instant, report: Report) {
        if self.ready || self.reports.len() >= self.configured && !self.reports.contains_key(&host)
        {
            return;
        }
        self.reports.insert(host, (asked, report));
    }

    /// Whether the host may serve, given its replica's next offset. Once true, it stays true.
    pub fn poll(&mut self, now: Instant, next_offset: u64) -> bool {
        if self.ready {
            return true;
        }
        self.reports
            .retain(|_, (asked, _)| now.since(*asked) <= MAX_REPORT_AGE);
        let ready = self.reports.values().filter(|(_, report)| report.ready);
        let majority = self.configured / 2 + 1;
        let adopted = ready
            .clone()
            .all(|(_, report)| report.next_offset <= next_offset);
        self.ready = self.target.is_some_and(|target| target <= next_offset)
            || ready.count() >= majority && adopted;
        if self.ready {
            self.reports.clear();
        }
        self.ready
    }
}
