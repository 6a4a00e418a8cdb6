//! Quarantine of requests that crash endpoints: strikes, isolation of suspects, and refusal.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Instant;

/// Retention of a fingerprint's strikes, counted from its latest strike.
pub const STRIKE_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of fingerprints with strikes for each kind of service; beyond it, the one with
/// the oldest latest strike is dropped.
pub const MAX_FINGERPRINTS: usize = 4_096;

/// Number of distinct crashed endpoints at which a fingerprint is refused, if it ran in isolation
/// on at least one of them.
pub const MAX_CRASHED_ENDPOINTS: usize = 2;

/// Maximum number of crashed endpoints kept for each fingerprint, which its later runs avoid.
const MAX_KEPT_ENDPOINTS: usize = 4;

/// Timeout of the peers' acknowledgements of a strike; the caller of the crashed request is
/// answered only afterwards.
///
/// A caller that retries immediately must not reach a host that does not know of the strike.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Kind of service; strikes are stored and bounded per kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// Prefill and decode engines.
    Model,
    /// Plain services.
    Plain,
}

/// Identity of a request, which is the same for a retry by its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint {
    /// Name of the customer; empty on open routes, which need no API key.
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
    /// Identity of the request.
    pub fingerprint: Fingerprint,
    /// Whether it ran as a suspect, so that [`may_join`] kept other customers' requests away.
    pub isolated: bool,
}

/// Change of the strikes, as a log record and as a direct message to the peers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Event {
    /// An endpoint crashed while these requests were in flight.
    Strike {
        /// Kind of service.
        kind: Kind,
        /// Name of the crashed endpoint.
        endpoint: String,
        /// Requests in flight at the crash.
        struck: Vec<Struck>,
    },
    /// A suspect ran to completion, so it did not cause the earlier crashes.
    Clear {
        /// Kind of service.
        kind: Kind,
        /// Endpoints whose strikes were known when the suspect started.
        endpoints: Vec<String>,
        /// Identity of the suspect.
        fingerprint: Fingerprint,
    },
}

/// Reason why an endpoint stopped serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The endpoint's process exited or restarted.
    Crashed,
    /// The endpoint's host is draining: the platform lists it as leaving.
    HostLeaving,
    /// The endpoint is unreachable and may still be running.
    Unreachable,
}

/// Strike event for an endpoint that stopped serving; `None` unless it crashed with requests in
/// flight.
///
/// A leaving host, a network fault and a crash without requests in flight are no evidence against a
/// request.
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

/// Placement decision for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request has no strikes and may run anywhere.
    Free,
    /// The request may run only where [`may_join`] allows it, and not on endpoints that crashed
    /// with it.
    Suspect {
        /// Endpoints that crashed with the request.
        avoid: Vec<String>,
    },
    /// The request has too many strikes and is not run.
    Refused,
}

/// A request that runs or would run on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupant<'a> {
    /// Name of the request's customer.
    pub customer: &'a str,
    /// Whether the request is a suspect.
    pub suspect: bool,
}

/// Whether a request may run on an endpoint next to its running requests.
///
/// A suspect shares an endpoint only with requests of its own customer that are not suspects.
/// Isolation from other suspects alone is not enough: a crashing request of another customer that
/// has no strike yet could give an innocent suspect its second strike.
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
    /// Crashed endpoints, and whether the request ran there in isolation.
    endpoints: BTreeMap<String, bool>,
    last_ms: u64,
}

/// Strikes by kind and fingerprint. Times are of the log's clock in replicas and of the host's
/// clock in [`Local`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    kinds: BTreeMap<Kind, BTreeMap<Fingerprint, Strikes>>,
    by_time: BTreeSet<(u64, Kind, Fingerprint)>,
}

impl Table {
    /// Applies an event at `time_ms`, which must not decrease between calls.
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

    /// Drops strikes that have reached [`STRIKE_RETENTION`] at `time_ms`.
    pub fn forget(&mut self, time_ms: u64) {
        let retention_ms = STRIKE_RETENTION.as_millis() as u64;
        while let Some((last_ms, ..)) = self.by_time.first()
            && time_ms >= last_ms.saturating_add(retention_ms)
        {
            self.drop_oldest(None);
        }
    }

    /// Endpoints that crashed with a request, and whether it ran there in isolation. Strikes past
    /// their retention at `time_ms` are left out even if [`Table::forget`] has not been called.
    pub fn endpoints(
        &self,
        time_ms: u64,
        kind: Kind,
        fingerprint: &Fingerprint,
    ) -> impl Iterator<Item = (&String, bool)> {
        let retention_ms = STRIKE_RETENTION.as_millis() as u64;
        let strikes = self.kinds.get(&kind).and_then(|kind| kind.get(fingerprint));
        let strikes =
            strikes.filter(|strikes| time_ms < strikes.last_ms.saturating_add(retention_ms));
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

    /// Approximate memory in use, in bytes.
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
        if entry.endpoints.len() > MAX_KEPT_ENDPOINTS {
            let not_isolated = entry.endpoints.iter().find(|(_, isolated)| !**isolated);
            let dropped = not_isolated.or_else(|| entry.endpoints.iter().next());
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
            self.drop_oldest(Some(kind));
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

    fn drop_oldest(&mut self, kind: Option<Kind>) {
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

/// Strikes that a host knows from its own endpoints and its peers' messages before they are read
/// from the log.
#[derive(Clone, Debug, Default)]
pub struct Local {
    strikes: Table,
}

impl Local {
    /// Applies an event of this host or of a peer. A repeated strike only renews its retention.
    pub fn apply(&mut self, now: Instant, event: &Event) {
        self.strikes.forget(now.as_millis());
        self.strikes.apply(now.as_millis(), event);
    }

    /// Decides how a request may run; `replicated` is the replica's table.
    ///
    /// `log_ms` is the host's estimate of the log's clock: the replica's log time plus the time
    /// since that was applied. With the replica's log time alone, strikes would not expire during
    /// an outage of the log.
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
        let local = self.strikes.endpoints(now.as_millis(), kind, fingerprint);
        let replicated = replicated.endpoints(log_ms, kind, fingerprint);
        for (endpoint, isolated) in local.chain(replicated) {
            *avoid.entry(endpoint).or_insert(false) |= isolated;
        }
        if avoid.is_empty() {
            return Verdict::Free;
        }
        // Without a strike in isolation, another customer's request may have caused all crashes:
        // hosts may disagree about cleared strikes, and then a request can run without isolation
        // twice.
        if avoid.len() >= MAX_CRASHED_ENDPOINTS && avoid.values().any(|isolated| *isolated) {
            return Verdict::Refused;
        }
        Verdict::Suspect {
            avoid: avoid.into_keys().cloned().collect(),
        }
    }

    /// All known strikes, as events for a peer that has just started.
    ///
    /// Before it is ready, that peer must apply the events of every live peer: an announcement that
    /// it acknowledged before its restart may not have reached all others.
    pub fn strike_events(&self) -> impl Iterator<Item = Event> {
        let kinds = self.strikes.kinds.iter();
        let strikes = kinds.flat_map(|(kind, strikes)| strikes.iter().map(|entry| (*kind, entry)));
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

    /// Approximate memory in use, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.strikes.size_bytes()
    }
}

/// Announcement of an event to the peers, which delays the answers to the callers of the crashed
/// requests.
///
/// A gateway whose coordinator restarts before the announcement is done resends the strike to the
/// new coordinator; otherwise this host would be the only one without it.
#[derive(Clone, Debug)]
pub struct Announcement<H> {
    event: Event,
    unacknowledged: BTreeSet<H>,
    since: Instant,
}

impl<H: Ord> Announcement<H> {
    /// Starts the announcement of an event to the live peers.
    pub fn new(now: Instant, event: Event, peers: impl IntoIterator<Item = H>) -> Self {
        Self {
            event,
            unacknowledged: peers.into_iter().collect(),
            since: now,
        }
    }

    /// The announced event.
    #[must_use]
    pub const fn event(&self) -> &Event {
        &self.event
    }

    /// Peers that have not acknowledged the event, to which it is sent again.
    pub fn unacknowledged(&self) -> impl Iterator<Item = &H> {
        self.unacknowledged.iter()
    }

    /// Records a peer's acknowledgement.
    pub fn acknowledged(&mut self, peer: &H) {
        self.unacknowledged.remove(peer);
    }

    /// Whether the callers of the crashed requests may be answered: all peers have acknowledged, or
    /// [`ACKNOWLEDGEMENT_TIMEOUT`] has passed.
    #[must_use]
    pub fn is_done(&self, now: Instant) -> bool {
        self.unacknowledged.is_empty() || now.since(self.since) >= ACKNOWLEDGEMENT_TIMEOUT
    }
}
