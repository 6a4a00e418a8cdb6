//! Retry budgets, and hedged lookups that draw on them.

use std::collections::BTreeMap;
use std::time::Duration;

/// Retry ratio in thousandths of the requests (design page, section 5.13: 10 %).
const RETRY_RATIO_PER_MILLE: u64 = 100;
/// Cap of the saved budget, so that a long period without failures does not allow a retry storm.
const MAX_SAVED_RETRIES: u64 = 10;
const MILLI_RETRIES_PER_RETRY: u64 = 1_000;

/// Reason for a retry; its name is the label of the retry counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum Reason {
    /// The endpoint refused or broke the connection.
    EndpointFailed,
    /// The KV cache of the prefill expired before a decode slot was free.
    KvExpired,
    /// The KV transfer timed out.
    TransferTimeout,
    /// A lookup exceeded the hedging delay.
    Hedge,
}

/// Retry counters of one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Retries allowed.
    pub allowed: u64,
    /// Retries denied.
    pub denied: u64,
}

/// Retry budget: limits retries to a tenth of the requests.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Saved budget in thousandths of a retry.
    saved: u64,
    counts: BTreeMap<Reason, Count>,
}

impl Budget {
    /// Adds the budget share of a first attempt; retries do not count.
    pub fn record_request(&mut self) {
        self.saved =
            (self.saved + RETRY_RATIO_PER_MILLE).min(MAX_SAVED_RETRIES * MILLI_RETRIES_PER_RETRY);
    }

    /// Spends one retry of the budget; false, and counted as denied, when none is left.
    pub fn try_retry(&mut self, reason: Reason) -> bool {
        let count = self.counts.entry(reason).or_default();
        if self.saved < MILLI_RETRIES_PER_RETRY {
            count.denied += 1;
            return false;
        }
        self.saved -= MILLI_RETRIES_PER_RETRY;
        count.allowed += 1;
        true
    }

    /// Counters by reason.
    pub fn counts(&self) -> impl Iterator<Item = (Reason, Count)> + '_ {
        self.counts.iter().map(|(reason, count)| (*reason, *count))
    }
}

/// Number of latency buckets; bucket bounds grow by a quarter power of two from 1 ms.
const BUCKETS: usize = 64;
/// Number of samples at which all counts are halved, so that old latencies lose weight.
const DECAY_SAMPLES: u64 = 512;
/// Minimum number of samples before lookups are hedged.
const MIN_SAMPLES: u64 = 64;
/// Latency percentile after which a hedge is sent.
const HEDGE_PERCENTILE: u64 = 95;
/// Minimum ratio of the 99th percentile to the median for hedging. With a shorter tail the second
/// answer comes no earlier than the first.
const MIN_TAIL_RATIO: f64 = 3.0;

/// Histogram of lookup latencies that decides when to hedge an idempotent lookup.
#[derive(Clone, Debug)]
pub struct Hedge {
    counts: [u64; BUCKETS],
    total: u64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl Hedge {
    /// Records the latency of a lookup.
    pub fn record_latency(&mut self, latency: Duration) {
        let millis = latency.as_secs_f64() * 1_000.0;
        let bucket = (millis.max(1.0).log2() * 4.0) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= DECAY_SAMPLES {
            self.total = 0;
            for count in &mut self.counts {
                *count /= 2;
                self.total += *count;
            }
        }
    }

    /// Delay after which a lookup is sent to a second endpoint; `None` when there are too few
    /// samples or the latency tail is too short for hedging.
    ///
    /// The second attempt has to be allowed by [`Budget::try_retry`].
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let median = self.percentile(50);
        let delay = self.percentile(HEDGE_PERCENTILE);
        let tail = self.percentile(99);
        (tail >= MIN_TAIL_RATIO * median).then(|| Duration::from_secs_f64(delay / 1_000.0))
    }

    /// Upper bound, in milliseconds, of the bucket that holds a percentile.
    fn percentile(&self, percent: u64) -> f64 {
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen * 100 >= self.total * percent {
                return 2_f64.powf((bucket + 1) as f64 / 4.0);
            }
        }
        f64::INFINITY
    }
}
