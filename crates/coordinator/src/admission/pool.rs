//! Engines of one model: placement, decode slot ledgers, outlier ejection and the request queue.

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

/// Tokens per prefix-cache piece (design page, section 1).
const PIECE_TOKENS: u32 = 2_000;
/// Prefill time per prompt token in nanoseconds, as in the experiments' engine model.
const PREFILL_NS_PER_TOKEN: u64 = 30_000;
/// KV cache size per token, as in the experiments' engine model.
const KV_BYTES_PER_TOKEN: u64 = 40_000;
/// Assumed link rate between data centres: 10 Gbit/s.
const CROSS_LINK_BYTES_PER_MS: u64 = 1_250_000;
/// Assumed link rate inside a data centre: 25 Gbit/s.
const LOCAL_LINK_BYTES_PER_MS: u64 = 3_125_000;
/// Assumed one-way delay between two data centres (design page, section 1).
const CROSS_DELAY_US: u64 = 1_000;
/// Bounds of the queue depth. With 20 slots on each of 30 engines and 1 s per response, the last of
/// 4,096 requests waits about 7 s, which is beyond the queue deadline.
const QUEUE_LIMITS: Limits = Limits {
    per_customer: 1_024,
    total: 4_096,
};
/// Retry interval of the queue while all prefill engines are full.
const PREFILL_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Identifier of a slot reservation, unique across hosts and process starts.
pub(super) type Slot = (Incarnation, u64);

/// Engines chosen for a request; the decode engine has a slot reserved for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placed {
    pub(super) prefill: Key,
    pub(super) decode: Key,
}

/// Resource that a request lacks for its placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Missing {
    /// No prefill engine or no decode engine is usable.
    Endpoint,
    /// Usable engines exist, but all are full.
    Slot {
        /// Expected time until a slot is free.
        retry_after: Duration,
    },
}

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) endpoint: Endpoint,
    /// Prefills that this host has running on the engine.
    running_prefills: u32,
    reachable: bool,
    /// Whether a load poll is in flight.
    pub(super) poll_pending: bool,
    ledger: Ledger<Slot, Incarnation>,
}

/// Engines of one model and the queue of requests for them.
#[derive(Debug)]
pub(super) struct Pool {
    chooser: Chooser,
    engines: BTreeMap<Key, Engine>,
    names: HashMap<String, Key>,
    prefill_detector: Detector<Key>,
    decode_detector: Detector<Key>,
    pub(super) queue: Fair<u32>,
    pub(super) waiting: HashMap<Ticket, Waiting>,
    /// Time until which dispatch pauses, since no slot is expected earlier.
    pub(super) blocked_until: Instant,
    /// Time of the last request for the model.
    pub(super) last_used: Instant,
}

impl Pool {
    /// Makes a pool without engines.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            chooser: Chooser::new(chooser_settings(1, 0)),
            engines: BTreeMap::new(),
            names: HashMap::new(),
            prefill_detector: Detector::new(),
            decode_detector: Detector::new(),
            queue: Fair::new(QUEUE_LIMITS),
            waiting: HashMap::new(),
            blocked_until: now,
            last_used: now,
        }
    }

    /// Applies the engines of a configuration. Slot ledgers of unchanged engines survive.
    /// Prefix-cache and load estimates and ejections are reset if any engine was added, removed or
    /// changed.
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
                known.is_some_and(|known| is_same_engine(&known.endpoint, endpoint))
            });
        if same {
            for engine in self.engines.values_mut() {
                engine.endpoint.leaving = wanted[&engine.endpoint.name].leaving;
            }
            return;
        }
        self.rebuild(&wanted, data_centre);
    }

    /// Rebuilds the chooser and the detectors, keeping the unchanged engines.
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
        self.chooser = Chooser::new(chooser_settings(centres.len(), index(data_centre)));
        (self.prefill_detector, self.decode_detector) = (Detector::new(), Detector::new());
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
            let known = known.filter(|known| is_same_engine(&known.endpoint, endpoint));
            let mut engine = known.unwrap_or_else(|| Engine {
                endpoint: (*endpoint).clone(),
                running_prefills: 0,
                reachable: true,
                poll_pending: false,
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
            Role::Prefill => &mut self.prefill_detector,
            Role::Decode => &mut self.decode_detector,
        }
    }

    /// Sets the fair-queueing weight of a customer; zero counts as one.
    pub(super) fn set_weight(&mut self, customer: u32, weight: u32) {
        let weight = NonZeroU32::new(weight).unwrap_or(NonZeroU32::MIN);
        self.queue.set_weight(customer, weight);
    }

    /// Name of an engine, empty if the key is unknown.
    pub(super) fn name(&self, key: Key) -> String {
        let engine = self.engines.get(&key);
        engine.map_or_else(String::new, |engine| engine.endpoint.name.clone())
    }

    /// Chooses a prefill and a decode engine for a request and reserves a decode slot.
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
                    retry_after: PREFILL_RETRY_INTERVAL,
                },
                false => Missing::Endpoint,
            });
        };
        let decode = self.reserve_decode(now, slot, host, &choice)?;
        self.chooser.sent(now, &choice, decode, admit.prompt_tokens);
        if let Some(engine) = self.engines.get_mut(&choice.prefill) {
            engine.running_prefills += 1;
        }
        Ok(Placed {
            prefill: choice.prefill,
            decode,
        })
    }

    /// Reserves a slot on the first of the chosen decode engines that has one.
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
            // The queueing delay at the prefill engine is only an estimate. A prefill that ends
            // before a slot is free is wasted, so the time until the slot is needed leaves that
            // delay out.
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
        let retry_after = soonest.unwrap_or(PREFILL_RETRY_INTERVAL);
        Err(Missing::Slot { retry_after })
    }

    /// Updates the availability of the engines in the chooser. True if each role has a usable
    /// engine, be it full or not.
    fn mark_available(&mut self, now: Instant, avoid: &[String]) -> bool {
        let probes = [
            self.prefill_detector.probe(now),
            self.decode_detector.probe(now),
        ];
        let (mut prefill, mut decode) = (false, false);
        for (key, engine) in &self.engines {
            let is_prefill = engine.endpoint.kind == Kind::Prefill;
            let detector = if is_prefill {
                &self.prefill_detector
            } else {
                &self.decode_detector
            };
            let ejected = detector.is_ejected(*key) && !probes.contains(&Some(*key));
            let usable = !engine.endpoint.leaving
                && engine.reachable
                && !ejected
                && !avoid.contains(&engine.endpoint.name);
            let full = is_prefill && engine.running_prefills >= engine.endpoint.slots;
            self.chooser.set_available(*key, usable && !full);
            prefill |= usable && is_prefill;
            decode |= usable && !is_prefill;
        }
        prefill && decode
    }

    /// Records the end of a prefill and turns the slot reservation into a running stream.
    pub(super) fn prefilled(&mut self, now: Instant, running: &Assignment<'_>, cached_tokens: u32) {
        if let Some(key) = self.names.get(running.prefill).copied() {
            let cached = (cached_tokens / PIECE_TOKENS) as usize;
            let cached = cached.min(running.pieces.len());
            self.chooser.prefilled(key, running.pieces, cached);
            self.prefill_ended(now, key);
        }
        if let Some(engine) = self.engine(running.decode)
            && !engine.ledger.start(now, running.slot)
        {
            // The reservation expired during a long prefill.
            engine
                .ledger
                .confirm(now, running.slot.0, std::iter::once(running.slot));
        }
    }

    /// Takes an ended prefill off the engine's count.
    fn prefill_ended(&mut self, now: Instant, key: Key) {
        self.chooser.ended(now, key);
        if let Some(engine) = self.engines.get_mut(&key) {
            engine.running_prefills = engine.running_prefills.saturating_sub(1);
        }
    }

    /// Releases the engines and the slot of a request, and resumes dispatch.
    pub(super) fn ended(
        &mut self,
        now: Instant,
        running: &Assignment<'_>,
        is_prefilled: bool,
        end: End,
    ) {
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

    /// Feeds the outcome of a request to the outlier detection of its engine's role.
    pub(super) fn record_outcome(&mut self, now: Instant, name: &str, outcome: Outcome) {
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
            tracing::info!(
                endpoint = name,
                ?change,
                "admission: outlier detection ejected the endpoint or returned it to service"
            );
        }
    }

    /// Renews the slot of a stream that this host still forwards.
    pub(super) fn confirm(&mut self, now: Instant, decode: &str, slot: Slot) {
        if let Some(engine) = self.engine(decode) {
            engine.ledger.confirm(now, slot.0, std::iter::once(slot));
        }
    }

    /// Frees the slots of reservations and streams that expired without renewal.
    pub(super) fn tick(&mut self, now: Instant) {
        for engine in self.engines.values_mut() {
            engine.ledger.tick(now);
        }
    }

    fn engine(&mut self, name: &str) -> Option<&mut Engine> {
        self.engines.get_mut(self.names.get(name)?)
    }

    /// Engines without a load poll in flight; marks them as being polled.
    pub(super) fn engines_to_poll(&mut self) -> Vec<(String, SocketAddr)> {
        let mut engines = Vec::new();
        for engine in self.engines.values_mut() {
            if !std::mem::replace(&mut engine.poll_pending, true) {
                engines.push((engine.endpoint.name.clone(), engine.endpoint.address));
            }
        }
        engines
    }

    /// Marks all engines as reachable, since an idle model's engines are not polled.
    pub(super) fn reset_reachability(&mut self) {
        for engine in self.engines.values_mut() {
            engine.reachable = true;
        }
    }

    /// Applies the result of a load poll.
    pub(super) fn record_load(&mut self, now: Instant, name: &str, load: super::load::Answer) {
        let Some(key) = self.names.get(name).copied() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        engine.poll_pending = false;
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

/// Slot and engines of an admitted request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Assignment<'a> {
    pub(super) slot: Slot,
    pub(super) prefill: &'a str,
    pub(super) decode: &'a str,
    pub(super) pieces: &'a [u64],
}

/// Whether an engine may keep its state, since only its `leaving` flag can differ.
fn is_same_engine(known: &Endpoint, wanted: &Endpoint) -> bool {
    known.kind == wanted.kind
        && known.address == wanted.address
        && known.data_centre == wanted.data_centre
        && known.slots == wanted.slots
}

/// Settings of the chooser for a number of data centres, with the index of this host's own.
fn chooser_settings(centres: usize, data_centre: usize) -> Settings {
    let delay = |from: usize, to: usize| if from == to { 0 } else { CROSS_DELAY_US };
    Settings {
        data_centre,
        delay_us: (0..centres)
            .map(|from| (0..centres).map(|to| delay(from, to)).collect())
            .collect(),
        hosts: 1,
        piece_tokens: PIECE_TOKENS,
        prefill_ns_per_token: PREFILL_NS_PER_TOKEN,
        kv_bytes_per_token: KV_BYTES_PER_TOKEN,
        cross_link_bytes_per_ms: CROSS_LINK_BYTES_PER_MS,
        local_link_bytes_per_ms: LOCAL_LINK_BYTES_PER_MS,
    }
}
