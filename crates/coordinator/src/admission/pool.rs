//! Engines of one model: choice, decode slots, ejection, and the requests that wait for them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::eject::{Detector, Outcome};
use berylknot_coordination::placement::{Candidate, Choice, Chooser, Key, Prompt, Role, Settings};
use berylknot_coordination::queue::{Fair, Limits, Ticket};
use berylknot_coordination::record::Incarnation;
use berylknot_coordination::slot::{End, Ledger};
use berylknot_settings::fleet::{Endpoint, Fleet, Kind};
use berylknot_wire::local::Admit;

use super::Waiting;

/// Tokens in a prefix-cache piece (design page, section 1).
const PIECE_TOKENS: u32 = 2_000;
/// Prefill time of a token in the experiments' engine model.
const TOKEN_NANOS: u64 = 30_000;
/// KV cache bytes of a token in the experiments' engine model.
const TOKEN_BYTES: u64 = 40_000;
/// Assumed link rates in bytes per millisecond: 10 Gbit/s between and 25 Gbit/s inside data centres.
const CROSS_LINK: u64 = 1_250_000;
const LOCAL_LINK: u64 = 3_125_000;
/// Assumed one-way delay between two data centres in microseconds (design page, section 1).
const CROSS_DELAY_MICROS: u64 = 1_000;
/// Bounds of the queue. With 20 slots on 30 engines and 1 s per answer, 4,096 requests wait for
/// about 7 s, beyond the longest wait.
const QUEUE: Limits = Limits {
    per_customer: 1_024,
    total: 4_096,
};
/// Time after which a request asks again when all prefill engines are full.
const PREFILL_RETRY: Duration = Duration::from_millis(20);

/// Number of a request, unique over all hosts.
pub(super) type Slot = (Incarnation, u64);

/// Endpoints for a request, with a reserved decode slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placed {
    pub(super) prefill: Key,
    pub(super) decode: Key,
}

/// Why a request cannot be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Missing {
    /// A role has no engine that may be used.
    Endpoint,
    /// All engines are full.
    Slot {
        /// Time after which a slot is expected.
        retry_after: Duration,
    },
}

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) endpoint: Endpoint,
    /// Prefills of this host that run.
    prefills: u32,
    reachable: bool,
    pub(super) polled: bool,
    ledger: Ledger<Slot, Incarnation>,
}

/// Engines of one model and the requests that wait for them.
#[derive(Debug)]
pub(super) struct Pool {
    chooser: Chooser,
    engines: BTreeMap<Key, Engine>,
    names: HashMap<String, Key>,
    prefills: Detector<Key>,
    decodes: Detector<Key>,
    pub(super) queue: Fair<u32>,
    pub(super) waiting: HashMap<Ticket, Waiting>,
    /// Time before which no slot is expected.
    pub(super) blocked_until: Instant,
    pub(super) used_at: Instant,
}

impl Pool {
    /// Makes a pool without engines.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            chooser: Chooser::new(settings(1, 0)),
            engines: BTreeMap::new(),
            names: HashMap::new(),
            prefills: Detector::new(),
            decodes: Detector::new(),
            queue: Fair::new(QUEUE),
            waiting: HashMap::new(),
            blocked_until: now,
            used_at: now,
        }
    }

    /// Puts the engines of a configuration in force. Ledgers are kept; the knowledge of caches and
    /// loads is kept unless an engine came, went or changed.
    pub(super) fn configure(&mut self, fleet: &Fleet, model: &str, data_centre: &str) {
        let mut wanted = BTreeMap::new();
        for kind in [Kind::Prefill, Kind::Decode] {
            for (_, endpoint) in fleet.engines(model, kind) {
                wanted.insert(endpoint.name.clone(), endpoint);
            }
        }
        let same = wanted.len() == self.names.len()
            && wanted.iter().all(|(name, endpoint)| {
                let known = self.names.get(name).and_then(|key| self.engines.get(key));
                known.is_some_and(|known| is_same(&known.endpoint, endpoint))
            });
        if same {
            for engine in self.engines.values_mut() {
                engine.endpoint.leaving = wanted[&engine.endpoint.name].leaving;
            }
            return;
        }
        self.rebuild(&wanted, data_centre);
    }

    fn rebuild(&mut self, wanted: &BTreeMap<String, &Endpoint>, data_centre: &str) {
        let mut centres: Vec<&str> = wanted
            .values()
            .map(|endpoint| endpoint.data_centre.as_str())
            .chain([data_centre])
            .collect();
        centres.sort_unstable();
        centres.dedup();
        let index = |name: &str| centres.iter().position(|one| *one == name).unwrap_or(0);
        let old = std::mem::take(&mut self.engines);
        let mut old: HashMap<String, Engine> = old
            .into_values()
            .map(|engine| (engine.endpoint.name.clone(), engine))
            .collect();
        self.names.clear();
        self.chooser = Chooser::new(settings(centres.len(), index(data_centre)));
        (self.prefills, self.decodes) = (Detector::new(), Detector::new());
        for (name, endpoint) in wanted {
            let role = if endpoint.kind == Kind::Prefill {
                Role::Prefill
            } else {
                Role::Decode
            };
            let key = self.chooser.add(Candidate {
                role,
                data_centre: index(&endpoint.data_centre),
                slots: endpoint.slots,
            });
            let known = old.remove(name);
            let known = known.filter(|known| is_same(&known.endpoint, endpoint));
            let mut engine = known.unwrap_or_else(|| Engine {
                endpoint: (*endpoint).clone(),
                prefills: 0,
                reachable: true,
                polled: false,
                ledger: Ledger::new(endpoint.slots),
            });
            engine.endpoint.leaving = endpoint.leaving;
            self.engines.insert(key, engine);
            self.names.insert(name.clone(), key);
            self.detector(role).add(key);
        }
    }

    fn detector(&mut self, role: Role) -> &mut Detector<Key> {
        match role {
            Role::Prefill => &mut self.prefills,
            Role::Decode => &mut self.decodes,
        }
    }

    /// Sets the weight of a customer in the queue.
    pub(super) fn set_weight(&mut self, customer: u32, weight: u32) {
        let weight = NonZeroU32::new(weight).unwrap_or(NonZeroU32::MIN);
        self.queue.set_weight(customer, weight);
    }

    /// Name of an engine.
    pub(super) fn name(&self, key: Key) -> String {
        let engine = self.engines.get(&key);
        engine.map_or_else(String::new, |engine| engine.endpoint.name.clone())
    }

    /// Chooses engines for a request and reserves a decode slot.
    pub(super) fn reserve(
        &mut self,
        now: Instant,
        (slot, host): (Slot, Incarnation),
        admit: &Admit,
        avoid: &[String],
        draw: u64,
    ) -> Result<Placed, Missing> {
        let usable = self.mark_available(now, avoid);
        let prompt = Prompt {
            pieces: &admit.pieces,
            tokens: admit.prompt_tokens,
        };
        let Some(choice) = self.chooser.choose(now, prompt, draw) else {
            return Err(match usable {
                true => Missing::Slot {
                    retry_after: PREFILL_RETRY,
                },
                false => Missing::Endpoint,
            });
        };
        let decode = self.reserve_decode(now, slot, host, &choice)?;
        self.chooser.sent(now, &choice, decode, admit.prompt_tokens);
        if let Some(engine) = self.engines.get_mut(&choice.prefill) {
            engine.prefills += 1;
        }
        Ok(Placed {
            prefill: choice.prefill,
            decode,
        })
    }

    fn reserve_decode(
        &mut self,
        now: Instant,
        slot: Slot,
        host: Incarnation,
        choice: &Choice,
    ) -> Result<Key, Missing> {
        let mut soonest: Option<Duration> = None;
        for key in choice.decode.into_iter().flatten() {
            let Some(engine) = self.engines.get_mut(&key) else {
                continue;
            };
            // The wait at the prefill engine is only estimated. A prefill that ends before a slot is
            // free is wasted, so the time until it ends counts without that wait.
            let reserved =
                engine
                    .ledger
                    .reserve(now, slot, host, choice.prefill_time.min(choice.lead));
            match reserved {
                Ok(_) => return Ok(key),
                Err(full) => {
                    let retry = full.retry_after();
                    soonest = Some(soonest.map_or(retry, |soonest| soonest.min(retry)));
                }
            }
        }
        let retry_after = soonest.unwrap_or(PREFILL_RETRY);
        Err(Missing::Slot { retry_after })
    }

    /// Tells the chooser which engines may be used; true when both roles have one, full or not.
    fn mark_available(&mut self, now: Instant, avoid: &[String]) -> bool {
        let probes = [self.prefills.probe(now), self.decodes.probe(now)];
        let (mut prefill, mut decode) = (false, false);
        for (key, engine) in &self.engines {
            let is_prefill = engine.endpoint.kind == Kind::Prefill;
            let detector = if is_prefill {
                &self.prefills
            } else {
                &self.decodes
            };
            let ejected = detector.is_ejected(*key) && !probes.contains(&Some(*key));
            let usable = !engine.endpoint.leaving
                && engine.reachable
                && !ejected
                && !avoid.contains(&engine.endpoint.name);
            let full = is_prefill && engine.prefills >= engine.endpoint.slots;
            self.chooser.set_available(*key, usable && !full);
            prefill |= usable && is_prefill;
            decode |= usable && !is_prefill;
        }
        prefill && decode
    }

    /// Notes the end of a prefill, after which the decode runs.
    pub(super) fn prefilled(&mut self, now: Instant, running: &Sent<'_>, cached_tokens: u32) {
        if let Some(key) = self.names.get(running.prefill).copied() {
            let cached = (cached_tokens / PIECE_TOKENS) as usize;
            let cached = cached.min(running.pieces.len());
            self.chooser.prefilled(key, running.pieces, cached);
            self.prefill_ended(now, key);
        }
        if let Some(engine) = self.engine(running.decode)
            && !engine.ledger.start(now, running.slot)
        {
            // The reservation ended before a long prefill did.
            engine
                .ledger
                .confirm(now, running.slot.0, std::iter::once(running.slot));
        }
    }

    fn prefill_ended(&mut self, now: Instant, key: Key) {
        self.chooser.ended(now, key);
        if let Some(engine) = self.engines.get_mut(&key) {
            engine.prefills = engine.prefills.saturating_sub(1);
        }
    }

    /// Gives up what a request held.
    pub(super) fn ended(&mut self, now: Instant, running: &Sent<'_>, is_prefilled: bool, end: End) {
        if !is_prefilled && let Some(key) = self.names.get(running.prefill).copied() {
            self.prefill_ended(now, key);
        }
        if let Some(key) = self.names.get(running.decode).copied() {
            self.chooser.ended(now, key);
        }
        if let Some(engine) = self.engine(running.decode) {
            engine.ledger.end(now, running.slot, end);
        }
        self.blocked_until = now;
    }

    /// Counts an outcome at an engine.
    pub(super) fn outcome(&mut self, now: Instant, name: &str, outcome: Outcome) {
        let Some(key) = self.names.get(name).copied() else {
            return;
        };
        let is_prefill = self.engines[&key].endpoint.kind == Kind::Prefill;
        let role = if is_prefill {
            Role::Prefill
        } else {
            Role::Decode
        };
        if let Some(change) = self.detector(role).outcome(now, key, outcome) {
            tracing::info!(endpoint = name, ?change, "admission: ejection changed");
        }
    }

    /// Confirms a stream of this host.
    pub(super) fn confirm(&mut self, now: Instant, decode: &str, slot: Slot) {
        if let Some(engine) = self.engine(decode) {
            engine.ledger.confirm(now, slot.0, std::iter::once(slot));
        }
    }

    /// Drops reservations and streams that were not confirmed in time.
    pub(super) fn tick(&mut self, now: Instant) {
        for engine in self.engines.values_mut() {
            engine.ledger.tick(now);
        }
    }

    fn engine(&mut self, name: &str) -> Option<&mut Engine> {
        self.engines.get_mut(self.names.get(name)?)
    }

    /// Engines whose load is to be asked for, marked as being asked.
    pub(super) fn poll(&mut self) -> Vec<(String, SocketAddr)> {
        let mut engines = Vec::new();
        for engine in self.engines.values_mut() {
            if !std::mem::replace(&mut engine.polled, true) {
                engines.push((engine.endpoint.name.clone(), engine.endpoint.address));
            }
        }
        engines
    }

    /// Forgets that engines were unreachable while nobody asks them.
    pub(super) fn rest(&mut self) {
        for engine in self.engines.values_mut() {
            engine.reachable = true;
        }
    }

    /// Takes the load of an engine.
    pub(super) fn loaded(&mut self, now: Instant, name: &str, load: super::load::Answer) {
        let Some(key) = self.names.get(name).copied() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        engine.polled = false;
        match load {
            super::load::Answer::Load(load) => {
                engine.reachable = true;
                let age = Duration::from_millis(load.measured_ms_ago);
                engine.ledger.report(now, load.running, age);
                let requests = load.running.saturating_add(load.waiting);
                self.chooser.report(now, key, requests, age);
            }
            super::load::Answer::Unreachable => engine.reachable = false,
            super::load::Answer::Unknown => {}
        }
    }
}

/// A request that was sent to engines.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent<'a> {
    pub(super) slot: Slot,
    pub(super) prefill: &'a str,
    pub(super) decode: &'a str,
    pub(super) pieces: &'a [u64],
}

fn is_same(known: &Endpoint, wanted: &Endpoint) -> bool {
    known.kind == wanted.kind
        && known.address == wanted.address
        && known.data_centre == wanted.data_centre
        && known.slots == wanted.slots
}

fn settings(centres: usize, data_centre: usize) -> Settings {
    let delay = |from: usize, to: usize| if from == to { 0 } else { CROSS_DELAY_MICROS };
    Settings {
        data_centre,
        delay_us: (0..centres)
            .map(|from| (0..centres).map(|to| delay(from, to)).collect())
            .collect(),
        hosts: 1,
        piece_tokens: PIECE_TOKENS,
        prefill_ns_per_token: TOKEN_NANOS,
        kv_bytes_per_token: TOKEN_BYTES,
        cross_link_bytes_per_ms: CROSS_LINK,
        local_link_bytes_per_ms: LOCAL_LINK,
    }
}
