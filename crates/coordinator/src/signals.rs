//! End of the process: signals, and the wait for the hand-over.

use actix::Addr;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

use crate::core::Core;
use crate::core::shutdown::Leave;
use crate::options::Shutdown;
use crate::platform::Http;

/// Waits for SIGTERM or SIGINT.
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

/// Hands everything over, within the bounds of the settings, and logs what was reached.
pub(crate) async fn leave(core: &Addr<Core<Http>>, options: Shutdown) {
    let bound = options.drain() + 2 * options.handover();
    let (done, report) = oneshot::channel();
    core.do_send(Leave { options, done });
    match tokio::time::timeout(bound, report).await {
        Ok(Ok(report)) => tracing::info!(
            settled = report.finished,
            unsettled = report.cut,
            pools_handed_over = report.pools_handed_over,
            pools_lost = report.pools_lost,
            shards_unconfirmed = report.shards_unconfirmed,
            "shutdown: finished"
        ),
        _ => tracing::error!("shutdown: hand-over did not end in time"),
    }
}
