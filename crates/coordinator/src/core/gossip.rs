//! Gossip: sends a digest of the membership view to three peers every second.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix::Context;
use berylknot_border::platform::{HostList, HostState};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::lease;
use berylknot_coordination::member::{Listed, Piggyback};
use berylknot_wire::peer::Request;

use super::Core;
use crate::platform::Platform;

/// Interval between gossip rounds.
pub(super) const INTERVAL: Duration = Duration::from_secs(1);

impl<P: Platform> Core<P> {
    /// Sends this round's digest to its targets.
    pub(super) fn gossip(&mut self, context: &mut Context<Self>) {
        let now = self.clock.now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let round = unix.unwrap_or_default().as_secs();
        let targets = self.members.targets(now, round);
        let targets: Vec<String> = targets.into_iter().map(str::to_owned).collect();
        let piggyback = Piggyback {
            configuration: self.published.borrow().version.as_u64(),
            log_tail: self.replica.next_offset(),
            log_age_ms: u32::try_from(self.log_age_ms()).unwrap_or(u32::MAX),
            strikes: Vec::new(),
        };
        let digest = self.members.digest(now, round, piggyback);
        for host in targets {
            let Some(address) = self.addresses.get(&host).copied() else {
                continue;
            };
            let request = Request::Digest {
                address: self.replication.address,
                digest: digest.clone(),
            };
            self.request_status(host, address, request, context);
        }
    }

    /// Updates the membership view from the platform's host list.
    pub(super) fn update_members(&mut self, listed: &HostList) {
        let hosts = listed.hosts.iter().map(|host| {
            let state = match host.state {
                HostState::Live => Listed::Live,
                _ => Listed::Leaving,
            };
            (host.name.as_str(), state)
        });
        self.members.set_hosts(self.clock.now(), hosts);
    }

    /// Records a lease renewal read from the log as a sign of life of its host.
    pub(super) fn record_member_renewal(&mut self, now: Instant, change: &lease::Change) {
        let lease::Change::Renewed { id, .. } = change else {
            return;
        };
        if let Some(session) = self.replica.leases().session(id.incarnation) {
            self.members.record_renewal(now, &session.host);
        }
    }
}
