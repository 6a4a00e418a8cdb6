//! Model of a network that loses, duplicates, delays and reorders messages.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) struct Network<M> {
    pub(crate) random: ChaCha8Rng,
    pub(crate) fault_percent: u32,
    /// Messages in flight by arrival time and number.
    in_flight: BTreeMap<(u64, u64), M>,
    sent: u64,
}

impl<M: Clone> Network<M> {
    pub(crate) fn new(seed: u64, fault_percent: u32) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            fault_percent,
            in_flight: BTreeMap::new(),
            sent: 0,
        }
    }

    /// Whether a fault occurs now, with a probability of `fault_percent`.
    pub(crate) fn inject_fault(&mut self) -> bool {
        let percent = self.fault_percent;
        self.random.random_range(0..100) < percent
    }

    /// Sends a message, which a fault may drop or duplicate; a delayed copy takes up to `slow_ms`.
    pub(crate) fn send(&mut self, now_ms: u64, slow_ms: u64, message: &M) {
        let copies = if self.inject_fault() {
            self.random.random_range(0..3)
        } else {
            1
        };
        for _ in 0..copies {
            let delay = if self.inject_fault() {
                slow_ms.max(2)
            } else {
                20
            };
            let delay = self.random.random_range(1..=delay);
            self.sent += 1;
            self.in_flight
                .insert((now_ms + delay, self.sent), message.clone());
        }
    }

    /// Removes and returns the next message that has arrived by `now_ms`.
    pub(crate) fn receive(&mut self, now_ms: u64) -> Option<M> {
        let first = self.in_flight.first_entry()?;
        (first.key().0 <= now_ms).then(|| first.remove())
    }
}
