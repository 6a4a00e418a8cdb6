//! Rounds of messages from one host to all others over a slow link.
//!
//! The load is a hundred hosts or more behind links of 10 Mbit/s. A host that sends its report to all others at once
//! fills its link for a fifth of a second: the queue of the link overflows, so the same receivers miss every report
//! and take the sender for unreachable, and answers to callers wait behind the reports. Here a round is spread over
//! a part of the interval between two rounds. Each receiver has a fixed place in it, so that the reports of a
//! sender still arrive at even intervals.

use std::time::Duration;

/// Receivers up to which a round is sent at once.
const MAX_AT_ONCE: usize = 16;
/// Bytes up to which an urgent round is sent at once: a link of 10 Mbit/s takes them in 26 ms.
const MAX_URGENT_BYTES: usize = 32 * 1_024;
/// Messages that are sent at once: 8 of a kilobyte take a link of 10 Mbit/s for 7 ms.
const BATCH_MESSAGES: usize = 8;
/// Share of the interval between rounds over which one is spread.
const SPREAD_SHARE: f64 = 0.2;

/// Order and times in which the receivers of a round get their messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round<A> {
    receivers: Vec<A>,
    /// Receivers of each batch.
    batch: usize,
    pause: Duration,
}

impl<A: Copy + Ord> Round<A> {
    /// A round of the host `own` to `receivers`, which repeats after `interval`. `first` gets its message at
    /// once, since it decides for all.
    #[must_use]
    pub fn new(own: A, mut receivers: Vec<A>, first: Option<A>, interval: Duration) -> Self {
        receivers.sort_unstable();
        // Each host begins with another receiver, so that none gets the messages of all hosts at once.
        let begin = receivers.partition_point(|receiver| *receiver < own);
        receivers.rotate_left(begin);
        let at = first.and_then(|first| receivers.iter().position(|known| *known == first));
        if let Some(at) = at {
            receivers[..=at].rotate_right(1);
        }
        let batch = if receivers.len() <= MAX_AT_ONCE {
            MAX_AT_ONCE
        } else {
            BATCH_MESSAGES
        };
        let batches = receivers.len().div_ceil(batch).max(1);
        let pause = interval.mul_f64(SPREAD_SHARE) / batches as u32;
        Self {
            receivers,
            batch,
            pause,
        }
    }

    /// The same round without pauses, if its messages of `bytes` each are few or small: hosts that have just started
    /// introduce themselves in this way.
    #[must_use]
    pub fn urgent(self, bytes: usize) -> Self {
        let batch = self.receivers.len().max(1);
        if batch * bytes > MAX_URGENT_BYTES {
            return self;
        }
        Self { batch, ..self }
    }

    /// Receivers that get their messages together, batch by batch.
    pub fn batches(&self) -> impl Iterator<Item = &[A]> {
        self.receivers.chunks(self.batch)
    }

    /// Time between two batches.
    #[must_use]
    pub const fn pause(&self) -> Duration {
        self.pause
    }
}
