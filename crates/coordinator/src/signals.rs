//! Termination signals and the wait for the graceful shutdown.

use actix::Addr;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

use crate::core::Core;
use crate::core::shutdown::Begin;
use crate::options::Shutdown;
use crate::platform::Http;

/// Waits for SIGTERM or SIGINT; forever if the handlers cannot be installed.
pub(crate) async fn terminated() {
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

/// Shuts the core down within the time limits of the settings and logs its report.
pub(crate) async fn shut_down(core: &Addr<Core<Http>>, options: Shutdown) {
    let timeout = options.drain() + 2 * options.handover();
    let (done, report) = oneshot::channel();
    core.do_send(Begin { options, done });
    match tokio::time::timeout(timeout, report).await {
        Ok(Ok(report)) => tracing::info!(
            settled = report.finished,
            unsettled = report.cut,
            pools_handed_over = report.pools_handed_over,
            pools_lost = report.pools_lost,
            shards_unconfirmed = report.shards_unconfirmed,
            "shutdown: finished"
        ),
        _ => tracing::error!(
            "shutdown: hand-over did not finish in time; remaining leases stay until they expire"
        ),
    }
}
