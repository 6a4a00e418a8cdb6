//! One bucket with underestimated prompts, whose extra tokens are paid off before the next take.

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::quota::{Bucket, Limits, Split};
use proptest::prelude::*;

use crate::oracle;

const RATE: u64 = 1_000;
const BURST: u64 = 3_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Extra tokens are not charged.
    NoDebt,
}

#[derive(Clone, Debug)]
pub(crate) enum Op {
    Wait {
        millis: u64,
    },
    Take {
        tokens: u64,
    },
    GiveBack {
        taken: prop::sample::Index,
        percent: u64,
    },
    ChargeExtra {
        taken: prop::sample::Index,
        extra: u64,
    },
}

pub(crate) fn ops() -> impl Strategy<Value = Vec<Op>> {
    let index = any::<prop::sample::Index>;
    let op = prop_oneof![
        3 => (1..2_000_u64).prop_map(|millis| Op::Wait { millis }),
        4 => (1..1_500_u64).prop_map(|tokens| Op::Take { tokens }),
        2 => (index(), 1..=100_u64).prop_map(|(taken, percent)| Op::GiveBack { taken, percent }),
        2 => (index(), 1..1_000_u64).prop_map(|(taken, extra)| Op::ChargeExtra { taken, extra }),
    ];
    prop::collection::vec(op, 1..80)
}

struct Taken {
    number: u64,
    time: u64,
    tokens: u64,
    unused: u64,
    extra: u64,
}

/// Runs a case and checks at each take that all tokens, including extra ones, are within the
/// limits.
pub(crate) fn run(ops: &[Op], fault: Fault) -> Result<(), String> {
    let limits = Limits::new(RATE, BURST).expect("valid limits");
    let split = Split::new(0, 1, Drift::default()).expect("a valid split");
    let mut bucket = Bucket::new(Instant::from_millis(0), split.pool(limits));
    let mut now = 10_000;
    let mut takes: Vec<Taken> = Vec::new();
    // Extra tokens with the time of their charge.
    let mut extras = Vec::new();
    for op in ops {
        let at = Instant::from_millis(now);
        match *op {
            Op::Wait { millis } => now += millis,
            Op::Take { tokens } => {
                let Ok(number) = bucket.take(at, tokens) else {
                    continue;
                };
                takes.push(Taken {
                    number,
                    time: now * 1_000,
                    tokens,
                    unused: 0,
                    extra: 0,
                });
                let used = takes
                    .iter()
                    .map(|taken| (taken.time, taken.tokens - taken.unused));
                let used = used.chain(extras.iter().copied()).collect();
                oracle::check_last(used, u128::from(BURST) * 1_000_000, &vec![(0, RATE)])?;
            }
            Op::GiveBack { taken, percent } if !takes.is_empty() => {
                let count = takes.len();
                let taken = &mut takes[taken.index(count)];
                taken.unused = taken.unused.max(taken.tokens * percent / 100);
                bucket.give_back(at, taken.number, taken.unused);
            }
            Op::ChargeExtra { taken, extra } if !takes.is_empty() => {
                let count = takes.len();
                let taken = &mut takes[taken.index(count)];
                if fault == Fault::None {
                    bucket.charge_extra(at, taken.number, taken.extra + extra);
                }
                taken.extra += extra;
                extras.push((now * 1_000, extra));
            }
            _ => {}
        }
    }
    Ok(())
}
