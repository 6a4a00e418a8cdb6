//! Requests whose endpoint closed the connection before the end of its answer. They count against the
//! request and the parts of its prompt, unless this host has lost its own links. They do not count against the
//! exact request either where the endpoint goes on accepting connections: it broke an answer off and has not
//! crashed.
//!
//! This host counts them at once, since the next request may crash the next endpoint. The other hosts learn
//! of them when it is known that the links were sound.

use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::link::Fault;

use crate::call::CONNECT_TIMEOUT;
use crate::directory::Endpoint;
use crate::platform::Store;
use crate::request::Call;
use crate::state::{Host, now};
use crate::strikes::Fingerprint;
use crate::suspects::{Crash, Source};

/// Interval between checks whose fault a loss was.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a loss counts as the endpoint's although nothing proves it. The probes of the links
/// take less.
const MAX_CHECK_TIME: Duration = Duration::from_secs(3);

/// What a lost connection counts against.
#[derive(Clone, Debug)]
struct Abort {
    endpoint: String,
    /// The exact request.
    request: Option<Fingerprint>,
    /// The parts of the prompt.
    crash: Option<Crash>,
}

/// Counts an abort against the exact request.
pub(crate) fn strike<D: 'static, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    endpoint: &Endpoint,
) {
    let abort = Abort {
        endpoint: endpoint.id.clone(),
        request: Some(call.fingerprint),
        crash: None,
    };
    abort.count(host);
}

/// Counts the abort of a run that was sent at `sent_at` and had no event yet against the parts of its prompt.
pub(crate) fn crash<D: 'static, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    endpoint: &Endpoint,
    sent_at: Instant,
) {
    let crash = Crash {
        endpoint: endpoint.id.clone(),
        parts: call.head.parts.clone(),
        age_ms: 0,
        run_ms: now().since(sent_at).as_millis() as u64,
    };
    tracing::info!(
        id = call.head.id,
        endpoint = endpoint.id,
        parts = call.parts(),
        "suspects: connection lost before the first event"
    );
    host.metrics.crashes.inc();
    let abort = Abort {
        endpoint: endpoint.id.clone(),
        request: None,
        crash: Some(crash),
    };
    abort.count(host);
}

impl Abort {
    /// Counts the abort, and takes it back if the links of this host turn out to be lost.
    fn count<D: 'static, S: Store>(self, host: &Rc<Host<D, S>>) {
        if let Some(request) = self.request {
            let mut strikes = host.strikes.borrow_mut();
            strikes.observe(now(), request, &self.endpoint);
        }
        if let Some(crash) = &self.crash {
            host.learn_crash(now(), crash, Source::Unconfirmed);
        }
        let host = Rc::clone(host);
        actix_rt::spawn(async move {
            match find_fault(&host).await {
                Fault::Endpoint if self.request.is_some() && self.lives_on(&host).await => {
                    self.retract(&host, "the endpoint goes on accepting connections");
                }
                Fault::Endpoint => self.confirm(&host),
                Fault::Link => self.retract(&host, "this host had lost its links to the endpoints"),
            }
        });
    }

    fn confirm<D, S>(&self, host: &Host<D, S>) {
        if let Some(request) = self.request {
            let mut strikes = host.strikes.borrow_mut();
            strikes.confirm(request, &self.endpoint);
        }
        if let Some(crash) = &self.crash {
            host.suspects.borrow_mut().confirm(crash);
            host.report_findings();
        }
    }

    /// Whether the endpoint accepts connections after the loss of one.
    async fn lives_on<D, S>(&self, host: &Host<D, S>) -> bool {
        let found = host.directory.borrow().find(&self.endpoint);
        let Some((_, endpoint)) = found.filter(|(_, endpoint)| host.is_open(endpoint)) else {
            return false;
        };
        let endpoint = endpoint.destination();
        host.pool.lives(endpoint, CONNECT_TIMEOUT).await
    }

    fn retract<D, S>(&self, host: &Host<D, S>, reason: &str) {
        tracing::info!(endpoint = self.endpoint, reason, "aborts: not counted");
        if let Some(request) = self.request {
            let mut strikes = host.strikes.borrow_mut();
            strikes.retract(request, &self.endpoint);
        }
        if let Some(crash) = &self.crash {
            host.suspects.borrow_mut().retract(crash);
        }
    }
}

/// Whose fault the loss of a connection was that has just been noticed.
async fn find_fault<D, S>(host: &Host<D, S>) -> Fault {
    let closed_at = now();
    loop {
        if let Some(fault) = host.pool.paths().fault(closed_at) {
            return fault;
        }
        if now().since(closed_at) >= MAX_CHECK_TIME {
            return Fault::Endpoint;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
