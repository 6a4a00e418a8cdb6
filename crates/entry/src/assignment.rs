//! Assignment of generations to engines, at the leader: the cost of each decode and prefill engine.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::prefix;

use crate::admission::{Line, Query, engine};
use crate::backlog;
use crate::choice::{self, Exclusion, Search};
use crate::directory::{Endpoint, Key, Stage};
use crate::fleet::Engine;
use crate::health::Suspicion;
use crate::ledger::{Capacity, Run, peak};
use crate::mix::PREFILL_MS_PER_TOKEN;
use crate::parts::Part;
use crate::peer;
use crate::state::{Host, LAST_RESORT_COST, jitter, now};
use crate::versions;
use crate::waiting::max_fill;

/// Largest jitter in the cost of a decode engine, as a share of the engine.
const DECODE_JITTER: f64 = 0.03;
/// Largest jitter in the cost of a prefill engine, in milliseconds of backlog.
const PREFILL_JITTER_MS: f64 = 10.0;
/// Cost reduction of an engine that has the prompt in its KV cache, as a share of the engine; any
/// other engine has to copy the cache.
const CACHED_BONUS: f64 = 0.2;
/// Cost of a decode engine suspected as faulty, as a share of the engine. It is small because a retry
/// elsewhere takes only a few milliseconds, less than waiting for capacity.
const FAULTY_COST: f64 = 0.4;
/// Cost of an engine at which all requests fail, as a share of the engine. It exceeds 1 because an
/// engine that fails fast always looks empty.
const FAILURE_COST: f64 = 1.5;
/// Cost of an engine that has just started and is slow, as a share of the engine: others with room go first.
const COLD_COST: f64 = 1.0;
/// Cost of a cold prefill engine, in milliseconds of backlog.
const COLD_PREFILL_COST_MS: f64 = 400.0;

/// Draws a number that is uniform in 0..1.
type Draw = fn() -> f64;

/// Tokens of a prompt that an engine need not read, where the wait at the engine is known, so that the saved
/// reading can be weighed against it.
pub(crate) fn held<D, S>(
    host: &Host<D, S>,
    now: Instant,
    key: Key,
    prompt: &[prefix::Part<Part>],
) -> u32 {
    let is_known =
        host.options.features.competing_callers || host.forecast.borrow().pace(now, key).is_some();
    if prompt.is_empty() || !is_known {
        return 0;
    }
    host.prefixes.borrow().held(now, key, prompt)
}

/// The decode engine that holds most of a prompt, if that is nearly all of it: it needs no prefill elsewhere.
pub(crate) fn holder<D, S>(
    host: &Host<D, S>,
    now: Instant,
    query: &Query,
    prompt: &[prefix::Part<Part>],
) -> Option<Key> {
    if prompt.is_empty() || !query.prefill {
        return None;
    }
    let directory = host.directory.borrow();
    let ready = directory.ready(&query.service);
    let decode = ready.filter(|(_, endpoint)| endpoint.stage == Some(Stage::Decode));
    let held = decode.map(|(key, _)| (held(host, now, key, prompt), key));
    let (most, key) = held.max_by_key(|(held, _)| *held)?;
    let missing = query.run.held.saturating_sub(most);
    backlog::is_nearly_held(missing, query.run.held).then_some(key)
}

/// Costs of the decode engines for a generation.
pub(crate) struct DecodeCosts<'a, D, S> {
    host: &'a Host<D, S>,
    line: &'a Line,
    engine: Engine,
    run: Run,
    /// Engine that has the prompt in its KV cache.
    cached_at: Option<Key>,
    /// Largest share of an engine that the generation may fill.
    fill: f64,
    now: Instant,
    /// Share of the engines' limits that this host may use.
    limit_share: f64,
    /// Decode engines of the service.
    engines: usize,
    draw: Draw,
}

impl<'a, D, S> DecodeCosts<'a, D, S> {
    /// `None` for a service without engines.
    pub(crate) fn new(
        host: &'a Host<D, S>,
        line: &'a Line,
        run: Run,
        cached_at: Option<Key>,
        fill: f64,
        draw: Draw,
    ) -> Option<Self> {
        let engine = engine(host, line.service())?;
        let now = now();
        Some(Self {
            host,
            line,
            engine,
            run,
            cached_at,
            fill: fill.min(max_fill(host.since_restart(now), line.version().is_some())),
            now,
            limit_share: host.limit_share(),
            engines: count_stage(host, line.service(), Stage::Decode),
            draw,
        })
    }

    /// Cost of an engine as a share of it.
    pub(crate) fn of(
        &self,
        key: Key,
        endpoint: &Endpoint,
        suspicion: Option<Suspicion>,
    ) -> choice::Result<f64> {
        let Self { host, now, .. } = *self;
        if host.trials.borrow().bars(now, key, self.engines) {
            return Err(Exclusion::Silent);
        }
        let fault = match suspicion {
            None => 0.0,
            Some(Suspicion::Faulty) => FAULTY_COST,
            Some(Suspicion::Silent) => LAST_RESORT_COST,
        };
        let fits = match self.line.version() {
            Some(version) => endpoint.version == version,
            None => versions::is_usable(host, self.line.service(), &endpoint.version),
        };
        if !fits {
            return Err(Exclusion::OtherVersion);
        }
        let limits = host.limits.borrow();
        if !limits.takes(now, &endpoint.id, self.limit_share) {
            return Err(Exclusion::Limited);
        }
        let capacity = Capacity {
            slots: self.engine.slots.min(endpoint.slots),
            kv_tokens: u64::from(self.engine.capacity),
        };
        let mut runs: Vec<Run> = host.ledger.borrow().runs(key).collect();
        runs.push(self.run);
        let share = capacity.share(&mut runs);
        let share = share
            .filter(|share| *share <= self.fill)
            .ok_or(Exclusion::Full)?;
        let saturation = host.saturation.borrow().limit(now, key);
        if saturation.is_some_and(|limit| peak(&mut runs) > limit) {
            return Err(Exclusion::Saturated);
        }
        let failures = host.health.borrow().failure_rate(now, key) * FAILURE_COST;
        let bonus = if self.cached_at == Some(key) {
            CACHED_BONUS
        } else {
            0.0
        };
        let reading = host.backlogs.borrow().reading_cost(now, key);
        let pace = host.forecast.borrow().pace(now, key).unwrap_or(1.0);
        let cold = if limits.is_cold(now, &endpoint.id) {
            COLD_COST
        } else {
            0.0
        };
        let jitter = (self.draw)() * DECODE_JITTER;
        Ok(share * pace + fault + failures + reading + cold + jitter - bonus)
    }
}

/// The decode engine with the lowest cost for a generation, filled to at most `fill`.
pub(crate) fn best_decode<D, S>(
    host: &Host<D, S>,
    line: &Line,
    run: Run,
    tried: &[Key],
    cached_at: Option<Key>,
    fill: f64,
) -> Option<Key> {
    peer::refresh_peer_load(host);
    let costs = DecodeCosts::new(host, line, run, cached_at, fill, || jitter(1.0))?;
    let search = Search {
        service: line.service(),
        stage: Some(Stage::Decode),
        tried,
    };
    let cost = |key, endpoint: &Endpoint, suspicion| costs.of(key, endpoint, suspicion);
    let (key, endpoint) = choice::cheapest(host, search, cost)?;
    let (now, share) = (costs.now, costs.limit_share);
    let taken = host.limits.borrow_mut().take(now, &endpoint.id, share);
    host.trials.borrow_mut().assigned(now, key);
    taken.is_ok().then_some(key)
}

/// Ready engines of a service in a stage.
fn count_stage<D, S>(host: &Host<D, S>, service: &str, stage: Stage) -> usize {
    let directory = host.directory.borrow();
    let ready = directory.ready(service);
    ready
        .filter(|(_, endpoint)| endpoint.stage == Some(stage))
        .count()
}

/// Strictest objective for the gap between events of a service's streams.
fn gap_target<D, S>(host: &Host<D, S>, service: &str) -> Duration {
    let fleet = host.fleet.borrow();
    let routes = fleet.iter().flat_map(|fleet| &fleet.routes);
    let routes = routes.filter(|route| route.services.iter().any(|(name, _)| name == service));
    let gaps = routes.map(|route| route.gap_target);
    gaps.filter(|gap| !gap.is_zero()).min().unwrap_or_default()
}

/// A generation that has a decode engine and needs its prompt read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading<'a> {
    pub(crate) service: &'a str,
    /// Tokens of the prompt.
    pub(crate) tokens: u32,
    /// Parts of the prompt; empty if their tokens are not known.
    pub(crate) prompt: &'a [prefix::Part<Part>],
    pub(crate) decode_key: Key,
    pub(crate) decode: &'a Endpoint,
}

/// Costs of the prefill engines for a prompt.
pub(crate) struct PrefillCosts<'a, D, S> {
    host: &'a Host<D, S>,
    reading: Reading<'a>,
    now: Instant,
    /// Share of the engines' limits that this host may use.
    limit_share: f64,
    /// Whether the decode engine may read the prompt without delaying the streams that run there.
    is_short: bool,
    draw: Draw,
}

impl<'a, D, S> PrefillCosts<'a, D, S> {
    /// `None` where the decode engine holds nearly all of the prompt.
    pub(crate) fn new(host: &'a Host<D, S>, reading: Reading<'a>, draw: Draw) -> Option<Self> {
        let now = now();
        let held = held(host, now, reading.decode_key, reading.prompt);
        let missing = reading.tokens.saturating_sub(held);
        if backlog::is_nearly_held(missing, reading.tokens) {
            return None;
        }
        Some(Self {
            host,
            reading,
            now,
            limit_share: host.limit_share(),
            is_short: backlog::fits_decode(reading.tokens, gap_target(host, reading.service)),
            draw,
        })
    }

    /// Cost of an engine in milliseconds of backlog.
    pub(crate) fn of(
        &self,
        key: Key,
        endpoint: &Endpoint,
        suspicion: Option<Suspicion>,
    ) -> choice::Result<f64> {
        let Self {
            host, reading, now, ..
        } = *self;
        if endpoint.version != reading.decode.version {
            return Err(Exclusion::OtherVersion);
        }
        let limits = host.limits.borrow();
        let yields = self.is_short && limits.rate(&endpoint.id).is_some();
        if yields || !limits.takes(now, &endpoint.id, self.limit_share) {
            return Err(Exclusion::Limited);
        }
        let is_near = endpoint.data_centre == reading.decode.data_centre;
        let pace = host.forecast.borrow().pace(now, key).unwrap_or(1.0);
        let read_ms = backlog::read_time(reading.tokens).as_secs_f64() * 1_000.0;
        let slower_ms = read_ms * (pace - 1.0);
        let cold = if limits.is_cold(now, &endpoint.id) {
            COLD_PREFILL_COST_MS
        } else {
            0.0
        };
        let held = held(host, now, key, reading.prompt);
        let saved = prefix::saved_ms(held, PREFILL_MS_PER_TOKEN * pace);
        let cost = host.backlogs.borrow().cost(now, key, is_near, suspicion);
        let cost = cost.ok_or(Exclusion::Backlog)?;
        Ok(cost + slower_ms + cold + (self.draw)() * PREFILL_JITTER_MS - saved)
    }
}

/// The prefill engine with the shortest backlog, preferably in the data centre of the decode engine.
pub(crate) fn best_prefill<D, S>(
    host: &Host<D, S>,
    query: &Query,
    reading: Reading<'_>,
    barred: &[Key],
) -> Option<String> {
    let costs = PrefillCosts::new(host, reading, || jitter(1.0))?;
    let search = Search {
        service: reading.service,
        stage: Some(Stage::Prefill),
        tried: barred,
    };
    let cost = |key, endpoint: &Endpoint, suspicion| costs.of(key, endpoint, suspicion);
    let (key, endpoint) = choice::cheapest(host, search, cost)?;
    let (now, share) = (costs.now, costs.limit_share);
    let taken = host.limits.borrow_mut().take(now, &endpoint.id, share);
    taken.ok()?;
    let pace = host.forecast.borrow().pace(now, key).unwrap_or(1.0);
    let held = held(host, now, key, reading.prompt);
    let time = backlog::read_time(reading.tokens.saturating_sub(held)).mul_f64(pace);
    host.backlogs.borrow_mut().add(now, key, time);
    if held > 0 {
        host.metrics.saved_tokens.inc_by(u64::from(held));
        tracing::info!(
            id = query.id,
            endpoint = endpoint.id,
            held,
            "prefix: engine probably holds a part of the prompt"
        );
    }
    if let Some(engine) = engine(host, reading.service) {
        let mut prefixes = host.prefixes.borrow_mut();
        prefixes.read(now, key, reading.prompt, engine.capacity);
    }
    Some(endpoint.id)
}
