//! Passes answers to callers, and keeps what these have not read within the memory of the host.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::unread::{Ticket, Unread};
use bytes::Bytes;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use crate::options::Resources;
use crate::request::Cut;
use crate::state::now;

/// Share of the host's memory for what callers have not read.
const MEMORY_SHARE: usize = 40;
/// Interval at which an answer that waits for memory looks for a caller that does not read.
const WAIT_POLL: Duration = Duration::from_millis(100);

/// Unread answers of a host.
#[derive(Debug)]
pub(crate) struct Outbox {
    unread: RefCell<Unread>,
    /// Ends the answers whose callers do not read; with the ids of their requests.
    ends: RefCell<HashMap<Ticket, (String, CancellationToken)>>,
    /// Wakes those that wait for memory.
    freed: Notify,
}

impl Outbox {
    pub(crate) fn new(resources: Resources) -> Rc<Self> {
        let bytes = resources.memory_mb.saturating_mul(1_000_000) / MEMORY_SHARE;
        Rc::new(Self {
            unread: RefCell::new(Unread::new(bytes)),
            ends: RefCell::default(),
            freed: Notify::new(),
        })
    }

    /// An answer to the request `id`: the end that sends it, and what its caller gets.
    pub(crate) fn open(self: &Rc<Self>, id: &str) -> (Sender, Events) {
        let ticket = self.unread.borrow_mut().begin(now());
        let end = CancellationToken::new();
        let known = (id.to_owned(), end.clone());
        self.ends.borrow_mut().insert(ticket, known);
        let (pieces, received) = mpsc::unbounded_channel();
        let place = Rc::new(Place {
            outbox: Rc::clone(self),
            ticket,
        });
        let sender = Sender {
            place: Rc::clone(&place),
            end,
            pieces,
        };
        let events = Events {
            place,
            pieces: received,
        };
        (sender, events)
    }

    /// Ends the answer whose caller has read nothing for longest, if one has not.
    fn end_slowest(&self) {
        let slowest = self.unread.borrow_mut().end_slowest(now());
        let ends = self.ends.borrow();
        if let Some((id, end)) = slowest.and_then(|ticket| ends.get(&ticket)) {
            tracing::info!(
                id,
                held = self.unread.borrow().held(),
                "outbox: caller reads too slowly; its answer ends, since others need the memory"
            );
            end.cancel();
        }
    }
}

/// An answer in the outbox; removed when its sender and its caller are gone.
#[derive(Debug)]
struct Place {
    outbox: Rc<Outbox>,
    ticket: Ticket,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.outbox.unread.borrow_mut().remove(self.ticket);
        self.outbox.ends.borrow_mut().remove(&self.ticket);
        self.outbox.freed.notify_waiters();
    }
}

/// Why an answer ends before its last byte is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Error {
    /// The caller is gone.
    Gone,
    /// The caller does not read, and others need the memory.
    TooSlow,
}

/// The end of an answer that sends.
#[derive(Debug)]
pub(crate) struct Sender {
    place: Rc<Place>,
    end: CancellationToken,
    pieces: mpsc::UnboundedSender<Result<Bytes, Cut>>,
}

impl Sender {
    /// Passes bytes on; waits for memory if the caller reads too slowly.
    ///
    /// # Errors
    /// Fails when the caller is gone, or is ended since it does not read.
    pub(crate) async fn send(&self, piece: Bytes) -> Result<(), Error> {
        let Place { outbox, ticket } = &*self.place;
        loop {
            let freed = outbox.freed.notified();
            let has_room = {
                let mut unread = outbox.unread.borrow_mut();
                unread.add(now(), *ticket, piece.len())
            };
            if has_room {
                return self.pieces.send(Ok(piece)).map_err(|_| Error::Gone);
            }
            outbox.end_slowest();
            tokio::select! {
                () = self.end.cancelled() => return Err(Error::TooSlow),
                () = self.pieces.closed() => return Err(Error::Gone),
                () = freed => {}
                () = tokio::time::sleep(WAIT_POLL) => {}
            }
        }
    }

    /// Ends the answer early; its connection closes.
    pub(crate) fn cut(&self, cut: Cut) {
        // The caller may have left as well.
        drop(self.pieces.send(Err(cut)));
    }

    /// Waits until the caller is gone.
    pub(crate) async fn closed(&self) {
        self.pieces.closed().await;
    }

    /// Waits until the caller is ended in favour of others.
    pub(crate) async fn ended(&self) {
        self.end.cancelled().await;
    }
}

/// What the caller of an answer gets; an error closes its connection before the end.
#[derive(Debug)]
pub(crate) struct Events {
    place: Rc<Place>,
    pieces: mpsc::UnboundedReceiver<Result<Bytes, Cut>>,
}

impl Events {
    /// The next piece; `None` at the end.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        let piece = self.pieces.recv().await?;
        if let Ok(piece) = &piece {
            let Place { outbox, ticket } = &*self.place;
            let mut unread = outbox.unread.borrow_mut();
            unread.taken(now(), *ticket, piece.len());
            outbox.freed.notify_waiters();
        }
        Some(piece)
    }
}
