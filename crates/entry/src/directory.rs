//! Endpoints as the platform's lagging directory lists them.
//!
//! Answers late and reordered entries, restarts under the same id, addresses that are used again,
//! and entries that expired only because the store was away.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use slotmap::SlotMap;

slotmap::new_key_type! {
    /// Key of an endpoint.
    pub struct Key;
}

/// Time after the store's return within which entries that expired during its outage come back
/// (users' bound: about two seconds).
pub const RETURN_TIME: Duration = Duration::from_millis(2_300);
/// Entries of removed endpoints that are remembered against late writes.
const TOMBSTONES: usize = 4_096;

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// Part of a generation that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Reads prompts.
    Prefill,
    /// Makes tokens.
    Decode,
}

/// Entry of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// Stage, for engines.
    pub stage: Option<Stage>,
    /// Unix time of its start in milliseconds; tells restarts under one id apart.
    pub incarnation: u64,
    /// Number of the entry since the start.
    pub sequence: u64,
}

/// What an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters to routing.
    None,
    /// The endpoint is new or has restarted.
    Started(Key),
    /// Its state or stage changed.
    Changed(Key),
    /// It left or is to be taken as gone.
    Removed(Key),
}

#[derive(Clone, Debug)]
struct Slot {
    endpoint: Endpoint,
    /// Time at which an entry that expired in an outage is taken as gone.
    lapses: Option<Instant>,
}

/// All known endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    slots: SlotMap<Key, Slot>,
    by_id: HashMap<String, Key>,
    tombstones: HashMap<String, (u64, u64)>,
    returned: Option<Instant>,
}

impl Directory {
    /// Notes that the store answers again after an outage.
    pub fn store_returned(&mut self, now: Instant) {
        self.returned = Some(now);
    }

    /// Applies a newer or repeated entry.
    pub fn put(&mut self, entry: Endpoint) -> Change {
        let order = (entry.incarnation, entry.sequence);
        if self
            .tombstones
            .get(&entry.id)
            .is_some_and(|gone| order <= *gone)
        {
            return Change::None;
        }
        let Some(key) = self.by_id.get(&entry.id).copied() else {
            self.tombstones.remove(&entry.id);
            let id = entry.id.clone();
            self.drop_older_at(&entry);
            let key = self.slots.insert(Slot {
                endpoint: entry,
                lapses: None,
            });
            self.by_id.insert(id, key);
            return Change::Started(key);
        };
        let slot = &mut self.slots[key];
        let known = &slot.endpoint;
        if order < (known.incarnation, known.sequence) {
            return Change::None;
        }
        slot.lapses = None;
        let restarted = known.incarnation != entry.incarnation || known.address != entry.address;
        let changed = known.state != entry.state || known.stage != entry.stage;
        slot.endpoint = entry;
        if restarted {
            Change::Started(key)
        } else if changed {
            Change::Changed(key)
        } else {
            Change::None
        }
    }

    /// Removes the older entry of an address that is used again.
    fn drop_older_at(&mut self, entry: &Endpoint) {
        let older = self.slots.iter().find(|(_, slot)| {
            slot.endpoint.address == entry.address && slot.endpoint.incarnation < entry.incarnation
        });
        if let Some((key, _)) = older {
            self.bury(key);
        }
    }

    /// Applies the removal of an entry.
    pub fn remove(&mut self, now: Instant, id: &str) -> Change {
        let Some(key) = self.by_id.get(id).copied() else {
            return Change::None;
        };
        if let Some(returned) = self.returned
            && now < returned + RETURN_TIME
        {
            self.slots[key].lapses = Some(returned + RETURN_TIME);
            return Change::None;
        }
        self.bury(key);
        Change::Removed(key)
    }

    /// Removes all entries that a complete listing does not have.
    pub fn retain(&mut self, now: Instant, listed: impl Fn(&str) -> bool) -> Vec<Change> {
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !listed(id))
            .cloned()
            .collect();
        missing.iter().map(|id| self.remove(now, id)).collect()
    }

    /// Buries entries that did not come back after an outage.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let lapsed: Vec<Key> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.lapses.is_some_and(|at| at <= now))
            .map(|(key, _)| key)
            .collect();
        for key in &lapsed {
            self.bury(*key);
        }
        lapsed.into_iter().map(Change::Removed).collect()
    }

    fn bury(&mut self, key: Key) {
        let Some(slot) = self.slots.remove(key) else {
            return;
        };
        if self.tombstones.len() >= TOMBSTONES {
            self.tombstones.clear();
        }
        let endpoint = slot.endpoint;
        self.by_id.remove(&endpoint.id);
        self.tombstones
            .insert(endpoint.id, (endpoint.incarnation, endpoint.sequence));
    }

    /// Entry of a key.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.slots.get(key).map(|slot| &slot.endpoint)
    }

    /// Key of an id.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// Key and entry of an id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<(Key, Endpoint)> {
        let key = self.key(id)?;
        Some((key, self.get(key)?.clone()))
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.slots.iter().map(|(key, slot)| (key, &slot.endpoint))
    }

    /// Endpoints of a service that take new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Key, &'a Endpoint)> {
        self.iter().filter(move |(_, endpoint)| {
            endpoint.service == service && endpoint.state == State::Ready
        })
    }
}
