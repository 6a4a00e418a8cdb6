//! Expiring permission of a host or a gateway to forward its streams.

use std::time::Duration;

use crate::clock::Instant;

/// Period of uninterrupted permission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Epoch(u64);

/// Permission to forward streams, which expires unless it is extended.
///
/// A host has one permit for each coordinating host, extended by its log lease and by acknowledged
/// heartbeats. A gateway has one that is extended by answered `Streams` messages. When the epoch in
/// which a gateway's incarnation started is no longer allowed, the gateway takes a new incarnation
/// even without streams, because its coordinator may have declared the old one ended. All times are
/// of the owner's clock.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    until: Instant,
    epoch: u64,
}

impl Permit {
    /// Creates an expired permit.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            until: Instant::from_millis(0),
            epoch: 0,
        }
    }

    /// Creates the permit of a gateway that starts an incarnation at `now`. It holds for `silence`,
    /// the heartbeat timeout, because no coordinator can declare a younger incarnation ended.
    ///
    /// The gateway submits nothing to an engine before its first `Streams` message is answered or
    /// its connection refused: no coordinator would notice the end of a gateway that never sent
    /// one.
    #[must_use]
    pub fn starting(now: Instant, silence: Duration) -> Self {
        Self {
            until: now + silence,
            epoch: 1,
        }
    }

    /// Extends the permit to `until`, the end of a usable log lease.
    ///
    /// An extension after the permit has expired starts a new epoch, because the requests of the
    /// old epoch may have been cancelled in between.
    pub fn extend(&mut self, now: Instant, until: Instant) {
        if now >= until {
            return;
        }
        if now >= self.until {
            self.epoch += 1;
        }
        self.until = self.until.max(until);
    }

    /// Extends the permit after an acknowledged message. `sent` is a time before it was sent, and
    /// `silence` the heartbeat timeout.
    pub fn acknowledged(&mut self, now: Instant, sent: Instant, silence: Duration) {
        self.extend(now, sent + silence);
    }

    /// Epoch for a new stream; `None` when the permit has expired and no stream may start.
    #[must_use]
    pub fn epoch(&self, now: Instant) -> Option<Epoch> {
        (now < self.until).then_some(Epoch(self.epoch))
    }

    /// Whether a stream that started in `epoch` may still be forwarded. Once false, it stays false.
    #[must_use]
    pub fn allows(&self, now: Instant, epoch: Epoch) -> bool {
        self.epoch(now) == Some(epoch)
    }

    /// Time at which the permit expires.
    #[must_use]
    pub const fn until(&self) -> Instant {
        self.until
    }
}

impl Default for Permit {
    fn default() -> Self {
        Self::new()
    }
}
