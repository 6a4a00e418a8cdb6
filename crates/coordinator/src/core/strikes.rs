//! Strikes against requests that crash endpoints: quarantine verdicts, and propagation of strikes
//! through the log and directly to the peers.

use std::time::Duration;

use actix::{ActorFutureExt, Handler, Message, MessageResult, ResponseActFuture, WrapFuture};
use berylknot_coordination::quarantine::{Announcement, Event, Fingerprint, Kind, Verdict};
use berylknot_coordination::record::Record;
use berylknot_wire::peer;

use super::Core;
use crate::platform::Platform;

/// Delay before an announcement is resent to the peers that did not acknowledge it.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// Asks for the quarantine verdict on a model request.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "Verdict")]
pub(crate) struct AskVerdict(pub(crate) Fingerprint);

impl<P: Platform> Handler<AskVerdict> for Core<P> {
    type Result = MessageResult<AskVerdict>;

    fn handle(
        &mut self,
        AskVerdict(fingerprint): AskVerdict,
        _: &mut Self::Context,
    ) -> Self::Result {
        let now = self.clock.now();
        // The log's clock is extrapolated from the last read, so that strikes expire during a log
        // outage too.
        let since_read_ms =
            u64::try_from(now.since(self.last_read).as_millis()).unwrap_or(u64::MAX);
        let log_ms = self.replica.log_time_ms().saturating_add(since_read_ms);
        let replicated = self.replica.strikes();
        let verdict = self
            .strikes
            .verdict(now, log_ms, replicated, Kind::Model, &fingerprint);
        MessageResult(verdict)
    }
}

/// Records an event and announces it to the peers. Completes when all have acknowledged it, or
/// after the hold time of the announcement.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Announce(pub(crate) Event);

impl<P: Platform> Handler<Announce> for Core<P> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, Announce(event): Announce, _: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        self.strikes.apply(now, &event);
        self.submit(Record::Strike(event.clone()));
        let own = &self.identity.host;
        let others = self.addresses.iter().filter(|(host, _)| *host != own);
        let others = others.map(|(_, address)| *address);
        let mut announcement = Announcement::new(now, event, others);
        let (peers, clock) = (self.peers.clone(), self.clock);
        let announce = async move {
            while !announcement.is_done(clock.now()) {
                let missing: Vec<_> = announcement.unacknowledged().copied().collect();
                let sent = missing.into_iter().map(|address| {
                    let request = peer::Request::Strike(announcement.event().clone());
                    let peers = &peers;
                    async move { (address, peers.send(address, request).await) }
                });
                for (address, answer) in futures_util::future::join_all(sent).await {
                    if answer.is_ok() {
                        announcement.acknowledged(&address);
                    }
                }
                if !announcement.is_done(clock.now()) {
                    actix_rt::time::sleep(RESEND_DELAY).await;
                }
            }
        };
        Box::pin(announce.into_actor(self).map(|(), _, _| ()))
    }
}
