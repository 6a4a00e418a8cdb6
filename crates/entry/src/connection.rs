//! Connections of callers. An answer counts as open until its last byte is in the socket's buffer: the HTTP
//! library drops the body when it has copied it to its own buffer, which an exit of the process loses. A
//! stopping host closes its connections before the exit, each as [`Usage`] allows.
//!
//! A connection reads ahead of its request only a little: the library would keep 128 KiB of what a client
//! sends, and 32 bytes for each chunk, for hundreds of clients that no request waits for.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::closing::Usage;
use berylknot_coordination::intake::idlest;
use bytes::Bytes;
use slotmap::SlotMap;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use crate::state::now;

/// Most bytes that are read at once. A chunk of one byte takes six of them, and 32 in the library's queue.
const READ_BYTES: usize = 4 * 1_024;
/// Most bytes that are read ahead of a request in progress, which its handler has not taken.
const READ_AHEAD_BYTES: usize = READ_BYTES;
/// Most bytes that are read before a request begins: the largest head of a request (16 KiB in the platform's
/// specification), and what follows it.
const MAX_HEAD_BYTES: usize = 24 * 1_024;

slotmap::new_key_type! {
    /// Key of an open connection.
    struct Key;
}

/// End of a listener and of its connections, which are told of it apart.
#[derive(Debug, Default)]
pub(crate) struct Closing {
    of_listener: CancellationToken,
    of_connections: CancellationToken,
    connections: RefCell<SlotMap<Key, Rc<Intake>>>,
    /// Whether the connections read ahead without a bound, since their clients are hosts of the deployment.
    trusts_clients: bool,
}

impl Closing {
    /// For a listener whose clients are hosts of the deployment.
    pub(crate) fn of_trusted_clients() -> Self {
        Self {
            trusts_clients: true,
            ..Self::default()
        }
    }

    /// Lets the listener accept what has arrived, and close.
    pub(crate) fn close_listener(&self) {
        self.of_listener.cancel();
    }

    pub(crate) async fn listener_closes(&self) {
        self.of_listener.cancelled().await;
    }

    /// Lets the connections close, each when nothing is on it.
    pub(crate) fn close_connections(&self) {
        self.of_connections.cancel();
    }

    /// Connections that are open.
    pub(crate) fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Makes room for a new connection where `most` may be open; returns whether there is room. An idle one
    /// gives way, which counts as closed from now on.
    pub(crate) fn make_room(&self, most: usize) -> bool {
        let mut connections = self.connections.borrow_mut();
        if connections.len() < most {
            return true;
        }
        let idle = connections.iter();
        let idle = idle.filter(|(_, intake)| !intake.is_serving.get());
        let victim = idlest(
            now(),
            idle.map(|(key, intake)| (key, intake.received_at.get())),
        );
        let Some(intake) = victim.and_then(|key| connections.remove(key)) else {
            return false;
        };
        drop(connections);
        intake.end();
        true
    }
}

/// What a connection has read of what its client sends.
#[derive(Debug, Default)]
struct Intake {
    is_unbounded: Cell<bool>,
    /// Bytes that no handler has taken.
    ahead: Cell<usize>,
    /// Bytes since the library last had the time to look at them.
    at_once: Cell<usize>,
    /// Whether a request is in progress.
    is_serving: Cell<bool>,
    /// Whether the connection ends before its client closes it.
    is_ended: Cell<bool>,
    received_at: Cell<Instant>,
    /// Task that waits until more may be read.
    reader: RefCell<Option<Waker>>,
}

impl Intake {
    /// Bytes that may be read now.
    fn room(&self) -> usize {
        if self.is_unbounded.get() {
            return usize::MAX;
        }
        let most = if self.is_serving.get() {
            READ_AHEAD_BYTES
        } else {
            MAX_HEAD_BYTES
        };
        let room = most.saturating_sub(self.ahead.get());
        room.min(READ_BYTES.saturating_sub(self.at_once.get()))
    }

    fn received(&self, bytes: usize) {
        self.ahead.set(self.ahead.get() + bytes);
        self.at_once.set(self.at_once.get() + bytes);
        self.received_at.set(now());
    }

    /// Records that a handler has taken what was read.
    fn taken(&self) {
        if self.ahead.replace(0) > 0 {
            self.wake();
        }
    }

    fn end(&self) {
        self.is_ended.set(true);
        self.wake();
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Waits until more may be read; lets the library look at what was read first.
    fn wait(&self, context: &Context<'_>) {
        if self.at_once.replace(0) > 0 {
            context.waker().wake_by_ref();
        }
        self.register(context);
    }

    /// Registers the task that reads, which the end of the connection wakes.
    fn register(&self, context: &Context<'_>) {
        let mut reader = self.reader.borrow_mut();
        match &mut *reader {
            Some(known) => known.clone_from(context.waker()),
            None => *reader = Some(context.waker().clone()),
        }
    }
}

/// What the handler of a connection's requests shares with its socket; `G` keeps a request open.
pub(crate) struct Progress<G> {
    /// Answers that are in the library's buffer.
    unwritten: RefCell<Vec<G>>,
    is_closing: Cell<bool>,
    /// Whether the connection ends once its answers are written, also while its client goes on sending.
    ends_early: Cell<bool>,
    usage: Cell<Usage>,
    intake: Rc<Intake>,
}

impl<G> Default for Progress<G> {
    fn default() -> Self {
        Self {
            unwritten: RefCell::default(),
            is_closing: Cell::new(false),
            ends_early: Cell::new(false),
            usage: Cell::default(),
            intake: Rc::default(),
        }
    }
}

impl<G> Progress<G> {
    /// Records that an answer announces the end of the connection.
    pub(crate) fn close(&self) {
        self.is_closing.set(true);
    }

    /// Whether an answer has announced the end of the connection. The library goes on with the requests
    /// that were read before.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Ends the connection with the answer to a request whose body is not read to its end: the library would
    /// go on reading and dropping it.
    pub(crate) fn end_early(&self) {
        self.close();
        self.ends_early.set(true);
    }

    /// Records that a request has begun; its answer ends it.
    pub(crate) fn begin(&self) {
        self.update(Usage::began);
        self.intake.taken();
    }

    /// Records that the handler of a request has taken all that was read of its body.
    pub(crate) fn taken(&self) {
        self.intake.taken();
    }

    fn received(&self, bytes: usize) {
        self.update(Usage::received);
        self.intake.received(bytes);
    }

    /// Returns whether an answer has ended.
    fn written(&self) -> bool {
        let answers = self.unwritten.take().len();
        self.update(|usage| usage.answered(now(), answers as u32));
        if answers > 0 {
            self.intake.taken();
        }
        if answers > 0 && self.ends_early.get() {
            self.intake.end();
        }
        answers > 0
    }

    fn update(&self, update: impl FnOnce(&mut Usage)) {
        let mut usage = self.usage.get();
        update(&mut usage);
        self.usage.set(usage);
        self.intake.is_serving.set(usage.is_open());
    }
}

/// Socket of a caller. The library flushes it when its own buffer is empty, after each step of an answer.
pub(crate) struct Connection<G> {
    stream: TcpStream,
    progress: Rc<Progress<G>>,
    closing: Rc<Closing>,
    key: Key,
    closing_started: Pin<Box<WaitForCancellationFutureOwned>>,
    /// Wakes the task when the connection may be closed.
    quiet: Option<Pin<Box<Sleep>>>,
}

impl<G> Connection<G> {
    pub(crate) fn new(stream: TcpStream, closing: Rc<Closing>) -> Self {
        let progress: Rc<Progress<G>> = Rc::default();
        progress.intake.received_at.set(now());
        progress.intake.is_unbounded.set(closing.trusts_clients);
        let intake = Rc::clone(&progress.intake);
        let key = closing.connections.borrow_mut().insert(intake);
        Self {
            stream,
            progress,
            key,
            closing_started: Box::pin(closing.of_connections.clone().cancelled_owned()),
            closing,
            quiet: None,
        }
    }

    /// Whether the connection is to be closed now: its host stops, and nothing has arrived that it has not
    /// answered. Otherwise wakes the task when that may have changed.
    fn is_due(&mut self, context: &mut Context<'_>) -> bool {
        if self.closing_started.as_mut().poll(context).is_pending() {
            return false;
        }
        let Some(at) = self.progress.usage.get().may_close_at() else {
            return false;
        };
        let left = at.since(now());
        if left.is_zero() {
            return has_nothing_to_read(&self.stream);
        }
        let quiet = self.quiet.insert(Box::pin(tokio::time::sleep(left)));
        // Registers the task; the time is over only if the clocks differ by a tick.
        quiet.as_mut().poll(context).is_ready() && has_nothing_to_read(&self.stream)
    }

    pub(crate) const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub(crate) fn progress(&self) -> Rc<Progress<G>> {
        Rc::clone(&self.progress)
    }
}

/// Whether no byte, end or error is in the socket's buffer. The runtime may not have noticed them yet.
fn has_nothing_to_read(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

impl<G> Drop for Connection<G> {
    fn drop(&mut self) {
        self.progress.written();
        self.closing.connections.borrow_mut().remove(self.key);
    }
}

impl<G> AsyncRead for Connection<G> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Without bytes, the library takes this for the end of the caller's half, and closes.
        if self.progress.intake.is_ended.get() {
            return Poll::Ready(Ok(()));
        }
        let room = self.progress.intake.room().min(buffer.remaining());
        if room == 0 {
            self.progress.intake.wait(context);
            return Poll::Pending;
        }
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(room));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut limited);
        let bytes = limited.filled().len();
        buffer.advance(bytes);
        match read {
            Poll::Ready(Ok(())) if bytes > 0 => self.progress.received(bytes),
            Poll::Pending if self.is_due(context) => return Poll::Ready(Ok(())),
            Poll::Pending => {
                self.progress.intake.at_once.set(0);
                self.progress.intake.register(context);
            }
            Poll::Ready(_) => {}
        }
        read
    }
}

impl<G> AsyncWrite for Connection<G> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        if self.progress.written() && self.closing.of_connections.is_cancelled() {
            // The next read finds out when the connection may be closed.
            context.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Body of an answer; its end passes the request on to the connection.
pub(crate) struct Body<G> {
    body: BoxBody,
    open: Option<G>,
    progress: Rc<Progress<G>>,
}

impl<G> Body<G> {
    pub(crate) fn new(body: BoxBody, open: G, progress: Rc<Progress<G>>) -> Self {
        Self {
            body,
            open: Some(open),
            progress,
        }
    }
}

impl<G> Drop for Body<G> {
    fn drop(&mut self) {
        self.progress
            .unwritten
            .borrow_mut()
            .extend(self.open.take());
    }
}

impl<G: Unpin> MessageBody for Body<G> {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}
