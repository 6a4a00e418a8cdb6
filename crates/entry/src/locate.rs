//! Asks engines which parts of prompts they keep.

use std::rc::Rc;
use std::time::Duration;

use crate::directory::{Endpoint, Key, Stage};
use crate::own;
use crate::parts::{CachedPart, MAX_ENGINES, Part};
use crate::platform::{Dialect, Result, Store};
use crate::state::{Host, now};

/// Longest time for a list. It is a part of a round of the question for a place.
const PATIENCE: Duration = Duration::from_millis(100);
/// Largest list in bytes.
const LIST_BYTES: usize = 1_024 * 1_024;

/// The decode engine of a service that keeps a part.
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
    // Requests that come meanwhile wait for the same lists.
    let mut parts = parts.lock().await;
    if parts.is_stale(now()) {
        let engines: Vec<(Key, Endpoint)> = {
            let directory = host.directory.borrow();
            directory
                .ready(service)
                .filter(|(_, endpoint)| endpoint.stage == Some(Stage::Decode))
                .map(|(key, endpoint)| (key, endpoint.clone()))
                .collect()
        };
        if engines.len() > MAX_ENGINES {
            return None;
        }
        let lists = engines.iter().map(|(_, endpoint)| {
            // A dark engine must not hold up the answer to the asker.
            tokio::time::timeout(PATIENCE, list(host, endpoint))
        });
        let lists = futures_util::future::join_all(lists).await;
        let mut known = Vec::new();
        for ((key, endpoint), list) in engines.into_iter().zip(lists) {
            match list {
                Ok(Ok(list)) => known.push((key, list)),
                Ok(Err(error)) => {
                    tracing::info!(endpoint = endpoint.id, %error, "locate: no list");
                }
                Err(error) => {
                    tracing::info!(endpoint = endpoint.id, %error, "locate: no list in time");
                }
            }
        }
        let count: usize = known.iter().map(|(_, list)| list.len()).sum();
        tracing::info!(
            service,
            engines = known.len(),
            parts = count,
            "locate: engines asked"
        );
        parts.replace(now(), known);
    }
    parts.find(part)
}

async fn list<D: Dialect, S>(host: &Host<D, S>, endpoint: &Endpoint) -> Result<Vec<CachedPart>> {
    let max_idle = Duration::MAX;
    let (_, body) = own::send::<D>(
        &host.pool,
        endpoint.address,
        Some(&endpoint.id),
        D::list_parts(),
        PATIENCE,
        max_idle,
        LIST_BYTES,
    )
    .await?;
    D::parts(&body)
}
