//! API keys of customers and their lookup by hash.

use std::collections::{BTreeMap, HashMap};

use super::{CustomerKey, Fleet, check};
use crate::issue::Issue;
use crate::key::Hash;
use crate::place::path_to;
use crate::raw;

/// An API key of a customer; only its hash is stored.
#[derive(Clone, Debug)]
pub struct Key {
    /// Public id of the key.
    pub id: String,
    /// Owner of the key.
    pub customer: CustomerKey,
    /// HMAC of the key under the pepper.
    pub hash: Hash,
    /// Whether the key was withdrawn and is no longer accepted.
    pub withdrawn: bool,
}

/// Index of keys by hash prefix.
///
/// The search branches on bytes of HMAC(pepper, presented key). Without the pepper, a caller can
/// neither compute them nor choose a key that changes only some of them, so the search time reveals
/// nothing that helps to guess a key. Full hashes of candidates are compared in constant time.
#[derive(Clone, Debug, Default)]
pub(super) struct Index(Vec<(u64, usize)>);

impl Index {
    pub(super) fn new(keys: &[Key]) -> Self {
        let prefixes = keys.iter().map(|key| key.hash.prefix());
        let mut entries = prefixes.zip(0..).collect::<Vec<_>>();
        entries.sort_unstable();
        Self(entries)
    }

    /// Finds the position of the key with the given hash in `keys`.
    pub(super) fn find(&self, hash: &Hash, keys: &[Key]) -> Option<usize> {
        let prefix = hash.prefix();
        let start = self.0.partition_point(|(other, _)| *other < prefix);
        let mut found = None;
        for (other, position) in &self.0[start..] {
            if *other != prefix {
                break;
            }
            if keys[*position].hash.matches(hash) {
                found = Some(*position);
            }
        }
        found
    }
}

pub(super) fn check(
    keys: BTreeMap<String, raw::Key>,
    fleet: &Fleet,
    issues: &mut Vec<Issue>,
) -> Vec<Key> {
    let mut checked = Vec::new();
    let mut owners = HashMap::<Hash, String>::new();
    for (id, key) in keys {
        check::name("keys", &id, "", issues);
        let path = path_to!["keys", id.as_str()];
        let customer = fleet.customer_named(&key.customer);
        if customer.is_none() {
            check::dangling(
                path.join("customer"),
                ("customer", "customers"),
                &key.customer,
                fleet.customers.iter().map(|customer| &*customer.name),
                issues,
            );
        }
        let Some(hash) = Hash::from_hex(&key.hash) else {
            // The message omits the value, which may be the secret key pasted by mistake.
            issues.push(
                Issue::new(path.join("hash"), "hash is not 64 hexadecimal digits")
                    .hint("`berylknot key make` prints the hash of a new key"),
            );
            continue;
        };
        if let Some(first) = owners.get(&hash) {
            issues.push(
                Issue::new(
                    path.join("hash"),
                    format!("key {first:?} has the same hash"),
                )
                .hint("a withdrawn key would stay valid under its other id"),
            );
        }
        owners.entry(hash).or_insert_with(|| id.clone());
        let Some(customer) = customer else {
            continue;
        };
        checked.push(Key {
            id,
            customer,
            hash,
            withdrawn: key.withdrawn,
        });
    }
    checked
}
