//! The configuration in force at the gateway, pushed by the coordinator.

use std::sync::Arc;
use std::time::Duration;

use berylknot_settings::Fleet;
use berylknot_wire::local::{Request, Response};
use tokio::sync::watch;

use crate::control::Control;
use crate::metrics::Metrics;

/// Pause after a failed watch.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A configuration in checked form.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    /// Version; zero for none.
    pub(crate) version: u64,
    /// Checked settings.
    pub(crate) fleet: Arc<Fleet>,
}

/// Follows the coordinator's configuration for as long as the process runs.
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
                tracing::warn!(%error, "configuration: coordinator does not answer");
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
        Err(error) => tracing::error!(%error, "configuration: document has findings"),
    }
}
