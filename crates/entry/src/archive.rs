//! Access to the platform's store that notices restores from an older copy.
//!
//! Positions carry the era of the store. A read or append at a position of another era fails with
//! [`Error::Restored`], so that its caller reads everything again, and tasks can wait for the next restore
//! to write again what this host has written.
//!
//! The outcomes of all calls tell when the store is back after a failure: polls in flight are abandoned
//! then, and pauses after failures end.

use std::cell::Cell;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::history::{Era, History, Observation, Position};
use berylknot_coordination::poll::{Contact, Outcome};
use bytes::Bytes;
use http::StatusCode;
use tokio::sync::watch;

use crate::platform::{Answer, Error, Feed, Log, Record, Result, Store};
use crate::state::now;

/// The store and the history of its eras.
#[derive(Debug)]
pub(crate) struct Archive<S> {
    store: S,
    history: watch::Sender<History>,
    contact: watch::Sender<Contact>,
    /// Time of the last answer to any call, also to one of several that a listing takes.
    answered_at: Cell<Option<Instant>>,
}

/// Records of a log, read from a position on.
#[derive(Clone, Debug)]
pub(crate) struct Tail {
    /// Position of the first record, after the requested one if records have expired in between.
    pub(crate) start: Position,
    /// End of the log.
    pub(crate) end: Position,
    /// Position after the records.
    pub(crate) next: Position,
    pub(crate) records: Vec<Bytes>,
}

/// Checks the number of records in an answer to a read from the offset `from` of a log with the end `end`.
/// An answer whose end is that of its connection may break off behind any record.
///
/// # Errors
/// Fails when the answer has none of the records before the end, or more than there are.
fn check_count(from: u64, end: u64, records: usize) -> Result<()> {
    let left = end.saturating_sub(from);
    if records == 0 && left > 0 {
        return Err(Error::Malformed("read response: no records before the end"));
    }
    if records as u64 > left {
        return Err(Error::Malformed(
            "read response: more records than the log has",
        ));
    }
    Ok(())
}

/// Records of a feed, read from a position on.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    pub(crate) records: Vec<Record>,
    /// Position after the records.
    pub(crate) next: Position,
    /// Whether they go up to the end of the feed.
    pub(crate) is_complete: bool,
}

/// What the result of a call says about the store.
const fn outcome<T>(result: &Result<T>) -> Outcome {
    match result {
        Err(Error::Status(StatusCode::TOO_MANY_REQUESTS) | Error::Abandoned) => Outcome::Limited,
        Err(Error::Exchange(_) | Error::Status(_)) => Outcome::Failed,
        Ok(_)
        | Err(Error::Malformed(_) | Error::Expired(_) | Error::Restored | Error::Conflict(_)) => {
            Outcome::Answered
        }
    }
}

impl<S> Archive<S> {
    /// Whether the store has answered no call since one failed.
    pub(crate) fn is_lost(&self) -> bool {
        self.contact.borrow().is_lost()
    }
}

impl<S: Store> Archive<S> {
    pub(crate) fn new(store: S) -> Self {
        Self {
            store,
            history: watch::Sender::default(),
            contact: watch::Sender::default(),
            answered_at: Cell::new(None),
        }
    }

    /// Newest known era of the store.
    pub(crate) fn era(&self) -> Era {
        self.history.borrow().era()
    }

    /// Time of the store's last answer to any call of this host.
    pub(crate) const fn answered_at(&self) -> Option<Instant> {
        self.answered_at.get()
    }

    /// Waits until the store is in another era than `known`.
    pub(crate) async fn restored_since(&self, known: Era) {
        let mut history = self.history.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        drop(history.wait_for(|history| history.era() != known).await);
    }

    /// Waits until the store is back after a failed call.
    async fn returned(&self) {
        let mut contact = self.contact.subscribe();
        let known = contact.borrow_and_update().returns();
        // The sender lives as long as `self`, so waiting cannot fail.
        drop(contact.wait_for(|contact| contact.returns() != known).await);
    }

    /// Waits before the next call after a failed one; not longer than until the store answers any call.
    pub(crate) async fn pause(&self, pause: Duration) {
        drop(tokio::time::timeout(pause, self.returned()).await);
    }

    /// Records the era of an answer, and fails one that was given before a known restore.
    fn observe<T>(&self, answer: Answer<T>) -> Result<T> {
        let outcome = outcome(&answer.result);
        if outcome == Outcome::Answered {
            self.answered_at.set(Some(now()));
        }
        self.contact
            .send_if_modified(|contact| contact.record(outcome));
        let mut observation = Observation::Current;
        self.history.send_if_modified(|history| {
            observation = history.observe(answer.era);
            observation == Observation::Restored
        });
        match observation {
            Observation::Current => {}
            Observation::Restored => {
                let era = self.era().0;
                tracing::warn!(era, "store: restored from an older copy");
            }
            Observation::Outdated => return Err(Error::Restored),
        }
        answer.result
    }

    /// Records the era of an answer to a call at `position`, and fails one of another era.
    fn observe_at<T>(&self, position: Position, answer: Answer<T>) -> Result<T> {
        let result = self.observe(answer);
        if self.history.borrow().continues(position) {
            result
        } else {
            Err(Error::Restored)
        }
    }

    /// Reads the newest record of every key, and the position from which to follow the feed.
    pub(crate) async fn read_newest(&self, feed: Feed) -> Result<Batch> {
        let mut page = self.observe(self.store.read_newest(feed, None).await)?;
        let mut records = std::mem::take(&mut page.records);
        // The pages are no consistent snapshot: following the feed from the end at the first page
        // covers changes made in between.
        let end = Position::new(self.era(), page.end);
        while let Some(after) = page.next.take() {
            let next = self.store.read_newest(feed, Some(&after)).await;
            page = self.observe_at(end, next)?;
            records.append(&mut page.records);
        }
        Ok(Batch {
            records,
            next: end,
            is_complete: true,
        })
    }

    /// Reads records from a position, waiting up to `wait` for the first one.
    ///
    /// # Errors
    /// Fails with [`Error::Abandoned`] when the store is back after a failure while the call waits, and
    /// when the answer lacks all records before the end that it states.
    pub(crate) async fn read(&self, feed: Feed, from: Position, wait: Duration) -> Result<Batch> {
        let answer = tokio::select! {
            answer = self.store.read(feed, from.offset, wait) => answer,
            () = self.returned(), if !wait.is_zero() => return Err(Error::Abandoned),
        };
        let (end, records) = self.observe_at(from, answer)?;
        check_count(from.offset, end, records.len())?;
        let next = from.after(records.len() as u64);
        Ok(Batch {
            records,
            next,
            is_complete: next.offset >= end,
        })
    }

    /// Publishes a record of the feed of hosts; returns the era in which the store has it.
    pub(crate) async fn announce(&self, key: &str, value: &[u8]) -> Result<Era> {
        self.observe(self.store.announce(key, value).await)?;
        Ok(self.era())
    }

    /// Reads a log from a position on, or from its first record that has not expired.
    ///
    /// # Errors
    /// Fails when the answer lacks all records before the end that it states.
    pub(crate) async fn log_read(&self, log: Log, from: Option<Position>) -> Result<Tail> {
        let mut offset = from.map_or(0, |from| from.offset);
        let mut answer = self.store.log_read(log, offset).await;
        if let Err(Error::Expired(first)) = answer.result {
            offset = first;
            answer = self.store.log_read(log, first).await;
        }
        let (end, records) = match from {
            Some(from) => self.observe_at(from, answer)?,
            None => self.observe(answer)?,
        };
        check_count(offset, end, records.len())?;
        let start = Position::new(self.era(), offset);
        Ok(Tail {
            start,
            end: Position::new(self.era(), end),
            next: start.after(records.len() as u64),
            records,
        })
    }

    /// Appends to a log, with `at` only if it ends at that position; returns the record's position.
    pub(crate) async fn log_append(
        &self,
        log: Log,
        at: Option<Position>,
        value: &[u8],
    ) -> Result<Position> {
        let answer = self.store.log_append(log, at.map(|at| at.offset), value);
        let offset = match at {
            Some(at) => self.observe_at(at, answer.await)?,
            None => self.observe(answer.await)?,
        };
        Ok(Position::new(self.era(), offset))
    }
}
