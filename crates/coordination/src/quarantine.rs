//! Requests that crash endpoints: strikes, isolation of suspects, and refusal.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Time after its last strike for which a fingerprint is a suspect or refused.
pub const REMEMBER: Duration = Duration::from_secs(600);

/// Highest number of fingerprints with strikes for each kind of service; the oldest is dropped.
pub const MAX_FINGERPRINTS: usize = 4_096;

/// Distinct endpoints after which a fingerprint is refused, if it ran in isolation on one of them.
pub const MAX_ENDPOINTS: usize = 2;

/// Endpoints kept for each fingerprint, as places to avoid.
const MAX_KEPT: usize = 4;

/// Time for which the answer to the caller of a crashed request waits for the peers'
/// acknowledgements.
///
/// A caller that resends at once must not find a host that does not know of the strike.
pub const HOLD: Duration = Duration::from_secs(1);

/// Kind of service. Strikes and the bound on their number are separate for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// Prefill and decode engines.
    Model,
    /// Plain services.
    Plain,
}

/// Identity of a request, equal when its caller sends it again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint {
    /// Name of the customer; empty on open routes.
    pub customer: String,
    /// Name of the route.
    pub route: String,
    /// SHA-256 of the body.
    pub body: [u8; 32],
}

/// A request in flight when its endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Struck {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it ran as a suspect, so that [`may_join`] kept other customers' requests away.
    pub isolated: bool,
}

/// Record and immediate word about strikes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Event {
    /// An endpoint crashed while these requests were in flight.
    Strike {
        /// Kind of service.
        kind: Kind,
        /// Name of the endpoint.
        endpoint: String,
        /// Requests in flight.
        struck: Vec<Struck>,
    },
    /// A suspect ran to its end, so the endpoint crashed for another reason.
    Clear {
        /// Kind of service.
        kind: Kind,
        /// Endpoints whose strikes were known when the run began.
        endpoints: Vec<String>,
        /// The suspect.
        fingerprint: Fingerprint,
    },
}

/// Ways in which an endpoint stops serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The process ended or restarted.
    Crashed,
    /// The platform lists the endpoint's host as leaving.
    HostLeaving,
    /// The endpoint cannot be reached and may still run.
    Unreachable,
}

/// Strikes for the end of an endpoint, if it gives any.
///
/// A process that died with nothing in flight, or whose host is leaving, says nothing about
/// requests. Neither does a broken network.
#[must_use]
pub fn strike(
    kind: Kind,
    endpoint: &str,
    end: End,
    in_flight: impl IntoIterator<Item = Struck>,
) -> Option<Event> {
    let struck: BTreeSet<_> = in_flight.into_iter().collect();
    (end == End::Crashed && !struck.is_empty()).then(|| Event::Strike {
        kind,
        endpoint: endpoint.to_owned(),
        struck: struck.into_iter().collect(),
    })
}

/// How a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Anywhere.
    Free,
    /// Not on these endpoints, and only where [`may_join`] permits it.
    Suspect {
        /// Endpoints that crashed with the request.
        avoid: Vec<String>,
    },
    /// Not at all; the request was not run.
    Refused,
}

/// A request that runs or is to run on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupant<'a> {
    /// Name of its customer.
    pub customer: &'a str,
    /// Whether it is a suspect.
    pub suspect: bool,
}

/// Whether a request may run beside those that run on an endpoint.
///
/// A suspect runs beside its own customer's requests only, none of them a suspect. Isolation from
/// other suspects alone would not do: an unknown crashing request of another customer could give an
/// innocent suspect its second strike.
pub fn may_join<'a>(new: Occupant<'_>, running: impl IntoIterator<Item = Occupant<'a>>) -> bool {
    running
        .into_iter()
        .all(|other| match (new.suspect, other.suspect) {
            (false, false) => true,
            (true, true) => false,
            _ => new.customer == other.customer,
        })
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Strikes {
    /// Endpoints, and whether the request ran there in isolation.
    endpoints: BTreeMap<String, bool>,
    last_ms: u64,
}

/// Table of strikes, by the log's clock in replicas and by the host's clock in [`Local`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    kinds: BTreeMap<Kind, BTreeMap<Fingerprint, Strikes>>,
    by_time: BTreeSet<(u64, Kind, Fingerprint)>,
}

impl Table {
    /// Applies an event at a time in milliseconds; times must not decrease.
    pub fn apply(&mut self, time_ms: u64, event: &Event) {
        match event {
            Event::Strike {
                kind,
                endpoint,
                struck,
            } => {
                for struck in struck {
                    self.add(time_ms, *kind, struck, endpoint);
                }
            }
            Event::Clear {
                kind,
                endpoints,
                fingerprint,
            } => self.clear(*kind, endpoints, fingerprint),
        }
    }

    /// Forgets strikes that are older than [`REMEMBER`] at `time_ms`.
    pub fn forget(&mut self, time_ms: u64) {
        let remember_ms = REMEMBER.as_millis() as u64;
        while let Some((last_ms, ..)) = self.by_time.first()
            && time_ms >= last_ms.saturating_add(remember_ms)
        {
            self.drop_first(None);
        }
    }

    /// Endpoints that crashed with a request, and whether it ran there in isolation. Strikes that
    /// are too old at `time_ms` do not count, also when [`Table::forget`] was not called.
    pub fn endpoints(
        &self,
        time_ms: u64,
        kind: Kind,
        fingerprint: &Fingerprint,
    ) -> impl Iterator<Item = (&String, bool)> {
        let remember_ms = REMEMBER.as_millis() as u64;
        let strikes = self.kinds.get(&kind).and_then(|kind| kind.get(fingerprint));
        let strikes = strikes.filter(|one| time_ms < one.last_ms.saturating_add(remember_ms));
        let endpoints = strikes.into_iter().flat_map(|strikes| &strikes.endpoints);
        endpoints.map(|(endpoint, isolated)| (endpoint, *isolated))
    }

    /// Number of fingerprints with strikes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_time.len()
    }

    /// Whether no fingerprint has a strike.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_time.is_empty()
    }

    /// Approximate memory in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let fingerprints = self.by_time.iter().map(|(_, _, fingerprint)| {
            2 * (size_of::<Fingerprint>() + fingerprint.customer.len() + fingerprint.route.len())
        });
        let strikes = self
            .kinds
            .values()
            .flat_map(BTreeMap::values)
            .map(|strikes| {
                let names = strikes
                    .endpoints
                    .keys()
                    .map(|name| size_of::<String>() + name.len());
                size_of::<Strikes>() + names.sum::<usize>()
            });
        fingerprints.sum::<usize>() + strikes.sum::<usize>()
    }

    fn add(&mut self, time_ms: u64, kind: Kind, struck: &Struck, endpoint: &str) {
        let fingerprint = &struck.fingerprint;
        let strikes = self.kinds.entry(kind).or_default();
        let entry = strikes
            .entry(fingerprint.clone())
            .or_insert_with(|| Strikes {
                endpoints: BTreeMap::new(),
                last_ms: time_ms,
            });
        *entry.endpoints.entry(endpoint.to_owned()).or_default() |= struck.isolated;
        if entry.endpoints.len() > MAX_KEPT {
            let shared = entry.endpoints.iter().find(|(_, isolated)| !**isolated);
            let dropped = shared.or_else(|| entry.endpoints.iter().next());
            if let Some(dropped) = dropped.map(|(endpoint, _)| endpoint.clone()) {
                entry.endpoints.remove(&dropped);
            }
        }
        let earlier = (entry.last_ms, kind, fingerprint.clone());
        entry.last_ms = time_ms;
        let full = strikes.len() > MAX_FINGERPRINTS;
        self.by_time.remove(&earlier);
        self.by_time.insert((time_ms, kind, fingerprint.clone()));
        if full {
            self.drop_first(Some(kind));
        }
    }

    fn clear(&mut self, kind: Kind, endpoints: &[String], fingerprint: &Fingerprint) {
        let Some(strikes) = self.kinds.get_mut(&kind) else {
            return;
        };
        let Some(entry) = strikes.get_mut(fingerprint) else {
            return;
        };
        entry
            .endpoints
            .retain(|endpoint, _| !endpoints.contains(endpoint));
        if entry.endpoints.is_empty() {
            let key = (entry.last_ms, kind, fingerprint.clone());
            strikes.remove(fingerprint);
            self.by_time.remove(&key);
        }
    }

    fn drop_first(&mut self, kind: Option<Kind>) {
        let mut candidates = self.by_time.iter();
        let first = candidates.find(|(_, of, _)| kind.is_none_or(|kind| kind == *of));
        if let Some(first) = first.cloned() {
            self.by_time.remove(&first);
            if let Some(strikes) = self.kinds.get_mut(&first.1) {
                strikes.remove(&first.2);
            }
        }
    }
}

/// What a host knows from its own crashes and its peers' words, before the log shows it.
#[derive(Clone, Debug, Default)]
pub struct Local {
    words: Table,
}

impl Local {
    /// Takes an own or a peer's event. Repeated words have no effect but a later end.
    pub fn apply(&mut self, now: Instant, event: &Event) {
        self.words.forget(now.as_millis());
        self.words.apply(now.as_millis(), event);
    }

    /// Decides how a request may run; `replicated` is the replica's table.
    ///
    /// `log_ms` is the time of the log's clock as the host estimates it: the replica's log time plus
    /// the time since it was applied. With the replica's log time alone, strikes would last for as
    /// long as the log is down.
    #[must_use]
    pub fn verdict(
        &self,
        now: Instant,
        log_ms: u64,
        replicated: &Table,
        kind: Kind,
        fingerprint: &Fingerprint,
    ) -> Verdict {
        let mut avoid = BTreeMap::new();
        let words = self.words.endpoints(now.as_millis(), kind, fingerprint);
        let replicated = replicated.endpoints(log_ms, kind, fingerprint);
        for (endpoint, isolated) in words.chain(replicated) {
            *avoid.entry(endpoint).or_insert(false) |= isolated;
        }
        if avoid.is_empty() {
            return Verdict::Free;
        }
        // Strikes from shared endpoints alone may all be another customer's fault: hosts may differ
        // about strikes that were cleared, and then a request can run as free twice.
        if avoid.len() >= MAX_ENDPOINTS && avoid.values().any(|isolated| *isolated) {
            return Verdict::Refused;
        }
        Verdict::Suspect {
            avoid: avoid.into_keys().cloned().collect(),
        }
    }

    /// All strikes heard, as words for a peer that has just started.
    ///
    /// It must take the words of every live peer before it is ready: an announcement that it
    /// acknowledged before its restart may not have reached all others.
    pub fn words(&self) -> impl Iterator<Item = Event> {
        let kinds = self.words.kinds.iter();
        let strikes = kinds.flat_map(|(kind, strikes)| strikes.iter().map(|one| (*kind, one)));
        strikes.flat_map(|(kind, (fingerprint, strikes))| {
            let endpoints = strikes.endpoints.iter();
            endpoints.map(move |(endpoint, isolated)| Event::Strike {
                kind,
                endpoint: endpoint.clone(),
                struck: vec![Struck {
                    fingerprint: fingerprint.clone(),
                    isolated: *isolated,
                }],
            })
        })
    }

    /// Approximate memory in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.words.size_bytes()
    }
}

/// Announcement of an event to the peers, which holds back the caller's answer.
///
/// A gateway whose coordinator restarts before the announcement is done repeats the strike to the
/// new coordinator; otherwise that host alone would not know it.
#[derive(Clone, Debug)]
pub struct Announcement<H> {
    event: Event,
    missing: BTreeSet<H>,
    since: Instant,
}

impl<H: Ord> Announcement<H> {
    /// Starts to announce an event to the live peers.
    pub fn new(now: Instant, event: Event, peers: impl IntoIterator<Item = H>) -> Self {
        Self {
            event,
            missing: peers.into_iter().collect(),
            since: now,
        }
    }

    /// The announced event.
    #[must_use]
    pub const fn event(&self) -> &Event {
        &self.event
    }

    /// Peers that must be told, again if they were told before.
    pub fn unacknowledged(&self) -> impl Iterator<Item = &H> {
        self.missing.iter()
    }

    /// Takes a peer's acknowledgement.
    pub fn acknowledged(&mut self, peer: &H) {
        self.missing.remove(peer);
    }

    /// Whether the callers of the crashed requests may be answered.
    #[must_use]
    pub fn is_done(&self, now: Instant) -> bool {
        self.missing.is_empty() || now.since(self.since) >= HOLD
    }
}
