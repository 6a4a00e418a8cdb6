//! Appends to the log.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use berylknot_coordination::append::{Action, Answer, Limits, Ticket};
use berylknot_coordination::record::{Id, Record};

use super::Core;
use crate::platform::Platform;

/// Time between two looks for a due batch.
pub(super) const INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a record that was not appended is given up. Renewals and claims are made anew
/// every 5 s.
const DEADLINE: Duration = Duration::from_secs(5);

/// Limits of the host's appender.
pub(super) fn limits() -> Limits {
    Limits {
        interval: INTERVAL,
        ..Limits::default()
    }
}

impl<P: Platform> Core<P> {
    /// Queues a record for the next batch; none when it is not taken.
    pub(super) fn submit(&mut self, record: Record) -> Option<Ticket> {
        let bytes = rmp_serde::to_vec_named(&record).map_or(usize::MAX, |bytes| bytes.len());
        let deadline = self.clock.now() + DEADLINE;
        match self.appender.submit(record, bytes, deadline) {
            Ok(ticket) => Some(ticket),
            Err(error) => {
                tracing::warn!(%error, "append: record is not taken");
                None
            }
        }
    }

    /// Sends the next batch when one is due.
    pub(super) fn append_due(&mut self, context: &mut Context<Self>) {
        let actions = self.appender.poll(self.clock.now());
        self.carry_out(actions, context);
    }

    /// Carries out what the appender asks for.
    pub(super) fn carry_out(&mut self, actions: Vec<Action>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                Action::Append { id, records } => self.send_batch(id, records, context),
                Action::Report { ticket, outcome } => self.chunk_reported(ticket, outcome),
            }
        }
    }

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
                    tracing::warn!(%error, "append: answer is lost");
                    Answer::Lost
                }
            };
            let actions = core.appender.answered(core.clock.now(), id, answer);
            core.carry_out(actions, context);
        });
        context.spawn(append);
    }
}
