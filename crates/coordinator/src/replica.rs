//! Actor that follows the platform's log and publishes the accepted configuration.

use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, ResponseActFuture, Supervised, WrapFuture,
};
use berylknot_coordination::replica::Replica as State;
use berylknot_settings::Fleet;
use tokio::sync::watch;

use crate::log::{Log, Segment};
use crate::state::Configuration;

/// Follows the log.
#[derive(Debug)]
pub(crate) struct Replica<L> {
    log: L,
    poll: Duration,
    state: State,
    published: watch::Sender<Configuration>,
}

impl<L: Log + Clone + Unpin + 'static> Replica<L> {
    /// Makes a replica that reads the log at an interval.
    pub(crate) fn new(log: L, poll: Duration, published: watch::Sender<Configuration>) -> Self {
        Self {
            log,
            poll,
            state: State::default(),
            published,
        }
    }

    fn read(&self) -> ResponseActFuture<Self, bool> {
        let log = self.log.clone();
        let from = self.state.next_offset();
        let read = async move { log.read(from).await };
        Box::pin(read.into_actor(self).map(|read, actor, _| match read {
            Ok(segment) => actor.apply(&segment),
            Err(error) => {
                tracing::warn!(%error, "log: read failed");
                false
            }
        }))
    }

    /// Applies entries; true when more are waiting.
    fn apply(&mut self, segment: &Segment) -> bool {
        for entry in &segment.entries {
            self.state.apply(entry);
        }
        self.publish();
        self.state.next_offset() < segment.next && !segment.entries.is_empty()
    }

    fn publish(&self) {
        let Some(accepted) = self.state.configuration().accepted() else {
            return;
        };
        if accepted.version <= self.published.borrow().version {
            return;
        }
        let fleet = match Fleet::from_json(&accepted.document) {
            Ok(fleet) => Arc::new(fleet),
            Err(error) => {
                tracing::error!(%error, "log: accepted configuration has findings");
                return;
            }
        };
        tracing::info!(
            version = accepted.version.as_u64(),
            "log: configuration accepted"
        );
        self.published.send_replace(Configuration {
            version: accepted.version,
            document: accepted.document.as_str().into(),
            fleet,
        });
    }

    fn schedule(&self, context: &mut Context<Self>, delay: Duration) {
        context.run_later(delay, |actor, context| {
            let read = actor
                .read()
                .map(|more, actor: &mut Self, context: &mut Context<Self>| {
                    let delay = if more { Duration::ZERO } else { actor.poll };
                    actor.schedule(context, delay);
                });
            context.spawn(read);
        });
    }
}

impl<L: Log + Clone + Unpin + 'static> Actor for Replica<L> {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.schedule(context, Duration::ZERO);
    }
}

impl<L: Log + Clone + Unpin + 'static> Supervised for Replica<L> {}
