//! Raw entries of the endpoints, for peers that cannot read them from the store.

use std::collections::HashMap;

use bytes::Bytes;

/// Raw entries by the id of their endpoint.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    by_id: HashMap<String, Bytes>,
    /// All entries as MessagePack, until one changes. Hundreds of hosts ask at the same time after they have lost
    /// their state, and an encoding for each of them exceeds the memory of the smallest host.
    encoded: Option<Bytes>,
}

impl Entries {
    /// Records an entry; returns the one before.
    pub(crate) fn insert(&mut self, id: String, value: Bytes) -> Option<Bytes> {
        self.encoded = None;
        self.by_id.insert(id, value)
    }

    /// Keeps the entries of the endpoints that match.
    pub(crate) fn retain(&mut self, matches: impl Fn(&str) -> bool) {
        let before = self.by_id.len();
        self.by_id.retain(|id, _| matches(id));
        if self.by_id.len() != before {
            self.encoded = None;
        }
    }

    /// All entries as MessagePack, a list of pairs; all callers share the bytes.
    ///
    /// # Errors
    /// Fails when they cannot be encoded.
    pub(crate) fn encoded(&mut self) -> Result<Bytes, rmp_serde::encode::Error> {
        if let Some(encoded) = &self.encoded {
            return Ok(encoded.clone());
        }
        let pairs: Vec<(&String, &Bytes)> = self.by_id.iter().collect();
        let encoded = Bytes::from(rmp_serde::to_vec(&pairs)?);
        self.encoded = Some(encoded.clone());
        Ok(encoded)
    }
}
