//! Measures of a run and their spread over seeds.

use hdrhistogram::Histogram;

use crate::Micros;
use crate::model::{
    FAULT_END, FAULT_START, MILLISECOND, RUN, SECOND, TPOT_TARGET, TTFT_TARGET, WARM_UP,
};
use crate::world::{End, Job, World};

/// Measures of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Measure {
    /// Requests per second that met both targets.
    pub goodput: f64,
    /// Share of the requests asked within the rate that met both targets.
    pub attainment: f64,
    /// Share of prefilled tokens whose request never got a decode slot.
    pub wasted_prefill: f64,
    /// Lowest attainment of a customer.
    pub worst_customer: f64,
    /// Share of the requests within the rate that were refused or failed.
    pub wrongful_refusals: f64,
    /// Share of the requests within the rate whose callers waited in vain.
    pub gave_up: f64,
    /// Median time to the first token, in milliseconds.
    pub ttft_median: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub ttft_95: f64,
    /// 99th percentile of the lookup time, in milliseconds.
    pub lookup_99: f64,
    /// Share of the decode slots in use at the peak, from 20 s to 50 s.
    pub slots_used: f64,
    /// Requests that met both targets, by the second of their arrival.
    pub good_per_second: Vec<f64>,
}

impl Measure {
    /// Measures a finished run.
    #[must_use]
    pub fn of(world: &World<'_>) -> Self {
        let customers = world.fleet.shares.len();
        let mut asked = vec![0_u64; customers];
        let mut good = vec![0_u64; customers];
        let (mut inside, mut refused, mut gave_up) = (0_u64, 0_u64, 0_u64);
        let mut good_per_second = vec![0.0; (RUN / SECOND) as usize];
        let mut times = Histogram::<u64>::new(3).expect("three digits are a valid precision");
        for job in &world.jobs {
            let arrival = &world.workload.arrivals[job.arrival];
            if job.resent || !arrival.inside_rate {
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
            if let Some(first) = job.first {
                let _ = times.record(first - job.at);
            }
            let left_early = arrival
                .leaves_after
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
        let mut lookups = Histogram::<u64>::new(3).expect("three digits are a valid precision");
        for time in &world.lookup_times {
            let _ = lookups.record(*time);
        }
        let millis = |micros: Micros| micros as f64 / MILLISECOND as f64;
        Self {
            goodput: all_good as f64 * SECOND as f64 / (RUN - WARM_UP) as f64,
            attainment: share(all_good, asked.iter().sum()),
            wasted_prefill: share(world.wasted_tokens, world.prefilled_tokens),
            worst_customer: worst.fold(1.0, f64::min),
            wrongful_refusals: share(refused, inside),
            gave_up: share(gave_up, inside),
            ttft_median: millis(times.value_at_quantile(0.5)),
            ttft_95: millis(times.value_at_quantile(0.95)),
            lookup_99: millis(lookups.value_at_quantile(0.99)),
            slots_used: world.slots_used / (world.peak_samples.max(1)) as f64,
            good_per_second,
        }
    }

    /// Goodput before, during and after a fault, and the seconds to recover after its end.
    ///
    /// Recovered means that three seconds on end reach 90 % of the goodput before the fault.
    #[must_use]
    pub fn around_fault(&self) -> (f64, f64, f64, f64) {
        let second = |at: Micros| (at / SECOND) as usize;
        let mean = |from: usize, to: usize| {
            self.good_per_second[from..to].iter().sum::<f64>() / (to - from) as f64
        };
        let before = mean(second(WARM_UP), second(FAULT_START));
        let during = mean(second(FAULT_START), second(FAULT_END));
        let last = second(RUN);
        let after = mean(second(FAULT_END), last);
        let recovered = (second(FAULT_END)..last - 3)
            .find(|&at| mean(at, at + 3) >= 0.9 * before)
            .map_or(f64::NAN, |at| (at - second(FAULT_END)) as f64);
        (before, during, after, recovered)
    }
}

/// Whether a request met both targets; one that its caller cancelled later counts as well.
fn is_good(job: &Job) -> bool {
    let Some(first) = job.first else {
        return false;
    };
    let gaps = u64::from(job.tokens.max(2) - 1);
    matches!(job.end, Some(End::Finished | End::Cancelled))
        && first - job.at <= TTFT_TARGET
        && (job.last - first) / gaps <= TPOT_TARGET
}

/// Mean and sample standard deviation.
#[must_use]
pub fn spread(values: &[f64]) -> (f64, f64) {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let square = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>();
    (mean, (square / (count - 1.0).max(1.0)).sqrt())
}
