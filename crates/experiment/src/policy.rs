//! Policies that the tool compares.

/// How a host chooses endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Each endpoint in turn.
    RoundRobin,
    /// Endpoint with the fewest requests of this host.
    LeastOutstanding,
    /// Less loaded of two random endpoints, by load reports.
    TwoChoices,
}

/// When a host sends a request on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// As it arrives.
    AtOnce,
    /// In order of arrival, while load reports and the own count show a free decode slot.
    Fifo,
}

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Name in tables.
    pub name: &'static str,
    /// Choice of endpoints.
    pub place: Place,
    /// Admission.
    pub admit: Admit,
}

/// Baselines, from the simplest on.
pub const BASELINES: [Policy; 4] = [
    Policy {
        name: "round robin",
        place: Place::RoundRobin,
        admit: Admit::AtOnce,
    },
    Policy {
        name: "least outstanding",
        place: Place::LeastOutstanding,
        admit: Admit::AtOnce,
    },
    Policy {
        name: "two choices",
        place: Place::TwoChoices,
        admit: Admit::AtOnce,
    },
    Policy {
        name: "first come",
        place: Place::TwoChoices,
        admit: Admit::Fifo,
    },
];
