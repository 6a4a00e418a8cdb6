//! Measures of a run, and their mean and standard deviation over seeds.

use hdrhistogram::Histogram;

use crate::Micros;
use crate::model::{
    FAULT_END, FAULT_START, MILLISECOND, RUN_DURATION, SECOND, TPOT_TARGET, TTFT_TARGET, WARM_UP,
};
use crate::world::{End, Job, Simulation};

/// Measures of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Measure {
    /// Requests per second that met both targets.
    pub goodput: f64,
    /// Share of the requests within the rate limit that met both targets.
    pub attainment: f64,
    /// Share of prefilled tokens whose attempt never got a decode slot.
    pub wasted_prefill: f64,
    /// Lowest attainment of any customer.
    pub worst_customer: f64,
    /// Share of the requests within the rate limit that were refused or failed.
    pub wrongful_refusals: f64,
    /// Share of the requests within the rate limit whose callers timed out before the first token.
    pub gave_up: f64,
    /// Median TTFT in milliseconds.
    pub ttft_median_ms: f64,
    /// 95th percentile of the TTFT in milliseconds.
    pub ttft_p95_ms: f64,
    /// 99th percentile of the lookup latency in milliseconds.
    pub lookup_p99_ms: f64,
    /// Mean share of decode slots in use around the daily peak, from 20 s to 50 s.
    pub slots_used: f64,
    /// Requests that met both targets, by the second of their arrival.
    pub good_per_second: Vec<f64>,
}

impl Measure {
    /// Computes the measures of a finished run.
    #[must_use]
    pub fn of(simulation: &Simulation<'_>) -> Self {
        let customers = simulation.fleet.demand_shares.len();
        let mut asked = vec![0_u64; customers];
        let mut good = vec![0_u64; customers];
        let (mut inside, mut refused, mut gave_up) = (0_u64, 0_u64, 0_u64);
        let mut good_per_second = vec![0.0; (RUN_DURATION / SECOND) as usize];
        let mut ttfts = Histogram::<u64>::new(3).expect("three digits are a valid precision");
        for job in &simulation.jobs {
            let arrival = &simulation.workload.arrivals[job.arrival];
            if job.resent || !arrival.within_rate_limit {
                continue;
            }
            let met = is_good(job);
            if met {
                good_per_second[(job.at / SECOND) as usize] += 1.0;
            }
            if job.at < WARM_UP {
                continue;
            }
            inside += 1;
            refused += u64::from(matches!(job.end, Some(End::Refused | End::Failed)));
            gave_up += u64::from(job.end == Some(End::GaveUp));
            if let Some(first) = job.first_token_at {
                let _ = ttfts.record(first - job.at);
            }
            let left_early = arrival
                .cancel_after
                .is_some_and(|after| after < TTFT_TARGET);
            if left_early && !met {
                continue;
            }
            asked[arrival.customer] += 1;
            good[arrival.customer] += u64::from(met);
        }
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let all_good: u64 = good.iter().sum();
        let worst = good
            .iter()
            .zip(&asked)
            .map(|(good, asked)| share(*good, *asked));
        let mut lookup_latencies =
            Histogram::<u64>::new(3).expect("three digits are a valid precision");
        for time in &simulation.lookup_times {
            let _ = lookup_latencies.record(*time);
        }
        let millis = |micros: Micros| micros as f64 / MILLISECOND as f64;
        Self {
            goodput: all_good as f64 * SECOND as f64 / (RUN_DURATION - WARM_UP) as f64,
            attainment: share(all_good, asked.iter().sum()),
            wasted_prefill: share(simulation.wasted_tokens, simulation.prefilled_tokens),
            worst_customer: worst.fold(1.0, f64::min),
            wrongful_refusals: share(refused, inside),
            gave_up: share(gave_up, inside),
            ttft_median_ms: millis(ttfts.value_at_quantile(0.5)),
            ttft_p95_ms: millis(ttfts.value_at_quantile(0.95)),
            lookup_p99_ms: millis(lookup_latencies.value_at_quantile(0.99)),
            slots_used: simulation.slots_used / (simulation.peak_samples.max(1)) as f64,
            good_per_second,
        }
    }

    /// Goodput before, during and after a fault, and the seconds to recover after its end.
    ///
    /// Recovery starts the first window of three seconds whose mean goodput reaches 90 % of that before
    /// the fault; the time is NaN if there is none.
    #[must_use]
    pub fn around_fault(&self) -> (f64, f64, f64, f64) {
        let second = |at: Micros| (at / SECOND) as usize;
        let mean = |from: usize, to: usize| {
            self.good_per_second[from..to].iter().sum::<f64>() / (to - from) as f64
        };
        let before = mean(second(WARM_UP), second(FAULT_START));
        let during = mean(second(FAULT_START), second(FAULT_END));
        let last = second(RUN_DURATION);
        let after = mean(second(FAULT_END), last);
        let recovered = (second(FAULT_END)..last - 3)
            .find(|&at| mean(at, at + 3) >= 0.9 * before)
            .map_or(f64::NAN, |at| (at - second(FAULT_END)) as f64);
        (before, during, after, recovered)
    }
}

/// Whether a request met both targets; requests cancelled after the first token count too.
fn is_good(job: &Job) -> bool {
    let Some(first) = job.first_token_at else {
        return false;
    };
    let gaps = u64::from(job.tokens.max(2) - 1);
    matches!(job.end, Some(End::Finished | End::Cancelled))
        && first - job.at <= TTFT_TARGET
        && (job.last_token_at - first) / gaps <= TPOT_TARGET
}

/// Mean and sample standard deviation.
#[must_use]
pub fn mean_and_deviation(values: &[f64]) -> (f64, f64) {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let squares = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>();
    (mean, (squares / (count - 1.0).max(1.0)).sqrt())
}
