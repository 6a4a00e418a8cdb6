//! Simulation of one customer's pool and floors without the log; times are true microseconds.

use std::time::Duration;

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::lease::{Seat, Shard};
use berylknot_coordination::quota::{Donation, Floor, Handover, Hold, Limits, Pool, Split, Ticket};
use berylknot_coordination::record::Position;
use proptest::prelude::*;

use crate::oracle::{self, Rates, Used};

const SEATS: u16 = 3;
const BURST: u64 = 3_000;
/// Rates that a case switches between, in tokens per second.
const RATES: [u64; 3] = [1_000, 300, 2_600];
/// Half of the limits goes to the floors, so that their faults have an effect.
const FLOOR_PER_MILLE: u16 = 500;

/// A mechanism that a run leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The pool of a new owner starts full.
    NewOwnerFull,
    /// A floor does not debit its donations.
    DonationNotDebited,
    /// Donations in flight stop counting against the floor's cap too early.
    RefillInFlight,
    /// A pool credits expired and repeated donations.
    OldDonationCredited,
    /// Returns are credited up to the cap although the refill has replaced them.
    ReturnAsBurst,
    /// Handovers are credited up to the cap although the refill has replaced them.
    HandoverAsBurst,
    /// A raised rate takes effect without delay.
    RateRaisedAtOnce,
}

#[derive(Clone, Debug)]
pub(crate) enum Op {
    Wait {
        micros: u64,
    },
    Pool {
        tokens: u64,
        delay: u64,
    },
    Floor {
        seat: u16,
        tokens: u64,
        delay: u64,
    },
    DrainAll {
        delay: u64,
    },
    GiveBack {
        taken: prop::sample::Index,
        percent: u64,
    },
    ChargeExtra {
        taken: prop::sample::Index,
        extra: u64,
    },
    Ticket {
        seat: u16,
    },
    Donate {
        seat: u16,
    },
    /// Drains all buckets while a donation is in flight, and again when it arrives.
    DrainAroundDonation {
        seat: u16,
        flight: u64,
    },
    Deliver {
        message: prop::sample::Index,
        keep: bool,
    },
    NewOwner {
        graceful: bool,
    },
    Resize {
        bucket: u16,
        rate: usize,
    },
}

pub(crate) fn ops(changes: bool) -> impl Strategy<Value = Vec<Op>> {
    let delay = || prop_oneof![Just(0_u64), Just(500_000_u64), 0..500_000_u64];
    let seat = || 0..SEATS;
    let op = prop_oneof![
        6 => prop_oneof![1..20_000_u64, 1..700_000_u64, 1..4_000_000_u64]
            .prop_map(|micros| Op::Wait { micros }),
        4 => (1..2_000_u64, delay()).prop_map(|(tokens, delay)| Op::Pool { tokens, delay }),
        2 => (seat(), 1..400_u64, delay())
            .prop_map(|(seat, tokens, delay)| Op::Floor { seat, tokens, delay }),
        3 => delay().prop_map(|delay| Op::DrainAll { delay }),
        4 => (any::<prop::sample::Index>(), 1..=100_u64)
            .prop_map(|(taken, percent)| Op::GiveBack { taken, percent }),
        1 => (any::<prop::sample::Index>(), 1..500_u64)
            .prop_map(|(taken, extra)| Op::ChargeExtra { taken, extra }),
        3 => seat().prop_map(|seat| Op::Ticket { seat }),
        4 => seat().prop_map(|seat| Op::Donate { seat }),
        2 => (seat(), 1..499_000_u64)
            .prop_map(|(seat, flight)| Op::DrainAroundDonation { seat, flight }),
        5 => (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(message, keep)| Op::Deliver { message, keep }),
        1 => any::<bool>().prop_map(|graceful| Op::NewOwner { graceful }),
        3 => (0..=SEATS, 0..RATES.len()).prop_map(move |(bucket, rate)| match changes {
            true => Op::Resize { bucket, rate },
            false => Op::Wait { micros: 1_000 },
        }),
    ];
    prop::collection::vec(op, 1..120)
}

#[derive(Clone, Copy)]
enum Message {
    Donation(Donation),
    Handover(Handover),
}

struct Taken {
    hold: Hold,
    debited: u64,
    used: u64,
    tokens: u64,
    unused: u64,
}

struct Tokens {
    fault: Fault,
    now: u64,
    split: Split,
    pool: Pool,
    pool_since: u64,
    predecessor: Option<Position>,
    floors: Vec<Floor>,
    tickets: Vec<Option<(Ticket, Instant)>>,
    versions: Vec<usize>,
    rates: Rates,
    taken: Vec<Taken>,
    messages: Vec<Message>,
}

/// Runs a case and checks the limits after each step.
pub(crate) fn run(ops: &[Op], fault: Fault) -> Result<(), String> {
    let drift = Drift::default();
    let split = Split::new(FLOOR_PER_MILLE, SEATS, drift).expect("a valid split");
    let limits = Limits::new(RATES[0], BURST).expect("valid limits");
    let floors = (0..SEATS)
        .map(|seat| Floor::new(clock(0, seat + 1), limits, split, Seat(seat), position(1)))
        .collect();
    let mut tokens = Tokens {
        fault,
        now: 0,
        split,
        pool: Pool::new(
            clock(0, 0),
            limits,
            split,
            Shard::of(b"customer"),
            position(1),
        ),
        pool_since: 1,
        predecessor: None,
        floors,
        tickets: vec![None; usize::from(SEATS)],
        versions: vec![0; usize::from(SEATS) + 1],
        rates: vec![(0, RATES[0])],
        taken: Vec::new(),
        messages: Vec::new(),
    };
    // Every case starts with full buckets, which leave no slack below the limits.
    tokens.now = 10_000_000;
    for op in ops {
        tokens.step(op);
        tokens.check()?;
    }
    Ok(())
}

/// Clock of a host; the hosts' drifts reach the bound in both directions, and their origins differ.
fn clock(micros: u64, host: u16) -> Instant {
    let rate = if host.is_multiple_of(2) {
        1_001_000
    } else {
        999_000
    };
    let origin = u64::from(host) * 777_777_333;
    Instant::from_millis((micros * rate / 1_000_000 + origin) / 1_000)
}

const fn position(offset: u64) -> Position {
    Position::new(offset, 0)
}

impl Tokens {
    fn step(&mut self, op: &Op) {
        match *op {
            Op::Wait { micros } => self.now += micros,
            Op::Pool { tokens, delay } => self.take_pool(tokens, delay),
            Op::Floor {
                seat,
                tokens,
                delay,
            } => self.take_floor(seat, tokens, delay),
            Op::DrainAll { delay } => self.drain_all(delay),
            Op::GiveBack { taken, percent } => self.give_back(taken, percent),
            Op::ChargeExtra { taken, extra } => self.charge_extra(taken, extra),
            Op::Ticket { seat } => self.ticket(seat),
            Op::DrainAroundDonation { seat, flight } => {
                self.take_pool(1, 0);
                self.ticket(seat);
                self.donate(seat);
                self.now += flight;
                self.drain_all(0);
                if let Some(message) = self.messages.pop() {
                    self.receive(&message);
                }
                self.drain_all(0);
            }
            Op::Donate { seat } => self.donate(seat),
            Op::Deliver { message, keep } => self.deliver(message, keep),
            Op::NewOwner { graceful } => self.new_owner(graceful),
            Op::Resize { bucket, rate } => self.resize(bucket, rate),
        }
    }

    fn drain_all(&mut self, delay: u64) {
        let level = self.pool.bucket().level(clock(self.now, 0));
        self.take_pool(u64::try_from(level).unwrap_or(0), delay);
        for seat in 0..SEATS {
            let floor = &self.floors[usize::from(seat)];
            let level = floor.bucket().level(clock(self.now, seat + 1));
            self.take_floor(seat, u64::try_from(level).unwrap_or(0), delay);
        }
    }

    fn ticket(&mut self, seat: u16) {
        if let Some(ticket) = self.pool.ticket(clock(self.now, 0)) {
            let received = clock(self.now, seat + 1);
            self.tickets[usize::from(seat)] = Some((ticket, received));
        }
    }

    fn check(&self) -> Result<(), String> {
        let used = |time: fn(&Taken) -> u64| -> Vec<Used> {
            self.taken
                .iter()
                .map(|taken| (time(taken), taken.tokens - taken.unused))
                .collect()
        };
        let burst = u128::from(BURST) * 1_000_000;
        oracle::check_window(used(|taken| taken.used), burst, &self.rates)
            .map_err(|reason| format!("admitted: {reason}"))?;
        if self.rates.len() == 1 {
            // With a constant rate, the debits stay within the burst minus the refill of one grant
            // lifetime.
            let burst = burst - u128::from(RATES[0]) * 501_000;
            oracle::check_window(used(|taken| taken.debited), burst, &self.rates)
                .map_err(|reason| format!("debited: {reason}"))?;
        }
        Ok(())
    }

    fn take_pool(&mut self, tokens: u64, delay: u64) {
        if tokens == 0 {
            return;
        }
        if let Ok(approval) = self.pool.acquire(clock(self.now, 0), tokens) {
            self.record(approval.hold, tokens, delay);
        }
    }

    fn take_floor(&mut self, seat: u16, tokens: u64, delay: u64) {
        if tokens == 0 {
            return;
        }
        let now = clock(self.now, seat + 1);
        if let Ok(approval) = self.floors[usize::from(seat)].acquire(now, tokens) {
            self.record(approval.hold, tokens, delay);
        }
    }

    fn record(&mut self, hold: Hold, tokens: u64, delay: u64) {
        let used = self.now + delay;
        self.taken.push(Taken {
            hold,
            debited: self.now,
            used,
            tokens,
            unused: 0,
        });
    }

    fn give_back(&mut self, index: prop::sample::Index, percent: u64) {
        if self.taken.is_empty() {
            return;
        }
        let index = index.index(self.taken.len());
        let taken = &mut self.taken[index];
        let unused = taken.unused.max(taken.tokens * percent / 100);
        let more = unused - taken.unused;
        taken.unused = unused;
        let (hold, at_pool) = (taken.hold, clock(self.now, 0));
        if self.fault == Fault::ReturnAsBurst {
            // Credits up to the cap, regardless of the refill since the take.
            if let Some(ticket) = self.pool.ticket(at_pool) {
                self.pool.accept(
                    at_pool,
                    Donation {
                        ticket,
                        nanotokens: more * 1_000_000_000,
                    },
                );
            }
            return;
        }
        self.pool.give_back(at_pool, hold, unused);
        for seat in 0..SEATS {
            let now = clock(self.now, seat + 1);
            self.floors[usize::from(seat)].give_back(now, hold, unused);
        }
    }

    fn charge_extra(&mut self, index: prop::sample::Index, extra: u64) {
        if self.taken.is_empty() {
            return;
        }
        let hold = self.taken[index.index(self.taken.len())].hold;
        self.pool.charge_extra(clock(self.now, 0), hold, extra);
    }

    fn donate(&mut self, seat: u16) {
        let index = usize::from(seat);
        let now = clock(self.now, seat + 1);
        let Some((ticket, received)) = self.tickets[index].take() else {
            return;
        };
        let donation = match self.fault {
            Fault::DonationNotDebited => self.floors[index].clone().donate(now, ticket, received),
            Fault::RefillInFlight => {
                let early = now - Duration::from_millis(499);
                self.floors[index].donate(now, ticket, early)
            }
            _ => self.floors[index].donate(now, ticket, received),
        };
        self.messages.extend(donation.map(Message::Donation));
    }

    fn deliver(&mut self, index: prop::sample::Index, keep: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = index.index(self.messages.len());
        let message = self.messages[index];
        self.receive(&message);
        if !keep {
            self.messages.swap_remove(index);
        }
    }

    fn receive(&mut self, message: &Message) {
        let now = clock(self.now, 0);
        match message {
            Message::Donation(donation) => {
                let mut donation = *donation;
                if self.fault == Fault::OldDonationCredited {
                    // A fresh ticket hides that the donation is expired or repeated.
                    donation.ticket = self.pool.ticket(now).unwrap_or(donation.ticket);
                }
                self.pool.accept(now, donation);
            }
            Message::Handover(handover) => {
                if self.fault == Fault::HandoverAsBurst {
                    if let Some(ticket) = self.pool.ticket(now) {
                        let nanotokens = u64::try_from(handover.level).unwrap_or(0);
                        self.pool.accept(now, Donation { ticket, nanotokens });
                    }
                } else {
                    self.pool.take_over(now, *handover, self.predecessor);
                }
            }
        }
    }

    fn new_owner(&mut self, graceful: bool) {
        let now = clock(self.now, 0);
        let limits = Limits::new(RATES[self.versions[0]], BURST).expect("valid limits");
        let (since, shard) = (position(self.pool_since), Shard::of(b"customer"));
        self.pool_since += 1;
        let new = Pool::new(now, limits, self.split, shard, position(self.pool_since));
        let old = std::mem::replace(&mut self.pool, new);
        self.predecessor = graceful.then_some(since);
        if graceful {
            self.messages.push(Message::Handover(old.hand_over(now)));
        }
        if self.fault == Fault::NewOwnerFull {
            let ticket = self
                .pool
                .ticket(now)
                .expect("an empty pool issues a ticket");
            self.pool.accept(
                now,
                Donation {
                    ticket,
                    nanotokens: u64::MAX,
                },
            );
        }
    }

    fn resize(&mut self, bucket: u16, rate: usize) {
        let limits = Limits::new(RATES[rate], BURST).expect("valid limits");
        let index = usize::from(bucket);
        self.versions[index] = rate;
        let mut now = clock(self.now, bucket);
        if self.fault == Fault::RateRaisedAtOnce {
            // The delay of a raised rate has already passed.
            now = now - Duration::from_millis(504);
        }
        match index.checked_sub(1) {
            None => self.pool.set_limits(now, limits, self.split),
            Some(floor) => self.floors[floor].set_limits(now, limits, self.split),
        }
        let highest = self.versions.iter().map(|version| RATES[*version]).max();
        self.rates
            .push((self.now, highest.expect("at least one bucket")));
    }
}
