//! Permission of a host or a gateway to keep forwarding its streams.

use std::time::Duration;

use crate::clock::Instant;

/// Span of uninterrupted permission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Epoch(u64);

/// Permission to forward streams, kept up by evidence with an end.
///
/// A host keeps one for each coordinating host, extended by its log lease and by acknowledged
/// heartbeats. A gateway keeps one that is extended by answered `Streams` messages. When the epoch
/// in which a gateway's incarnation started is no longer allowed, the gateway takes a new
/// incarnation even if it has no streams, since its coordinator may have stated the end of the old
/// one. All times are of the owner's clock.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    until: Instant,
    epoch: u64,
}

impl Permit {
    /// Makes a permit that allows nothing yet.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            until: Instant::from_millis(0),
            epoch: 0,
        }
    }

    /// Makes the permit of a gateway that starts an incarnation at `now`: no coordinator can state
    /// the end of an incarnation that has existed for less than the rule's longest silence.
    ///
    /// The gateway submits nothing to an engine before its first `Streams` is answered or refused a
    /// connection: no coordinator would notice the end of a gateway it has never heard.
    #[must_use]
    pub fn starting(now: Instant, silence: Duration) -> Self {
        Self {
            until: now + silence,
            epoch: 1,
        }
    }

    /// Extends the permit to the end of a usable log lease.
    ///
    /// Evidence that comes after the permit lapsed starts a new epoch: the requests of the old one
    /// may have been reaped in between.
    pub fn extend(&mut self, now: Instant, until: Instant) {
        if now >= until {
            return;
        }
        if now >= self.until {
            self.epoch += 1;
        }
        self.until = self.until.max(until);
    }

    /// Extends the permit by an acknowledged message. `sent` is a time before it was sent, and
    /// `silence` the rule's longest silence.
    pub fn acknowledged(&mut self, now: Instant, sent: Instant, silence: Duration) {
        self.extend(now, sent + silence);
    }

    /// Epoch for a new stream; `None` when no stream may start.
    #[must_use]
    pub fn epoch(&self, now: Instant) -> Option<Epoch> {
        (now < self.until).then_some(Epoch(self.epoch))
    }

    /// Whether a stream that started in `epoch` may forward. Once false, it stays false.
    #[must_use]
    pub fn allows(&self, now: Instant, epoch: Epoch) -> bool {
        self.epoch(now) == Some(epoch)
    }

    /// Time at which the permit lapses.
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
