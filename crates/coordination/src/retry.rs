//! Retry budgets, and hedged lookups that share them.

use std::collections::BTreeMap;
use std::time::Duration;

/// Retries per thousand requests (design page, section 5.13: 10 %).
const RETRIES_PER_THOUSAND: u64 = 100;
/// Retries that can be saved up, so that a quiet hour does not pay for a storm.
const SAVED_RETRIES: u64 = 10;
const THOUSAND: u64 = 1_000;

/// Why a request is sent again. Its name is the label of the retry counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum Reason {
    /// The endpoint refused the connection or broke it.
    EndpointFailed,
    /// The KV result expired before a slot was free.
    KvExpired,
    /// The KV transfer did not finish in time.
    TransferTimeout,
    /// A lookup took longer than nearly all others.
    Hedge,
}

/// Outcome counters of one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Retries allowed.
    pub allowed: u64,
    /// Retries denied.
    pub denied: u64,
}

/// Budget of retries as a share of requests.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Thousandths of a retry.
    saved: u64,
    counts: BTreeMap<Reason, Count>,
}

impl Budget {
    /// Counts a request that is no retry.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + RETRIES_PER_THOUSAND).min(SAVED_RETRIES * THOUSAND);
    }

    /// Takes a retry from the budget; false when none is left.
    pub fn try_retry(&mut self, reason: Reason) -> bool {
        let count = self.counts.entry(reason).or_default();
        if self.saved < THOUSAND {
            count.denied += 1;
            return false;
        }
        self.saved -= THOUSAND;
        count.allowed += 1;
        true
    }

    /// Counters by reason.
    pub fn counts(&self) -> impl Iterator<Item = (Reason, Count)> + '_ {
        self.counts.iter().map(|(reason, count)| (*reason, *count))
    }
}

/// Upper bounds of the latency classes grow by a quarter power of two from one millisecond.
const CLASSES: usize = 64;
/// Answers after which all counts are halved.
const WINDOW: u64 = 512;
/// Answers that must have been seen before a lookup is hedged.
const FEWEST: u64 = 64;
/// A hedge waits until this many of a hundred answers would have come.
const QUANTILE: u64 = 95;
/// A hedge pays only when the slowest answers take this many times the median. With a short tail
/// the second answer comes no earlier than the first.
const WORTH: f64 = 3.0;

/// When to send an idempotent lookup to a second endpoint.
#[derive(Clone, Debug)]
pub struct Hedge {
    counts: [u64; CLASSES],
    total: u64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            counts: [0; CLASSES],
            total: 0,
        }
    }
}

impl Hedge {
    /// Counts the time of an answer.
    pub fn record_latency(&mut self, time: Duration) {
        let millis = time.as_secs_f64() * 1_000.0;
        let class = (millis.max(1.0).log2() * 4.0) as usize;
        self.counts[class.min(CLASSES - 1)] += 1;
        self.total += 1;
        if self.total >= WINDOW {
            self.total = 0;
            for count in &mut self.counts {
                *count /= 2;
                self.total += *count;
            }
        }
    }

    /// Time after which a lookup should be sent a second time; `None` where that does not pay.
    ///
    /// The second sending needs a retry from the [`Budget`].
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.total < FEWEST {
            return None;
        }
        let median = self.quantile(50);
        let late = self.quantile(QUANTILE);
        let last = self.quantile(99);
        (last >= WORTH * median).then(|| Duration::from_secs_f64(late / 1_000.0))
    }

    fn quantile(&self, percent: u64) -> f64 {
        let mut seen = 0;
        for (class, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen * 100 >= self.total * percent {
                return 2_f64.powf((class + 1) as f64 / 4.0);
            }
        }
        f64::INFINITY
    }
}
