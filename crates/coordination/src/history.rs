//! Positions in the logs of a store that may be restored from an older copy.
//!
//! A restore drops the newest records of all logs and gives their offsets out again, so an offset alone
//! does not tell whether what was read before it is still there. The store numbers its eras: each restore
//! begins the next one. A position names both, and an answer of another era does not continue it.

use serde::{Deserialize, Serialize};

/// Bits of a fencing token that hold the offset; the others hold the era. Both together stay below 2^53,
/// the largest integer that JSON numbers carry exactly.
const OFFSET_BITS: u32 = 32;

/// Number of restores of a store; later eras are larger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Era(pub u64);

/// Position in a log: every record before it was read in this era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// Era of the store that gave out the offset.
    pub era: Era,
    /// Offset of the next record.
    pub offset: u64,
}

impl Position {
    /// Position of an offset in an era.
    #[must_use]
    pub const fn new(era: Era, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Position after `records` further records of the same era.
    #[must_use]
    pub const fn after(self, records: u64) -> Self {
        Self::new(self.era, self.offset.saturating_add(records))
    }

    /// Fencing token of a record at this position. Tokens grow with offsets, and across restores.
    #[must_use]
    pub const fn token(self) -> u64 {
        (self.era.0 << OFFSET_BITS) | self.offset
    }
}

/// Part of a log that has been read without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Position of the first record.
    pub start: Position,
    /// Position after the last one.
    pub next: Position,
}

impl Span {
    /// The span after a read from `start` to `next`, where reads may overlap; one that does not reach back to
    /// what was known begins anew. `None` if the read is of an older era.
    #[must_use]
    pub fn joined(known: Option<Self>, start: Position, next: Position) -> Option<Self> {
        let read = Self { start, next };
        let Some(known) = known else {
            return Some(read);
        };
        if start.era < known.next.era {
            return None;
        }
        if start.era > known.next.era || start > known.next {
            return Some(read);
        }
        Some(Self {
            start: known.start,
            next: next.max(known.next),
        })
    }
}

/// What the era of an answer says about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The answer is of the newest known era.
    Current,
    /// The store has been restored since the last answer.
    Restored,
    /// The answer was given before a restore that is already known.
    Outdated,
}

/// Newest era that any answer of the store has named.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    newest: Option<Era>,
}

impl History {
    /// Newest known era; the first one before any answer.
    #[must_use]
    pub fn era(&self) -> Era {
        self.newest.unwrap_or_default()
    }

    /// Records the era of an answer; an answer without one counts as current.
    pub fn observe(&mut self, era: Option<Era>) -> Observation {
        let Some(era) = era else {
            return Observation::Current;
        };
        let known = self.newest.replace(self.newest.unwrap_or(era).max(era));
        match known {
            Some(known) if era > known => Observation::Restored,
            Some(known) if era < known => Observation::Outdated,
            Some(_) | None => Observation::Current,
        }
    }

    /// Whether what was read up to `position` is still in the store.
    #[must_use]
    pub fn continues(&self, position: Position) -> bool {
        position.era == self.era()
    }
}
