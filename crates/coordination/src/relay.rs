//! Peers through which a host reaches endpoints while its own links to them are lost.

use std::time::Duration;

use crate::clock::Instant;

/// Time for which a peer that cannot relay is not asked again.
const COOLDOWN: Duration = Duration::from_secs(1);

/// Peers that may relay connections, in the order of preference.
#[derive(Clone, Debug)]
pub struct Relays<A> {
    peers: Vec<A>,
    /// Peers that could not relay, and the end of their cooldown.
    cooling: Vec<(A, Instant)>,
}

impl<A> Default for Relays<A> {
    fn default() -> Self {
        Self {
            peers: Vec::new(),
            cooling: Vec::new(),
        }
    }
}

impl<A: Copy + Eq> Relays<A> {
    /// Replaces the peers.
    pub fn replace(&mut self, now: Instant, peers: Vec<A>) {
        self.cooling
            .retain(|(peer, until)| *until > now && peers.contains(peer));
        self.peers = peers;
    }

    /// Records that a peer could not relay: it cannot be reached, or reaches no endpoints itself.
    pub fn failed(&mut self, now: Instant, peer: A) {
        self.cooling.retain(|(known, _)| *known != peer);
        self.cooling.push((peer, now + COOLDOWN));
    }

    /// The preferred peer that has not failed recently.
    #[must_use]
    pub fn first(&self, now: Instant) -> Option<A> {
        let is_cooling = |peer: &A| {
            let mut cooling = self.cooling.iter();
            cooling.any(|(known, until)| known == peer && *until > now)
        };
        self.peers.iter().copied().find(|peer| !is_cooling(peer))
    }
}
