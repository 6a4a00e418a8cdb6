//! Replicated ownership table of shards and seats.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Change, Seat, Shard, Subject};
use crate::record::{Claim, Incarnation, Position, Release, Renew};

/// Current ownership of a subject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Holding {
    /// Incarnation that holds the lease, if any.
    pub owner: Option<Incarnation>,
    /// Position of the record that assigned the owner or released the subject. It increases with
    /// each change of owner and serves as the fencing token.
    pub since: Position,
    /// Fencing token of the previous owner if it named the current one as successor.
    pub predecessor: Option<Position>,
}

/// Session of an incarnation, created by its first renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Session {
    /// Host name, at most [`Table::HOST_BYTES`] long.
    pub host: String,
    /// Sequence of the last renewal; lower ones are ignored.
    pub sequence: u64,
    /// Position of the last renewal.
    pub renewed: Position,
    /// Highest configuration version that the host has acknowledged in a renewal.
    pub configuration_version: Position,
    /// Whether a release announced the shutdown of the host.
    pub leaving: bool,
    /// Number of leases held on shards and seats.
    holdings: u16,
}

impl Session {
    /// Number of leases held on shards and seats.
    #[must_use]
    pub const fn holdings(&self) -> u16 {
        self.holdings
    }
}

/// Owners of all shards and seats, identical on all replicas at the same log position.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    shards: Vec<Holding>,
    seats: Vec<Holding>,
    sessions: BTreeMap<Incarnation, Session>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            shards: vec![Holding::default(); Shard::COUNT],
            seats: Vec::new(),
            sessions: BTreeMap::new(),
        }
    }
}

impl Table {
    /// Highest number of sessions. With 360 hosts and 980 restarts a day, fewer than 500 hold a
    /// seat; the rest is capacity for sessions without leases.
    pub const SESSIONS: usize = 2_048;
    /// Longest accepted host name in bytes; renewals with a longer one are ignored.
    pub const HOST_BYTES: usize = 255;

    /// Ownership of a subject; a subject that was never owned has position zero.
    #[must_use]
    pub fn holding(&self, subject: Subject) -> Holding {
        match subject {
            Subject::Shard(shard) => self.shards.get(shard.index()).copied().unwrap_or_default(),
            Subject::Seat(seat) => self.seats.get(seat.index()).copied().unwrap_or_default(),
        }
    }

    /// Position of the last record that claimed, renewed or released the subject; a claim must
    /// name it (optimistic concurrency check).
    ///
    /// Renewals count, so that a claim from a host that has not read the owner's last renewal is
    /// void.
    #[must_use]
    pub fn last_owning(&self, subject: Subject) -> Position {
        let holding = self.holding(subject);
        let renewed = holding
            .owner
            .and_then(|owner| self.sessions.get(&owner))
            .map_or_else(Position::default, |session| session.renewed);
        holding.since.max(renewed)
    }

    /// Iterates over all sessions in ascending order of incarnation.
    pub fn sessions(&self) -> impl Iterator<Item = (Incarnation, &Session)> {
        self.sessions
            .iter()
            .map(|(incarnation, session)| (*incarnation, session))
    }

    /// Session of an incarnation; `None` if it never renewed or its session was evicted.
    #[must_use]
    pub fn session(&self, incarnation: Incarnation) -> Option<&Session> {
        self.sessions.get(&incarnation)
    }

    /// Iterates over the seats up to the highest one that was ever claimed, with their ownership.
    pub fn seats(&self) -> impl Iterator<Item = (Seat, Holding)> {
        (0..Seat::LIMIT).map(Seat).zip(self.seats.iter().copied())
    }

    /// Lowest configuration version acknowledged by any seat holder; `None` if no seat is held.
    ///
    /// A change of the seat count is complete when this reaches the version that changes it. Until
    /// then some host may still admit by its share of the old count.
    #[must_use]
    pub fn lowest_seat_version(&self) -> Option<Position> {
        let owners = self.seats.iter().filter_map(|holding| holding.owner);
        owners
            .map(|owner| {
                self.sessions
                    .get(&owner)
                    .map_or_else(Position::default, |session| session.configuration_version)
            })
            .min()
    }

    /// Estimated memory usage in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let holdings = (self.shards.capacity() + self.seats.capacity()) * size_of::<Holding>();
        let names: usize = self
            .sessions
            .values()
            .map(|session| session.host.capacity())
            .sum();
        // Factor 2: a B-tree node is at least half full.
        let sessions = 2 * self.sessions.len() * size_of::<(Incarnation, Session)>();
        size_of::<Self>() + holdings + names + sessions
    }

    pub(crate) fn renew(&mut self, position: Position, renew: &Renew) -> Option<Change> {
        let incarnation = renew.id.incarnation;
        if let Some(session) = self.sessions.get_mut(&incarnation) {
            if renew.id.sequence <= session.sequence {
                return None;
            }
            session.sequence = renew.id.sequence;
            session.renewed = position;
            session.configuration_version = session
                .configuration_version
                .max(renew.configuration_version);
            return Some(Change::Renewed {
                id: renew.id,
                position,
            });
        }
        if renew.host.len() > Self::HOST_BYTES || !self.ensure_capacity() {
            return None;
        }
        self.sessions.insert(
            incarnation,
            Session {
                host: renew.host.clone(),
                sequence: renew.id.sequence,
                renewed: position,
                configuration_version: renew.configuration_version,
                leaving: false,
                holdings: 0,
            },
        );
        Some(Change::Renewed {
            id: renew.id,
            position,
        })
    }

    pub(crate) fn claim(&mut self, position: Position, claim: &Claim) -> Vec<Change> {
        let claimer = claim.id.incarnation;
        let mut changes = Vec::new();
        if !self.sessions.contains_key(&claimer) {
            return changes;
        }
        for &(subject, expected) in &claim.subjects {
            if self.last_owning(subject) != expected || self.holding(subject).owner == Some(claimer)
            {
                continue;
            }
            let owner = Some(claimer);
            let holding = Holding {
                owner,
                since: position,
                predecessor: None,
            };
            if self.assign(subject, holding) {
                changes.push(Change::Owner {
                    subject,
                    owner,
                    since: position,
                    id: claim.id,
                });
            }
        }
        changes
    }

    pub(crate) fn release(&mut self, position: Position, release: &Release) -> Vec<Change> {
        let releaser = release.id.incarnation;
        let may_succeed = |successor: &Incarnation| {
            let session = self.sessions.get(successor);
            *successor != releaser && session.is_some_and(|session| !session.leaving)
        };
        let successor = release.successor.filter(may_succeed);
        if release.leaving
            && let Some(session) = self.sessions.get_mut(&releaser)
        {
            session.leaving = true;
        }
        let mut changes = Vec::new();
        for &(subject, since) in &release.subjects {
            let holding = self.holding(subject);
            if holding.owner != Some(releaser) || holding.since != since {
                continue;
            }
            let predecessor = successor.map(|_| since);
            let holding = Holding {
                owner: successor,
                since: position,
                predecessor,
            };
            if self.assign(subject, holding) {
                let owner = successor;
                changes.push(Change::Owner {
                    subject,
                    owner,
                    since: position,
                    id: release.id,
                });
            }
        }
        changes
    }

    /// Stores the ownership of a subject; returns false if the subject does not exist.
    fn assign(&mut self, subject: Subject, holding: Holding) -> bool {
        let entry = match subject {
            Subject::Shard(shard) => self.shards.get_mut(shard.index()),
            Subject::Seat(seat) if seat.0 < Seat::LIMIT => {
                if self.seats.len() <= seat.index() {
                    self.seats.resize(seat.index() + 1, Holding::default());
                }
                self.seats.get_mut(seat.index())
            }
            Subject::Seat(_) => None,
        };
        let Some(entry) = entry else {
            return false;
        };
        let previous = std::mem::replace(entry, holding);
        if let Some(session) = previous
            .owner
            .and_then(|owner| self.sessions.get_mut(&owner))
        {
            session.holdings -= 1;
        }
        if let Some(session) = holding
            .owner
            .and_then(|owner| self.sessions.get_mut(&owner))
        {
            session.holdings += 1;
        }
        true
    }

    /// Evicts the session with the oldest renewal among those without leases if the table is full;
    /// returns false if there is none.
    fn ensure_capacity(&mut self) -> bool {
        if self.sessions.len() < Self::SESSIONS {
            return true;
        }
        let idle = self
            .sessions
            .iter()
            .filter(|(_, session)| session.holdings == 0);
        let oldest = idle.min_by_key(|(_, session)| session.renewed);
        let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) else {
            return false;
        };
        self.sessions.remove(&incarnation);
        true
    }
}
