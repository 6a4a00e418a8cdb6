//! Connections of callers. An answer counts as open until its last byte is in the socket's buffer: the HTTP
//! library drops the body when it has copied it to its own buffer, which an exit of the process loses. A
//! stopping host closes its connections before the exit, each as [`Usage`] allows.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use berylknot_coordination::closing::Usage;
use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use crate::state::now;

/// End of a listener and of its connections, which are told of it apart.
#[derive(Debug, Default)]
pub(crate) struct Closing {
    of_listener: CancellationToken,
    of_connections: CancellationToken,
    connections: Cell<usize>,
}

impl Closing {
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
        self.connections.get()
    }
}

/// What the handler of a connection's requests shares with its socket; `G` keeps a request open.
pub(crate) struct Progress<G> {
    /// Answers that are in the library's buffer.
    unwritten: RefCell<Vec<G>>,
    is_closing: Cell<bool>,
    usage: Cell<Usage>,
}

impl<G> Default for Progress<G> {
    fn default() -> Self {
        Self {
            unwritten: RefCell::default(),
            is_closing: Cell::new(false),
            usage: Cell::default(),
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

    /// Records that a request has begun; its answer ends it.
    pub(crate) fn begin(&self) {
        self.update(Usage::began);
    }

    fn received(&self) {
        self.update(Usage::received);
    }

    /// Returns whether an answer has ended.
    fn written(&self) -> bool {
        let answers = self.unwritten.take().len();
        self.update(|usage| usage.answered(now(), answers as u32));
        answers > 0
    }

    fn update(&self, update: impl FnOnce(&mut Usage)) {
        let mut usage = self.usage.get();
        update(&mut usage);
        self.usage.set(usage);
    }
}

/// Socket of a caller. The library flushes it when its own buffer is empty, after each step of an answer.
pub(crate) struct Connection<G> {
    stream: TcpStream,
    progress: Rc<Progress<G>>,
    closing: Rc<Closing>,
    closing_started: Pin<Box<WaitForCancellationFutureOwned>>,
    /// Wakes the task when the connection may be closed.
    quiet: Option<Pin<Box<Sleep>>>,
}

impl<G> Connection<G> {
    pub(crate) fn new(stream: TcpStream, closing: Rc<Closing>) -> Self {
        closing.connections.set(closing.connections.get() + 1);
        Self {
            stream,
            progress: Rc::default(),
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
        let others = self.closing.connections.get().saturating_sub(1);
        self.closing.connections.set(others);
    }
}

impl<G> AsyncRead for Connection<G> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match read {
            Poll::Ready(Ok(())) if buffer.filled().len() > before => self.progress.received(),
            // Without bytes, the library takes this for the end of the caller's half, and closes.
            Poll::Pending if self.is_due(context) => return Poll::Ready(Ok(())),
            _ => {}
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
