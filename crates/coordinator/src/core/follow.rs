//! Reads the log and applies its entries to the replica, or a snapshot where entries have expired.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, ContextFutureSpawner, WrapFuture};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::record::Entry;
use berylknot_coordination::replica::Change;
use berylknot_coordination::snapshot::{Assembler, Backlog, Snapshot};

use super::Core;
use crate::platform::{Platform, Segment};

/// Size of the backlog of entries for peers, an eighth of a node's memory for control work.
const BACKLOG_BYTES: usize = 8 << 20;

/// State of the log follower beside the replica.
#[derive(Debug)]
pub(super) struct Follower {
    /// Snapshot search in progress and the offset of its next read.
    search: Option<(Assembler, u64)>,
    /// Last applied entries, for peers that lack them.
    pub(super) backlog: Backlog,
}

impl Default for Follower {
    fn default() -> Self {
        Self {
            search: None,
            backlog: Backlog::new(BACKLOG_BYTES),
        }
    }
}

impl<P: Platform> Core<P> {
    /// Reads the log after a delay, then at every poll interval, or at once while more is
    /// available.
    pub(super) fn follow(&self, context: &mut Context<Self>, delay: Duration) {
        context.run_later(delay, |core, context| {
            let platform = core.platform.clone();
            let applied = core.replica.next_offset();
            let from = core
                .follower
                .search
                .as_ref()
                .map_or(applied, |(_, from)| *from);
            let sent_at = core.clock.now();
            let read = async move { platform.read(from).await };
            read.into_actor(core)
                .map(move |read, core, context| {
                    let more = match read {
                        Ok(segment) => core.apply_segment(&segment, sent_at, context),
                        Err(error) => {
                            core.metrics.log_read_failures.inc();
                            tracing::warn!(%error, "follow: read failed");
                            false
                        }
                    };
                    let delay = if more {
                        Duration::ZERO
                    } else {
                        core.poll_interval
                    };
                    core.follow(context, delay);
                })
                .spawn(context);
        });
    }

    /// Applies a segment that was read at `sent_at`; true if more is available at once.
    fn apply_segment(
        &mut self,
        segment: &Segment,
        sent_at: Instant,
        context: &mut Context<Self>,
    ) -> bool {
        if self.replica.is_behind(segment.oldest) {
            return self.search(segment, context);
        }
        if self.follower.search.take().is_some() {
            // A peer's snapshot ended the search, and the segment may start beyond its end.
            return true;
        }
        self.last_read = sent_at;
        for entry in &segment.entries {
            self.apply(entry);
        }
        self.record_tail(sent_at, segment.next);
        self.publish();
        let more = self.replica.next_offset() < segment.next && !segment.entries.is_empty();
        if !more {
            self.reaper.reached_tail(sent_at);
        }
        let actions = if more {
            self.appender.observe(self.replica.batches())
        } else {
            self.appender.reached_tail(sent_at, self.replica.batches())
        };
        self.execute(actions, context);
        more
    }

    /// Searches a segment for snapshots; true if the log must be read again at once.
    fn search(&mut self, segment: &Segment, context: &mut Context<Self>) -> bool {
        let (mut search, _) = self.follower.search.take().unwrap_or_default();
        for entry in &segment.entries {
            search.read(entry);
        }
        let last = segment.entries.last();
        let from = last.map_or(segment.next, |entry| entry.offset + 1);
        if from < segment.next {
            self.follower.search = Some((search, from));
            return true;
        }
        let Some(found) = search.best(segment.oldest) else {
            let oldest = segment.oldest;
            tracing::error!(
                oldest,
                "follow: entries expired and no snapshot is usable; the replica stays behind"
            );
            return false;
        };
        self.restore(&found, context)
    }

    /// Replaces the replica's state by a snapshot; false if it is not newer or is invalid.
    pub(super) fn restore(&mut self, found: &Snapshot, context: &mut Context<Self>) -> bool {
        match self.replica.restore(found) {
            Ok(true) => {}
            Ok(false) => return false,
            Err(error) => {
                tracing::error!(
                    %error,
                    "follow: snapshot could not be restored; the replica is unchanged"
                );
                return false;
            }
        }
        tracing::info!(next_offset = found.next_offset, "follow: snapshot restored");
        self.holder.restored(self.clock.now());
        self.follower.backlog.clear();
        let actions = self.appender.observe(self.replica.batches());
        self.execute(actions, context);
        true
    }

    /// Applies an entry to the replica and keeps it for peers if it is the next one.
    pub(super) fn apply(&mut self, entry: &Entry) {
        let expected = self.replica.next_offset();
        let changes = self.replica.apply(entry);
        self.observe(&changes);
        if entry.offset == expected {
            let bytes = rmp_serde::to_vec_named(entry).map_or(BACKLOG_BYTES, |bytes| bytes.len());
            self.follower.backlog.push(entry.clone(), bytes);
        }
    }

    /// Notifies the parts of the core of changes in the replica.
    fn observe(&mut self, changes: &[Change]) {
        let now = self.clock.now();
        for change in changes {
            match change {
                Change::Lease(change) => {
                    self.holder.observe(now, change);
                    self.record_renewal(now, change);
                    self.record_member_renewal(now, change);
                }
                Change::Key { id, verdict } => self.observe_verdict(*id, verdict),
                Change::Gap { expected, found } => {
                    tracing::error!(
                        expected,
                        found,
                        "follow: entry does not follow the last applied one; entries are missing"
                    );
                }
                _ => {}
            }
        }
    }
}
