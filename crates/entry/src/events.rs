//! Splits a stream of server-sent events at event boundaries.
//!
//! A broken stream can resume at another endpoint only after a complete event, so an incomplete
//! event is buffered until its end arrives.

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered event in bytes; a longer one indicates a faulty endpoint.
pub(crate) const MAX_EVENT_BYTES: usize = 256 * 1_024;
/// Size of completed events above which the buffer is replaced, so that a large event does not keep its
/// memory while small ones follow. Events have some hundred bytes.
pub(crate) const SMALL_BYTES: usize = 4 * 1_024;
const ID_FIELD: &[u8] = b"id:";
/// Begin of the head of an answer. A copied answer stands behind a stream that has no length.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Splitter of one event stream.
#[derive(Debug, Default)]
pub struct Splitter {
    tail: BytesMut,
    last: Option<u64>,
    count: u32,
    /// Whether an event without an id is passed on only with a later one that has one.
    holds_without_id: bool,
    /// Whether the tail begins with bytes that do not belong to the stream.
    is_tail_foreign: bool,
}

/// Why a stream is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// An event exceeds the maximum size.
    TooLong,
    /// The id of an event is not above that of the last delivered event.
    Repeated,
}

impl Splitter {
    /// Splitter of a stream whose caller already has the events up to the id `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self {
            tail: BytesMut::new(),
            last,
            count: 0,
            holds_without_id: false,
            is_tail_foreign: false,
        }
    }

    /// Sets whether the answer ends with its connection. What follows its last event then cannot be told from
    /// it by the framing: bytes that no event with an id follows are not passed on.
    pub const fn set_unframed(&mut self, is_unframed: bool) {
        self.holds_without_id = is_unframed;
    }

    /// Id of the last complete event.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of complete events with an id so far.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Whether the received bytes end at an event boundary. Whole events without an id that are held back do
    /// not count; bytes that do not belong to the stream may have replaced some of its events.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        let ends_whole = last_boundary(&self.tail) == Some(self.tail.len());
        self.tail.is_empty() || ends_whole && !self.is_tail_foreign
    }

    /// Bytes of the event that is not complete.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.tail.len()
    }

    /// Allocates memory for the largest event at once; growth in steps would take up to twice as much.
    pub(crate) fn reserve(&mut self) {
        let missing = MAX_EVENT_BYTES.saturating_sub(self.tail.len());
        self.tail.reserve(missing);
    }

    /// Discards the buffered part of an event, after the stream of its endpoint broke.
    pub fn discard_tail(&mut self) {
        self.tail = BytesMut::new();
        self.is_tail_foreign = false;
    }

    /// Adds received bytes; returns the events that they complete.
    ///
    /// # Errors
    /// Fails when an event exceeds the maximum size or repeats an earlier one.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        let searched = self.tail.len().saturating_sub(3);
        self.tail.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.tail[searched..]) else {
            return if self.tail.len() > MAX_EVENT_BYTES {
                Err(Error::TooLong)
            } else {
                Ok(Bytes::new())
            };
        };
        let mut complete = self.tail.split_to(searched + end);
        let counted = self.count_events(&complete);
        if counted.is_foreign && counted.passed == 0 {
            return Err(Error::Repeated);
        }
        self.is_tail_foreign = counted.is_foreign;
        if counted.passed < complete.len() {
            // The next call, or the end of the stream, reports the rest; the events before are whole.
            let mut rest = complete.split_off(counted.passed);
            rest.extend_from_slice(&self.tail);
            self.tail = rest;
        } else if complete.len() > SMALL_BYTES {
            self.tail = BytesMut::from(&self.tail[..]);
        }
        if self.tail.len() > MAX_EVENT_BYTES {
            return Err(Error::TooLong);
        }
        Ok(complete.freeze())
    }

    /// Counts whole events. The id of an event that is not passed on does not count.
    fn count_events(&mut self, events: &[u8]) -> Counted {
        let mut counted = Counted::default();
        let (mut at, mut event_start) = (0, 0);
        let mut event_id = None;
        let (mut has_field, mut is_held) = (false, false);
        for line in events.split_inclusive(|byte| *byte == b'\n') {
            at += line.len();
            if line == b"\n" || line == b"\r\n" {
                event_start = at;
                if event_id.is_some() {
                    self.last = event_id.take();
                    self.count += 1;
                    is_held = false;
                } else {
                    is_held |= has_field && self.holds_without_id;
                }
                if !is_held {
                    counted.passed = at;
                }
                has_field = false;
                continue;
            }
            has_field |= !line.starts_with(b":");
            let id = line.strip_prefix(ID_FIELD);
            let id = id.and_then(|id| std::str::from_utf8(id).ok());
            let id = id.and_then(|id| id.trim().parse().ok());
            let last = event_id.or(self.last);
            let is_repeated = id.is_some_and(|id| last.is_some_and(|last| id <= last));
            if is_repeated || line.starts_with(STATUS_LINE) {
                if !is_held {
                    counted.passed = event_start;
                }
                counted.is_foreign = true;
                return counted;
            }
            event_id = id.or(event_id);
        }
        counted
    }
}

/// Events that belong to a stream.
#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    /// Bytes of the events that are passed on.
    passed: usize,
    /// Whether what follows does not belong to the stream: it repeats an event, or is the head of another
    /// answer.
    is_foreign: bool,
}

/// Position after the last empty line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let mut at = bytes.len();
    while at >= 2 {
        let end = &bytes[..at];
        if end.ends_with(b"\n\n") || end.ends_with(b"\n\r\n") {
            return Some(at);
        }
        at -= 1;
    }
    None
}
