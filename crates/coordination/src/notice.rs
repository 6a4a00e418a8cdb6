//! What endpoints tell a host of the requests that they want from it: none any more, or none for a while.
//!
//! Such a notice binds the host that got it at once. The directory may show the leaving only later.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Instant;

/// Longest pause that an endpoint may ask for; a longer one is more likely an error of the endpoint.
const MAX_PAUSE: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notice {
    Leaving,
    PausedUntil(Instant),
}

/// Notices of endpoints to one host.
#[derive(Clone, Debug)]
pub struct Notices<K> {
    notices: HashMap<K, Notice>,
}

impl<K> Default for Notices<K> {
    fn default() -> Self {
        Self {
            notices: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Notices<K> {
    /// Records that an endpoint leaves; returns whether that is new.
    pub fn leaving(&mut self, endpoint: K) -> bool {
        self.notices.insert(endpoint, Notice::Leaving) != Some(Notice::Leaving)
    }

    /// Records that an endpoint wants no request of this host for a while. A shorter pause does not end a
    /// longer one.
    pub fn pause(&mut self, now: Instant, endpoint: K, pause: Duration) {
        let until = now + pause.min(MAX_PAUSE);
        let notice = self
            .notices
            .entry(endpoint)
            .or_insert(Notice::PausedUntil(until));
        if let Notice::PausedUntil(known) = notice {
            *known = until.max(*known);
        }
    }

    /// Forgets what an endpoint has said, since it restarted or is gone.
    pub fn remove(&mut self, endpoint: K) {
        self.notices.remove(&endpoint);
    }

    /// Whether an endpoint wants requests of this host.
    #[must_use]
    pub fn admits(&self, now: Instant, endpoint: K) -> bool {
        match self.notices.get(&endpoint) {
            None => true,
            Some(Notice::Leaving) => false,
            Some(Notice::PausedUntil(until)) => *until <= now,
        }
    }

    /// Time until an endpoint's pause ends; `None` if it is not paused.
    #[must_use]
    pub fn pause_left(&self, now: Instant, endpoint: K) -> Option<Duration> {
        match self.notices.get(&endpoint)? {
            Notice::PausedUntil(until) if *until > now => Some(until.since(now)),
            Notice::PausedUntil(_) | Notice::Leaving => None,
        }
    }

    /// Endpoints that want no requests of this host.
    pub fn barred(&self, now: Instant) -> impl Iterator<Item = K> {
        let endpoints = self.notices.keys().copied();
        endpoints.filter(move |endpoint| !self.admits(now, *endpoint))
    }
}
