//! A coordinator's failure detector for the gateways of its host.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::reap::{Limits, MAX_ENDED, Report};
use crate::record::Incarnation;

/// Maximum number of live gateways on a host; an upgrade needs two.
const MAX_LIVE: usize = 4;

/// Gateways of one host, each of which sends its coordinator a `Streams` message once a second.
#[derive(Clone, Debug)]
pub struct Gateways {
    limits: Limits,
    started: Instant,
    /// Time of the latest message of each live gateway.
    live: BTreeMap<Incarnation, Instant>,
    ended: Vec<Incarnation>,
    coordinator: Incarnation,
    complete_below: Incarnation,
}

impl Gateways {
    /// Creates the detector at the start of the coordinator's process with incarnation
    /// `coordinator`.
    #[must_use]
    pub const fn new(now: Instant, coordinator: Incarnation, limits: Limits) -> Self {
        Self {
            limits,
            started: now,
            live: BTreeMap::new(),
            ended: Vec::new(),
            coordinator,
            complete_below: Incarnation(0),
        }
    }

    /// Records a gateway's `Streams` message. False refuses the gateway, which must then end its
    /// streams and take a new incarnation; only an accepted message may be acknowledged.
    ///
    /// A gateway is refused if a report has declared it ended, or if `MAX_LIVE` others are live.
    pub fn heartbeat(&mut self, now: Instant, gateway: Incarnation) -> bool {
        self.tick(now);
        if let Some(last_message) = self.live.get_mut(&gateway) {
            *last_message = now;
            return true;
        }
        let declared_ended = self.ended.contains(&gateway) || gateway < self.complete_below;
        if declared_ended || self.live.len() >= MAX_LIVE {
            return false;
        }
        self.live.insert(gateway, now);
        true
    }

    /// Records that a gateway has announced its shutdown.
    pub fn finished(&mut self, gateway: Incarnation) {
        self.live.remove(&gateway);
        self.end(gateway);
    }

    /// Ends the gateways whose messages have timed out; called once a second.
    ///
    /// A pause of this process is safe: a gateway whose messages stay unanswered gives up its
    /// incarnation before this process may declare it ended.
    pub fn tick(&mut self, now: Instant) {
        let timeout = self.limits.drift.safe_wait(self.limits.silence);
        let timed_out = |last_message: &Instant| now.since(*last_message) >= timeout;
        let ended = self
            .live
            .extract_if(.., |_, last_message| timed_out(last_message));
        for (gateway, _) in ended.collect::<Vec<_>>() {
            self.end(gateway);
        }
        // By now, every live gateway that started before this process has sent a message to it.
        if now.since(self.started) >= timeout {
            self.complete_below = self.complete_below.max(self.coordinator);
        }
    }

    /// Report for the next heartbeat.
    #[must_use]
    pub fn report(&self) -> Report {
        Report {
            live: self.live.keys().copied().collect(),
            ended: self.ended.clone(),
            complete_below: self.complete_below,
        }
    }

    fn end(&mut self, gateway: Incarnation) {
        if self.ended.contains(&gateway) {
            return;
        }
        self.ended.push(gateway);
        self.ended.sort_unstable();
        if self.ended.len() > MAX_ENDED {
            let lowest = self.ended.remove(0);
            self.complete_below = self.complete_below.max(Incarnation(lowest.0 + 1));
        }
    }
}
