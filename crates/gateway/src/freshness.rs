//! Rejects caller keys while the configuration may be stale.
//!
//! A partitioned host cannot learn that a key was withdrawn. The coordinator states how long its
//! configuration is known to be current; after that time requests with a key are refused.

use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use berylknot_wire::local::{Request, Response};
use tokio::sync::watch;

use crate::configuration::Configuration;
use crate::control::Control;
use crate::refusal::Refusal;
use crate::state::Shared;

/// Refusal code while the configuration may be stale.
pub(crate) const CODE: &str = "stale_configuration";

/// Interval of freshness polls. A verdict is valid for up to 10 s, which allows several lost polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a poll, well below the lifetime of a verdict.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the coordinator for freshness until the process exits.
pub(crate) async fn follow(
    control: Control,
    configuration: watch::Receiver<Configuration>,
    fresh_until: watch::Sender<Instant>,
) {
    // Polls faster until the first verdict, since all keys are refused until then.
    const STARTUP_INTERVAL: Duration = Duration::from_millis(100);
    let mut interval = STARTUP_INTERVAL;
    loop {
        let sent = Instant::now();
        let poll = control.send(Request::AskFreshness);
        if let Ok(Ok(Response::Fresh {
            version,
            lifetime_ms,
        })) = actix_rt::time::timeout(POLL_TIMEOUT, poll).await
        {
            // A verdict about a newer configuration than the one in force here does not apply.
            if version > 0 && configuration.borrow().version >= version {
                fresh_until.send_replace(sent + Duration::from_millis(lifetime_ms));
                interval = POLL_INTERVAL;
            }
        }
        actix_rt::time::sleep(interval).await;
    }
}

/// Refusal of a request with a key while the configuration may be stale.
pub(crate) fn refusal(not_run: bool) -> Refusal {
    const RETRY_AFTER_MS: Option<u64> = Some(2_000);
    let message = "this host does not know whether keys are still valid";
    let make = if not_run {
        Refusal::not_run
    } else {
        Refusal::may_have_run
    };
    make(CODE, StatusCode::SERVICE_UNAVAILABLE, message).retry_after_ms(RETRY_AFTER_MS)
}

impl Shared {
    /// Refuses a request with a key while the configuration may be stale.
    pub(crate) fn accepts_keys(&self) -> Result<(), Refusal> {
        if Instant::now() < *self.fresh_until.borrow() {
            return Ok(());
        }
        Err(refusal(true))
    }

    /// Waits until the configuration may be stale.
    pub(crate) async fn wait_until_stale(&self) {
        loop {
            let until = *self.fresh_until.borrow();
            if Instant::now() >= until {
                return;
            }
            actix_rt::time::sleep_until(until.into()).await;
        }
    }
}
