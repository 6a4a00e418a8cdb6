//! Decode slot reservations of one endpoint, kept by the endpoint's coordinating host.
//!
//! The ledger over-commits slots by the observed fraction of reservations that never reach decode.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;

/// Result of a reservation.
pub type Result<T> = std::result::Result<T, Full>;

/// Lifetime of a reservation that does not become a stream (design page, section 5.3).
pub const RESERVATION_LIFETIME: Duration = Duration::from_secs(2);
/// Lifetime of a stream's slot without a confirmation from the stream's host (design page, section
/// 5.3).
pub const STREAM_LIFETIME: Duration = Duration::from_secs(3);
/// Over-commit is limited to one part in this many of the slots (25 %).
const OVERCOMMIT_DIVISOR: u32 = 4;
/// Averaging window of the unused fraction, in reservations. At about ten reservations per second
/// the average adapts within seconds, and a single outcome shifts it by less than one slot.
const UNUSED_WINDOW: f64 = 64.0;
/// Averaging window of the interval between stream ends, in stream ends.
const END_INTERVAL_WINDOW: f64 = 16.0;
/// Safety factor on the expected time until a slot is free. With 1.0 a third more prefill work was
/// wasted, at the same goodput.
const END_INTERVAL_MARGIN: f64 = 1.5;
/// Bounds of [`Full::retry_after`].
const RETRY_AFTER_MIN: Duration = Duration::from_millis(10);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(500);
/// Cooldown without over-commit after an engine refused a stream because it was full.
const OVERCOMMIT_COOLDOWN: Duration = Duration::from_secs(2);
/// Maximum number of stream ends remembered to correct load reports that were measured before them.
const RECENT_ENDS_MAX: usize = 64;

/// Grant of a decode slot; the prefill may start at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Expiry of the reservation, unless it has become a stream by then.
    pub expires_at: Instant,
}

/// Refusal of a reservation: no slot is expected to be free when the prefill ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("no decode slot, ask again after {} ms", retry_after.as_millis())]
pub struct Full {
    retry_after: Duration,
}

impl Full {
    /// Delay after which to try again, when a slot is expected.
    #[must_use]
    pub const fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

/// How a reservation or stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The stream ended, or the caller disconnected.
    Released,
    /// The engine refused the decode because it had no free slot.
    EngineFull,
    /// An endpoint failed; not counted in the unused fraction.
    Failed,
}

/// Holder of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held<H> {
    host: H,
    streaming: bool,
    /// Time of the reservation, of the start of the stream or of its last confirmation.
    renewed_at: Instant,
}

/// Slot ledger of one endpoint: reservations and streams of requests `R` from hosts `H`.
#[derive(Clone, Debug)]
pub struct Ledger<R, H> {
    slots: u32,
    held: BTreeMap<R, Held<H>>,
    /// Number of streams in `held`.
    streams: u32,
    /// Requests running at the engine that are not in `held`, by the engine's last load report.
    untracked: u32,
    /// Moving average of the fraction of reservations that never reach decode.
    unused: f64,
    /// Moving average of the interval between stream ends; zero before the second end.
    end_interval_ms: f64,
    last_end: Option<Instant>,
    recent_ends: VecDeque<Instant>,
    /// End of the over-commit cooldown.
    no_overcommit_until: Instant,
}

impl<R: Copy + Ord, H: Copy + Ord> Ledger<R, H> {
    /// Makes an empty ledger of an endpoint with `slots` decode slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            held: BTreeMap::new(),
            streams: 0,
            untracked: 0,
            unused: 0.0,
            end_interval_ms: 0.0,
            last_end: None,
            recent_ends: VecDeque::new(),
            no_overcommit_until: Instant::default(),
        }
    }

    /// Maximum number of reservations and streams together: the slots plus the maximum over-commit.
    #[must_use]
    pub const fn bound(&self) -> u32 {
        self.slots + self.slots / OVERCOMMIT_DIVISOR
    }

    /// Number of current reservations and streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there are no reservations and no streams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Observed fraction of reservations that never reach decode.
    #[must_use]
    pub const fn unused_fraction(&self) -> f64 {
        self.unused
    }

    /// Reserves a slot for a request whose prefill and KV transfer take `lead`.
    ///
    /// Idempotent: a repeated call renews the reservation.
    ///
    /// # Errors
    ///
    /// [`Full`] when no slot is expected to be free after `lead`.
    pub fn reserve(
        &mut self,
        now: Instant,
        request: R,
        host: H,
        lead: Duration,
    ) -> Result<Reservation> {
        self.tick(now);
        if let Some(held) = self.held.get_mut(&request) {
            // A retry takes over the slot of an earlier attempt whose end was not reported yet.
            self.streams -= u32::from(held.streaming);
            *held = Held {
                host,
                streaming: false,
                renewed_at: now,
            };
        } else {
            self.check_capacity(now, lead)?;
            let held = Held {
                host,
                streaming: false,
                renewed_at: now,
            };
            self.held.insert(request, held);
        }
        Ok(Reservation {
            expires_at: now + RESERVATION_LIFETIME,
        })
    }

    /// Checks that a slot is expected to be free at the end of a prefill that starts now.
    ///
    /// A prefill that would end too early is refused until the time at which it should start.
    /// Granting it in advance fixes the order of requests too early: delaying granted prefills by
    /// up to 100 ms cost 4 % of the goodput.
    fn check_capacity(&self, now: Instant, lead: Duration) -> Result<()> {
        let held = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        let used = held.saturating_add(self.untracked);
        let reserved = f64::from(held - self.streams);
        let in_use = f64::from(self.streams + self.untracked);
        let no_overcommit = now < self.no_overcommit_until;
        let unused = if no_overcommit { 0.0 } else { self.unused };
        // The request itself needs one more slot.
        let missing = in_use + reserved * (1.0 - unused) + 1.0 - f64::from(self.slots);
        let wait = if missing <= 0.0 {
            0.0
        } else if self.end_interval_ms == 0.0 || no_overcommit {
            f64::INFINITY
        } else {
            missing * self.end_interval_ms * END_INTERVAL_MARGIN
        };
        let lead_millis = lead.as_secs_f64() * 1_000.0;
        if used < self.bound() && wait <= lead_millis {
            return Ok(());
        }
        let early = (wait - lead_millis).max(0.0);
        let retry = if early.is_finite() { early as u64 } else { 0 };
        Err(Full {
            retry_after: Duration::from_millis(retry).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        })
    }

    /// Turns a reservation into a stream; false if the reservation has expired.
    pub fn start(&mut self, now: Instant, request: R) -> bool {
        self.tick(now);
        let Some(held) = self.held.get_mut(&request) else {
            return false;
        };
        if !held.streaming {
            held.streaming = true;
            held.renewed_at = now;
            self.streams += 1;
            self.record_outcome(0.0);
        }
        true
    }

    /// Confirms the running streams of a host. Adds streams that the ledger does not know, up to
    /// [`Ledger::bound`].
    pub fn confirm(&mut self, now: Instant, host: H, running: impl IntoIterator<Item = R>) {
        for request in running {
            if let Some(held) = self.held.get_mut(&request) {
                if held.host != host {
                    continue;
                }
                held.renewed_at = now;
                // The message that announced the start of this stream was lost.
                if !held.streaming {
                    held.streaming = true;
                    self.streams += 1;
                    self.record_outcome(0.0);
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
                    renewed_at: now,
                },
            );
            self.streams += 1;
            self.untracked = self.untracked.saturating_sub(1);
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
            End::Released => self.record_outcome(1.0),
            // A full engine results from too much over-commit. Counted as an unused reservation, it
            // would raise the over-commit further.
            End::EngineFull => self.no_overcommit_until = now + OVERCOMMIT_COOLDOWN,
            End::Failed => {}
        }
    }

    /// Takes the engine's load report: the number of running requests, measured `age` ago.
    pub fn report(&mut self, now: Instant, running: u32, age: Duration) {
        let measured = now - age;
        let ended_since = self
            .recent_ends
            .iter()
            .filter(|end| **end >= measured)
            .count();
        let ended_since = u32::try_from(ended_since).unwrap_or(u32::MAX);
        // A stream that started after the measurement hides an untracked one until the next report.
        self.untracked = running
            .saturating_sub(self.streams)
            .saturating_sub(ended_since)
            .min(self.slots);
    }

    /// Drops expired reservations and streams, and returns their requests.
    pub fn tick(&mut self, now: Instant) -> Vec<R> {
        let mut expired = Vec::new();
        for (request, held) in &self.held {
            let lifetime = if held.streaming {
                STREAM_LIFETIME
            } else {
                RESERVATION_LIFETIME
            };
            if now.since(held.renewed_at) >= lifetime {
                expired.push(*request);
            }
        }
        for request in &expired {
            if let Some(held) = self.held.remove(request)
                && held.streaming
            {
                self.streams -= 1;
            } else {
                self.record_outcome(1.0);
            }
        }
        expired
    }

    fn stream_ended(&mut self, now: Instant) {
        self.streams -= 1;
        if let Some(last) = self.last_end {
            let millis = now.since(last).as_secs_f64() * 1_000.0;
            self.end_interval_ms = if self.end_interval_ms == 0.0 {
                millis.max(1.0)
            } else {
                self.end_interval_ms + (millis - self.end_interval_ms) / END_INTERVAL_WINDOW
            };
        }
        self.last_end = Some(now);
        self.recent_ends.push_back(now);
        if self.recent_ends.len() > RECENT_ENDS_MAX {
            self.recent_ends.pop_front();
        }
    }

    /// Counts a reservation as unused (1.0) or as having become a stream (0.0).
    fn record_outcome(&mut self, outcome: f64) {
        self.unused += (outcome - self.unused) / UNUSED_WINDOW;
    }
}
