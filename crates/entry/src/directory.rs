//! Endpoint directory, replicated from the platform's store with a lag.
//!
//! Handles late and reordered entries, restarts under the same id, reused addresses, and entries that
//! expired only because of a store outage.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::http::Destination;

slotmap::new_key_type! {
    /// Local key of an endpoint; it survives restarts under the same id.
    pub struct Key;
}

/// Grace period after a store outage in which expired entries may be written again (required: about
/// two seconds).
pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_300);
/// Largest number of tombstones, which protect against late writes of removed endpoints.
const MAX_TOMBSTONES: usize = 4_096;

/// Lifecycle state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and shuts down.
    Draining,
}

/// Stage of a generation that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// Processes the prompt.
    Prefill,
    /// Produces output tokens.
    Decode,
}

/// Directory entry of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id, stable across restarts.
    pub id: String,
    /// Name of the service it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Name of the data centre.
    pub data_centre: String,
    /// Concurrent requests.
    pub slots: u32,
    /// Lifecycle state.
    pub state: State,
    /// Stage of an engine; `None` for plain services.
    pub stage: Option<Stage>,
    /// Version of its software, not of the weights of its models; empty if it states none.
    pub version: String,
    /// Unix time of the start in milliseconds; distinguishes restarts under one id.
    pub incarnation: u64,
    /// Version of the entry within the incarnation.
    pub sequence: u64,
    /// Time for which it stays cold from the writing of the entry; `None` if the entry does not say.
    pub cold: Option<Duration>,
}

impl Endpoint {
    /// Where requests to the endpoint go.
    pub(crate) fn destination(&self) -> Destination<'_> {
        Destination {
            address: self.address,
            id: &self.id,
        }
    }
}

/// Effect of an entry or a removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No effect on routing.
    None,
    /// The endpoint is new or has restarted.
    Started(Key),
    /// The state or stage of the endpoint changed.
    Changed(Key),
    /// The endpoint was removed.
    Removed(Key),
}

#[derive(Clone, Debug)]
struct Record {
    endpoint: Endpoint,
    /// End of the grace period of an entry that expired during a store outage.
    expires_at: Option<Instant>,
}

/// All known endpoints and the tombstones of removed ones.
#[derive(Debug, Default)]
pub struct Directory {
    records: SlotMap<Key, Record>,
    by_id: HashMap<String, Key>,
    tombstones: HashMap<String, (u64, u64)>,
    store_returned_at: Option<Instant>,
}

impl Directory {
    /// Records that the store answers again after an outage.
    pub fn store_returned(&mut self, now: Instant) {
        self.store_returned_at = Some(now);
    }

    /// Applies an entry; older ones than the known entry or tombstone are ignored.
    pub fn put(&mut self, entry: Endpoint) -> Change {
        let version = (entry.incarnation, entry.sequence);
        if self
            .tombstones
            .get(&entry.id)
            .is_some_and(|tombstone| version <= *tombstone)
        {
            return Change::None;
        }
        let Some(key) = self.by_id.get(&entry.id).copied() else {
            self.tombstones.remove(&entry.id);
            let id = entry.id.clone();
            self.remove_older_at(&entry);
            let key = self.records.insert(Record {
                endpoint: entry,
                expires_at: None,
            });
            self.by_id.insert(id, key);
            return Change::Started(key);
        };
        let record = &mut self.records[key];
        let known = &record.endpoint;
        if version < (known.incarnation, known.sequence) {
            return Change::None;
        }
        record.expires_at = None;
        let restarted = known.incarnation != entry.incarnation || known.address != entry.address;
        let changed = known.state != entry.state || known.stage != entry.stage;
        record.endpoint = entry;
        if restarted {
            Change::Started(key)
        } else if changed {
            Change::Changed(key)
        } else {
            Change::None
        }
    }

    /// Removes the older entry of a reused address.
    fn remove_older_at(&mut self, entry: &Endpoint) {
        let older = self.records.iter().find(|(_, record)| {
            record.endpoint.address == entry.address
                && record.endpoint.incarnation < entry.incarnation
        });
        if let Some((key, _)) = older {
            self.tombstone(key);
        }
    }

    /// Applies the removal of an entry; deferred within the grace period after a store outage.
    pub fn remove(&mut self, now: Instant, id: &str) -> Change {
        let Some(key) = self.by_id.get(id).copied() else {
            return Change::None;
        };
        if let Some(store_returned_at) = self.store_returned_at
            && now < store_returned_at + RECOVERY_GRACE
        {
            self.records[key].expires_at = Some(store_returned_at + RECOVERY_GRACE);
            return Change::None;
        }
        self.tombstone(key);
        Change::Removed(key)
    }

    /// Removes all entries that are missing from a complete listing.
    pub fn retain(&mut self, now: Instant, listed: impl Fn(&str) -> bool) -> Vec<Change> {
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !listed(id))
            .cloned()
            .collect();
        missing.iter().map(|id| self.remove(now, id)).collect()
    }

    /// Removes entries that were not written again within the grace period.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let expired: Vec<Key> = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at.is_some_and(|at| at <= now))
            .map(|(key, _)| key)
            .collect();
        for key in &expired {
            self.tombstone(*key);
        }
        expired.into_iter().map(Change::Removed).collect()
    }

    fn tombstone(&mut self, key: Key) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones.clear();
        }
        let endpoint = record.endpoint;
        self.by_id.remove(&endpoint.id);
        self.tombstones
            .insert(endpoint.id, (endpoint.incarnation, endpoint.sequence));
    }

    /// Whether the removal of an entry is deferred.
    #[must_use]
    pub fn is_expiring(&self, id: &str) -> bool {
        let record = self.by_id.get(id).and_then(|key| self.records.get(*key));
        record.is_some_and(|record| record.expires_at.is_some())
    }

    /// Digest of the entries, to compare the directories of two hosts. Sequence numbers do not count.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.records.values().fold(0, |digest, record| {
            let endpoint = &record.endpoint;
            let mut hasher = DefaultHasher::new();
            (&endpoint.id, endpoint.incarnation, endpoint.address).hash(&mut hasher);
            (endpoint.state == State::Ready, endpoint.stage).hash(&mut hasher);
            digest ^ hasher.finish()
        })
    }

    /// Entry of an endpoint by key.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.records.get(key).map(|record| &record.endpoint)
    }

    /// Key of an endpoint by id.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// Key and entry of an endpoint by id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<(Key, Endpoint)> {
        let key = self.key(id)?;
        Some((key, self.get(key)?.clone()))
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.records
            .iter()
            .map(|(key, record)| (key, &record.endpoint))
    }

    /// Endpoints of a service that accept new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Key, &'a Endpoint)> {
        self.iter().filter(move |(_, endpoint)| {
            endpoint.service == service && endpoint.state == State::Ready
        })
    }
}
