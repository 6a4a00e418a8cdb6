//! Hosts and endpoints as one host sees them, and the gossip that spreads what it knows.

mod digest;
mod tag;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::{Drift, Instant};

pub use digest::{DIGEST_BYTES, Digest, Load, Piggyback, TRAFFIC_BYTES_PER_SECOND};
use digest::{MAX_LEAVING, MAX_LOADS, MAX_STRIKES};
pub use tag::tag;

/// Digests that a host sends each second.
pub const FANOUT: usize = 3;

/// Highest number of hosts in a view, almost three times the fleet of 360.
const HOST_LIMIT: usize = 1_024;

/// Highest number of endpoints in a view, more than twice the fleet of 3,100.
const ENDPOINT_LIMIT: usize = 8_192;

/// Highest number of statements about leaving names in a view.
const LEAVING_LIMIT: usize = 4_096;

/// Unit of the ages in a digest.
const AGE_UNIT_MS: u64 = 100;

/// Durations of the health rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A host without a sign of life for this long is silent.
    pub silent: Duration,
    /// A host without a renewal for this long, and ...
    pub lease: Duration,
    /// ... without any other sign of life for this long is dead.
    pub dead: Duration,
    /// Lifetime of a statement that a host or an endpoint is leaving.
    pub leaving: Duration,
    /// Bound on the error of all clocks.
    pub drift: Drift,
}

impl Default for Limits {
    /// Renewals come every 5 s and expire after 15 s (design, section 5.1). While the log is out,
    /// gossip at 360 hosts takes more than 10 s to refresh the rarest host, so death takes 20 s;
    /// reaping does not depend on it and has its own rule. A statement about a leaving name lives
    /// for 60 s, several times as long as it takes to spread, and first-hand sources renew it.
    fn default() -> Self {
        Self {
            silent: Duration::from_secs(6),
            lease: Duration::from_secs(15),
            dead: Duration::from_secs(20),
            leaving: Duration::from_secs(60),
            drift: Drift::default(),
        }
    }
}

/// Health of a host or an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Takes new work.
    Live,
    /// Finishes its work and takes no new work.
    Leaving,
    /// Was not heard lately; takes work if it can be reached.
    Silent,
    /// Takes no work.
    Dead,
}

/// State of a name in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// The platform keeps it.
    Live,
    /// The platform will take it away.
    Leaving,
}

#[derive(Clone, Copy, Debug)]
struct Host {
    tag: u64,
    listed: bool,
    renewed: Option<Instant>,
    heard: Instant,
    /// Whether another host has the same short tag; digests do not speak about such hosts.
    ambiguous: bool,
}

#[derive(Clone, Copy, Debug)]
struct Endpoint {
    tag: u64,
    listed: bool,
    load: Option<(Load, Instant)>,
    /// Whether the load was reported to this host by the endpoint.
    own: bool,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    at: Instant,
    /// Digests that carried it.
    told: u32,
}

/// One host's view of the fleet.
#[derive(Clone, Debug)]
pub struct View {
    limits: Limits,
    own: Box<str>,
    hosts: BTreeMap<Box<str>, Host>,
    short: BTreeMap<u32, Box<str>>,
    endpoints: BTreeMap<Box<str>, Endpoint>,
    tags: BTreeMap<u64, Box<str>>,
    /// Latest first-hand statements that a name is leaving, by tag.
    leaving: BTreeMap<u64, Statement>,
}

impl View {
    /// Makes the view of the host `own`, which knows only itself.
    #[must_use]
    pub fn new(now: Instant, own: &str, limits: Limits) -> Self {
        let mut view = Self {
            limits,
            own: own.into(),
            hosts: BTreeMap::new(),
            short: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            tags: BTreeMap::new(),
            leaving: BTreeMap::new(),
        };
        view.host(now, own);
        view
    }

    /// Applies the platform's list of entry hosts. A host that is no longer listed is forgotten
    /// once it is dead.
    pub fn set_hosts<'a>(
        &mut self,
        now: Instant,
        list: impl IntoIterator<Item = (&'a str, Listed)>,
    ) {
        self.hosts.values_mut().for_each(|host| host.listed = false);
        for (name, listed) in list {
            if let Some(host) = self.host(now, name) {
                host.listed = true;
            }
            self.state(now, tag(name), listed);
        }
        let hosts = self.hosts.iter();
        let gone = hosts.filter(|(name, host)| !host.listed && self.dead(now, name, host));
        let gone: Vec<Box<str>> = gone.map(|(name, _)| name.clone()).collect();
        for name in gone {
            if let Some(host) = self.hosts.remove(&name)
                && !host.ambiguous
            {
                self.short.remove(&tag::short(host.tag));
            }
        }
    }

    /// Applies the platform's list of endpoint hosts and the endpoints of the configuration.
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
            } else if self.endpoints.len() < ENDPOINT_LIMIT {
                let endpoint = Endpoint {
                    tag,
                    listed: true,
                    load: None,
                    own: false,
                };
                self.endpoints.insert(name.into(), endpoint);
                self.tags.insert(tag, name.into());
            }
            self.state(now, tag, listed);
        }
        self.endpoints.retain(|_, endpoint| endpoint.listed);
        self.tags
            .retain(|_, name| self.endpoints.contains_key(name));
    }

    /// Notes a host's renewal, read from the log.
    pub fn record_renewal(&mut self, now: Instant, name: &str) {
        if let Some(host) = self.host(now, name) {
            host.renewed = Some(now);
        }
    }

    /// Notes a message that came directly from a host.
    pub fn record_contact(&mut self, now: Instant, name: &str) {
        if let Some(host) = self.host(now, name) {
            host.heard = now;
        }
    }

    /// Notes a first-hand statement that a host or an endpoint is leaving: by itself, by a release
    /// of its leases, or by an operator.
    pub fn mark_leaving(&mut self, now: Instant, name: &str) {
        self.state(now, tag(name), Listed::Leaving);
    }

    /// Notes the load of an endpoint that this host coordinates.
    pub fn record_load(&mut self, now: Instant, name: &str, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.load = Some((load, now));
            endpoint.own = true;
        }
    }

    /// Health of a host; dead when it is unknown.
    #[must_use]
    pub fn host_health(&self, now: Instant, name: &str) -> Health {
        let host = self.hosts.get(name);
        host.map_or(Health::Dead, |host| self.health(now, name, host))
    }

    /// Health of an endpoint; dead when it is not listed. Silent when its load was known to this
    /// host and was not reported since.
    #[must_use]
    pub fn endpoint_health(&self, now: Instant, name: &str) -> Health {
        let Some(endpoint) = self.endpoints.get(name) else {
            return Health::Dead;
        };
        let silent = |(_, at): (Load, Instant)| now.since(at) >= self.limits.silent;
        if self.is_leaving(now, endpoint.tag) {
            Health::Leaving
        } else if endpoint.own && endpoint.load.is_some_and(silent) {
            Health::Silent
        } else {
            Health::Live
        }
    }

    /// Latest known load of an endpoint and its age.
    #[must_use]
    pub fn latest_load(&self, now: Instant, name: &str) -> Option<(Load, Duration)> {
        let (load, at) = self.endpoints.get(name)?.load?;
        Some((load, now.since(at)))
    }

    /// Coordinating host of an endpoint: the live or silent host with the highest hash of both
    /// names (rendezvous hashing), so that a host that comes or goes moves only its own share.
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

    /// Peers for the digests of a round, at most [`FANOUT`]. Rounds count seconds of the Unix
    /// clock, so that all hosts are in the same round or in neighbouring ones.
    ///
    /// Among `n` hosts in the order of their names, two targets are `3^k` and `2 × 3^k` places
    /// away, where `k` takes turns below `log3 n`: news reaches every host in `⌈log3 n⌉` rounds.
    /// The third target moves one place each round and reaches every host directly.
    #[must_use]
    pub fn targets(&self, now: Instant, round: u64) -> Vec<&str> {
        let hosts = self.hosts.iter();
        let alive = hosts.filter(|(name, host)| !self.dead(now, name, host));
        let ring: Vec<&str> = alive.map(|(name, _)| &**name).collect();
        let Ok(place) = ring.binary_search(&&*self.own) else {
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
            let target = ring[(place + offset) % ring.len()];
            if *target != *self.own && !targets.contains(&target) {
                targets.push(target);
            }
        }
        targets
    }

    /// Makes the digest of a round. Where more is known than fits, entries take turns.
    #[must_use]
    pub fn digest(&mut self, now: Instant, round: u64, mut piggyback: Piggyback) -> Digest {
        piggyback.strikes.truncate(MAX_STRIKES);
        let mut hosts = Vec::new();
        for (name, host) in &self.hosts {
            let sign = if **name == *self.own { now } else { sign(host) };
            let age = u8::try_from(age(now, sign));
            if let Ok(age) = age
                && !host.ambiguous
            {
                hosts.push((tag::short(host.tag), age));
            }
        }
        let leaving = self.tell_leaving(now, round);
        let mut loads = Vec::new();
        for endpoint in self.endpoints.values() {
            if let Some((load, at)) = endpoint.load
                && endpoint.own
                && now.since(at) < self.limits.silent
            {
                loads.push((endpoint.tag, load));
            }
        }
        let loads = turn(loads, round, MAX_LOADS);
        // Mostly the freshest, which are news to the most peers; the rest take turns, so that no
        // host is always among the older ones.
        let limit = digest::host_limit(piggyback.strikes.len(), leaving.len(), loads.len());
        let mixed = |(short, _): &(u32, u8)| tag::mix(u64::from(*short) ^ round);
        hosts.sort_by_key(|entry| (entry.1, mixed(entry)));
        let rest = hosts.split_off(hosts.len().min(limit * 2 / 3));
        hosts.extend(turn(rest, round, limit - limit * 2 / 3));
        Digest {
            piggyback,
            hosts,
            leaving,
            loads,
        }
    }

    /// Applies a digest of the host `sender`. Its piggyback is for other modules.
    pub fn merge(&mut self, now: Instant, sender: &str, digest: &Digest) {
        self.record_contact(now, sender);
        for (short, age) in &digest.hosts {
            let at = now - Duration::from_millis(u64::from(*age) * AGE_UNIT_MS);
            let host = self
                .short
                .get(short)
                .and_then(|name| self.hosts.get_mut(name));
            if let Some(host) = host
                && !host.ambiguous
            {
                host.heard = host.heard.max(at);
            }
        }
        for (tag, age) in &digest.leaving {
            let age = Duration::from_millis(u64::from(*age) * AGE_UNIT_MS);
            if age < self.limits.leaving {
                self.state(now - age, *tag, Listed::Leaving);
            }
        }
        for (tag, load) in &digest.loads {
            let endpoint = self
                .tags
                .get(tag)
                .and_then(|name| self.endpoints.get_mut(name));
            if let Some(endpoint) = endpoint {
                endpoint.load = Some((*load, now));
                endpoint.own = false;
            }
        }
    }

    /// Names of all hosts in the view.
    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts.keys().map(|name| &**name)
    }

    fn host(&mut self, now: Instant, name: &str) -> Option<&mut Host> {
        if !self.hosts.contains_key(name) {
            if self.hosts.len() >= HOST_LIMIT {
                return None;
            }
            let tag = tag(name);
            let other = self.short.get(&tag::short(tag));
            let ambiguous = other.is_some();
            if let Some(other) = other.and_then(|other| self.hosts.get_mut(other)) {
                other.ambiguous = true;
            }
            let host = Host {
                tag,
                listed: false,
                renewed: None,
                heard: now,
                ambiguous,
            };
            if !ambiguous {
                self.short.insert(tag::short(tag), name.into());
            }
            self.hosts.insert(name.into(), host);
        }
        self.hosts.get_mut(name)
    }

    /// Notes what a source said at `at`. That a name is live may be said by the platform's late
    /// list, so it does not end a statement that the name is leaving; the statement expires.
    fn state(&mut self, at: Instant, tag: u64, listed: Listed) {
        if listed == Listed::Live {
            return;
        }
        if let Some(known) = self.leaving.get_mut(&tag) {
            known.at = known.at.max(at);
            return;
        }
        if self.leaving.len() >= LEAVING_LIMIT {
            let oldest = self
                .leaving
                .iter()
                .min_by_key(|(_, statement)| statement.at);
            let oldest = oldest.map(|(tag, _)| *tag);
            oldest.and_then(|tag| self.leaving.remove(&tag));
        }
        self.leaving.insert(tag, Statement { at, told: 0 });
    }

    /// Statements for a digest, those told least often first, so that news goes out at once.
    fn tell_leaving(&mut self, now: Instant, round: u64) -> Vec<(u64, u16)> {
        let lifetime = self.limits.leaving;
        self.leaving
            .retain(|_, statement| now.since(statement.at) < lifetime);
        let mut statements: Vec<(&u64, &mut Statement)> = self.leaving.iter_mut().collect();
        // Equals are mixed anew each round; a fixed order could keep in step with the targets'
        // turns and tell some statements to few peers only.
        statements.sort_by_key(|(tag, statement)| (statement.told, tag::mix(**tag ^ round)));
        let mut told = Vec::new();
        for (tag, statement) in statements.into_iter().take(MAX_LEAVING) {
            statement.told += 1;
            told.push((
                *tag,
                u16::try_from(age(now, statement.at)).unwrap_or(u16::MAX),
            ));
        }
        told
    }

    fn is_leaving(&self, now: Instant, tag: u64) -> bool {
        let statement = self.leaving.get(&tag);
        statement.is_some_and(|statement| now.since(statement.at) < self.limits.leaving)
    }

    fn dead(&self, now: Instant, name: &str, host: &Host) -> bool {
        let drift = self.limits.drift;
        let expired = |at| now.since(at) >= drift.safe_wait(self.limits.lease);
        *name != *self.own
            && now.since(host.heard) >= drift.safe_wait(self.limits.dead)
            && host.renewed.is_none_or(expired)
    }

    fn health(&self, now: Instant, name: &str, host: &Host) -> Health {
        if self.dead(now, name, host) {
            Health::Dead
        } else if self.is_leaving(now, host.tag) {
            Health::Leaving
        } else if *name != *self.own && now.since(sign(host)) >= self.limits.silent {
            Health::Silent
        } else {
            Health::Live
        }
    }
}

/// Latest sign of life of a host.
fn sign(host: &Host) -> Instant {
    let renewed = host.renewed.unwrap_or(host.heard);
    host.heard.max(renewed)
}

/// Age in units of a digest, rounded up so that relays never make news younger.
fn age(now: Instant, at: Instant) -> u64 {
    let age = now.since(at).as_millis().div_ceil(u128::from(AGE_UNIT_MS));
    u64::try_from(age).unwrap_or(u64::MAX)
}

/// Takes at most `limit` items, other ones each round.
fn turn<T>(mut items: Vec<T>, round: u64, limit: usize) -> Vec<T> {
    if items.len() > limit {
        // A mixed start, since one that advances evenly could keep in step with the targets' turns
        // and send some items to few peers only.
        let start = tag::mix(round) % items.len() as u64;
        items.rotate_left(usize::try_from(start).unwrap_or(0));
        items.truncate(limit);
    }
    items
}
