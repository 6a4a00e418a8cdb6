//! Strikes against requests that crash endpoints: verdicts, log records, words to the peers.

use std::time::Duration;

use actix::{ActorFutureExt, Handler, Message, MessageResult, ResponseActFuture, WrapFuture};
use berylknot_coordination::quarantine::{Announcement, Event, Fingerprint, Kind, Verdict};
use berylknot_coordination::record::Record;
use berylknot_wire::peer;

use super::Core;
use crate::platform::Platform;

/// Pause before a peer that did not acknowledge is told again.
const REPEAT: Duration = Duration::from_millis(100);

/// Asks how a model request may run.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "Verdict")]
pub(crate) struct Judge(pub(crate) Fingerprint);

impl<P: Platform> Handler<Judge> for Core<P> {
    type Result = MessageResult<Judge>;

    fn handle(&mut self, Judge(fingerprint): Judge, _: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        // While the log cannot be read, its clock is assumed to go on; else strikes would last for
        // as long as the outage.
        let unread = u64::try_from(now.since(self.last_read).as_millis()).unwrap_or(u64::MAX);
        let log_ms = self.replica.log_time_ms().saturating_add(unread);
        let replicated = self.replica.strikes();
        let verdict = self
            .strikes
            .verdict(now, log_ms, replicated, Kind::Model, &fingerprint);
        MessageResult(verdict)
    }
}

/// Records an event and tells it to the peers. The answer comes when all of them know it, or
/// after the hold time of the announcement.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Spread(pub(crate) Event);

impl<P: Platform> Handler<Spread> for Core<P> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, Spread(event): Spread, _: &mut Self::Context) -> Self::Result {
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
                    actix_rt::time::sleep(REPEAT).await;
                }
            }
        };
        Box::pin(announce.into_actor(self).map(|(), _, _| ()))
    }
}
