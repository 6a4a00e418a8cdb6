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
    /// [`placement::Chooser`](berylknot_coordination::placement::Chooser).
    Chooser,
}

/// When a host sends a request on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// As it arrives.
    AtOnce,
    /// In order of arrival, while load reports and the own count show a free decode slot.
    Fifo,
    /// In the order of [`queue::Fair`](berylknot_coordination::queue::Fair), under the same
    /// condition or with a reservation.
    Fair,
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
    /// Whether a request needs a reservation in a [`slot::Ledger`] before its prefill.
    ///
    /// [`slot::Ledger`]: berylknot_coordination::slot::Ledger
    pub reserve: bool,
    /// Whether failing and slow endpoints are ejected.
    pub eject: bool,
    /// Whether late lookups are hedged.
    pub hedge: bool,
}

const fn baseline(name: &'static str, place: Place, admit: Admit) -> Policy {
    Policy {
        name,
        place,
        admit,
        reserve: false,
        eject: false,
        hedge: false,
    }
}

/// Baselines, from the simplest on.
pub const BASELINES: [Policy; 5] = [
    baseline("round robin", Place::RoundRobin, Admit::AtOnce),
    baseline("least outstanding", Place::LeastOutstanding, Admit::AtOnce),
    baseline("two choices", Place::TwoChoices, Admit::AtOnce),
    baseline("first come", Place::LeastOutstanding, Admit::Fifo),
    baseline("prefill at once", Place::Chooser, Admit::AtOnce),
];

/// Policy of the current round.
pub const CHOSEN: Policy = Policy {
    reserve: true,
    eject: true,
    hedge: true,
    ..baseline("chosen", Place::Chooser, Admit::Fair)
};

/// The better baselines and the chosen policy, for fault scenarios.
#[must_use]
pub fn short() -> Vec<Policy> {
    let [_, least, _, first, once] = BASELINES;
    vec![least, first, once, CHOSEN]
}

/// Baselines and the chosen policy, as the tables show them.
#[must_use]
pub fn all() -> Vec<Policy> {
    BASELINES.into_iter().chain([CHOSEN]).collect()
}
