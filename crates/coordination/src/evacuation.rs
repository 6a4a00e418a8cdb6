//! Data centres that the operator evacuates: nothing new goes to their endpoints until it is taken back.
//!
//! The requests are records of the operator's feed, whose positions order what hosts know. A host that misses
//! records, because its poll was lost or the store turns it away, adopts what a peer has read further.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::history::Position;

/// Most data centres that are evacuated at a time; further ones are ignored, since another writer may add any
/// number of records.
pub const MAX_DATA_CENTRES: usize = 64;

/// What a host tells its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Notice {
    /// Position in the feed up to which the sender has read.
    pub read_to: Position,
    /// Data centres that are evacuated as of that position.
    pub data_centres: Vec<String>,
}

/// Change of what is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing has changed.
    None,
    /// Some data centres are evacuated now that were not before, or the other way round.
    Changed,
    /// A record was ignored, since [`MAX_DATA_CENTRES`] are evacuated.
    Ignored,
}

/// The evacuated data centres as of a position in the operator's feed.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    read_to: Position,
    data_centres: BTreeSet<String>,
    /// Whether any data centre was evacuated since the start, so that peers may have to learn of the end.
    is_known: bool,
}

impl Evacuations {
    /// Replaces everything by a complete listing of the feed, unless more was read already.
    pub fn list(&mut self, read_to: Position, listed: impl Iterator<Item = String>) -> Change {
        if read_to < self.read_to {
            return Change::None;
        }
        let listed: BTreeSet<String> = listed.take(MAX_DATA_CENTRES).collect();
        self.replace(read_to, listed)
    }

    /// Applies the record at a position: the request for a data centre, or its removal.
    pub fn apply(&mut self, at: Position, data_centre: &str, is_evacuated: bool) -> Change {
        if at < self.read_to {
            return Change::None;
        }
        self.read_to = at.after(1);
        if !is_evacuated {
            let was_evacuated = self.data_centres.remove(data_centre);
            return if was_evacuated {
                Change::Changed
            } else {
                Change::None
            };
        }
        if self.data_centres.contains(data_centre) {
            return Change::None;
        }
        if self.data_centres.len() >= MAX_DATA_CENTRES {
            return Change::Ignored;
        }
        self.is_known = true;
        self.data_centres.insert(data_centre.to_owned());
        Change::Changed
    }

    /// Records that the feed was read up to a position.
    pub fn read_to(&mut self, position: Position) {
        self.read_to = self.read_to.max(position);
    }

    /// Adopts what a peer has read, if it has read further.
    pub fn adopt(&mut self, notice: &Notice) -> Change {
        if notice.read_to <= self.read_to {
            return Change::None;
        }
        let data_centres = notice.data_centres.iter().take(MAX_DATA_CENTRES).cloned();
        self.replace(notice.read_to, data_centres.collect())
    }

    fn replace(&mut self, read_to: Position, data_centres: BTreeSet<String>) -> Change {
        self.read_to = read_to;
        self.is_known |= !data_centres.is_empty();
        if data_centres == self.data_centres {
            return Change::None;
        }
        self.data_centres = data_centres;
        Change::Changed
    }

    /// What to tell peers; `None` while no evacuation has been seen.
    #[must_use]
    pub fn notice(&self) -> Option<Notice> {
        self.is_known.then(|| Notice {
            read_to: self.read_to,
            data_centres: self.data_centres.iter().cloned().collect(),
        })
    }

    /// Whether nothing new may go to the endpoints of a data centre.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Whether nothing is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.data_centres.is_empty()
    }

    /// The evacuated data centres, in alphabetical order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.data_centres.iter().map(String::as_str)
    }
}
