//! Reads the bodies of callers' requests within the memory of the host.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use actix_http::{HttpMessage, Payload, Request as Incoming};
use berylknot_coordination::intake::{Budget, Ticket, Uploads};
use bytes::Bytes;
use futures_util::{Stream, future};
use tokio_util::sync::CancellationToken;

use crate::http::memory::{Body, Memory};
use crate::options::Resources;
use crate::state::now;

/// Longest time from the head of a request to the end of its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait of a body for memory. Stalled uploads give way within this time.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// Interval at which a body that waits for memory looks for a stalled upload.
const WAIT_POLL: Duration = Duration::from_millis(100);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Error {
    /// It exceeds the size limit.
    TooLarge,
    /// It is malformed or was cut off.
    Unreadable,
    /// It took too long, or kept memory from others while it was too slow.
    TooSlow,
    /// The host has no memory for it at present.
    NoMemory,
}

/// Memory and uploads of a host.
#[derive(Debug)]
pub(crate) struct Intake {
    resources: Resources,
    /// Memory for the largest body that the configuration allows, and that size.
    memory: RefCell<(usize, Memory)>,
    uploads: RefCell<Uploads>,
    /// Ends the uploads that wait for their clients.
    ends: RefCell<HashMap<Ticket, CancellationToken>>,
}

impl Intake {
    pub(crate) fn new(resources: Resources, largest: usize) -> Self {
        let budget = budget(resources, largest);
        Self {
            resources,
            memory: RefCell::new((largest, Memory::of_requests(&budget))),
            uploads: RefCell::default(),
            ends: RefCell::default(),
        }
    }

    /// Most connections of callers.
    pub(crate) fn connections(&self) -> usize {
        budget(self.resources, 0).connections
    }

    /// Memory for bodies of up to `largest` bytes. A new size in the configuration takes effect for new bodies.
    fn memory(&self, largest: usize) -> Memory {
        let mut memory = self.memory.borrow_mut();
        if memory.0 != largest {
            let budget = budget(self.resources, largest);
            *memory = (largest, Memory::of_requests(&budget));
        }
        memory.1.clone()
    }

    /// Reads the body of a request, of at most `largest` bytes. `taken` is called whenever all received bytes
    /// have been taken, also at the end of the body: the connection then goes on reading, and notices when its
    /// client leaves.
    ///
    /// # Errors
    /// Fails as [`Error`] says. The rest of the body is then still to come.
    pub(crate) async fn read(
        &self,
        mut request: Incoming,
        largest: usize,
        taken: impl Fn(),
    ) -> Result<Bytes, Error> {
        let source = request
            .peer_addr()
            .map_or(IpAddr::from([0, 0, 0, 0]), |peer| peer.ip());
        let length = request.headers().get(http::header::CONTENT_LENGTH.as_str());
        let length = length.and_then(|length| length.to_str().ok()?.trim().parse().ok());
        let body = Body::new(
            self.memory(largest),
            SocketAddr::new(source, 0),
            length,
            largest,
        )
        .map_err(|_| Error::TooLarge)?;
        let upload = Upload::begin(self);
        let reading = upload.read(body, request.take_payload(), taken);
        let read = tokio::select! {
            read = tokio::time::timeout(BODY_TIMEOUT, reading) => read.unwrap_or(Err(Error::TooSlow)),
            () = upload.end.cancelled() => Err(Error::TooSlow),
        };
        if matches!(read, Err(Error::TooSlow | Error::NoMemory)) {
            tracing::info!(
                client = %source,
                stated_bytes = length,
                reason = ?read.as_ref().err(),
                "intake: body not read; the connection ends"
            );
        }
        read
    }
}

fn budget(resources: Resources, largest: usize) -> Budget {
    Budget::new(
        resources.memory_mb.saturating_mul(1_000_000),
        resources.max_files,
        largest,
    )
}

/// A body that is being read; removed when dropped.
struct Upload<'a> {
    intake: &'a Intake,
    ticket: Ticket,
    end: CancellationToken,
}

impl<'a> Upload<'a> {
    fn begin(intake: &'a Intake) -> Self {
        let ticket = intake.uploads.borrow_mut().begin(now());
        let end = CancellationToken::new();
        intake.ends.borrow_mut().insert(ticket, end.clone());
        Self {
            intake,
            ticket,
            end,
        }
    }

    async fn read(
        &self,
        mut body: Body,
        payload: Payload,
        taken: impl Fn(),
    ) -> Result<Bytes, Error> {
        let mut payload = std::pin::pin!(payload);
        loop {
            let part = future::poll_fn(|context| {
                let part = payload.as_mut().poll_next(context);
                if part.is_pending() {
                    taken();
                }
                part
            });
            let Some(part) = part.await else {
                taken();
                return Ok(body.finish());
            };
            let part = part.map_err(|_| Error::Unreadable)?;
            if body.needs_room(part.len()) {
                self.push_when_free(&mut body, &part).await?;
            } else {
                body.push(&part).await.map_err(|_| Error::TooLarge)?;
            }
            let mut uploads = self.intake.uploads.borrow_mut();
            uploads.received(now(), self.ticket, part.len());
        }
    }

    /// Adds bytes that need more memory; ends stalled uploads until there is enough.
    async fn push_when_free(&self, body: &mut Body, part: &[u8]) -> Result<(), Error> {
        self.intake.uploads.borrow_mut().wait(self.ticket);
        let until = now() + MAX_WAIT;
        let push = body.push(part);
        let mut push = std::pin::pin!(push);
        let pushed = loop {
            tokio::select! {
                biased;
                pushed = &mut push => break pushed.map_err(|_| Error::TooLarge),
                () = tokio::time::sleep(WAIT_POLL) => {}
            }
            if now() >= until {
                break Err(Error::NoMemory);
            }
            self.intake.end_slowest();
        };
        let mut uploads = self.intake.uploads.borrow_mut();
        uploads.go_on(now(), self.ticket);
        pushed
    }
}

impl Intake {
    /// Ends the slowest upload, if one is too slow.
    fn end_slowest(&self) {
        let slowest = self.uploads.borrow_mut().end_slowest(now());
        let ends = self.ends.borrow();
        if let Some(end) = slowest.and_then(|ticket| ends.get(&ticket)) {
            end.cancel();
        }
    }
}

impl Drop for Upload<'_> {
    fn drop(&mut self) {
        self.intake.uploads.borrow_mut().remove(self.ticket);
        self.intake.ends.borrow_mut().remove(&self.ticket);
    }
}
