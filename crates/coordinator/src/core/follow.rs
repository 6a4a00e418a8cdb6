//! Reading of the log and application of its entries.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, ContextFutureSpawner, WrapFuture};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::replica::Change;

use super::Core;
use crate::platform::{Platform, Segment};

impl<P: Platform> Core<P> {
    /// Reads the log after a delay, and again from then on.
    pub(super) fn follow(&self, context: &mut Context<Self>, delay: Duration) {
        context.run_later(delay, |core, context| {
            let platform = core.platform.clone();
            let from = core.replica.next_offset();
            let sent = core.clock.now();
            let read = async move { platform.read(from).await };
            read.into_actor(core)
                .map(move |read, core, context| {
                    let more = match read {
                        Ok(segment) => core.apply(&segment, sent, context),
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

    /// Applies a part of the log; true when more is waiting.
    fn apply(&mut self, segment: &Segment, sent: Instant, context: &mut Context<Self>) -> bool {
        self.last_read = sent;
        for entry in &segment.entries {
            let changes = self.replica.apply(entry);
            self.observe(&changes);
        }
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

    fn observe(&mut self, changes: &[Change]) {
        let now = self.clock.now();
        for change in changes {
            match change {
                Change::Lease(change) => {
                    self.holder.observe(now, change);
                    self.renewal_read(now, change);
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
