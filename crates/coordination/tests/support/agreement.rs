//! Oracle for replicas that apply the same log.

use std::collections::BTreeMap;

use berylknot_coordination::replica::Replica;

use super::run::Result;

/// Oracle: replicas with the same next offset are equal, including one restored from a snapshot.
#[derive(Default)]
pub(crate) struct Agreement {
    seen: BTreeMap<u64, Replica>,
}

impl Agreement {
    pub(crate) fn check(&mut self, replica: &Replica) -> Result {
        let offset = replica.next_offset();
        if let Some(first) = self.seen.get(&offset) {
            let equal = first == replica;
            return equal
                .then_some(())
                .ok_or_else(|| format!("replicas with the next offset {offset} disagree"));
        }
        let mut restored = Replica::default();
        let snapshot = replica.snapshot().map_err(|error| error.to_string())?;
        restored
            .restore(&snapshot)
            .map_err(|error| error.to_string())?;
        self.seen.insert(offset, replica.clone());
        if offset > restored.next_offset() || offset > 1 && restored != *replica {
            return Err(format!(
                "a replica restored from a snapshot differs at the next offset {offset}"
            ));
        }
        Ok(())
    }
}
