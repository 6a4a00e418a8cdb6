//! Prompts read at prefill engines, and the KV cache that waits there.

use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::admission::engine;
use crate::call::CONNECT;
use crate::directory::Key;
use crate::health::Suspicion;
use crate::http::{Error, Timeouts};
use crate::ledger::Run;
use crate::own;
use crate::platform::{Cache, Dialect, Outbound, Store, Tokens};
use crate::request::Call;
use crate::state::{Host, NO_GRANT, Reservation, now};

/// Longest time for a prefill beyond its backlog.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Margin before a handle expires within which it is not used any more.
const HANDLE_MARGIN: Duration = Duration::from_millis(60);
/// Largest answer of a prefill in bytes.
pub(crate) const ANSWER_BYTES: usize = 64 * 1_024;

/// KV cache at a prefill engine; it is freed there unless it was taken.
pub(crate) struct Kept<D: Dialect, S: Store> {
    host: Rc<Host<D, S>>,
    pub(crate) cache: Cache,
    /// The engine that keeps it.
    pub(crate) key: Key,
    until: Instant,
    /// Whether an engine may have taken it already.
    pub(crate) offered: bool,
    taken: bool,
}

impl<D: Dialect, S: Store> Kept<D, S> {
    pub(crate) fn is_usable(&self) -> bool {
        now() + HANDLE_MARGIN < self.until
    }

    /// Notes that an engine may have taken it.
    pub(crate) fn offered(mut self) -> Self {
        self.offered = true;
        self
    }

    /// Notes that an engine took it.
    pub(crate) fn taken(mut self) {
        self.taken = true;
    }
}

impl<D: Dialect, S: Store> Drop for Kept<D, S> {
    fn drop(&mut self) {
        if self.taken || now() >= self.until {
            return;
        }
        let release = D::release(&self.cache.handle);
        let (pool, address) = (self.host.pool.clone(), self.cache.address);
        actix_rt::spawn(async move {
            let max_idle = Duration::MAX;
            let freed = own::send::<D>(
                &pool,
                address,
                None,
                release,
                CONNECT,
                max_idle,
                ANSWER_BYTES,
            );
            if let Err(error) = freed.await {
                // The handle expires by itself.
                tracing::debug!(%error, "prefill: handle not freed");
            }
        });
    }
}

/// Has the prompt read at a prefill engine.
pub(crate) async fn read<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    call: &Call,
    tokens: Tokens,
    reader: &str,
) -> Option<Kept<D, S>> {
    let hold = engine(host, &call.service)?.kv_retention;
    let (key, endpoint) = host.directory.borrow().find(reader)?;
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
        after_event: call.head.after_event,
        ..call.addressed(&endpoint, started)
    };
    let request = call.outbound::<D>(&outbound).ok()?;
    let head = PATIENCE.min(call.deadline().since(started));
    let patience = Timeouts {
        connect: CONNECT,
        head,
        max_idle: Duration::MAX,
    };
    let sent = async {
        let mut exchange = host.pool.send(endpoint.address, request, patience).await?;
        let body = exchange.read(ANSWER_BYTES, head).await?;
        Ok::<_, Error>((
            exchange.status,
            D::answer(exchange.status, &exchange.headers),
            body,
        ))
    };
    let result = sent.await;
    drop(reservation);
    let (status, answer, body) = match result {
        Ok(result) => result,
        Err(error) => {
            host.budgets.borrow_mut().charge(now(), &call.service);
            host.failed(key, Suspicion::from(&error));
            tracing::info!(id = call.head.id, endpoint = endpoint.id, %error, "prefill: failed");
            return None;
        }
    };
    if answer.misdirected {
        host.health.borrow_mut().misdirected(now(), key);
    }
    if !status.is_success() || answer.id.is_some_and(|id| id != call.head.id) {
        host.budgets.borrow_mut().charge(now(), &call.service);
        host.suspect(key, Suspicion::Faulty);
        tracing::info!(
            id = call.head.id,
            endpoint = endpoint.id,
            status = status.as_u16(),
            "prefill: refused"
        );
        return None;
    }
    let handle = match D::prefill_handle(&body) {
        Ok(handle) => handle,
        Err(error) => {
            tracing::warn!(id = call.head.id, endpoint = endpoint.id, %error, "prefill: malformed answer");
            return None;
        }
    };
    host.answered(key, 1.0);
    let cache = Cache {
        address: endpoint.address,
        handle,
    };
    Some(Kept {
        host: Rc::clone(host),
        cache,
        key,
        until: now() + hold,
        offered: false,
        taken: false,
    })
}
