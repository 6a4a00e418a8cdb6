//! Reading of the log and application of its entries, or of a snapshot where entries have expired.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, ContextFutureSpawner, WrapFuture};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::record::Entry;
use berylknot_coordination::replica::Change;
use berylknot_coordination::snapshot::{Assembler, Backlog, Snapshot};

use super::Core;
use crate::platform::{Platform, Segment};

/// Entries kept for peers in bytes, an eighth of a node's memory for control work.
const RECENT_BYTES: usize = 8 << 20;

/// What the follower of the log remembers beside the replica.
#[derive(Debug)]
pub(super) struct Follower {
    /// Search for a snapshot and the offset from which it goes on.
    search: Option<(Assembler, u64)>,
    /// Last applied entries, for peers.
    pub(super) recent: Backlog,
}

impl Default for Follower {
    fn default() -> Self {
        Self {
            search: None,
            recent: Backlog::new(RECENT_BYTES),
        }
    }
}

impl<P: Platform> Core<P> {
    /// Reads the log after a delay, and again from then on.
    pub(super) fn follow(&self, context: &mut Context<Self>, delay: Duration) {
        context.run_later(delay, |core, context| {
            let platform = core.platform.clone();
            let applied = core.replica.next_offset();
            let from = core
                .follower
                .search
                .as_ref()
                .map_or(applied, |(_, from)| *from);
            let sent = core.clock.now();
            let read = async move { platform.read(from).await };
            read.into_actor(core)
                .map(move |read, core, context| {
                    let more = match read {
                        Ok(segment) => core.take(&segment, sent, context),
                        Err(error) => {
                            core.metrics.log_read_failures.inc();
                            tracing::warn!(%error, "follow: read failed");
                            false
                        }
                    };
                    let delay = if more { Duration::ZERO } else { core.poll };
                    core.follow(context, delay);
                })
                .spawn(context);
        });
    }

    /// Takes a part of the log; true when more is waiting.
    fn take(&mut self, segment: &Segment, sent: Instant, context: &mut Context<Self>) -> bool {
        if self.replica.is_behind(segment.oldest) {
            return self.search(segment, context);
        }
        if self.follower.search.take().is_some() {
            // A peer's snapshot came first; the segment may begin beyond it.
            return true;
        }
        self.last_read = sent;
        for entry in &segment.entries {
            self.apply(entry);
        }
        self.tail_read(sent, segment.next);
        self.publish();
        let more = self.replica.next_offset() < segment.next && !segment.entries.is_empty();
        if !more {
            self.reaping.reached_tail(sent);
        }
        let actions = if more {
            self.appender.observe(self.replica.batches())
        } else {
            self.appender.reached_tail(sent, self.replica.batches())
        };
        self.carry_out(actions, context);
        more
    }

    /// Looks for a snapshot in a part of the log; true when the log must be read on at once.
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
                "follow: entries have expired and there is no snapshot"
            );
            return false;
        };
        self.restore(&found, context)
    }

    /// Replaces the replica's state by a newer snapshot; true when it did.
    pub(super) fn restore(&mut self, found: &Snapshot, context: &mut Context<Self>) -> bool {
        match self.replica.restore(found) {
            Ok(true) => {}
            Ok(false) => return false,
            Err(error) => {
                tracing::error!(%error, "follow: snapshot cannot be restored");
                return false;
            }
        }
        tracing::info!(next_offset = found.next_offset, "follow: snapshot restored");
        self.holder.restored(self.clock.now());
        self.follower.recent.clear();
        let actions = self.appender.observe(self.replica.batches());
        self.carry_out(actions, context);
        true
    }

    /// Applies an entry of the log.
    pub(super) fn apply(&mut self, entry: &Entry) {
        let expected = self.replica.next_offset();
        let changes = self.replica.apply(entry);
        self.observe(&changes);
        if entry.offset == expected {
            let bytes = rmp_serde::to_vec_named(entry).map_or(RECENT_BYTES, |bytes| bytes.len());
            self.follower.recent.push(entry.clone(), bytes);
        }
    }

    fn observe(&mut self, changes: &[Change]) {
        let now = self.clock.now();
        for change in changes {
            match change {
                Change::Lease(change) => {
                    self.holder.observe(now, change);
                    self.renewal_read(now, change);
                    self.note_renewal(now, change);
                }
                Change::Key { id, verdict } => self.claim_changed(*id, verdict),
                Change::Gap { expected, found } => {
                    tracing::error!(expected, found, "follow: entries are missing");
                }
                _ => {}
            }
        }
    }
}
