//! Seeded arrivals, the same for every policy.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Micros;
use crate::model::{
    BURST_SECONDS, FAULT_END, FAULT_START, Fleet, Model, RATE_HEADROOM, RUN, SECOND,
};
use crate::scenario::Scenario;

/// A model request as its caller sends it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time at the entry host.
    pub at: Micros,
    /// Customer.
    pub customer: usize,
    /// Entry host that the load balancer chose.
    pub host: usize,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Hashes of the complete cache pieces.
    pub pieces: Vec<u64>,
    /// Tokens that the engine will generate.
    pub answer: u32,
    /// Time after arrival at which the caller leaves.
    pub leaves_after: Option<Micros>,
    /// Whether the customer was inside its rate and burst.
    pub inside_rate: bool,
}

/// A plain lookup.
#[derive(Clone, Copy, Debug)]
pub struct Lookup {
    /// Time at the entry host.
    pub at: Micros,
    /// Entry host.
    pub host: usize,
    /// Time that a healthy server works on it.
    pub work: Micros,
}

/// Everything that callers send in a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Model requests in order of time.
    pub arrivals: Vec<Arrival>,
    /// Plain lookups in order of time.
    pub lookups: Vec<Lookup>,
}

/// Prompts that a customer sends again and again.
const DOCUMENTS: usize = 60;
const LONGEST_PROMPT: f64 = 36_000.0;
const LONGEST_ANSWER: f64 = 600.0;
/// Factor by which one customer exceeds its demand during a burst, and the burst's length.
const SURGE: f64 = 4.0;
const SURGE_LENGTH: Micros = 3 * SECOND;
const SURGE_PERIOD: Micros = 9 * SECOND;
/// Factor of the overload pulse for all customers.
const PULSE: f64 = 2.5;

impl Workload {
    /// Generates the arrivals of a run.
    #[must_use]
    pub fn generate(fleet: &Fleet, model: &Model, scenario: Scenario, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let documents: Vec<Vec<u32>> = fleet
            .shares
            .iter()
            .map(|_| {
                (0..DOCUMENTS)
                    .map(|_| {
                        let length =
                            log_normal(&mut random, model.prompt_median, model.prompt_sigma);
                        length.clamp(20.0, LONGEST_PROMPT) as u32
                    })
                    .collect()
            })
            .collect();
        let surges: Vec<usize> = (0..=RUN / SURGE_PERIOD)
            .map(|_| random.random_range(0..fleet.shares.len()))
            .collect();
        let mut arrivals = Vec::new();
        for (customer, share) in fleet.shares.iter().enumerate() {
            let mean = fleet.rate * model.load * share / SECOND as f64;
            let most = mean * 2.0 * SURGE * PULSE;
            let mut at = 0.0;
            loop {
                at -= (1.0 - random.random::<f64>()).ln() / most;
                if at >= RUN as f64 {
                    break;
                }
                let now = at as Micros;
                let factor = intensity(now, scenario)
                    * if surges[(now / SURGE_PERIOD) as usize] == customer
                        && now % SURGE_PERIOD < SURGE_LENGTH
                    {
                        SURGE
                    } else {
                        1.0
                    };
                if random.random::<f64>() * 2.0 * SURGE * PULSE >= factor {
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
        mark_inside_rate(&mut arrivals, fleet, model, scenario);
        let mut lookups = Vec::new();
        let mut at = 0.0;
        loop {
            at -= (1.0 - random.random::<f64>()).ln() * SECOND as f64 / fleet.lookups;
            if at >= RUN as f64 {
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

/// Demand relative to the mean: a peak in the middle of the run, and the pulse.
fn intensity(now: Micros, scenario: Scenario) -> f64 {
    let phase = now as f64 / RUN as f64 * std::f64::consts::PI;
    let daily = 0.75 + 0.35 * phase.sin();
    match scenario {
        Scenario::Steady => daily,
        Scenario::OverloadPulse if (FAULT_START..FAULT_END).contains(&now) => 0.8 * PULSE,
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
    // The square favours the first documents, so that some prefixes are popular.
    let document = (random.random::<f64>().powi(2) * DOCUMENTS as f64) as usize;
    let prefix = documents[customer][document];
    let tail = log_normal(random, 150.0, 1.0).clamp(10.0, 4_000.0) as u32;
    let pieces = (0..u64::from(prefix / model.piece_tokens))
        .map(|piece| ((customer * DOCUMENTS + document) as u64 + 1) << 8 | piece)
        .collect();
    let leaves = random.random::<f64>() < model.cancel_share;
    let after = log_normal(random, model.cancel_median as f64, 1.0) as Micros;
    Arrival {
        at,
        customer,
        host: random.random_range(0..fleet.hosts),
        prompt: prefix + tail,
        pieces,
        answer: log_normal(random, model.answer_median, 0.8).clamp(4.0, LONGEST_ANSWER) as u32,
        leaves_after: leaves.then_some(after),
        inside_rate: true,
    }
}

/// Runs an exact token bucket of the whole fleet for each customer, the stand-in for quotas.
///
/// The limits are set from the mean tokens of a request in this workload. During an overload pulse
/// the limits do not bind, so that the policy alone has to cope.
fn mark_inside_rate(arrivals: &mut [Arrival], fleet: &Fleet, model: &Model, scenario: Scenario) {
    let cost = |arrival: &Arrival| f64::from(arrival.prompt + arrival.answer);
    let mean = arrivals.iter().map(cost).sum::<f64>() / arrivals.len().max(1) as f64;
    for (customer, share) in fleet.shares.iter().enumerate() {
        let rate = share * fleet.rate * model.load * mean * RATE_HEADROOM;
        let burst = rate * BURST_SECONDS;
        let mut level = burst;
        let mut last = 0;
        for arrival in arrivals.iter_mut().filter(|one| one.customer == customer) {
            let elapsed = (arrival.at - last) as f64 / SECOND as f64;
            level = (level + elapsed * rate).min(burst);
            last = arrival.at;
            arrival.inside_rate = level >= cost(arrival) || scenario == Scenario::OverloadPulse;
            if arrival.inside_rate {
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
