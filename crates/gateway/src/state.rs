//! State shared by the request handlers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use actix_web::http::StatusCode;
use berylknot_settings::key::Pepper;
use tokio::sync::watch;

use crate::budget::Budgets;
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::control::{Control, Identity};
use crate::engine::http::Http;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::refusal::Refusal;
use crate::streams::Permission;

/// State shared by all threads.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) options: Arc<Options>,
    pub(crate) identity: Identity,
    pub(crate) pepper: Pepper,
    pub(crate) configuration: watch::Receiver<Configuration>,
    /// Time at which the configuration may become stale; caller keys are refused from then on.
    pub(crate) fresh_until: watch::Receiver<Instant>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) permission: Permission,
    pub(crate) draining: Arc<AtomicBool>,
    pub(crate) open: crate::shutdown::Counter,
    pub(crate) budgets: Arc<Budgets>,
    pub(crate) memory: Memory,
}

impl Shared {
    /// Refuses a new request while the gateway drains or is at its limit of open requests.
    pub(crate) fn accepts_requests(&self) -> Result<(), Refusal> {
        const RETRY_AFTER_MS: Option<u64> = Some(1_000);
        let unavailable = |code, message: &str| {
            Refusal::not_run(code, StatusCode::SERVICE_UNAVAILABLE, message)
                .retry_after_ms(RETRY_AFTER_MS)
        };
        if self.draining.load(Ordering::Relaxed) {
            return Err(unavailable("draining", "this host is shutting down"));
        }
        let open = usize::try_from(self.metrics.open_requests.get()).unwrap_or_default();
        if open >= self.options.limits.open_requests {
            return Err(unavailable(
                "too_many_requests",
                "this host has too many open requests",
            ));
        }
        Ok(())
    }
}

/// State of one worker thread; its client of the coordinator cannot be shared between threads.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) shared: Shared,
    pub(crate) control: Control,
    pub(crate) engine: Http,
}
