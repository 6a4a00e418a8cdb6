//! Renewal, claim and release of the host's leases.

use std::sync::atomic::Ordering;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::lease::{Shard, Subject};

use super::Core;
use crate::platform::Platform;

/// Time from the start of all leases until the buckets hold tokens: they start empty and are filled
/// from one grant lifetime after their lease on.
const FILL_TIME: Duration = Duration::from_millis(1_000);

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
        self.check_ready(now);
    }

    /// Marks the host as ready once the requests of all customers can get tokens.
    fn check_ready(&mut self, now: Instant) {
        if !self.caught_up() {
            return;
        }
        if self.lacks_log(now) {
            // Leases cannot be had; services without quota can be served.
            self.ready.store(true, Ordering::Relaxed);
            return;
        }
        let table = self.replica.leases();
        let owned = Shard::all().all(|shard| table.holding(Subject::Shard(shard)).owner.is_some());
        if self.is_leaving() || !owned || !self.holder.log_lease_usable(now) {
            self.owned_since = None;
            return;
        }
        let since = *self.owned_since.get_or_insert(now);
        if now.since(since) >= FILL_TIME {
            self.ready.store(true, Ordering::Relaxed);
        }
    }
}
