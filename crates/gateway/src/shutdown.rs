//! Graceful shutdown: new requests are refused, running ones finish within the operator's deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use actix_web::dev::ServerHandle;
use berylknot_coordination::clock;
use berylknot_coordination::drain::{Action, Event, Plan, Progress};
use tokio::signal::unix::{SignalKind, signal};

use crate::state::Shared;

pub(crate) mod count;

/// Time between two looks at the running requests.
const INTERVAL: Duration = Duration::from_millis(50);

/// Time that settled requests and their connections have to close when the deadline is over.
const CLOSE_TIME: Duration = Duration::from_secs(2);

/// Requests that were accepted and whose answers are not yet written.
#[derive(Clone, Debug, Default)]
pub(crate) struct Open(Arc<AtomicU64>);

impl Open {
    /// Number of open requests.
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Waits for a signal and ends the server for callers; returns when the process may exit.
pub(crate) async fn run(shared: Shared, server: ServerHandle) {
    terminated().await;
    let started = Instant::now();
    shared.draining.store(true, Ordering::Relaxed);
    let limit = Duration::from_secs(shared.options.limits.drain_s);
    let now = || {
        let passed = started.elapsed().as_millis();
        clock::Instant::from_millis(u64::try_from(passed).unwrap_or(u64::MAX))
    };
    let mut running = shared.open.count();
    tracing::info!(running, "shutdown: draining");
    let plan = Plan {
        deadline: now() + limit,
        running,
        ..Plan::default()
    };
    let mut accepting = Some(server);
    let (mut progress, mut actions) = Progress::begin(now(), plan);
    let report = loop {
        if let Some(Action::Exit(report)) = actions.last() {
            break *report;
        }
        // A successor on the same address gets the new connections. Without one, they are
        // accepted and refused, so that callers learn that their requests were not run.
        if accepting.is_some() && has_successor(shared.options.listen.port()) {
            stop(accepting.take());
        }
        actix_rt::time::sleep(INTERVAL).await;
        let left = shared.open.count();
        actions = progress.tick(now());
        for _ in left..running {
            actions.extend(progress.event(now(), Event::Ended));
        }
        running = running.min(left);
    };
    stop(accepting.take());
    // The end of a request is reported to the coordinator after its answer.
    let settled = async {
        while shared.metrics.open_requests.get() > 0 {
            actix_rt::time::sleep(INTERVAL).await;
        }
    };
    let rest = limit.saturating_sub(started.elapsed()).max(CLOSE_TIME);
    if report.cut == 0 && tokio::time::timeout(rest, settled).await.is_err() {
        tracing::warn!("shutdown: ends of requests were not reported to the coordinator");
    }
    let (finished, cut) = (report.finished, report.cut);
    if cut > 0 {
        tracing::warn!(finished, cut, "shutdown: requests were cut by the deadline");
    } else {
        tracing::info!(finished, cut, "shutdown: all requests finished");
    }
}

/// Stops accepting; open connections end after their current request, idle ones at once.
fn stop(server: Option<ServerHandle>) {
    if let Some(server) = server {
        actix_rt::spawn(async move { server.stop(true).await });
    }
}

/// Whether another socket listens on the port, as the kernel lists them. When the list cannot be
/// read, a successor is assumed: it must not lose connections to this process.
fn has_successor(port: u16) -> bool {
    const LISTENING: &str = "0A";
    let lists = ["/proc/net/tcp", "/proc/net/tcp6"].map(std::fs::read_to_string);
    if lists.iter().all(Result::is_err) {
        return true;
    }
    let suffix = format!(":{port:04X}");
    let mut listeners = 0;
    for line in lists.iter().flatten().flat_map(|list| list.lines()) {
        let mut columns = line.split_whitespace().skip(1);
        let local = columns.next().unwrap_or_default();
        let state = columns.nth(1).unwrap_or_default();
        listeners += u32::from(state == LISTENING && local.ends_with(&suffix));
    }
    listeners > 1
}

async fn terminated() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
