//! Digests of what the host knows about the fleet, for three peers each second.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix::Context;
use berylknot_border::platform::{HostList, HostState};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::lease;
use berylknot_coordination::member::{Listed, Piggyback};
use berylknot_wire::peer::Request;

use super::Core;
use crate::platform::Platform;

/// Time between two digests.
pub(super) const INTERVAL: Duration = Duration::from_secs(1);

impl<P: Platform> Core<P> {
    /// Sends the digest of a round to its targets.
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
            let question = Request::Digest {
                address: self.words.address,
                digest: digest.clone(),
            };
            self.ask_word(host, address, question, context);
        }
    }

    /// Takes over the platform's list of hosts.
    pub(super) fn list_members(&mut self, listed: &HostList) {
        let hosts = listed.hosts.iter().map(|host| {
            let state = match host.state {
                HostState::Live => Listed::Live,
                _ => Listed::Leaving,
            };
            (host.name.as_str(), state)
        });
        self.members.set_hosts(self.clock.now(), hosts);
    }

    /// Notes the host of a renewal that was read from the log.
    pub(super) fn note_renewal(&mut self, now: Instant, change: &lease::Change) {
        let lease::Change::Renewed { id, .. } = change else {
            return;
        };
        if let Some(session) = self.replica.leases().session(id.incarnation) {
            self.members.record_renewal(now, &session.host);
        }
    }
}
