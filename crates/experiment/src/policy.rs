//! Scheduling policies under comparison.

/// Endpoint choice of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Next endpoint in a fixed order.
    RoundRobin,
    /// Endpoint with the fewest outstanding requests of this host.
    LeastOutstanding,
    /// Less loaded of two random endpoints, by load reports.
    TwoChoices,
    /// [`placement::Chooser`](berylknot_coordination::placement::Chooser).
    Chooser,
}

/// Admission control of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Sends each request on arrival.
    Immediate,
    /// First in, first out, while load reports and the host's own count show a free decode slot.
    Fifo,
    /// Order of [`queue::Fair`](berylknot_coordination::queue::Fair), under the same condition as
    /// [`Admission::Fifo`] or with a slot reservation.
    Fair,
}

/// Combination of scheduling mechanisms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Name in tables.
    pub name: &'static str,
    /// Endpoint choice for model requests; plain lookups only tell round robin from the rest.
    pub placement: Placement,
    /// Admission control for model requests.
    pub admission: Admission,
    /// Whether a request needs a decode slot reserved in a [`slot::Ledger`] before its prefill.
    ///
    /// [`slot::Ledger`]: berylknot_coordination::slot::Ledger
    pub reserve: bool,
    /// Whether outlier detection ejects failing and slow endpoints.
    pub eject: bool,
    /// Whether a late lookup is hedged with a second call.
    pub hedge: bool,
}

const fn baseline(name: &'static str, placement: Placement, admission: Admission) -> Policy {
    Policy {
        name,
        placement,
        admission,
        reserve: false,
        eject: false,
        hedge: false,
    }
}

/// Baseline policies in order of complexity.
pub const BASELINES: [Policy; 5] = [
    baseline("round robin", Placement::RoundRobin, Admission::Immediate),
    baseline(
        "least outstanding",
        Placement::LeastOutstanding,
        Admission::Immediate,
    ),
    baseline("two choices", Placement::TwoChoices, Admission::Immediate),
    baseline("first come", Placement::LeastOutstanding, Admission::Fifo),
    baseline("prefill at once", Placement::Chooser, Admission::Immediate),
];

/// Policy that is compared with the baselines.
pub const CHOSEN: Policy = Policy {
    reserve: true,
    eject: true,
    hedge: true,
    ..baseline("chosen", Placement::Chooser, Admission::Fair)
};

/// Better baselines and the chosen policy, compared in fault scenarios.
#[must_use]
pub fn for_faults() -> Vec<Policy> {
    let [_, least_outstanding, _, first_come, prefill_at_once] = BASELINES;
    vec![least_outstanding, first_come, prefill_at_once, CHOSEN]
}

/// Baselines and the chosen policy, as the tables show them.
#[must_use]
pub fn all() -> Vec<Policy> {
    BASELINES.into_iter().chain([CHOSEN]).collect()
}
