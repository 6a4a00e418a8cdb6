//! One token bucket a customer, kept alike by all hosts.
//!
//! Every host subtracts its own admissions at once and those of its peers when it hears of them, so
//! that an uneven split of a customer's requests over hosts refuses nothing below the limit. A host
//! that cannot hear a peer takes it to use its equal share of the rate, so that parts of a divided
//! fleet stay below the limit together.

use std::collections::HashMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

/// Share of a second's rate that a restarted host may use before it has heard its peers.
const RESTART_SECONDS: f64 = 0.5;
/// Debt that is remembered, in seconds of the rate.
const LARGEST_DEBT_SECONDS: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
    /// Tokens that this host admitted since its start.
    admitted: u64,
}

/// Buckets of all customers.
#[derive(Debug)]
pub struct Quotas {
    buckets: HashMap<String, Bucket>,
    /// Whether buckets start full, as at the first start of a deployment.
    full_start: bool,
    /// Share of each rate that peers are taken to use unheard.
    unheard: f64,
}

impl Quotas {
    /// Makes empty buckets.
    #[must_use]
    pub fn new(full_start: bool) -> Self {
        Self { buckets: HashMap::new(), full_start, unheard: 0.0 }
    }

    /// Puts a customer's limit in force; a rate of 0 is no limit.
    pub fn configure(&mut self, now: Instant, customer: &str, rate: u64, burst: u64) {
        let (rate, burst) = (rate as f64, (burst.max(rate)) as f64);
        let full = self.full_start;
        let bucket = self.buckets.entry(customer.to_owned()).or_insert_with(|| Bucket {
            rate,
            burst,
            level: if full { burst } else { rate * RESTART_SECONDS },
            at: now,
            admitted: 0,
        });
        bucket.refill(now, self.unheard);
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst);
    }

    /// Sets the share of each rate that peers are taken to use unheard.
    pub fn set_unheard(&mut self, now: Instant, share: f64) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, self.unheard);
        }
        self.unheard = share.clamp(0.0, 1.0);
    }

    /// Admits a request of a customer, or tells when its tokens will be there.
    ///
    /// # Errors
    /// Fails with the time until the bucket has refilled.
    pub fn take(&mut self, now: Instant, customer: &str, tokens: u64) -> Result<(), Duration> {
        let unheard = self.unheard;
        let Some(bucket) = self.buckets.get_mut(customer).filter(|bucket| bucket.rate > 0.0) else {
            return Ok(());
        };
        bucket.refill(now, unheard);
        // A request larger than the burst passes with a full bucket and leaves a debt.
        let needed = (tokens as f64).min(bucket.burst);
        if bucket.level < needed {
            return Err(Duration::from_secs_f64((needed - bucket.level) / bucket.rate));
        }
        bucket.level -= tokens as f64;
        bucket.admitted += tokens;
        Ok(())
    }

    /// Gives back the tokens of a request that did not run.
    pub fn give_back(&mut self, customer: &str, tokens: u64) {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return;
        };
        bucket.level = (bucket.level + tokens as f64).min(bucket.burst);
        bucket.admitted = bucket.admitted.saturating_sub(tokens);
    }

    /// Counts what a peer admitted since its last report.
    pub fn admitted_elsewhere(&mut self, now: Instant, customer: &str, tokens: u64) {
        let unheard = self.unheard;
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.refill(now, unheard);
            bucket.level = (bucket.level - tokens as f64).max(-LARGEST_DEBT_SECONDS * bucket.rate);
        }
    }

    /// Tokens that this host admitted since its start, by customer.
    pub fn report(&self) -> impl Iterator<Item = (&str, u64)> {
        self.buckets
            .iter()
            .filter(|(_, bucket)| bucket.admitted > 0)
            .map(|(customer, bucket)| (customer.as_str(), bucket.admitted))
    }
}

impl Bucket {
    fn refill(&mut self, now: Instant, unheard: f64) {
        let seconds = now.since(self.at).as_secs_f64();
        self.level = (self.level + seconds * self.rate * (1.0 - unheard)).min(self.burst);
        self.at = now;
    }
}
