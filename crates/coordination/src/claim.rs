//! Idempotency keys: at most one run per key and remember period.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::record::{Id, Incarnation, Position};

/// Time for which a key is remembered after its claim, by the log's clock.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Time after which a winner may no longer send, counted from before its claim was sent.
pub const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest stored answer body in bytes.
pub const MAX_BODY_BYTES: usize = 4_096;

/// Time after which an outcome or abandonment that was not read back is appended again.
const REPEAT_AFTER: Duration = Duration::from_secs(5);

/// Result of claims.
pub type Result<T> = std::result::Result<T, Error>;

/// Reasons for which no claim is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// Too many claims of this host are open.
    #[error("{open} claims are open")]
    Full {
        /// Open claims.
        open: usize,
    },
}

/// An idempotency key of a customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key {
    /// Name of the customer.
    pub customer: String,
    /// SHA-256 of the key that the caller sent.
    pub hash: [u8; 32],
}

/// Answer of a finished call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Body; none when it was longer than [`MAX_BODY_BYTES`] or the table had no room for it.
    pub body: Option<Bytes>,
}

/// Record about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Event {
    /// Claims the key for one run.
    Claim {
        /// Id of the claim.
        id: Id,
        /// The key.
        key: Key,
        /// Hash of route, method and body of the call.
        fingerprint: u64,
    },
    /// The call of the winning claim has ended.
    Finish {
        /// Id of the claim.
        id: Id,
        /// The key.
        key: Key,
        /// Answer of the endpoint; none when it is unknown whether the call ran.
        outcome: Option<Outcome>,
    },
    /// The winner has not sent the call and will not send it.
    Abandon {
        /// Id of the claim.
        id: Id,
        /// The key.
        key: Key,
    },
}

impl Event {
    /// Id of the claim.
    #[must_use]
    pub const fn id(&self) -> Id {
        match self {
            Self::Claim { id, .. } | Self::Finish { id, .. } | Self::Abandon { id, .. } => *id,
        }
    }
}

/// Answer to a call with a key that was claimed before.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// The call ran, with this outcome.
    Stored(Outcome),
    /// The call is being run.
    InProgress,
    /// The call may have run: its host died or does not know the outcome.
    MayHaveRun,
    /// The call was abandoned before it was sent; the key may be claimed again.
    NotRun,
    /// The key was used for a different call.
    Conflict,
}

/// What a record about a key did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim won the key.
    Won(Key),
    /// The key is taken.
    Taken(Answer),
    /// The table is full; the call was not run.
    Full,
    /// The outcome was stored.
    Finished,
    /// The key is free again.
    Abandoned,
    /// The record had no effect.
    Ignored,
}

/// Limits of the replicated table, equal in all replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Keys.
    pub keys: usize,
    /// Approximate size in bytes, above which bodies are not stored and new keys are refused.
    pub bytes: usize,
    /// Time for which a key is remembered, in milliseconds.
    pub remember_ms: u64,
}

impl Default for Limits {
    /// 65,536 keys and 16 MiB, a quarter of a node's 64 MB for control state.
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
struct Owned {
    id: Id,
    fingerprint: u64,
    position: Position,
    claimed_ms: u64,
    stage: Stage,
}

/// Replicated table of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    limits: Limits,
    keys: BTreeMap<Key, Owned>,
    by_position: BTreeMap<Position, Key>,
    bytes: usize,
}

impl Table {
    /// Makes an empty table; all replicas need the same limits.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies a record at its position and time of the log.
    pub fn apply(&mut self, position: Position, time_ms: u64, event: &Event) -> Verdict {
        match event {
            Event::Claim {
                id,
                key,
                fingerprint,
            } => self.claim(position, time_ms, *id, key, *fingerprint),
            Event::Finish { id, key, outcome } => self.finish(*id, key, outcome.as_ref()),
            Event::Abandon { id, key } => {
                let Some(owned) = self.open(*id, key) else {
                    return Verdict::Ignored;
                };
                owned.stage = Stage::Abandoned;
                Verdict::Abandoned
            }
        }
    }

    /// Forgets keys that were claimed a remember period before `time_ms` of the log's clock.
    pub fn expire(&mut self, time_ms: u64) {
        while let Some(first) = self.by_position.first_entry() {
            let due = self.keys.get(first.get()).is_none_or(|owned| {
                time_ms >= owned.claimed_ms.saturating_add(self.limits.remember_ms)
            });
            if !due {
                return;
            }
            let key = first.remove();
            if let Some(owned) = self.keys.remove(&key) {
                self.bytes -= cost(&key, &owned);
            }
        }
    }

    /// Answer to a call, or none when its key may be claimed.
    ///
    /// `dead` tells whether a process start is known to have ended. A claim of a dead winner stays
    /// taken: the winner may have sent the call before it died, and only its outcome, which another
    /// process of its host may still append, would tell.
    pub fn answer(
        &self,
        key: &Key,
        fingerprint: u64,
        dead: impl Fn(Incarnation) -> bool,
    ) -> Option<Answer> {
        let owned = self.keys.get(key)?;
        Some(match &owned.stage {
            Stage::Abandoned => Answer::NotRun,
            _ if owned.fingerprint != fingerprint => Answer::Conflict,
            Stage::Claimed if dead(owned.id.incarnation) => Answer::MayHaveRun,
            Stage::Claimed => Answer::InProgress,
            Stage::Finished(None) => Answer::MayHaveRun,
            Stage::Finished(Some(outcome)) => Answer::Stored(outcome.clone()),
        })
    }

    /// Number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Approximate memory in bytes.
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
        let known = self.keys.get(key);
        if known.is_some_and(|owned| owned.id == id) {
            return Verdict::Ignored;
        }
        match self.answer(key, fingerprint, |_| false) {
            None | Some(Answer::NotRun) => {}
            Some(answer) => return Verdict::Taken(answer),
        }
        if known.is_none()
            && (self.keys.len() >= self.limits.keys || self.bytes >= self.limits.bytes)
        {
            return Verdict::Full;
        }
        let owned = Owned {
            id,
            fingerprint,
            position,
            claimed_ms: time_ms,
            stage: Stage::Claimed,
        };
        self.bytes += cost(key, &owned);
        if let Some(earlier) = self.keys.insert(key.clone(), owned) {
            self.bytes -= cost(key, &earlier);
            self.by_position.remove(&earlier.position);
        }
        self.by_position.insert(position, key.clone());
        Verdict::Won(key.clone())
    }

    fn finish(&mut self, id: Id, key: &Key, outcome: Option<&Outcome>) -> Verdict {
        let room = self.limits.bytes.saturating_sub(self.bytes);
        let Some(owned) = self.open(id, key) else {
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
        owned.stage = Stage::Finished(outcome);
        self.bytes += body_bytes;
        Verdict::Finished
    }

    fn open(&mut self, id: Id, key: &Key) -> Option<&mut Owned> {
        self.keys
            .get_mut(key)
            .filter(|owned| owned.id == id && owned.stage == Stage::Claimed)
    }
}

/// Approximate memory of an entry in bytes: both maps hold the key.
fn cost(key: &Key, owned: &Owned) -> usize {
    let body = match &owned.stage {
        Stage::Finished(Some(outcome)) => outcome.body.as_ref().map_or(0, Bytes::len),
        _ => 0,
    };
    2 * (size_of::<Key>() + key.customer.len()) + size_of::<Owned>() + size_of::<Position>() + body
}

/// What the host that claimed has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append the record.
    Append(Event),
    /// Call [`Claimant::send`] and, if it allows, send the call.
    Send(Id),
    /// Answer the caller: the claim was not won.
    Taken(Id, Answer),
    /// Answer the caller: the call was not run under this claim and will not be.
    NotRun(Id),
}

#[derive(Clone, Debug)]
enum Progress {
    Waiting { since: Instant },
    Won { since: Instant },
    Sent,
    Closing { record: Event, repeat_at: Instant },
}

/// Claims of one host, from the claim until its outcome or abandonment was read back.
#[derive(Clone, Debug)]
pub struct Claimant {
    incarnation: Incarnation,
    next_sequence: u64,
    max_open: usize,
    open: BTreeMap<u64, (Key, Progress)>,
}

impl Claimant {
    /// Makes the claimant of a process start with at most `max_open` open claims.
    #[must_use]
    pub const fn new(incarnation: Incarnation, max_open: usize) -> Self {
        Self {
            incarnation,
            next_sequence: 0,
            max_open,
            open: BTreeMap::new(),
        }
    }

    /// Starts a claim at `now`, which must be taken before the record is sent anywhere.
    ///
    /// The caller first asks [`Table::answer`] of the own replica.
    ///
    /// # Errors
    /// Fails when too many claims are open; the call was not run.
    pub fn claim(&mut self, now: Instant, key: Key, fingerprint: u64) -> Result<Event> {
        if self.open.len() >= self.max_open {
            return Err(Error::Full {
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

    /// Takes a change that the own replica reported about a key.
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
            // The claim took effect after it was given up, for instance because it was delayed.
            (Some(Progress::Closing { .. }), Verdict::Won(_)) => self.repeat(now, id),
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

    /// Decides immediately before the call is sent; true permits exactly one sending.
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

    /// Records the end of a sent call; none when it is unknown whether the call ran.
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

    /// Abandons a claim whose call was permitted, when the sender knows that no byte of it reached
    /// an endpoint.
    pub fn not_sent(&mut self, now: Instant, id: Id) -> Vec<Action> {
        match self.open.get(&id.sequence) {
            Some((key, Progress::Sent)) => {
                let key = key.clone();
                self.close_abandoned(now, id, key)
            }
            _ => Vec::new(),
        }
    }

    /// Abandons a claim whose call was not sent, for instance because the caller has left.
    pub fn abandon(&mut self, now: Instant, id: Id) -> Vec<Action> {
        match self.open.get(&id.sequence) {
            Some((key, Progress::Waiting { .. } | Progress::Won { .. })) => {
                let key = key.clone();
                self.close_abandoned(now, id, key)
            }
            _ => Vec::new(),
        }
    }

    /// Abandons claims that are too old to be sent and repeats records that were not read back.
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
                Progress::Closing { repeat_at, .. } if now >= *repeat_at => {
                    actions.extend(self.repeat(now, id));
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
            repeat_at: now + REPEAT_AFTER,
        };
        self.set(*id, key.clone(), progress);
        vec![Action::Append(record)]
    }

    fn repeat(&mut self, now: Instant, id: Id) -> Vec<Action> {
        match self.open.get(&id.sequence) {
            Some((_, Progress::Closing { record, .. })) => {
                let record = record.clone();
                self.close(now, record)
            }
            _ => Vec::new(),
        }
    }
}
