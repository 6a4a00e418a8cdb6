//! Whether caller keys may be honoured, by the coordinator's verdict on the age of its knowledge.

use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use berylknot_wire::local::{Request, Response};
use tokio::sync::watch;

use crate::configuration::Configuration;
use crate::control::Control;
use crate::refusal::Refusal;
use crate::state::Shared;

/// Machine-readable reason of refusals.
pub(crate) const CODE: &str = "stale_configuration";

/// Time between two questions. A verdict lasts up to 10 s, so several answers may be lost.
const INTERVAL: Duration = Duration::from_secs(1);

/// Deadline of a question, well below the lifetime of a verdict.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Asks the coordinator for as long as the process runs.
pub(crate) async fn follow(
    control: Control,
    configuration: watch::Receiver<Configuration>,
    fresh_until: watch::Sender<Instant>,
) {
    // Until the first verdict there is nothing to lose by asking often.
    const FIRST_INTERVAL: Duration = Duration::from_millis(100);
    let mut interval = FIRST_INTERVAL;
    loop {
        let sent = Instant::now();
        let asked = control.send(Request::AskFreshness);
        if let Ok(Ok(Response::Fresh {
            version,
            lifetime_ms,
        })) = actix_rt::time::timeout(TIMEOUT, asked).await
        {
            // A verdict on a configuration that has not arrived here says nothing about this one.
            if version > 0 && configuration.borrow().version >= version {
                fresh_until.send_replace(sent + Duration::from_millis(lifetime_ms));
                interval = INTERVAL;
            }
        }
        actix_rt::time::sleep(interval).await;
    }
}

/// Refusal while keys may not be honoured.
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
    /// Refuses a request with a key while keys may not be honoured.
    pub(crate) fn honours_keys(&self) -> Result<(), Refusal> {
        if Instant::now() < *self.fresh_until.borrow() {
            return Ok(());
        }
        Err(refusal(true))
    }

    /// Waits until keys may not be honoured any more.
    pub(crate) async fn stale(&self) {
        loop {
            let until = *self.fresh_until.borrow();
            if Instant::now() >= until {
                return;
            }
            actix_rt::time::sleep_until(until.into()).await;
        }
    }
}
