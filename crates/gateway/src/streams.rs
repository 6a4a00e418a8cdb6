//! Permission of this gateway to run streams, kept up by reports to the coordinator.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::reap::{Epoch, Limits, Permit};
use berylknot_coordination::record::Incarnation;
use berylknot_coordination::request::Id;
use berylknot_wire::local::{Request, Response, Streams};

use crate::clock::Clock;
use crate::control::{self, Control, Identity};

/// Time between two reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Deadline of a report, so that one that is lost does not delay the next ones for long.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Permission that a stream started with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ticket {
    gateway: Incarnation,
    live: Epoch,
    host: Epoch,
}

#[derive(Debug)]
struct Permits {
    /// The coordinator does not state the end of this gateway.
    live: Permit,
    /// No coordinating host reaps the requests of this host.
    host: Permit,
    /// Whether the current incarnation has ever been allowed to run streams.
    used: bool,
}

impl Permits {
    const fn new() -> Self {
        Self {
            live: Permit::new(),
            host: Permit::new(),
            used: false,
        }
    }

    const fn until(&self) -> Instant {
        let (live, host) = (self.live.until(), self.host.until());
        if live.as_millis() < host.as_millis() {
            live
        } else {
            host
        }
    }
}

/// Permission to run streams, shared by all threads.
#[derive(Clone, Debug)]
pub(crate) struct Permission {
    clock: Clock,
    identity: Identity,
    permits: Arc<Mutex<Permits>>,
}

impl Permission {
    /// Makes a permission that allows nothing before the first report is answered: no coordinator
    /// would notice the end of a gateway that it has never heard.
    pub(crate) fn new(clock: Clock, identity: Identity) -> Self {
        Self {
            clock,
            identity,
            permits: Arc::new(Mutex::new(Permits::new())),
        }
    }

    fn permits(&self) -> std::sync::MutexGuard<'_, Permits> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Permission for a new request; `None` when it must not run.
    pub(crate) fn ticket(&self, request_id: &str) -> Option<Ticket> {
        let gateway = request_id.parse::<Id>().ok()?.gateway();
        let (permits, now) = (self.permits(), self.clock.now());
        if gateway != self.identity.incarnation() {
            return None;
        }
        Some(Ticket {
            gateway,
            live: permits.live.epoch(now)?,
            host: permits.host.epoch(now)?,
        })
    }

    /// Whether new requests may run.
    pub(crate) fn is_usable(&self) -> bool {
        self.clock.now() < self.permits().until()
    }

    /// Whether a request may go on. Once false, it stays false.
    pub(crate) fn allows(&self, ticket: Ticket) -> bool {
        let (permits, now) = (self.permits(), self.clock.now());
        ticket.gateway == self.identity.incarnation()
            && permits.live.allows(now, ticket.live)
            && permits.host.allows(now, ticket.host)
    }

    /// Waits until a request may not go on.
    pub(crate) async fn lapsed(&self, ticket: Ticket) {
        /// A new incarnation ends the requests of the old one before their permit lapses.
        const LONGEST: Duration = Duration::from_millis(500);
        while self.allows(ticket) {
            let left = self.permits().until().since(self.clock.now());
            actix_rt::time::sleep(left.clamp(Duration::from_millis(1), LONGEST)).await;
        }
    }

    /// Starts a new incarnation when the permission of the current one has lapsed, since its end
    /// may have been stated.
    fn renew_incarnation(&self, refused: bool) -> Incarnation {
        let mut permits = self.permits();
        let lapsed = permits.used && self.clock.now() >= permits.until();
        if refused || lapsed {
            *permits = Permits::new();
            let gateway = self.identity.start_incarnation();
            tracing::warn!(gateway = gateway.0, refused, "streams: new incarnation");
        }
        self.identity.incarnation()
    }

    /// Notes that a report sent at `sent` was answered, or that no coordinator runs.
    fn answered(&self, sent: Instant, lifetime: Option<Duration>) {
        let mut permits = self.permits();
        let now = self.clock.now();
        if permits.used && now >= permits.until() {
            return;
        }
        let silence = Limits::default().silence;
        permits.live.acknowledged(now, sent, silence);
        if let Some(lifetime) = lifetime {
            permits.host.extend(now, sent + lifetime);
        }
        permits.used |= now < permits.until();
    }

    /// Reports to the coordinator for as long as the process runs.
    pub(crate) async fn report(self, control: Control) {
        let mut refused = false;
        loop {
            let gateway = self.renew_incarnation(refused);
            let sent = self.clock.now();
            let streams = Streams {
                gateway,
                finished: false,
            };
            let report = control.send(Request::Streams(streams));
            let answer = actix_rt::time::timeout(TIMEOUT, report).await;
            refused = matches!(answer, Ok(Ok(Response::Refused(_))));
            match answer {
                Ok(Ok(Response::Forward { lifetime_ms })) => {
                    self.answered(sent, Some(Duration::from_millis(lifetime_ms)));
                }
                // A coordinator that does not run states nothing.
                Ok(Err(control::Error::Refused)) => self.answered(sent, None),
                Ok(_) => {}
                Err(_) => tracing::warn!("streams: coordinator does not answer"),
            }
            if !refused {
                actix_rt::time::sleep(INTERVAL).await;
            }
        }
    }

    /// Tells the coordinator that this gateway has no streams and takes no more.
    pub(crate) async fn finish(&self, control: &Control) {
        let streams = Streams {
            gateway: self.identity.incarnation(),
            finished: true,
        };
        let report = control.send(Request::Streams(streams));
        let _ = actix_rt::time::timeout(TIMEOUT, report).await;
    }
}
