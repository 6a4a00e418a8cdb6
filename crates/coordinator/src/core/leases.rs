//! Claims, renews and releases the host's leases, and reports the host as ready.

use std::sync::atomic::Ordering;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::lease::{Shard, Subject};

use super::Core;
use crate::platform::Platform;

/// Delay from the start of all leases until the buckets hold tokens: they start empty and refill
/// only from one grant lifetime after the start of their lease.
const BUCKET_FILL_TIME: Duration = Duration::from_millis(1_000);

impl<P: Platform> Core<P> {
    /// Appends the lease holder's records, drops the buckets of lost leases and creates missing
    /// ones.
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
        self.quota.create_missing(now, &self.holder, table);
        let held = self.holder.held(now, table);
        self.metrics
            .leases
            .set(i64::try_from(held.len()).unwrap_or(i64::MAX));
        self.check_ready(now);
    }

    /// Marks the host as ready once all customers' requests can get tokens, or during a log outage.
    fn check_ready(&mut self, now: Instant) {
        if !self.caught_up() {
            return;
        }
        if self.log_unavailable(now) {
            // Leases cannot be claimed, but calls to services without quota can be served.
            self.ready.store(true, Ordering::Relaxed);
            return;
        }
        let table = self.replica.leases();
        let owned = Shard::all().all(|shard| table.holding(Subject::Shard(shard)).owner.is_some());
        if self.is_shutting_down() || !owned || !self.holder.log_lease_usable(now) {
            self.owned_since = None;
            return;
        }
        let since = *self.owned_since.get_or_insert(now);
        if now.since(since) >= BUCKET_FILL_TIME {
            self.ready.store(true, Ordering::Relaxed);
        }
    }
}
