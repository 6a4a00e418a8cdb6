//! Oracle of replicas that apply the same log.

use std::collections::BTreeMap;

use berylknot_coordination::replica::Replica;

use super::run::Result;

/// Oracle: replicas with the same next offset are equal.
#[derive(Default)]
pub(crate) struct Agreement {
    seen: BTreeMap<u64, Replica>,
}

impl Agreement {
    pub(crate) fn check(&mut self, replica: &Replica) -> Result {
        let first = self
            .seen
            .entry(replica.next_offset())
            .or_insert_with(|| replica.clone());
        if first != replica {
            return Err(format!(
                "replicas disagree before {}",
                replica.next_offset()
            ));
        }
        Ok(())
    }
}
