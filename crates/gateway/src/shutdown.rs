//! Graceful shutdown: refuses new requests and drains running ones up to a configured deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use actix_web::dev::ServerHandle;
use berylknot_coordination::clock;
use berylknot_coordination::drain::{Action, Event, Plan, Progress};
use tokio::signal::unix::{SignalKind, signal};

use crate::state::Shared;

pub(crate) mod count;

/// Poll interval for the number of open requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time for settlements to be reported, even if the drain deadline has passed.
const MIN_SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of accepted requests whose responses are not completely written yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counter(Arc<AtomicU64>);

impl Counter {
    /// Number of open requests.
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Waits for a termination signal and drains the server for callers; returns when the process may
/// exit.
pub(crate) async fn run(shared: Shared, server: ServerHandle) {
    wait_for_signal().await;
    let started = Instant::now();
    shared.draining.store(true, Ordering::Relaxed);
    let limit = Duration::from_secs(shared.options.limits.drain_s);
    let now = || {
        let elapsed_ms = started.elapsed().as_millis();
        clock::Instant::from_millis(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
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
        // Closes the listener once a successor process listens on the same port. Without one,
        // requests are accepted and refused, so that callers learn that they were not run.
        if accepting.is_some() && has_successor(shared.options.listen.port()) {
            stop(accepting.take());
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let left = shared.open.count();
        actions = progress.tick(now());
        for _ in left..running {
            actions.extend(progress.event(now(), Event::Ended));
        }
        running = running.min(left);
    };
    stop(accepting.take());
    // Requests are settled with the coordinator only after their responses.
    let settled = async {
        while shared.metrics.open_requests.get() > 0 {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    };
    let settle_timeout = limit
        .saturating_sub(started.elapsed())
        .max(MIN_SETTLE_TIMEOUT);
    if report.cut == 0 && tokio::time::timeout(settle_timeout, settled).await.is_err() {
        tracing::warn!(
            "shutdown: settlements of some requests were not reported to the coordinator"
        );
    }
    let (finished, cut) = (report.finished, report.cut);
    if cut > 0 {
        tracing::warn!(
            finished,
            cut,
            "shutdown: drain deadline passed, open requests were cut"
        );
    } else {
        tracing::info!(finished, cut, "shutdown: all requests finished");
    }
}

/// Stops accepting connections; busy ones close after their current request, idle ones at once.
fn stop(server: Option<ServerHandle>) {
    if let Some(server) = server {
        actix_rt::spawn(async move { server.stop(true).await });
    }
}

/// Whether another socket listens on the port, according to `/proc/net/tcp` and `tcp6`. If neither
/// can be read, a successor is assumed, since it must not lose connections to this process.
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

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() {
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
