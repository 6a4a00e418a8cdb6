//! The replicated table of owners.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Change, Seat, Shard, Subject};
use crate::record::{Claim, Incarnation, Position, Release, Renew};

/// Owner of a subject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Holding {
    /// Incarnation that holds the subject, if any.
    pub owner: Option<Incarnation>,
    /// Position of the record that made the owner, or that released the subject. It increases with
    /// each owner and serves as the fencing token.
    pub since: Position,
    /// `since` of the previous owner when that owner named the present one in its release.
    pub predecessor: Option<Position>,
}

/// What the log says about an incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Session {
    /// Name of the host.
    pub host: String,
    /// Sequence of the last renewal.
    pub sequence: u64,
    /// Position of the last renewal.
    pub renewed: Position,
    /// Configuration in force on the host when it sent the last renewal.
    pub configuration_version: Position,
    /// Whether the host said that it is shutting down.
    pub leaving: bool,
    /// Number of shards and seats held.
    holdings: u16,
}

impl Session {
    /// Number of shards and seats held.
    #[must_use]
    pub const fn holdings(&self) -> u16 {
        self.holdings
    }
}

/// Owners of all shards and seats, equal on all replicas at the same position.
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
    /// Highest number of sessions. 360 hosts with 980 restarts a day leave under 500 that hold a
    /// seat; the rest is room for sessions that hold nothing.
    pub const SESSIONS: usize = 2_048;
    /// Longest accepted name of a host, in bytes.
    pub const HOST_BYTES: usize = 255;

    /// Owner of a subject. A subject that was never owned has the zero position.
    #[must_use]
    pub fn holding(&self, subject: Subject) -> Holding {
        match subject {
            Subject::Shard(shard) => self.shards.get(shard.index()).copied().unwrap_or_default(),
            Subject::Seat(seat) => self.seats.get(seat.index()).copied().unwrap_or_default(),
        }
    }

    /// Position of the last record by which the subject was claimed, renewed or released: the one
    /// that a claim must name.
    ///
    /// Renewals count, so that a claimer that has not yet read the owner's last renewal is refused.
    #[must_use]
    pub fn last_owning(&self, subject: Subject) -> Position {
        let holding = self.holding(subject);
        let renewed = holding
            .owner
            .and_then(|owner| self.sessions.get(&owner))
            .map_or_else(Position::default, |session| session.renewed);
        holding.since.max(renewed)
    }

    /// Sessions by incarnation.
    pub fn sessions(&self) -> impl Iterator<Item = (Incarnation, &Session)> {
        self.sessions
            .iter()
            .map(|(incarnation, session)| (*incarnation, session))
    }

    /// Session of an incarnation.
    #[must_use]
    pub fn session(&self, incarnation: Incarnation) -> Option<&Session> {
        self.sessions.get(&incarnation)
    }

    /// Seats that were ever claimed, with their owners.
    pub fn seats(&self) -> impl Iterator<Item = (Seat, Holding)> {
        (0..Seat::LIMIT).map(Seat).zip(self.seats.iter().copied())
    }

    /// Lowest configuration version in force on any host that holds a seat; `None` without seats.
    ///
    /// A change of the number of seats is complete when this reaches the changing version: before,
    /// some host may still use its share of the old number.
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

    /// Estimate of the memory in use, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let holdings = (self.shards.capacity() + self.seats.capacity()) * size_of::<Holding>();
        let names: usize = self
            .sessions
            .values()
            .map(|session| session.host.capacity())
            .sum();
        // A B-tree node is at least half full.
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
        if renew.host.len() > Self::HOST_BYTES || !self.make_room() {
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

    /// Makes `owner` the owner; false when the subject does not exist.
    fn assign(&mut self, subject: Subject, holding: Holding) -> bool {
        let place = match subject {
            Subject::Shard(shard) => self.shards.get_mut(shard.index()),
            Subject::Seat(seat) if seat.0 < Seat::LIMIT => {
                if self.seats.len() <= seat.index() {
                    self.seats.resize(seat.index() + 1, Holding::default());
                }
                self.seats.get_mut(seat.index())
            }
            Subject::Seat(_) => None,
        };
        let Some(place) = place else {
            return false;
        };
        let previous = std::mem::replace(place, holding);
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

    /// Drops the oldest session without holdings when there is no room for another.
    fn make_room(&mut self) -> bool {
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
