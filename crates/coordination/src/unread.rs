//! Memory of answers that their callers have not read yet.
//!
//! The load is callers that read slowly, or not at all. A host that stops reading with them makes the endpoint wait,
//! which cuts off an answer that stays unread for some seconds: the work is lost, and begins again elsewhere. So a
//! host reads on and keeps what is unread, up to a bound for all callers. Where that is used up, the caller that
//! has read nothing for longest ends first; those that read, if slowly, make their endpoints wait as before.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;

/// Bytes of each answer that do not count: they are part of the memory of its connection.
pub const FREE_BYTES: usize = 32 * 1_024;
/// Time without reading anything from which a caller may end in favour of others.
pub const STALL_TIME: Duration = Duration::from_millis(1_500);

/// Number of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

#[derive(Clone, Copy, Debug)]
struct Answer {
    /// Bytes that the caller has not read.
    bytes: usize,
    /// Time since which there have been unread bytes and the caller has taken none.
    waits_since: Instant,
    /// Whether it has been told to end.
    is_ended: bool,
}

/// Bytes that count.
const fn counted(bytes: usize) -> usize {
    bytes.saturating_sub(FREE_BYTES)
}

/// Unread answers of a host.
#[derive(Clone, Debug)]
pub struct Unread {
    /// Bytes that all answers may have together.
    limit: usize,
    held: usize,
    answers: HashMap<Ticket, Answer>,
    last: u64,
}

impl Unread {
    /// For a host that may hold `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            answers: HashMap::new(),
            last: 0,
        }
    }

    /// Adds an answer without bytes.
    pub fn begin(&mut self, now: Instant) -> Ticket {
        self.last += 1;
        let ticket = Ticket(self.last);
        let answer = Answer {
            bytes: 0,
            waits_since: now,
            is_ended: false,
        };
        self.answers.insert(ticket, answer);
        ticket
    }

    /// Adds bytes for the caller of an answer. Returns whether there is room; otherwise nothing is added.
    pub fn add(&mut self, now: Instant, ticket: Ticket, bytes: usize) -> bool {
        let Some(answer) = self.answers.get_mut(&ticket) else {
            return false;
        };
        let more = counted(answer.bytes + bytes) - counted(answer.bytes);
        if more > 0 && self.held + more > self.limit {
            return false;
        }
        if answer.bytes == 0 {
            answer.waits_since = now;
        }
        answer.bytes += bytes;
        self.held += more;
        true
    }

    /// Records that a caller has taken bytes.
    pub fn taken(&mut self, now: Instant, ticket: Ticket, bytes: usize) {
        if let Some(answer) = self.answers.get_mut(&ticket) {
            let left = answer.bytes.saturating_sub(bytes);
            self.held -= counted(answer.bytes) - counted(left);
            answer.bytes = left;
            answer.waits_since = now;
        }
    }

    /// The answer to end, since another one needs room: the one whose caller has taken nothing for longest.
    pub fn end_slowest(&mut self, now: Instant) -> Option<Ticket> {
        let stalled = self.answers.iter().filter(|(_, answer)| {
            let counts = counted(answer.bytes) > 0 && !answer.is_ended;
            counts && now.since(answer.waits_since) >= STALL_TIME
        });
        let slowest = stalled.min_by_key(|(ticket, answer)| (answer.waits_since, **ticket));
        let ticket = slowest.map(|(ticket, _)| *ticket)?;
        if let Some(answer) = self.answers.get_mut(&ticket) {
            answer.is_ended = true;
        }
        Some(ticket)
    }

    /// Removes an answer with what is unread of it.
    pub fn remove(&mut self, ticket: Ticket) {
        if let Some(answer) = self.answers.remove(&ticket) {
            self.held -= counted(answer.bytes);
        }
    }

    /// Bytes that count.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }
}
