//! Renewal, claim and release of the host's leases.

use std::sync::atomic::Ordering;

use berylknot_coordination::lease::{Shard, Subject};

use super::Core;
use crate::platform::Platform;

impl<P: Platform> Core<P> {
    /// Appends what the lease holder asks for and drops the buckets of lost leases.
    pub(super) fn step_leases(&mut self) {
        if self.published.borrow().version.as_u64() == 0 {
            return;
        }
        let now = self.clock.now();
        let records = self.holder.tick(now, self.replica.leases());
        for record in records {
            self.submit(record);
        }
        let table = self.replica.leases();
        self.quota.drop_lost(table);
        self.quota.make(now, &self.holder, table);
        let held = self.holder.held(now, table);
        self.metrics
            .leases
            .set(i64::try_from(held.len()).unwrap_or(i64::MAX));
        // Without owners of all shards, the requests of some customers would be refused.
        let owned = Shard::all().all(|shard| table.holding(Subject::Shard(shard)).owner.is_some());
        if owned && self.holder.log_lease_usable(now) {
            self.ready.store(true, Ordering::Relaxed);
        }
    }
}
