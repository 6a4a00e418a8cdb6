//! Permission of this gateway to run streams, extended by periodic reports to the coordinator.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::reap::{Epoch, Limits, Permit};
use berylknot_coordination::record::Incarnation;
use berylknot_coordination::request::Id;
use berylknot_wire::local::{Request, Response, Streams};

use crate::clock::Clock;
use crate::control::{self, Control, Identity};

/// Interval of reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a report, which bounds the delay that a lost report causes for the next one.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Incarnation and permit epochs under which a stream started. Like a fencing token, it becomes
/// invalid for good when any of them ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ticket {
    gateway: Incarnation,
    live: Epoch,
    host: Epoch,
}

/// The permits that a stream needs at the same time.
#[derive(Debug)]
struct Permits {
    /// While valid, the coordinator does not declare this gateway ended.
    live: Permit,
    /// While valid, no coordinating host reaps requests of this host.
    host: Permit,
    /// Whether both permits were valid at any time in the current incarnation.
    was_valid: bool,
}

impl Permits {
    const fn new() -> Self {
        Self {
            live: Permit::new(),
            host: Permit::new(),
            was_valid: false,
        }
    }

    /// Time at which the first permit lapses.
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
    /// Creates a permission that allows nothing before the first report is answered, because no
    /// coordinator would notice the end of a gateway that has never reported.
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

    /// Ticket for a new request; `None` if the request must not run.
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

    /// Whether new requests may start.
    pub(crate) fn is_valid(&self) -> bool {
        self.clock.now() < self.permits().until()
    }

    /// Whether the request of a ticket may continue. Once false, it stays false.
    pub(crate) fn allows(&self, ticket: Ticket) -> bool {
        let (permits, now) = (self.permits(), self.clock.now());
        ticket.gateway == self.identity.incarnation()
            && permits.live.allows(now, ticket.live)
            && permits.host.allows(now, ticket.host)
    }

    /// Waits until the request of a ticket must stop.
    pub(crate) async fn wait_until_lapsed(&self, ticket: Ticket) {
        /// Bounds the delay until a new incarnation is noticed; it ends the requests of the old one
        /// before their permits lapse.
        const MAX_SLEEP: Duration = Duration::from_millis(500);
        while self.allows(ticket) {
            let left = self.permits().until().since(self.clock.now());
            actix_rt::time::sleep(left.clamp(Duration::from_millis(1), MAX_SLEEP)).await;
        }
    }

    /// Starts a new incarnation if the current one was refused or its permission has lapsed, since
    /// the coordinator may have declared it ended.
    fn renew_incarnation(&self, refused: bool) -> Incarnation {
        let mut permits = self.permits();
        let lapsed = permits.was_valid && self.clock.now() >= permits.until();
        if refused || lapsed {
            *permits = Permits::new();
            let gateway = self.identity.start_incarnation();
            tracing::warn!(
                gateway = gateway.0,
                refused,
                "streams: permission lapsed or refused, starting a new incarnation"
            );
        }
        self.identity.incarnation()
    }

    /// Extends the permits after a report sent at `sent` was answered, or after its connection was
    /// refused because no coordinator runs (`lifetime` is `None`).
    fn record_answer(&self, sent: Instant, lifetime: Option<Duration>) {
        let mut permits = self.permits();
        let now = self.clock.now();
        if permits.was_valid && now >= permits.until() {
            return;
        }
        let silence = Limits::default().silence;
        permits.live.acknowledged(now, sent, silence);
        if let Some(lifetime) = lifetime {
            permits.host.extend(now, sent + lifetime);
        }
        permits.was_valid |= now < permits.until();
    }

    /// Reports to the coordinator until the process exits.
    pub(crate) async fn report_periodically(self, control: Control) {
        let mut refused = false;
        loop {
            let gateway = self.renew_incarnation(refused);
            let sent = self.clock.now();
            let streams = Streams {
                gateway,
                finished: false,
            };
            let report = control.send(Request::Streams(streams));
            let answer = actix_rt::time::timeout(REPORT_TIMEOUT, report).await;
            refused = matches!(answer, Ok(Ok(Response::Refused(_))));
            match answer {
                Ok(Ok(Response::Forward { lifetime_ms })) => {
                    self.record_answer(sent, Some(Duration::from_millis(lifetime_ms)));
                }
                // A coordinator that is not running cannot declare this gateway ended.
                Ok(Err(control::Error::ConnectionRefused)) => self.record_answer(sent, None),
                Ok(_) => {}
                Err(_) => tracing::warn!(
                    "streams: report to the coordinator timed out, permission is not extended"
                ),
            }
            if !refused {
                actix_rt::time::sleep(REPORT_INTERVAL).await;
            }
        }
    }

    /// Reports to the coordinator that this gateway has no streams and accepts no more.
    pub(crate) async fn report_finished(&self, control: &Control) {
        let streams = Streams {
            gateway: self.identity.incarnation(),
            finished: true,
        };
        let report = control.send(Request::Streams(streams));
        let _ = actix_rt::time::timeout(REPORT_TIMEOUT, report).await;
    }
}
