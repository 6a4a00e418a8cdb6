//! Detects that a caller has disconnected, at any stage of its request.

use std::any::Any;
use std::io::{Error, ErrorKind, Result};
use std::os::fd::AsFd;
use std::rc::Rc;

use actix_web::dev::Extensions;
use actix_web::rt::net::TcpStream;
use tokio::io::Interest;
use tokio_rustls::server::TlsStream;

/// A caller's connection, watched independently of the HTTP server that reads from it.
///
/// The server detects a closed connection only when it writes, and a request that waits for its
/// prefill writes nothing.
#[derive(Clone, Debug)]
pub(crate) struct Connection(Rc<TcpStream>);

impl Connection {
    /// Attaches the connection to its requests; called once per accepted connection.
    pub(crate) fn accept(io: &dyn Any, extensions: &mut Extensions) {
        let encrypted = io
            .downcast_ref::<TlsStream<TcpStream>>()
            .map(|stream| stream.get_ref().0);
        let Some(stream) = io.downcast_ref::<TcpStream>().or(encrypted) else {
            return;
        };
        match Self::duplicate(stream) {
            Ok(connection) => {
                extensions.insert(connection);
            }
            Err(error) => tracing::warn!(
                %error,
                "connection: cannot be watched, a disconnect is noticed only on write"
            ),
        }
    }

    /// Duplicates the stream's descriptor. Nothing is read from the duplicate.
    fn duplicate(stream: &TcpStream) -> Result<Self> {
        let descriptor = std::net::TcpStream::from(stream.as_fd().try_clone_to_owned()?);
        Ok(Self(Rc::new(TcpStream::from_std(descriptor)?)))
    }

    /// Waits until the caller closes the connection or its write half.
    pub(crate) async fn closed(&self) {
        loop {
            let Ok(ready) = self.0.ready(Interest::READABLE).await else {
                return;
            };
            if ready.is_read_closed() {
                return;
            }
            // A pipelined request, which the server reads after the current one. Reporting
            // WouldBlock clears the readiness, so that the next wait is for a new event.
            let _ = self.0.try_io(Interest::READABLE, || {
                Err::<(), _>(Error::from(ErrorKind::WouldBlock))
            });
        }
    }
}
