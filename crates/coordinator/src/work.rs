//! Tracks the admitted and unsettled work of the host's gateways, which a graceful shutdown waits
//! for.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use berylknot_coordination::record::Id;

/// Silence after which a gateway counts as gone; a live one watches the configuration every 5 s.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of tracked items per gateway, which has at most 10,000 open requests by default.
const MAX_ITEMS: usize = 65_536;

/// Unit of work whose end the gateway reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Item {
    /// A model request.
    Request(String),
    /// A call under a claimed idempotency key.
    Key(Id),
}

#[derive(Debug)]
struct Gateway {
    last_contact: Instant,
    items: HashSet<Item>,
}

/// Unsettled work by the incarnation of its gateway.
#[derive(Debug, Default)]
pub(crate) struct Work(Mutex<HashMap<u64, Gateway>>);

impl Work {
    fn gateways(&self) -> MutexGuard<'_, HashMap<u64, Gateway>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records contact with a gateway and drops the gateways that are gone.
    pub(crate) fn record_contact(&self, incarnation: u64) {
        let now = Instant::now();
        let mut gateways = self.gateways();
        gateways.retain(|_, gateway| now.duration_since(gateway.last_contact) < GATEWAY_TIMEOUT);
        let gateway = gateways.entry(incarnation).or_insert_with(|| Gateway {
            last_contact: now,
            items: HashSet::new(),
        });
        gateway.last_contact = now;
    }

    /// Adds an admitted item; ignored beyond [`MAX_ITEMS`].
    pub(crate) fn begin(&self, incarnation: u64, item: Item) {
        if let Some(gateway) = self.gateways().get_mut(&incarnation)
            && gateway.items.len() < MAX_ITEMS
        {
            gateway.items.insert(item);
        }
    }

    /// Removes a settled item.
    pub(crate) fn end(&self, incarnation: u64, item: &Item) {
        if let Some(gateway) = self.gateways().get_mut(&incarnation) {
            gateway.items.remove(item);
        }
    }

    /// Number of unsettled items of the gateways that are not gone.
    pub(crate) fn open(&self) -> u64 {
        let now = Instant::now();
        let mut open = 0;
        for gateway in self.gateways().values() {
            if now.duration_since(gateway.last_contact) < GATEWAY_TIMEOUT {
                open += gateway.items.len() as u64;
            }
        }
        open
    }
}
