//! Fault scenarios.

/// What happens between the fault's start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Daily peak and bursts, no fault.
    Steady,
    /// A decode engine dies and returns with an empty cache.
    EndpointCrash,
    /// A decode engine takes three times as long for each step.
    SlowEndpoint,
    /// An entry host dies with its streams and its ledgers.
    HostCrash,
    /// A fifth of the KV transfers never finish.
    StalledTransfers,
    /// All customers send two and a half times as much.
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
