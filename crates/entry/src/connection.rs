//! Connections of callers. An answer counts as open until its last byte is in the socket's buffer: the HTTP
//! library drops the body when it has copied it to its own buffer, which an exit of the process loses.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What the handler of a connection's requests shares with its socket; `G` keeps a request open.
pub(crate) struct Progress<G> {
    /// Answers that are in the library's buffer.
    unwritten: RefCell<Vec<G>>,
    is_closing: Cell<bool>,
}

impl<G> Default for Progress<G> {
    fn default() -> Self {
        Self {
            unwritten: RefCell::default(),
            is_closing: Cell::new(false),
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

    fn written(&self) {
        self.unwritten.take().clear();
    }
}

/// Socket of a caller. The library flushes it when its own buffer is empty, after each step of an answer.
pub(crate) struct Connection<G> {
    stream: TcpStream,
    progress: Rc<Progress<G>>,
}

impl<G> Connection<G> {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            progress: Rc::default(),
        }
    }

    pub(crate) const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub(crate) fn progress(&self) -> Rc<Progress<G>> {
        Rc::clone(&self.progress)
    }
}

impl<G> Drop for Connection<G> {
    fn drop(&mut self) {
        self.progress.written();
    }
}

impl<G> AsyncRead for Connection<G> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
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
        self.progress.written();
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
