//! Finds the engine whose prefix cache holds a part of a prompt.

use std::rc::Rc;
use std::time::Duration;

use crate::directory::{Endpoint, Key, Stage};
use crate::http;
use crate::own::{self, Terms};
use crate::parts::{CachedPart, MAX_ENGINES, Part};
use crate::platform::{Dialect, Result, Store};
use crate::state::{Host, now};

/// Timeout of a list request: a fraction of the admission round that waits for it.
const LIST_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum size of a list in bytes.
const MAX_LIST_BYTES: usize = 1_024 * 1_024;

/// The decode engine of a service that caches most of a part; `None` if the service has too many
/// engines to query.
pub(crate) async fn find_engine<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    service: &str,
    part: Part,
) -> Option<Key> {
    let parts = Rc::clone(
        host.parts
            .borrow_mut()
            .entry(service.to_owned())
            .or_default(),
    );
    // Concurrent requests wait for the same lists.
    let mut parts = parts.lock().await;
    if parts.is_stale(now()) {
        let engines: Vec<(Key, Endpoint)> = {
            let directory = host.directory.borrow();
            let limits = host.limits.borrow();
            directory
                .ready(service)
                .filter(|(_, endpoint)| endpoint.stage == Some(Stage::Decode))
                .filter(|(_, endpoint)| limits.rate(&endpoint.id).is_none())
                .filter(|(key, endpoint)| host.admits(*key) && host.is_open(endpoint))
                .map(|(key, endpoint)| (key, endpoint.clone()))
                .collect()
        };
        if engines.len() > MAX_ENGINES {
            return None;
        }
        let lists = engines.iter().map(|(_, endpoint)| async {
            // An unresponsive engine must not delay the admission decision.
            let list = tokio::time::timeout(LIST_TIMEOUT, list(host, endpoint)).await;
            list.unwrap_or_else(|_| Err(http::Error::TimedOut.into()))
        });
        let lists = futures_util::future::join_all(lists).await;
        let mut known = Vec::new();
        for ((key, endpoint), list) in engines.into_iter().zip(lists) {
            match list {
                Ok(list) => known.push((key, list)),
                Err(error) => {
                    tracing::info!(endpoint = endpoint.id, %error, "locate: engine returned no list of cached prompt parts; skipped");
                }
            }
        }
        let count: usize = known.iter().map(|(_, list)| list.len()).sum();
        tracing::info!(
            service,
            engines = known.len(),
            parts = count,
            "locate: lists of cached prompt parts refreshed"
        );
        parts.replace(now(), known);
    }
    parts.find(part)
}

async fn list<D: Dialect, S>(host: &Host<D, S>, endpoint: &Endpoint) -> Result<Vec<CachedPart>> {
    let terms = Terms {
        step_timeout: LIST_TIMEOUT,
        max_idle: Duration::MAX,
        max_body_bytes: MAX_LIST_BYTES,
        directly: false,
    };
    let destination = endpoint.destination();
    let (_, body) = own::send::<D>(&host.pool, destination, D::list_parts(), terms).await?;
    D::parts(&body)
}
