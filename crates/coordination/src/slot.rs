//! Decode slot reservations of one endpoint, kept by its coordinating host.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;

/// Result of a reservation.
pub type Result<T> = std::result::Result<T, Full>;

/// Lifetime of a reservation that does not turn into a stream (design page, section 5.3).
pub const RESERVATION_LIFETIME: Duration = Duration::from_secs(2);
/// Time without confirmation after which a stream's slot is free (design page, section 5.3).
pub const STREAM_LIFETIME: Duration = Duration::from_secs(3);
/// Over-commit never exceeds one slot in this many (25 %).
const OVER_COMMIT_PART: u32 = 4;
/// Outcomes over which the fraction of unused reservations is averaged. At some ten reservations a
/// second it changes within seconds, and one outcome moves it by less than one slot.
const MEMORY: f64 = 64.0;
/// Stream ends over which the interval between ends is averaged.
const INTERVAL_MEMORY: f64 = 16.0;
/// Factor on the expected time until a slot is free. With 1.0 a third more prefill was wasted, at the
/// same goodput.
const INTERVAL_MARGIN: f64 = 1.5;
/// Bounds of the time after which a refused requester asks again.
const SHORTEST_RETRY: Duration = Duration::from_millis(10);
const LONGEST_RETRY: Duration = Duration::from_millis(500);
/// Time for which a full engine costs one slot of over-commit.
const CAUTION: Duration = Duration::from_secs(2);
/// Stream ends that are remembered to correct late reports.
const RECENT_ENDS: usize = 64;

/// Permission to prefill for a decode slot, at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Time at which the reservation ends unless it has become a stream.
    pub expires_at: Instant,
}

/// Refusal of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("no decode slot, ask again after {} ms", retry_after.as_millis())]
pub struct Full {
    retry_after: Duration,
}

impl Full {
    /// Time after which a slot is expected.
    #[must_use]
    pub const fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

/// How a reservation or stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The stream ended, or the caller left.
    Released,
    /// The engine had no slot when the prefill was done.
    EngineFull,
    /// An endpoint failed; this says nothing about callers.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held<H> {
    host: H,
    streaming: bool,
    /// Time of the reservation, of the start of the stream or of its last confirmation.
    seen: Instant,
}

/// Slots of one endpoint.
#[derive(Clone, Debug)]
pub struct Ledger<R, H> {
    slots: u32,
    held: BTreeMap<R, Held<H>>,
    streams: u32,
    /// Requests that run at the engine without an entry here, by its last report.
    foreign: u32,
    /// Fraction of reservations that never reach decode.
    unused: f64,
    /// Mean milliseconds between two stream ends; zero before two ends were seen.
    interval: f64,
    last_end: Option<Instant>,
    ends: VecDeque<Instant>,
    cautious_until: Instant,
}

impl<R: Copy + Ord, H: Copy + Ord> Ledger<R, H> {
    /// Makes the ledger of an endpoint with a number of slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            held: BTreeMap::new(),
            streams: 0,
            foreign: 0,
            unused: 0.0,
            interval: 0.0,
            last_end: None,
            ends: VecDeque::new(),
            cautious_until: Instant::default(),
        }
    }

    /// Highest number of reservations and streams together.
    #[must_use]
    pub const fn bound(&self) -> u32 {
        self.slots + self.slots / OVER_COMMIT_PART
    }

    /// Reservations and streams held now.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Observed fraction of reservations that never reach decode.
    #[must_use]
    pub const fn unused_fraction(&self) -> f64 {
        self.unused
    }

    /// Reserves a slot for a request whose prefill and transfer take `lead`.
    ///
    /// Repeating a request renews its reservation.
    ///
    /// # Errors
    ///
    /// Refuses when no slot is expected to be free at the end of the prefill.
    pub fn reserve(
        &mut self,
        now: Instant,
        request: R,
        host: H,
        lead: Duration,
    ) -> Result<Reservation> {
        self.tick(now);
        if let Some(held) = self.held.get_mut(&request) {
            // A retry whose first attempt was not ended here yet takes over its slot.
            self.streams -= u32::from(held.streaming);
            *held = Held {
                host,
                streaming: false,
                seen: now,
            };
        } else {
            self.check(now, lead)?;
            let held = Held {
                host,
                streaming: false,
                seen: now,
            };
            self.held.insert(request, held);
        }
        Ok(Reservation {
            expires_at: now + RESERVATION_LIFETIME,
        })
    }

    /// Whether a slot is expected at the end of a prefill that starts now.
    ///
    /// A prefill that would end too early is refused until the time at which it should start. To
    /// grant it in advance fixes the order of requests too early: holding it back for up to 100 ms
    /// cost 4 % of the goodput.
    fn check(&self, now: Instant, lead: Duration) -> Result<()> {
        let held = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        let used = held.saturating_add(self.foreign);
        let reserved = f64::from(held - self.streams);
        let in_use = f64::from(self.streams + self.foreign);
        let cautious = now < self.cautious_until;
        let unused = if cautious { 0.0 } else { self.unused };
        // One slot of this bound is for the request itself.
        let missing = in_use + reserved * (1.0 - unused) + 1.0 - f64::from(self.slots);
        let wait = if missing <= 0.0 {
            0.0
        } else if self.interval == 0.0 || cautious {
            f64::INFINITY
        } else {
            missing * self.interval * INTERVAL_MARGIN
        };
        let lead_millis = lead.as_secs_f64() * 1_000.0;
        if used < self.bound() && wait <= lead_millis {
            return Ok(());
        }
        let early = (wait - lead_millis).max(0.0);
        let retry = if early.is_finite() { early as u64 } else { 0 };
        Err(Full {
            retry_after: Duration::from_millis(retry).clamp(SHORTEST_RETRY, LONGEST_RETRY),
        })
    }

    /// Turns a reservation into a stream; true when it was still held.
    pub fn start(&mut self, now: Instant, request: R) -> bool {
        self.tick(now);
        let Some(held) = self.held.get_mut(&request) else {
            return false;
        };
        if !held.streaming {
            held.streaming = true;
            held.seen = now;
            self.streams += 1;
            self.learn(0.0);
        }
        true
    }

    /// Confirms the streams that run for callers of a host; adds those this ledger did not know,
    /// up to the slots of the endpoint.
    pub fn confirm(&mut self, now: Instant, host: H, running: impl IntoIterator<Item = R>) {
        for request in running {
            if let Some(held) = self.held.get_mut(&request) {
                if held.host != host {
                    continue;
                }
                held.seen = now;
                // The message about the start of this stream was lost.
                if !held.streaming {
                    held.streaming = true;
                    self.streams += 1;
                    self.learn(0.0);
                }
                continue;
            }
            if self.held.len() >= self.bound() as usize {
                continue;
            }
            self.held.insert(
                request,
                Held {
                    host,
                    streaming: true,
                    seen: now,
                },
            );
            self.streams += 1;
            self.foreign = self.foreign.saturating_sub(1);
        }
    }

    /// Ends a reservation or stream.
    pub fn end(&mut self, now: Instant, request: R, end: End) {
        let Some(held) = self.held.remove(&request) else {
            return;
        };
        if held.streaming {
            self.stream_ended(now);
            return;
        }
        match end {
            End::Released => self.learn(1.0),
            // A full engine is the result of too much over-commit. Counting it as an unused
            // reservation would raise over-commit further.
            End::EngineFull => self.cautious_until = now + CAUTION,
            End::Failed => {}
        }
    }

    /// Takes the engine's own count of running requests, measured some time ago.
    pub fn report(&mut self, now: Instant, running: u32, age: Duration) {
        let measured = now - age;
        let ended_since = self.ends.iter().filter(|end| **end >= measured).count();
        let ended_since = u32::try_from(ended_since).unwrap_or(u32::MAX);
        // A stream that started since the measurement hides a foreign one until the next report.
        self.foreign = running
            .saturating_sub(self.streams)
            .saturating_sub(ended_since)
            .min(self.slots);
    }

    /// Drops what was not confirmed in time, and returns it.
    pub fn tick(&mut self, now: Instant) -> Vec<R> {
        let mut expired = Vec::new();
        for (request, held) in &self.held {
            let lifetime = if held.streaming {
                STREAM_LIFETIME
            } else {
                RESERVATION_LIFETIME
            };
            if now.since(held.seen) >= lifetime {
                expired.push(*request);
            }
        }
        for request in &expired {
            if let Some(held) = self.held.remove(request)
                && held.streaming
            {
                self.streams -= 1;
            } else {
                self.learn(1.0);
            }
        }
        expired
    }

    fn stream_ended(&mut self, now: Instant) {
        self.streams -= 1;
        if let Some(last) = self.last_end {
            let millis = now.since(last).as_secs_f64() * 1_000.0;
            self.interval = if self.interval == 0.0 {
                millis.max(1.0)
            } else {
                self.interval + (millis - self.interval) / INTERVAL_MEMORY
            };
        }
        self.last_end = Some(now);
        self.ends.push_back(now);
        if self.ends.len() > RECENT_ENDS {
            self.ends.pop_front();
        }
    }

    fn learn(&mut self, outcome: f64) {
        self.unused += (outcome - self.unused) / MEMORY;
    }
}
