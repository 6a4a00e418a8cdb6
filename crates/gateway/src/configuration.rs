//! The configuration in force, received from the coordinator by long polling.

use std::sync::Arc;
use std::time::Duration;

use berylknot_settings::Fleet;
use berylknot_wire::local::{Request, Response};
use tokio::sync::watch;

use crate::control::Control;
use crate::metrics::Metrics;

/// Delay before a failed watch is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A validated configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    /// Version; zero before the first configuration arrives.
    pub(crate) version: u64,
    /// Validated settings.
    pub(crate) fleet: Arc<Fleet>,
}

/// Watches the coordinator for newer configurations until the process exits.
pub(crate) async fn follow(
    control: Control,
    published: watch::Sender<Configuration>,
    metrics: Arc<Metrics>,
) {
    loop {
        let after = published.borrow().version;
        match control.send(Request::Watch { after }).await {
            Ok(Response::Configuration(newer)) if newer.version > after => {
                install(&published, newer.version, &newer.document);
                let version = published.borrow().version;
                metrics
                    .configuration_version
                    .set(i64::try_from(version).unwrap_or(i64::MAX));
            }
            Ok(_) => {}
            Err(error) => {
                tracing::warn!(%error, "configuration: watch at the coordinator failed, retrying");
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn install(published: &watch::Sender<Configuration>, version: u64, document: &str) {
    match Fleet::from_json(document) {
        Ok(fleet) => {
            tracing::info!(version, "configuration: in force");
            published.send_replace(Configuration {
                version,
                fleet: Arc::new(fleet),
            });
        }
        Err(error) => tracing::error!(
            %error,
            "configuration: new version is invalid, keeping the one in force"
        ),
    }
}
