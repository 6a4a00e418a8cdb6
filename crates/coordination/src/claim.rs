//! Idempotency keys: at most one execution per key within the retention period.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::record::{Id, Incarnation, Position};

/// Retention of a key after its claim, by the log's clock.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Timeout for sending the call of a claim, measured from before the claim was sent.
pub const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest stored response body in bytes; longer bodies are not stored.
pub const MAX_BODY_BYTES: usize = 4_096;

/// Interval at which an outcome or abandonment is appended again until it is read back.
const RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Result of [`Claimant::claim`].
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons for refusing to start a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// This host has reached its limit of open claims.
    #[error("too many open idempotency claims on this host ({open}); the call was not run")]
    TooManyOpen {
        /// Number of open claims.
        open: usize,
    },
}

/// Idempotency key, scoped to a customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Name of the customer whose caller sent the key.
    pub customer: String,
    /// SHA-256 of the key that the caller sent.
    pub hash: [u8; 32],
}

/// Response to a finished call, kept for replay.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Response body; `None` when it exceeds [`MAX_BODY_BYTES`] or the remaining table capacity.
    pub body: Option<Bytes>,
}

/// Log record about an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Event {
    /// Claims the key for one execution.
    Claim {
        /// Id of the claim.
        id: Id,
        /// Key to claim.
        key: Key,
        /// Hash of route, method and body of the call.
        fingerprint: u64,
    },
    /// Records the end of the call of the winning claim.
    Finish {
        /// Id of the claim.
        id: Id,
        /// Key of the claim.
        key: Key,
        /// Response of the endpoint; `None` when it is unknown whether the call ran.
        outcome: Option<Outcome>,
    },
    /// Frees the key: its call was not sent to an endpoint and will not be.
    Abandon {
        /// Id of the claim.
        id: Id,
        /// Key of the claim.
        key: Key,
    },
}

impl Event {
    /// Id of the claim that the record belongs to.
    #[must_use]
    pub const fn id(&self) -> Id {
        match self {
            Self::Claim { id, .. } | Self::Finish { id, .. } | Self::Abandon { id, .. } => *id,
        }
    }
}

/// State of a claimed key, as reported to another call with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// The call has run; its response is replayed.
    Stored(Outcome),
    /// The claim is open and its host is alive.
    InProgress,
    /// The call may have run: its host died or does not know the outcome.
    MayHaveRun,
    /// The claim was abandoned before the call was sent; the key may be claimed again.
    NotRun,
    /// The key was used for a call with a different fingerprint.
    Conflict,
}

/// Effect of a record on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim is the first in the log and won the key.
    Won(Key),
    /// An earlier claim holds the key.
    Taken(Answer),
    /// The table is full; the call was not run.
    Full,
    /// The end of the call was stored.
    Finished,
    /// The claim was abandoned; the key may be claimed again.
    Abandoned,
    /// The record is a duplicate, or its claim does not hold the key.
    Ignored,
}

/// Limits of the replicated table; must be equal on all replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Highest number of keys.
    pub keys: usize,
    /// Approximate size in bytes above which bodies are not stored and new keys are refused.
    pub bytes: usize,
    /// Retention of a key after its claim, in milliseconds of the log's clock.
    pub remember_ms: u64,
}

impl Default for Limits {
    /// 65,536 keys and 16 MiB, a quarter of a node's 64 MB budget for control state.
    fn default() -> Self {
        Self {
            keys: 65_536,
            bytes: 16 << 20,
            remember_ms: RETENTION.as_millis() as u64,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum Stage {
    Claimed,
    Finished(Option<Outcome>),
    Abandoned,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Entry {
    id: Id,
    fingerprint: u64,
    position: Position,
    claimed_ms: u64,
    stage: Stage,
}

/// Replicated table of idempotency keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    limits: Limits,
    keys: BTreeMap<Key, Entry>,
    by_position: BTreeMap<Position, Key>,
    bytes: usize,
}

impl Table {
    /// Creates an empty table; all replicas need the same limits.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies a record at its log position; `time_ms` is the log's clock.
    pub fn apply(&mut self, position: Position, time_ms: u64, event: &Event) -> Verdict {
        match event {
            Event::Claim {
                id,
                key,
                fingerprint,
            } => self.claim(position, time_ms, *id, key, *fingerprint),
            Event::Finish { id, key, outcome } => self.finish(*id, key, outcome.as_ref()),
            Event::Abandon { id, key } => {
                let Some(entry) = self.open_entry(*id, key) else {
                    return Verdict::Ignored;
                };
                entry.stage = Stage::Abandoned;
                Verdict::Abandoned
            }
        }
    }

    /// Removes keys whose retention has ended at `time_ms` of the log's clock.
    pub fn expire(&mut self, time_ms: u64) {
        while let Some(first) = self.by_position.first_entry() {
            let due = self.keys.get(first.get()).is_none_or(|entry| {
                time_ms >= entry.claimed_ms.saturating_add(self.limits.remember_ms)
            });
            if !due {
                return;
            }
            let key = first.remove();
            if let Some(entry) = self.keys.remove(&key) {
                self.bytes -= entry_bytes(&key, &entry);
            }
        }
    }

    /// State of a key for a call with this fingerprint; `None` when the key was never claimed or
    /// has expired.
    ///
    /// `dead` returns whether an incarnation is known to have ended. The claim of a dead winner
    /// keeps the key: the winner may have sent the call before it died, which only its outcome can
    /// settle, and another process of its host may still append that.
    pub fn answer(
        &self,
        key: &Key,
        fingerprint: u64,
        dead: impl Fn(Incarnation) -> bool,
    ) -> Option<Answer> {
        let entry = self.keys.get(key)?;
        Some(match &entry.stage {
            Stage::Abandoned => Answer::NotRun,
            _ if entry.fingerprint != fingerprint => Answer::Conflict,
            Stage::Claimed if dead(entry.id.incarnation) => Answer::MayHaveRun,
            Stage::Claimed => Answer::InProgress,
            Stage::Finished(None) => Answer::MayHaveRun,
            Stage::Finished(Some(outcome)) => Answer::Stored(outcome.clone()),
        })
    }

    /// Number of retained keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the table contains no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Approximate memory usage in bytes.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        self.bytes
    }

    fn claim(
        &mut self,
        position: Position,
        time_ms: u64,
        id: Id,
        key: &Key,
        fingerprint: u64,
    ) -> Verdict {
        let existing = self.keys.get(key);
        if existing.is_some_and(|entry| entry.id == id) {
            return Verdict::Ignored;
        }
        match self.answer(key, fingerprint, |_| false) {
            None | Some(Answer::NotRun) => {}
            Some(answer) => return Verdict::Taken(answer),
        }
        if existing.is_none()
            && (self.keys.len() >= self.limits.keys || self.bytes >= self.limits.bytes)
        {
            return Verdict::Full;
        }
        let entry = Entry {
            id,
            fingerprint,
            position,
            claimed_ms: time_ms,
            stage: Stage::Claimed,
        };
        self.bytes += entry_bytes(key, &entry);
        if let Some(replaced) = self.keys.insert(key.clone(), entry) {
            self.bytes -= entry_bytes(key, &replaced);
            self.by_position.remove(&replaced.position);
        }
        self.by_position.insert(position, key.clone());
        Verdict::Won(key.clone())
    }

    fn finish(&mut self, id: Id, key: &Key, outcome: Option<&Outcome>) -> Verdict {
        let room = self.limits.bytes.saturating_sub(self.bytes);
        let Some(entry) = self.open_entry(id, key) else {
            return Verdict::Ignored;
        };
        let mut outcome = outcome.cloned();
        let mut body_bytes = 0;
        if let Some(outcome) = &mut outcome {
            outcome.body = outcome
                .body
                .take()
                .filter(|body| body.len() <= MAX_BODY_BYTES.min(room));
            body_bytes = outcome.body.as_ref().map_or(0, Bytes::len);
        }
        entry.stage = Stage::Finished(outcome);
        self.bytes += body_bytes;
        Verdict::Finished
    }

    fn open_entry(&mut self, id: Id, key: &Key) -> Option<&mut Entry> {
        self.keys
            .get_mut(key)
            .filter(|entry| entry.id == id && entry.stage == Stage::Claimed)
    }
}

/// Approximate memory usage of an entry; the key is counted twice, as both maps contain it.
fn entry_bytes(key: &Key, entry: &Entry) -> usize {
    let body = match &entry.stage {
        Stage::Finished(Some(outcome)) => outcome.body.as_ref().map_or(0, Bytes::len),
        _ => 0,
    };
    2 * (size_of::<Key>() + key.customer.len()) + size_of::<Entry>() + size_of::<Position>() + body
}

/// Action that the caller of [`Claimant`] must execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append the record to the log.
    Append(Event),
    /// Call [`Claimant::begin_send`] and send the call if it returns true.
    Send(Id),
    /// Respond to the caller that another claim holds the key.
    Taken(Id, Answer),
    /// Respond to the caller that the call was not run under this claim and will not be.
    NotRun(Id),
}

#[derive(Clone, Debug)]
enum Progress {
    Waiting { since: Instant },
    Won { since: Instant },
    Sent,
    Closing { record: Event, resend_at: Instant },
}

/// Open claims of one process, from the claim until its outcome or abandonment is read back.
#[derive(Clone, Debug)]
pub struct Claimant {
    incarnation: Incarnation,
    next_sequence: u64,
    max_open: usize,
    open: BTreeMap<u64, (Key, Progress)>,
}

impl Claimant {
    /// Creates the claimant of an incarnation, with at most `max_open` open claims.
    #[must_use]
    pub const fn new(incarnation: Incarnation, max_open: usize) -> Self {
        Self {
            incarnation,
            next_sequence: 0,
            max_open,
            open: BTreeMap::new(),
        }
    }

    /// Starts a claim. `now` must be read before the record is sent anywhere.
    ///
    /// The caller must first check [`Table::answer`] of the local replica.
    ///
    /// # Errors
    /// Fails when too many claims are open; the call was then not run.
    pub fn claim(&mut self, now: Instant, key: Key, fingerprint: u64) -> Result<Event> {
        if self.open.len() >= self.max_open {
            return Err(Error::TooManyOpen {
                open: self.open.len(),
            });
        }
        let id = Id {
            incarnation: self.incarnation,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let progress = Progress::Waiting { since: now };
        self.open.insert(id.sequence, (key.clone(), progress));
        Ok(Event::Claim {
            id,
            key,
            fingerprint,
        })
    }

    /// Processes the effect of a record as reported by the local replica.
    pub fn observe(&mut self, now: Instant, id: Id, verdict: &Verdict) -> Vec<Action> {
        if id.incarnation != self.incarnation {
            return Vec::new();
        }
        let progress = self.open.get(&id.sequence).map(|(_, progress)| progress);
        match (progress, verdict) {
            (Some(&Progress::Waiting { since }), Verdict::Won(key)) => {
                self.set(id, key.clone(), Progress::Won { since });
                vec![Action::Send(id)]
            }
            (Some(Progress::Waiting { .. }), Verdict::Taken(answer)) => {
                self.open.remove(&id.sequence);
                vec![Action::Taken(id, answer.clone())]
            }
            (Some(Progress::Waiting { .. }), Verdict::Full) => {
                self.open.remove(&id.sequence);
                vec![Action::NotRun(id)]
            }
            // A delayed claim took effect after it was abandoned: abandon it again.
            (Some(Progress::Closing { .. }), Verdict::Won(_)) => self.resend(now, id),
            (None, Verdict::Won(key)) => self.close_abandoned(now, id, key.clone()),
            (
                Some(Progress::Closing { .. }),
                Verdict::Finished | Verdict::Abandoned | Verdict::Ignored,
            ) => {
                self.open.remove(&id.sequence);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Marks the claim as sent; call it immediately before sending. Returns true at most once per
    /// claim, and only within [`SEND_TIMEOUT`]; the call must not be sent otherwise.
    pub fn begin_send(&mut self, now: Instant, id: Id) -> bool {
        let Some((_, progress)) = self.open.get_mut(&id.sequence) else {
            return false;
        };
        let Progress::Won { since } = *progress else {
            return false;
        };
        if id.incarnation != self.incarnation || now.since(since) >= SEND_TIMEOUT {
            return false;
        }
        *progress = Progress::Sent;
        true
    }

    /// Records the end of a sent call; `outcome` is `None` when it is unknown whether the call ran.
    pub fn finish(&mut self, now: Instant, id: Id, outcome: Option<Outcome>) -> Vec<Action> {
        let Some((key, Progress::Sent)) = self.open.get(&id.sequence) else {
            return Vec::new();
        };
        let key = key.clone();
        let outcome = outcome.map(|mut outcome| {
            outcome.body = outcome.body.filter(|body| body.len() <= MAX_BODY_BYTES);
            outcome
        });
        self.close(now, Event::Finish { id, key, outcome })
    }

    /// Abandons a claim after [`Claimant::begin_send`] returned true, if it is certain that no byte
    /// of the call reached an endpoint.
    pub fn not_sent(&mut self, now: Instant, id: Id) -> Vec<Action> {
        match self.open.get(&id.sequence) {
            Some((key, Progress::Sent)) => {
                let key = key.clone();
                self.close_abandoned(now, id, key)
            }
            _ => Vec::new(),
        }
    }

    /// Abandons a claim whose call was not sent, for instance because the caller disconnected.
    pub fn abandon(&mut self, now: Instant, id: Id) -> Vec<Action> {
        match self.open.get(&id.sequence) {
            Some((key, Progress::Waiting { .. } | Progress::Won { .. })) => {
                let key = key.clone();
                self.close_abandoned(now, id, key)
            }
            _ => Vec::new(),
        }
    }

    /// Abandons claims that have exceeded [`SEND_TIMEOUT`] and resends records not yet read back.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let ids: Vec<u64> = self.open.keys().copied().collect();
        let mut actions = Vec::new();
        for sequence in ids {
            let id = Id {
                incarnation: self.incarnation,
                sequence,
            };
            match &self.open[&sequence].1 {
                Progress::Waiting { since } | Progress::Won { since }
                    if now.since(*since) >= SEND_TIMEOUT =>
                {
                    actions.extend(self.abandon(now, id));
                    actions.push(Action::NotRun(id));
                }
                Progress::Closing { resend_at, .. } if now >= *resend_at => {
                    actions.extend(self.resend(now, id));
                }
                _ => {}
            }
        }
        actions
    }

    /// Number of open claims.
    #[must_use]
    pub fn open_claims(&self) -> usize {
        self.open.len()
    }

    fn set(&mut self, id: Id, key: Key, progress: Progress) {
        self.open.insert(id.sequence, (key, progress));
    }

    fn close_abandoned(&mut self, now: Instant, id: Id, key: Key) -> Vec<Action> {
        self.close(now, Event::Abandon { id, key })
    }

    fn close(&mut self, now: Instant, record: Event) -> Vec<Action> {
        let (Event::Claim { id, key, .. }
        | Event::Finish { id, key, .. }
        | Event::Abandon { id, key }) = &record;
        let progress = Progress::Closing {
            record: record.clone(),
            resend_at: now + RESEND_INTERVAL,
        };
        self.set(*id, key.clone(), progress);
        vec![Action::Append(record)]
    }

    fn resend(&mut self, now: Instant, id: Id) -> Vec<Action> {
        match self.open.get(&id.sequence) {
            Some((_, Progress::Closing { record, .. })) => {
                let record = record.clone();
                self.close(now, record)
            }
            _ => Vec::new(),
        }
    }
}
