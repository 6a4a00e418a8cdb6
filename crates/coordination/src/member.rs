//! Membership and health of hosts and endpoints, as seen by one host and spread by gossip.

mod digest;
mod tag;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::{Drift, Instant};

pub use digest::{DIGEST_BYTES, Digest, Load, Piggyback, TRAFFIC_BYTES_PER_SECOND};
use digest::{MAX_LEAVING, MAX_LOADS, MAX_STRIKES};
pub use tag::tag;

/// Gossip fan-out: the number of digests that a host sends each second.
pub const FANOUT: usize = 3;

/// Highest number of hosts in a view, almost three times a fleet of 360.
const MAX_HOSTS: usize = 1_024;

/// Highest number of endpoints in a view, more than twice a fleet of 3,100.
const MAX_ENDPOINTS: usize = 8_192;

/// Highest number of leave notices in a view; the oldest one is evicted.
const MAX_LEAVE_NOTICES: usize = 4_096;

/// Resolution of the ages in a digest.
const AGE_UNIT_MS: u64 = 100;

/// Timeouts of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time without contact or renewal after which a host is silent.
    pub silent_after: Duration,
    /// Time without a renewal after which a host's lease has expired.
    pub lease: Duration,
    /// Time without contact after which a host whose lease has expired is dead.
    pub dead_after: Duration,
    /// Lifetime of a leave notice about a host or an endpoint.
    pub leaving_lifetime: Duration,
    /// Bound on the clock drift of all hosts.
    pub drift: Drift,
}

impl Default for Limits {
    /// Renewals are sent every 5 s and leases expire after 15 s (design, section 5.1). Without the
    /// log, gossip among 360 hosts takes more than 10 s to refresh the slowest host, so a host is
    /// dead only after 20 s; reaping has its own rule. A leave notice lives for 60 s, several times
    /// its propagation time, and is renewed by its sources.
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(6),
            lease: Duration::from_secs(15),
            dead_after: Duration::from_secs(20),
            leaving_lifetime: Duration::from_secs(60),
            drift: Drift::default(),
        }
    }
}

/// Health of a host or an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Accepts new requests.
    Live,
    /// Draining: finishes its requests and gets no new ones.
    Leaving,
    /// Not seen for [`Limits::silent_after`]; gets new requests if it can be reached.
    Silent,
    /// Considered failed; gets no requests.
    Dead,
}

/// State of a host or an endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// In service.
    Live,
    /// Scheduled for removal by the platform.
    Leaving,
}

#[derive(Clone, Copy, Debug)]
struct Host {
    tag: u64,
    listed: bool,
    last_renewal: Option<Instant>,
    last_contact: Instant,
    /// Whether another host has the same short tag; such hosts are left out of digests.
    ambiguous: bool,
}

#[derive(Clone, Copy, Debug)]
struct Endpoint {
    tag: u64,
    listed: bool,
    load: Option<(Load, Instant)>,
    /// Whether the endpoint reported its load to this host directly.
    is_local: bool,
}

#[derive(Clone, Copy, Debug)]
struct Notice {
    at: Instant,
    /// Number of digests that included the notice.
    sent_count: u32,
}

/// Membership view of one host.
#[derive(Clone, Debug)]
pub struct View {
    limits: Limits,
    own_name: Box<str>,
    hosts: BTreeMap<Box<str>, Host>,
    by_short_tag: BTreeMap<u32, Box<str>>,
    endpoints: BTreeMap<Box<str>, Endpoint>,
    by_tag: BTreeMap<u64, Box<str>>,
    /// Leave notices by tag, each with the latest time at which a source stated it.
    leaving: BTreeMap<u64, Notice>,
}

impl View {
    /// Creates the view of the host `own`, which contains only that host.
    #[must_use]
    pub fn new(now: Instant, own: &str, limits: Limits) -> Self {
        let mut view = Self {
            limits,
            own_name: own.into(),
            hosts: BTreeMap::new(),
            by_short_tag: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            by_tag: BTreeMap::new(),
            leaving: BTreeMap::new(),
        };
        view.host_entry(now, own);
        view
    }

    /// Applies the platform's list of entry hosts. A host that is no longer listed is removed once
    /// it is dead.
    pub fn set_hosts<'a>(
        &mut self,
        now: Instant,
        list: impl IntoIterator<Item = (&'a str, Listed)>,
    ) {
        self.hosts.values_mut().for_each(|host| host.listed = false);
        for (name, listed) in list {
            if let Some(host) = self.host_entry(now, name) {
                host.listed = true;
            }
            self.record_state(now, tag(name), listed);
        }
        let hosts = self.hosts.iter();
        let gone = hosts.filter(|(name, host)| !host.listed && self.dead(now, name, host));
        let gone: Vec<Box<str>> = gone.map(|(name, _)| name.clone()).collect();
        for name in gone {
            if let Some(host) = self.hosts.remove(&name)
                && !host.ambiguous
            {
                self.by_short_tag.remove(&tag::short(host.tag));
            }
        }
    }

    /// Applies the list of endpoints from the platform and the configuration; endpoints that are
    /// not in it are removed.
    pub fn set_endpoints<'a>(
        &mut self,
        now: Instant,
        list: impl IntoIterator<Item = (&'a str, Listed)>,
    ) {
        self.endpoints
            .values_mut()
            .for_each(|endpoint| endpoint.listed = false);
        for (name, listed) in list {
            let tag = tag(name);
            if let Some(endpoint) = self.endpoints.get_mut(name) {
                endpoint.listed = true;
            } else if self.endpoints.len() < MAX_ENDPOINTS {
                let endpoint = Endpoint {
                    tag,
                    listed: true,
                    load: None,
                    is_local: false,
                };
                self.endpoints.insert(name.into(), endpoint);
                self.by_tag.insert(tag, name.into());
            }
            self.record_state(now, tag, listed);
        }
        self.endpoints.retain(|_, endpoint| endpoint.listed);
        self.by_tag
            .retain(|_, name| self.endpoints.contains_key(name));
    }

    /// Records a lease renewal of a host that was read from the log.
    pub fn record_renewal(&mut self, now: Instant, name: &str) {
        if let Some(host) = self.host_entry(now, name) {
            host.last_renewal = Some(now);
        }
    }

    /// Records a message received directly from a host.
    pub fn record_contact(&mut self, now: Instant, name: &str) {
        if let Some(host) = self.host_entry(now, name) {
            host.last_contact = now;
        }
    }

    /// Records a leave notice from its source: the host or endpoint itself, a release of its
    /// leases, or an operator.
    pub fn mark_leaving(&mut self, now: Instant, name: &str) {
        self.record_state(now, tag(name), Listed::Leaving);
    }

    /// Records the load reported by an endpoint that this host coordinates.
    pub fn record_load(&mut self, now: Instant, name: &str, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.load = Some((load, now));
            endpoint.is_local = true;
        }
    }

    /// Health of a host; [`Health::Dead`] when it is unknown.
    #[must_use]
    pub fn host_health(&self, now: Instant, name: &str) -> Health {
        let host = self.hosts.get(name);
        host.map_or(Health::Dead, |host| self.health(now, name, host))
    }

    /// Health of an endpoint; [`Health::Dead`] when it is not listed, [`Health::Silent`] when it
    /// reports its load to this host and the last report is [`Limits::silent_after`] old.
    #[must_use]
    pub fn endpoint_health(&self, now: Instant, name: &str) -> Health {
        let Some(endpoint) = self.endpoints.get(name) else {
            return Health::Dead;
        };
        let silent = |(_, at): (Load, Instant)| now.since(at) >= self.limits.silent_after;
        if self.is_leaving(now, endpoint.tag) {
            Health::Leaving
        } else if endpoint.is_local && endpoint.load.is_some_and(silent) {
            Health::Silent
        } else {
            Health::Live
        }
    }

    /// Latest known load of an endpoint and the age of the report.
    #[must_use]
    pub fn latest_load(&self, now: Instant, name: &str) -> Option<(Load, Duration)> {
        let (load, at) = self.endpoints.get(name)?.load?;
        Some((load, now.since(at)))
    }

    /// Coordinating host of an endpoint, by rendezvous hashing over the live and silent hosts, so
    /// that a host that joins or leaves moves only its own share.
    #[must_use]
    pub fn coordinator(&self, now: Instant, endpoint: &str) -> Option<&str> {
        let endpoint = tag(endpoint);
        let members = self.hosts.iter().filter(|(name, host)| {
            let health = self.health(now, name, host);
            matches!(health, Health::Live | Health::Silent)
        });
        let chosen = members.max_by_key(|(_, host)| tag::mix(host.tag ^ endpoint.rotate_left(17)));
        chosen.map(|(name, _)| &**name)
    }

    /// Gossip targets of a round, at most [`FANOUT`]. Rounds count seconds of the Unix clock, so
    /// that all hosts are in the same round or in adjacent ones.
    ///
    /// On the ring of `n` hosts sorted by name, two targets are at offsets `3^k` and `2 × 3^k`,
    /// where `k` cycles through `0..⌈log3 n⌉`: an update reaches every host in `⌈log3 n⌉` rounds.
    /// The offset of the third target advances by one each round, so that each host is contacted
    /// directly once per cycle.
    #[must_use]
    pub fn targets(&self, now: Instant, round: u64) -> Vec<&str> {
        let hosts = self.hosts.iter();
        let alive = hosts.filter(|(name, host)| !self.dead(now, name, host));
        let ring: Vec<&str> = alive.map(|(name, _)| &**name).collect();
        let Ok(own_index) = ring.binary_search(&&*self.own_name) else {
            return Vec::new();
        };
        if ring.len() < 2 {
            return Vec::new();
        }
        let mut digits = 1;
        while 3_usize.pow(digits) < ring.len() {
            digits += 1;
        }
        let digit = u32::try_from(round % u64::from(digits)).unwrap_or(0);
        let near = 3_usize.pow(digit);
        let others = ring.len() as u64 - 1;
        let far = usize::try_from(round % others).unwrap_or(0) + 1;
        let mut targets = Vec::with_capacity(FANOUT);
        for offset in [near, 2 * near, far] {
            let target = ring[(own_index + offset) % ring.len()];
            if *target != *self.own_name && !targets.contains(&target) {
                targets.push(target);
            }
        }
        targets
    }

    /// Builds the digest of a round. Sections with more entries than fit rotate over the rounds.
    #[must_use]
    pub fn digest(&mut self, now: Instant, round: u64, mut piggyback: Piggyback) -> Digest {
        piggyback.strikes.truncate(MAX_STRIKES);
        let mut hosts = Vec::new();
        for (name, host) in &self.hosts {
            let seen = if **name == *self.own_name {
                now
            } else {
                last_seen(host)
            };
            let age = u8::try_from(age(now, seen));
            if let Ok(age) = age
                && !host.ambiguous
            {
                hosts.push((tag::short(host.tag), age));
            }
        }
        let leaving = self.select_leave_notices(now, round);
        let mut loads = Vec::new();
        for endpoint in self.endpoints.values() {
            if let Some((load, at)) = endpoint.load
                && endpoint.is_local
                && now.since(at) < self.limits.silent_after
            {
                loads.push((endpoint.tag, load));
            }
        }
        let loads = rotate(loads, round, MAX_LOADS);
        // Two thirds are the freshest entries, which are new to the most peers; the rest rotate,
        // so that no host is permanently left out.
        let limit = digest::host_limit(piggyback.strikes.len(), leaving.len(), loads.len());
        let mixed = |(short, _): &(u32, u8)| tag::mix(u64::from(*short) ^ round);
        hosts.sort_by_key(|entry| (entry.1, mixed(entry)));
        let rest = hosts.split_off(hosts.len().min(limit * 2 / 3));
        hosts.extend(rotate(rest, round, limit - limit * 2 / 3));
        Digest {
            piggyback,
            hosts,
            leaving,
            loads,
        }
    }

    /// Applies a digest of the host `sender`, except [`Digest::piggyback`], which is for other
    /// modules.
    pub fn merge(&mut self, now: Instant, sender: &str, digest: &Digest) {
        self.record_contact(now, sender);
        for (short, age) in &digest.hosts {
            let at = now - Duration::from_millis(u64::from(*age) * AGE_UNIT_MS);
            let host = self
                .by_short_tag
                .get(short)
                .and_then(|name| self.hosts.get_mut(name));
            if let Some(host) = host
                && !host.ambiguous
            {
                host.last_contact = host.last_contact.max(at);
            }
        }
        for (tag, age) in &digest.leaving {
            let age = Duration::from_millis(u64::from(*age) * AGE_UNIT_MS);
            if age < self.limits.leaving_lifetime {
                self.record_state(now - age, *tag, Listed::Leaving);
            }
        }
        for (tag, load) in &digest.loads {
            let endpoint = self
                .by_tag
                .get(tag)
                .and_then(|name| self.endpoints.get_mut(name));
            if let Some(endpoint) = endpoint {
                endpoint.load = Some((*load, now));
                endpoint.is_local = false;
            }
        }
    }

    /// Names of all hosts in the view in ascending order, dead ones included.
    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts.keys().map(|name| &**name)
    }

    fn host_entry(&mut self, now: Instant, name: &str) -> Option<&mut Host> {
        if !self.hosts.contains_key(name) {
            if self.hosts.len() >= MAX_HOSTS {
                return None;
            }
            let tag = tag(name);
            let other = self.by_short_tag.get(&tag::short(tag));
            let ambiguous = other.is_some();
            if let Some(other) = other.and_then(|other| self.hosts.get_mut(other)) {
                other.ambiguous = true;
            }
            let host = Host {
                tag,
                listed: false,
                last_renewal: None,
                last_contact: now,
                ambiguous,
            };
            if !ambiguous {
                self.by_short_tag.insert(tag::short(tag), name.into());
            }
            self.hosts.insert(name.into(), host);
        }
        self.hosts.get_mut(name)
    }

    /// Records the state that a source stated at `at`. [`Listed::Live`] may come from an outdated
    /// list of the platform, so it does not revoke a leave notice; the notice expires.
    fn record_state(&mut self, at: Instant, tag: u64, listed: Listed) {
        if listed == Listed::Live {
            return;
        }
        if let Some(known) = self.leaving.get_mut(&tag) {
            known.at = known.at.max(at);
            return;
        }
        if self.leaving.len() >= MAX_LEAVE_NOTICES {
            let oldest = self.leaving.iter().min_by_key(|(_, notice)| notice.at);
            let oldest = oldest.map(|(tag, _)| *tag);
            oldest.and_then(|tag| self.leaving.remove(&tag));
        }
        self.leaving.insert(tag, Notice { at, sent_count: 0 });
    }

    /// Leave notices for a digest, those sent least often first, so that new ones go out at once.
    fn select_leave_notices(&mut self, now: Instant, round: u64) -> Vec<(u64, u16)> {
        let lifetime = self.limits.leaving_lifetime;
        self.leaving
            .retain(|_, notice| now.since(notice.at) < lifetime);
        let mut notices: Vec<(&u64, &mut Notice)> = self.leaving.iter_mut().collect();
        // Ties are shuffled each round; a fixed order could correlate with the rotation of targets
        // and send some notices to few peers only.
        notices.sort_by_key(|(tag, notice)| (notice.sent_count, tag::mix(**tag ^ round)));
        let mut selected = Vec::new();
        for (tag, notice) in notices.into_iter().take(MAX_LEAVING) {
            notice.sent_count += 1;
            selected.push((*tag, u16::try_from(age(now, notice.at)).unwrap_or(u16::MAX)));
        }
        selected
    }

    fn is_leaving(&self, now: Instant, tag: u64) -> bool {
        let notice = self.leaving.get(&tag);
        notice.is_some_and(|notice| now.since(notice.at) < self.limits.leaving_lifetime)
    }

    fn dead(&self, now: Instant, name: &str, host: &Host) -> bool {
        let drift = self.limits.drift;
        let expired = |at| now.since(at) >= drift.safe_wait(self.limits.lease);
        *name != *self.own_name
            && now.since(host.last_contact) >= drift.safe_wait(self.limits.dead_after)
            && host.last_renewal.is_none_or(expired)
    }

    fn health(&self, now: Instant, name: &str, host: &Host) -> Health {
        if self.dead(now, name, host) {
            Health::Dead
        } else if self.is_leaving(now, host.tag) {
            Health::Leaving
        } else if *name != *self.own_name && now.since(last_seen(host)) >= self.limits.silent_after
        {
            Health::Silent
        } else {
            Health::Live
        }
    }
}

/// Time of the latest contact or renewal of a host.
fn last_seen(host: &Host) -> Instant {
    let renewed = host.last_renewal.unwrap_or(host.last_contact);
    host.last_contact.max(renewed)
}

/// Age in units of [`AGE_UNIT_MS`], rounded up so that relaying never makes information younger.
fn age(now: Instant, at: Instant) -> u64 {
    let age = now.since(at).as_millis().div_ceil(u128::from(AGE_UNIT_MS));
    u64::try_from(age).unwrap_or(u64::MAX)
}

/// Selects at most `limit` items, different ones each round.
fn rotate<T>(mut items: Vec<T>, round: u64, limit: usize) -> Vec<T> {
    if items.len() > limit {
        // A hashed start: one that advances evenly could correlate with the rotation of targets
        // and send some items to few peers only.
        let start = tag::mix(round) % items.len() as u64;
        items.rotate_left(usize::try_from(start).unwrap_or(0));
        items.truncate(limit);
    }
    items
}
