//! The accepted configuration: first proposal on a version wins, and versions only grow.

use serde::{Deserialize, Serialize};

use crate::record::{Id, Position, Publish};

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Position of the accepted proposal.
    pub version: Position,
    /// Id of the accepted proposal.
    pub id: Id,
    /// Merged settings as JSON text.
    pub document: String,
}

/// Fate of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The proposal is the configuration in force.
    Accepted,
    /// Another configuration was accepted after the proposal's base version.
    Stale,
}

/// Register of the accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    accepted: Option<Accepted>,
}

impl Register {
    /// Decides on a proposal at its position in the log.
    pub fn apply(&mut self, position: Position, publish: &Publish) -> Verdict {
        if publish.base_version != self.version() {
            return Verdict::Stale;
        }
        self.accepted = Some(Accepted {
            version: position,
            id: publish.id,
            document: publish.document.clone(),
        });
        Verdict::Accepted
    }

    /// Version in force; the zero position when there is none.
    #[must_use]
    pub fn version(&self) -> Position {
        self.accepted
            .as_ref()
            .map_or_else(Position::default, |accepted| accepted.version)
    }

    /// Configuration in force.
    #[must_use]
    pub fn accepted(&self) -> Option<&Accepted> {
        self.accepted.as_ref()
    }
}
