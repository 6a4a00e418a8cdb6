//! The section `quota`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Division of rate limits among hosts.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Quota {
    /// Percentage of each customer's rate and burst that is divided into floors, one per seat.
    #[schemars(range(min = 1, max = "Self::MAX_FLOOR_PERCENT"))]
    pub floor_percent: u32,
    /// Planned number of hosts; it determines the number of seats.
    #[schemars(range(min = 1, max = "Self::MAX_PLANNED_HOSTS"))]
    pub planned_hosts: u32,
}

impl Quota {
    /// Maximum floor percentage; the rest goes to the pool and must not be zero.
    pub const MAX_FLOOR_PERCENT: u32 = 99;

    /// Maximum number of planned hosts: ten times the largest planned fleet.
    pub const MAX_PLANNED_HOSTS: u32 = 4_000;

    /// Number of seats, each with an equal share of the floors: planned hosts × 1.25, rounded up, and
    /// at least one more than planned.
    #[must_use]
    pub fn seats(&self) -> u32 {
        let hosts = u64::from(self.planned_hosts);
        let seats = (hosts * 5).div_ceil(4).max(hosts + 1);
        u32::try_from(seats).unwrap_or(u32::MAX)
    }
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            floor_percent: 25,
            planned_hosts: 7,
        }
    }
}
