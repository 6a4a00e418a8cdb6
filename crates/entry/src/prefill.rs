//! Prefill requests, and the KV caches that prefill engines hold for decode engines.

use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::admission::engine;
use crate::call::CONNECT_TIMEOUT;
use crate::directory::Key;
use crate::health::Suspicion;
use crate::http::{Destination, Error, Timeouts};
use crate::ledger::Run;
use crate::own::{self, Terms};
use crate::platform::{Cache, Dialect, Outbound, Store, Tokens};
use crate::request::{Call, Classification};
use crate::state::{Host, NO_GRANT, Reservation, now};

/// Timeout of a prefill request, including its wait in the engine's queue.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Margin before the expiry of a handle within which it is no longer used.
const HANDLE_MARGIN: Duration = Duration::from_millis(60);
/// Maximum size of the answer to a prefill, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// Handle of a KV cache at a prefill engine. Dropping it releases the cache unless it was consumed.
pub(crate) struct KvHandle<D: Dialect, S: Store> {
    host: Rc<Host<D, S>>,
    pub(crate) cache: Cache,
    /// The engine that holds the cache.
    pub(crate) key: Key,
    engine: String,
    expires_at: Instant,
    /// Whether a decode engine may have consumed the cache already.
    pub(crate) offered: bool,
    consumed: bool,
}

impl<D: Dialect, S: Store> KvHandle<D, S> {
    pub(crate) fn is_usable(&self) -> bool {
        now() + HANDLE_MARGIN < self.expires_at
    }

    /// Records that a decode engine may have consumed the cache.
    pub(crate) fn offered(mut self) -> Self {
        self.offered = true;
        self
    }

    /// Records that a decode engine consumed the cache.
    pub(crate) fn consumed(mut self) {
        self.consumed = true;
    }
}

impl<D: Dialect, S: Store> Drop for KvHandle<D, S> {
    fn drop(&mut self) {
        let is_open = || {
            let directory = self.host.directory.borrow();
            let endpoint = directory.get(self.key);
            endpoint.is_some_and(|endpoint| self.host.is_open(endpoint))
        };
        if self.consumed || now() >= self.expires_at || !is_open() {
            return;
        }
        let release = D::release(&self.cache.handle);
        let (pool, address) = (self.host.pool.clone(), self.cache.address);
        let id = self.engine.clone();
        actix_rt::spawn(async move {
            let terms = Terms {
                step_timeout: CONNECT_TIMEOUT,
                max_idle: Duration::MAX,
                max_body_bytes: MAX_ANSWER_BYTES,
                directly: false,
            };
            let released = own::send::<D>(&pool, Destination { address, id: &id }, release, terms);
            if let Err(error) = released.await {
                // The engine releases the cache when the handle expires.
                tracing::debug!(%error, "prefill: KV handle could not be released; it expires at the engine");
            }
        });
    }
}

/// Prefills the prompt at an engine; `None` after a failure, where decode starts without a KV
/// cache.
pub(crate) async fn run<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    tokens: Tokens,
    engine_id: &str,
) -> Option<KvHandle<D, S>> {
    let kv_retention = engine(host, &call.service)?.kv_retention;
    let (key, endpoint) = host.directory.borrow().find(engine_id)?;
    let is_home = host
        .places
        .borrow()
        .is_home(call.homes(), &endpoint.data_centre);
    if !host.admits(key) || !host.is_open(&endpoint) || !is_home {
        return None;
    }
    let reservation = Reservation::acquire(
        host,
        key,
        Run {
            held: tokens.prompt,
            left: 0,
        },
        NO_GRANT,
    );
    let started = now();
    let outbound = Outbound {
        prefill: true,
        last_event_id: call.head.last_event_id,
        ..call.addressed(&endpoint, started)
    };
    let request = call.outbound::<D>(&outbound).ok()?;
    let head = PREFILL_TIMEOUT.min(call.deadline().since(started));
    let timeouts = Timeouts {
        connect: CONNECT_TIMEOUT,
        head,
        max_idle: Duration::MAX,
    };
    let sent = async {
        let id = Some(call.head.id.as_str());
        let sent = host
            .pool
            .send_to_endpoint(endpoint.destination(), id, request, timeouts);
        let mut exchange = sent.await?;
        let answer = D::answer(exchange.status, &exchange.headers);
        let classification = if answer.id.as_ref() == Some(&call.head.id) {
            exchange.accept(!exchange.status.is_success());
            Classification::Valid
        } else {
            Classification::Mismatched
        };
        let left = head.saturating_sub(now().since(started));
        let body = exchange.read(MAX_ANSWER_BYTES, left).await?;
        Ok::<_, Error>((exchange.status, answer, classification, body))
    };
    let result = sent.await;
    drop(reservation);
    let (status, answer, classification, body) = match result {
        Ok(result) => result,
        Err(error) => {
            host.budgets.borrow_mut().charge(now(), &call.service);
            host.failed(key, Suspicion::from(&error));
            tracing::info!(id = call.head.id, endpoint = endpoint.id, %error, "prefill: no answer from the engine; decoding without its KV cache");
            return None;
        }
    };
    host.note_answer(key, &answer, classification, started);
    if !status.is_success() || classification != Classification::Valid {
        host.budgets.borrow_mut().charge(now(), &call.service);
        host.suspect(key, Suspicion::Faulty);
        tracing::info!(
            id = call.head.id,
            endpoint = endpoint.id,
            status = status.as_u16(),
            "prefill: engine rejected the request; decoding without its KV cache"
        );
        return None;
    }
    let handle = match D::prefill_handle(&body) {
        Ok(handle) => handle,
        Err(error) => {
            tracing::warn!(id = call.head.id, endpoint = endpoint.id, %error, "prefill: malformed answer; decoding without its KV cache");
            return None;
        }
    };
    host.answered(key, 1.0);
    let cache = Cache {
        address: endpoint.address,
        handle,
    };
    Some(KvHandle {
        host: Rc::clone(host),
        cache,
        key,
        engine: endpoint.id,
        expires_at: now() + kv_retention,
        offered: false,
        consumed: false,
    })
}
