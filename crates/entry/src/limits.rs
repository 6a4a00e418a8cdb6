//! Request rates that endpoints in need state in their answers.

use std::collections::HashMap;

use berylknot_coordination::clock::Instant;

/// What is known of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Known {
    /// Requests a second that it takes from all hosts together; `None` for no limit.
    rate: Option<f64>,
    /// Time of the answer that said so.
    heard_at: Instant,
}

/// Limits of all endpoints by id.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<String, Known>,
}

impl Limits {
    /// Records what an answer to a request that was sent at `sent_at` states. An answer without a limit
    /// ends an earlier one unless its request is older. Returns whether the limit has changed.
    pub fn heard(
        &mut self,
        now: Instant,
        endpoint: &str,
        rate: Option<f64>,
        sent_at: Instant,
    ) -> bool {
        let Some(known) = self.known.get_mut(endpoint) else {
            if rate.is_some() {
                let heard_at = now;
                self.known
                    .insert(endpoint.to_owned(), Known { rate, heard_at });
            }
            return rate.is_some();
        };
        if rate.is_none() && sent_at < known.heard_at {
            return false;
        }
        let has_changed = known.rate != rate;
        *known = Known {
            rate,
            heard_at: now,
        };
        has_changed
    }
}
