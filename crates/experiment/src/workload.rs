//! Workload generator; a seed gives every policy the same arrivals.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Micros;
use crate::model::{
    BURST_S, FAULT_END, FAULT_START, Fleet, Model, RATE_HEADROOM, RUN_DURATION, SECOND,
};
use crate::scenario::Scenario;

/// A model request as its caller sends it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time at the entry host.
    pub at: Micros,
    /// Index of the customer.
    pub customer: usize,
    /// Entry host that the load balancer chose.
    pub host: usize,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's full prefix-cache pieces.
    pub pieces: Vec<u64>,
    /// Answer length in tokens.
    pub answer_tokens: u32,
    /// Delay from arrival to cancellation by the caller, if it cancels.
    pub cancel_after: Option<Micros>,
    /// Whether the customer's rate limit admits the request.
    pub within_rate_limit: bool,
}

/// A plain-service lookup.
#[derive(Clone, Copy, Debug)]
pub struct Lookup {
    /// Arrival time at the entry host.
    pub at: Micros,
    /// Entry host that the load balancer chose.
    pub host: usize,
    /// Service time at a healthy server.
    pub work: Micros,
}

/// All requests that callers send in a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Model requests in order of time.
    pub arrivals: Vec<Arrival>,
    /// Plain lookups in order of time.
    pub lookups: Vec<Lookup>,
}

/// Number of prompt prefixes that a customer reuses.
const DOCUMENTS_PER_CUSTOMER: usize = 60;
const MAX_DOCUMENT_TOKENS: f64 = 36_000.0;
const MAX_ANSWER_TOKENS: f64 = 600.0;
/// Demand multiplier of a surge: one random customer at the start of each period.
const SURGE_FACTOR: f64 = 4.0;
const SURGE_DURATION: Micros = 3 * SECOND;
const SURGE_PERIOD: Micros = 9 * SECOND;
/// Demand multiplier of all customers during the overload pulse.
const PULSE_FACTOR: f64 = 2.5;

impl Workload {
    /// Generates the arrivals of a run.
    #[must_use]
    pub fn generate(fleet: &Fleet, model: &Model, scenario: Scenario, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let documents: Vec<Vec<u32>> = fleet
            .demand_shares
            .iter()
            .map(|_| {
                (0..DOCUMENTS_PER_CUSTOMER)
                    .map(|_| {
                        let length =
                            log_normal(&mut random, model.prompt_median_tokens, model.prompt_sigma);
                        length.clamp(20.0, MAX_DOCUMENT_TOKENS) as u32
                    })
                    .collect()
            })
            .collect();
        let surges: Vec<usize> = (0..=RUN_DURATION / SURGE_PERIOD)
            .map(|_| random.random_range(0..fleet.demand_shares.len()))
            .collect();
        let mut arrivals = Vec::new();
        for (customer, share) in fleet.demand_shares.iter().enumerate() {
            let mean = fleet.requests_per_s * model.load_factor * share / SECOND as f64;
            let peak = mean * 2.0 * SURGE_FACTOR * PULSE_FACTOR;
            let mut at = 0.0;
            loop {
                at -= (1.0 - random.random::<f64>()).ln() / peak;
                if at >= RUN_DURATION as f64 {
                    break;
                }
                let now = at as Micros;
                let factor = intensity(now, scenario)
                    * if surges[(now / SURGE_PERIOD) as usize] == customer
                        && now % SURGE_PERIOD < SURGE_DURATION
                    {
                        SURGE_FACTOR
                    } else {
                        1.0
                    };
                if random.random::<f64>() * 2.0 * SURGE_FACTOR * PULSE_FACTOR >= factor {
                    continue;
                }
                arrivals.push(arrival(
                    &mut random,
                    fleet,
                    model,
                    &documents,
                    customer,
                    now,
                ));
            }
        }
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.customer));
        mark_within_rate_limit(&mut arrivals, fleet, model, scenario);
        let mut lookups = Vec::new();
        let mut at = 0.0;
        loop {
            at -= (1.0 - random.random::<f64>()).ln() * SECOND as f64 / fleet.lookups_per_s;
            if at >= RUN_DURATION as f64 {
                break;
            }
            lookups.push(Lookup {
                at: at as Micros,
                host: random.random_range(0..fleet.hosts),
                work: log_normal(&mut random, 6_000.0, 0.7) as Micros,
            });
        }
        Self { arrivals, lookups }
    }
}

/// Demand multiplier: a daily peak in the middle of a steady run, or a constant with the pulse.
fn intensity(now: Micros, scenario: Scenario) -> f64 {
    let phase = now as f64 / RUN_DURATION as f64 * std::f64::consts::PI;
    let daily = 0.75 + 0.35 * phase.sin();
    match scenario {
        Scenario::Steady => daily,
        Scenario::OverloadPulse if (FAULT_START..FAULT_END).contains(&now) => 0.8 * PULSE_FACTOR,
        _ => 0.8,
    }
}

fn arrival(
    random: &mut ChaCha8Rng,
    fleet: &Fleet,
    model: &Model,
    documents: &[Vec<u32>],
    customer: usize,
    at: Micros,
) -> Arrival {
    // Squaring skews the choice to low indices, so that some prefixes are popular.
    let document = (random.random::<f64>().powi(2) * DOCUMENTS_PER_CUSTOMER as f64) as usize;
    let prefix = documents[customer][document];
    let tail = log_normal(random, 150.0, 1.0).clamp(10.0, 4_000.0) as u32;
    let pieces = (0..u64::from(prefix / model.piece_tokens))
        .map(|piece| ((customer * DOCUMENTS_PER_CUSTOMER + document) as u64 + 1) << 8 | piece)
        .collect();
    let cancels = random.random::<f64>() < model.cancel_share;
    let cancel_after = log_normal(random, model.cancel_median as f64, 1.0) as Micros;
    Arrival {
        at,
        customer,
        host: random.random_range(0..fleet.hosts),
        prompt_tokens: prefix + tail,
        pieces,
        answer_tokens: log_normal(random, model.answer_median_tokens, 0.8)
            .clamp(4.0, MAX_ANSWER_TOKENS) as u32,
        cancel_after: cancels.then_some(cancel_after),
        within_rate_limit: true,
    }
}

/// Applies an exact fleet-wide token bucket for each customer, in place of distributed quotas.
///
/// The rate limits follow from the mean tokens of a request in this workload. They are not enforced in
/// the overload scenario, so that the policy alone handles the overload.
fn mark_within_rate_limit(
    arrivals: &mut [Arrival],
    fleet: &Fleet,
    model: &Model,
    scenario: Scenario,
) {
    let cost = |arrival: &Arrival| f64::from(arrival.prompt_tokens + arrival.answer_tokens);
    let mean = arrivals.iter().map(cost).sum::<f64>() / arrivals.len().max(1) as f64;
    for (customer, share) in fleet.demand_shares.iter().enumerate() {
        let rate = share * fleet.requests_per_s * model.load_factor * mean * RATE_HEADROOM;
        let burst = rate * BURST_S;
        let mut level = burst;
        let mut last = 0;
        for arrival in arrivals
            .iter_mut()
            .filter(|arrival| arrival.customer == customer)
        {
            let elapsed = (arrival.at - last) as f64 / SECOND as f64;
            level = (level + elapsed * rate).min(burst);
            last = arrival.at;
            arrival.within_rate_limit =
                level >= cost(arrival) || scenario == Scenario::OverloadPulse;
            if arrival.within_rate_limit {
                level -= cost(arrival);
            }
        }
    }
}

fn log_normal(random: &mut ChaCha8Rng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let angle = 2.0 * std::f64::consts::PI * random.random::<f64>();
    median * (sigma * radius * angle.cos()).exp()
}
