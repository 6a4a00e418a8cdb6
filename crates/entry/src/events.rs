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
        }
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

    /// Whether the received bytes end at an event boundary.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.tail.is_empty()
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
        match self.count_events(&complete) {
            Some(0) => return Err(Error::Repeated),
            Some(valid) => {
                // The next call, or the end of the stream, reports the rest; the events before are whole.
                let mut rest = complete.split_off(valid);
                rest.extend_from_slice(&self.tail);
                self.tail = rest;
            }
            None => {
                if complete.len() > SMALL_BYTES {
                    self.tail = BytesMut::from(&self.tail[..]);
                }
            }
        }
        Ok(complete.freeze())
    }

    /// Counts whole events; returns the position of the first one that does not belong to the stream: it
    /// repeats an earlier one, or is the head of another answer. Its id does not count: its caller does not
    /// get it.
    fn count_events(&mut self, events: &[u8]) -> Option<usize> {
        let (mut at, mut event_start) = (0, 0);
        let mut event_id = None;
        for line in events.split_inclusive(|byte| *byte == b'\n') {
            at += line.len();
            if line == b"\n" || line == b"\r\n" {
                event_start = at;
                if event_id.is_some() {
                    self.last = event_id.take();
                    self.count += 1;
                }
                continue;
            }
            if line.starts_with(STATUS_LINE) {
                return Some(event_start);
            }
            let id = line.strip_prefix(ID_FIELD);
            let id = id.and_then(|id| std::str::from_utf8(id).ok());
            let Some(id) = id.and_then(|id| id.trim().parse().ok()) else {
                continue;
            };
            if event_id.or(self.last).is_some_and(|last| id <= last) {
                return Some(event_start);
            }
            event_id = Some(id);
        }
        None
    }
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
