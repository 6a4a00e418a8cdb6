//! Connections of callers, and how a caller's departure is noticed at every stage of a request.

use std::any::Any;
use std::io::{Error, ErrorKind, Result};
use std::os::fd::AsFd;
use std::rc::Rc;

use actix_web::dev::Extensions;
use actix_web::rt::net::TcpStream;
use tokio::io::Interest;
use tokio_rustls::server::TlsStream;

/// A caller's connection, watched beside the HTTP server that reads from it.
///
/// The server notices a closed connection only when it writes; a request that waits for its
/// prefill writes nothing.
#[derive(Clone, Debug)]
pub(crate) struct Connection(Rc<TcpStream>);

impl Connection {
    /// Remembers the connection for its requests; called once per accepted connection.
    pub(crate) fn accept(io: &dyn Any, extensions: &mut Extensions) {
        let encrypted = io
            .downcast_ref::<TlsStream<TcpStream>>()
            .map(|stream| stream.get_ref().0);
        let Some(stream) = io.downcast_ref::<TcpStream>().or(encrypted) else {
            return;
        };
        match Self::watch(stream) {
            Ok(connection) => {
                extensions.insert(connection);
            }
            Err(error) => tracing::warn!(%error, "connection: cannot be watched"),
        }
    }

    /// Watches a duplicate of the stream's descriptor, from which nothing is read.
    fn watch(stream: &TcpStream) -> Result<Self> {
        let duplicate = std::net::TcpStream::from(stream.as_fd().try_clone_to_owned()?);
        Ok(Self(Rc::new(TcpStream::from_std(duplicate)?)))
    }

    /// Waits until the caller has closed the connection or its sending half.
    pub(crate) async fn closed(&self) {
        loop {
            let Ok(ready) = self.0.ready(Interest::READABLE).await else {
                return;
            };
            if ready.is_read_closed() {
                return;
            }
            // Data of a following request, which the server reads when its turn comes. Reporting
            // WouldBlock clears the readiness, so that the next wait is for a new event.
            let _ = self.0.try_io(Interest::READABLE, || {
                Err::<(), _>(Error::from(ErrorKind::WouldBlock))
            });
        }
    }
}
