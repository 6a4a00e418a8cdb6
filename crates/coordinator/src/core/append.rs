//! Batched appends to the log, direct or relayed by a peer.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use berylknot_coordination::append::{Action, Answer, Limits, Ticket};
use berylknot_coordination::record::{Id, Record};

use super::Core;
use crate::platform::Platform;

/// Interval at which a due batch is sent; also the batching interval.
pub(super) const INTERVAL: Duration = Duration::from_millis(50);

/// Append timeout of a record. Renewals and claims are created afresh every 5 s.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits of the host's appender: the defaults, with [`INTERVAL`] between batches.
pub(super) fn limits() -> Limits {
    Limits {
        interval: INTERVAL,
        ..Limits::default()
    }
}

impl<P: Platform> Core<P> {
    /// Queues a record for the next batch; `None` if the queue is full or the record too large.
    pub(super) fn submit(&mut self, record: Record) -> Option<Ticket> {
        let bytes = rmp_serde::to_vec_named(&record).map_or(usize::MAX, |bytes| bytes.len());
        let deadline = self.clock.now() + RECORD_TIMEOUT;
        match self.appender.submit(record, bytes, deadline) {
            Ok(ticket) => Some(ticket),
            Err(error) => {
                tracing::warn!(%error, "append: record was rejected by the append queue");
                None
            }
        }
    }

    /// Sends the next batch when one is due.
    pub(super) fn append_due(&mut self, context: &mut Context<Self>) {
        let actions = self.appender.poll(self.clock.now());
        self.execute(actions, context);
    }

    /// Executes the appender's actions.
    pub(super) fn execute(&mut self, actions: Vec<Action>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                Action::Append { id, records } => self.send_batch(id, records, context),
                Action::Report { ticket, outcome } => self.record_chunk_outcome(ticket, outcome),
            }
        }
    }

    /// Appends a batch, through a peer if only this host has lost the log.
    fn send_batch(&mut self, id: Id, records: Vec<Record>, context: &mut Context<Self>) {
        self.metrics.log_appends.inc();
        let platform = self.platform.clone();
        let relay = self.relay();
        let peers = self.peers.clone();
        let append = async move {
            match relay {
                Some(address) => peers.relay(address, records).await,
                None => platform
                    .append(&records)
                    .await
                    .map(drop)
                    .map_err(|error| error.to_string()),
            }
        };
        let append = append.into_actor(self).map(move |appended, core, context| {
            let answer = match appended {
                Ok(()) => Answer::Appended,
                Err(error) => {
                    core.metrics.log_append_failures.inc();
                    tracing::warn!(
                        %error,
                        "append: batch was not confirmed; looking for it in the log"
                    );
                    Answer::Lost
                }
            };
            let actions = core.appender.answered(core.clock.now(), id, answer);
            core.execute(actions, context);
        });
        context.spawn(append);
    }
}
