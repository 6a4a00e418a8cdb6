//! Peers through which a host reaches endpoints while its own links to them are lost.

use std::time::Duration;

use crate::clock::Instant;

/// Time for which a peer that cannot relay is not asked again.
const COOLDOWN: Duration = Duration::from_secs(1);

/// Peers that may relay connections, in the order of their turns.
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

    /// The next peer that has not failed recently; the peers take turns, so that none gets all connections and
    /// one that reaches fewer endpoints than it knows does not fail all of them.
    pub fn next(&mut self, now: Instant) -> Option<A> {
        let index = self
            .peers
            .iter()
            .position(|peer| !self.is_cooling(now, peer))?;
        let peer = self.peers.remove(index);
        self.peers.push(peer);
        Some(peer)
    }

    /// Whether all peers have failed recently.
    #[must_use]
    pub fn is_exhausted(&self, now: Instant) -> bool {
        self.peers.iter().all(|peer| self.is_cooling(now, peer))
    }

    fn is_cooling(&self, now: Instant, peer: &A) -> bool {
        let mut cooling = self.cooling.iter();
        cooling.any(|(known, until)| known == peer && *until > now)
    }
}
