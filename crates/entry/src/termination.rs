//! Progress of the shutdown as requests in flight wait for it.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use crate::shutdown::Shutdown;
use crate::state::now;

/// The shutdown of this process, with a signal for its start.
pub(crate) struct Termination {
    shutdown: Cell<Shutdown>,
    started: Notify,
}

impl Termination {
    /// State of a process that is not stopping; `grace` is the period from SIGTERM to SIGKILL.
    pub(crate) fn new(grace: Duration) -> Self {
        Self {
            shutdown: Cell::new(Shutdown::new(grace)),
            started: Notify::new(),
        }
    }

    pub(crate) fn get(&self) -> Shutdown {
        self.shutdown.get()
    }

    /// Starts the shutdown at the signal.
    pub(crate) fn start(&self) -> Shutdown {
        let mut shutdown = self.shutdown.get();
        shutdown.start(now());
        self.shutdown.set(shutdown);
        self.started.notify_waiters();
        shutdown
    }

    /// Waits until each request has to have its answer, which is never the case before the signal.
    pub(crate) async fn answers_due(&self) {
        loop {
            if let Some(by) = self.get().answer_by() {
                return tokio::time::sleep(by.since(now())).await;
            }
            self.started.notified().await;
        }
    }
}
