//! Steady and fault scenarios of a run.

/// Fault that lasts from [`FAULT_START`](crate::model::FAULT_START) to
/// [`FAULT_END`](crate::model::FAULT_END), if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Daily peak and customer bursts without a fault.
    Steady,
    /// One decode engine crashes and restarts with an empty KV cache.
    EndpointCrash,
    /// One decode engine takes three times as long for each step, one service server ten times for each
    /// call.
    SlowEndpoint,
    /// One entry host crashes and loses its streams and slot ledgers.
    HostCrash,
    /// A fifth of the KV transfers never finish.
    StalledTransfers,
    /// All customers send 2.5 times their demand.
    OverloadPulse,
}

impl Scenario {
    /// Scenarios with a fault.
    pub const FAULTS: [Self; 5] = [
        Self::EndpointCrash,
        Self::SlowEndpoint,
        Self::HostCrash,
        Self::StalledTransfers,
        Self::OverloadPulse,
    ];

    /// Name in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::EndpointCrash => "endpoint crash",
            Self::SlowEndpoint => "slow endpoint",
            Self::HostCrash => "host crash",
            Self::StalledTransfers => "stalled transfers",
            Self::OverloadPulse => "overload pulse",
        }
    }
}
