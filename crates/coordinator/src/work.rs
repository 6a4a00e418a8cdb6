//! Work of the host's gateways that is admitted and not yet settled.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use berylknot_coordination::record::Id;

/// Silence after which a gateway is gone; a live one watches the configuration every 5 s.
const SILENCE: Duration = Duration::from_secs(15);

/// Items per gateway that are counted; a gateway has at most 10,000 open requests by default.
const LIMIT: usize = 65_536;

/// Something that a gateway reports the end of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Item {
    /// A model request.
    Request(String),
    /// A call under a claimed idempotency key.
    Key(Id),
}

#[derive(Debug)]
struct Gateway {
    heard: Instant,
    items: HashSet<Item>,
}

/// Admitted and unsettled work by the incarnation of the gateway.
#[derive(Debug, Default)]
pub(crate) struct Work(Mutex<HashMap<u64, Gateway>>);

impl Work {
    fn gateways(&self) -> MutexGuard<'_, HashMap<u64, Gateway>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a message of a gateway and forgets the gateways that are gone.
    pub(crate) fn heard(&self, incarnation: u64) {
        let now = Instant::now();
        let mut gateways = self.gateways();
        gateways.retain(|_, gateway| now.duration_since(gateway.heard) < SILENCE);
        let gateway = gateways.entry(incarnation).or_insert_with(|| Gateway {
            heard: now,
            items: HashSet::new(),
        });
        gateway.heard = now;
    }

    /// Notes admitted work.
    pub(crate) fn begin(&self, incarnation: u64, item: Item) {
        if let Some(gateway) = self.gateways().get_mut(&incarnation)
            && gateway.items.len() < LIMIT
        {
            gateway.items.insert(item);
        }
    }

    /// Notes the end of admitted work.
    pub(crate) fn end(&self, incarnation: u64, item: &Item) {
        if let Some(gateway) = self.gateways().get_mut(&incarnation) {
            gateway.items.remove(item);
        }
    }

    /// Items that are not settled, of gateways that are not gone.
    pub(crate) fn open(&self) -> u64 {
        let now = Instant::now();
        let mut open = 0;
        for gateway in self.gateways().values() {
            if now.duration_since(gateway.heard) < SILENCE {
                open += gateway.items.len() as u64;
            }
        }
        open
    }
}
