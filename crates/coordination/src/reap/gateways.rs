//! The gateways of one host, as its coordinator sees them.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::reap::{Limits, MAX_ENDED, Report};
use crate::record::Incarnation;

/// Highest number of gateways that live at once on a host; an upgrade needs two.
const MAX_LIVE: usize = 4;

/// Gateways that report to a coordinator with `Streams` once a second.
#[derive(Clone, Debug)]
pub struct Gateways {
    limits: Limits,
    started: Instant,
    live: BTreeMap<Incarnation, Instant>,
    ended: Vec<Incarnation>,
    coordinator: Incarnation,
    complete_below: Incarnation,
}

impl Gateways {
    /// Starts at the start of the coordinator's process, whose incarnation is `coordinator`.
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

    /// Notes a gateway's `Streams` message. The message may be answered only if this returns true;
    /// a refused gateway must end its streams and take a new incarnation.
    ///
    /// A gateway that reports have stated to be ended is refused.
    pub fn heartbeat(&mut self, now: Instant, gateway: Incarnation) -> bool {
        self.tick(now);
        if let Some(heard) = self.live.get_mut(&gateway) {
            *heard = now;
            return true;
        }
        let stated = self.ended.contains(&gateway) || gateway < self.complete_below;
        if stated || self.live.len() >= MAX_LIVE {
            return false;
        }
        self.live.insert(gateway, now);
        true
    }

    /// Notes that a gateway said that it has finished.
    pub fn finished(&mut self, gateway: Incarnation) {
        self.live.remove(&gateway);
        self.end(gateway);
    }

    /// Ends the gateways that were silent for too long; due each second.
    ///
    /// A pause of this process needs no care: a gateway whose messages wait unanswered gives up its
    /// incarnation before this process may state its end.
    pub fn tick(&mut self, now: Instant) {
        let silence = self.limits.drift.safe_wait(self.limits.silence);
        let silent = |heard: &Instant| now.since(*heard) >= silence;
        let ended = self.live.extract_if(.., |_, heard| silent(heard));
        for (gateway, _) in ended.collect::<Vec<_>>() {
            self.end(gateway);
        }
        // By now every gateway that started before this process and lives has been heard.
        if now.since(self.started) >= silence {
            self.complete_below = self.complete_below.max(self.coordinator);
        }
    }

    /// What the next heartbeat says.
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
