//! Simulation of a fleet with a minimal log and network; times are true microseconds.

use std::collections::{BTreeMap, BTreeSet};

use berylknot_coordination::lease::{Shard, Subject};
use berylknot_coordination::quota::Limits;
use berylknot_coordination::record::{Entry, Incarnation, Record};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::host::{CUSTOMERS, Effect, Host, Message};
use crate::oracle::{self, Rates, Used};

pub(crate) const HOSTS: usize = 4;
/// High relative to the rates, so that a burst admitted twice shows in the worst interval.
const BURST: u64 = 6_000;
const RATES: [u64; 3] = [1_000, 400, 2_000];
const SECOND: u64 = 1_000_000;
/// End of all faults.
pub(crate) const QUIET: u64 = 100 * SECOND;
/// Time by which every shard has an owner: two leases after the last fault, because a claim may
/// reach the log just before its claimer crashes, plus one round of claims and two renewals.
const SETTLED: u64 = QUIET + 55 * SECOND;
/// Time from which every request within the rate is admitted, because the pools have refilled.
const PROBE: u64 = SETTLED + 10 * SECOND;
const END: u64 = PROBE + 15 * SECOND;

/// A mechanism that a run leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// A host claims shards before their leases have ended.
    ClaimWithoutWait,
    /// A lease starts when its renewal is read from the log, not when it was sent.
    LeaseFromReadBack,
    /// The pool of a new owner starts full.
    NewOwnerFull,
    /// Grants never expire.
    GrantWithoutLifetime,
    /// A duplicated answer admits its request twice.
    AnswerUsedTwice,
    /// No shard is claimed from the middle of the fault period on.
    NoClaim,
}

/// A platform fault or change, with the affected host and the duration in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    Crash(usize),
    Leave(usize),
    Pause(usize, u64),
    /// Messages to the host are delayed and arrive together.
    DelayMessages(usize, u64),
    LogDown(u64),
    LogSlow(u64),
    /// The log refuses one host's appends; the host may still read.
    LogRefuses(usize, u64),
    /// The host's log reads are delayed.
    ReadLate(usize, u64),
    Rate(usize),
    /// No requests, so that the buckets fill up and a burst follows.
    Idle(u64),
}

#[derive(Clone, Debug)]
pub(crate) struct Case {
    seed: u64,
    ops: Vec<(u64, Op)>,
}

/// Cases with all platform faults, weighted towards those in which the mechanism that `fault`
/// leaves out matters.
pub(crate) fn cases(fault: Fault) -> impl Strategy<Value = Case> {
    let host = || 0..HOSTS;
    let length = || prop_oneof![100..2_000_u64, 1_000..40_000_u64];
    let weight = |matters: &[Fault]| if matters.contains(&fault) { 20 } else { 1 };
    let slow_log = weight(&[Fault::LeaseFromReadBack]);
    let late_reader = weight(&[Fault::LeaseFromReadBack, Fault::ClaimWithoutWait]);
    let op = prop_oneof![
        1 => host().prop_map(Op::Crash),
        weight(&[Fault::NewOwnerFull]) => host().prop_map(Op::Leave),
        1 => (host(), length()).prop_map(|(host, length)| Op::Pause(host, length)),
        weight(&[Fault::GrantWithoutLifetime]) =>
            (host(), length()).prop_map(|(host, length)| Op::DelayMessages(host, length)),
        1 => length().prop_map(Op::LogDown),
        slow_log => length().prop_map(Op::LogSlow),
        slow_log => (host(), length()).prop_map(|(host, length)| Op::LogRefuses(host, length)),
        late_reader => (host(), length()).prop_map(|(host, length)| Op::ReadLate(host, length)),
        1 => (0..RATES.len()).prop_map(Op::Rate),
        weight(&[Fault::NewOwnerFull, Fault::AnswerUsedTwice]) =>
            (5_000..10_000_u64).prop_map(Op::Idle),
    ];
    // Some faults show only when several platform faults coincide.
    let count = match fault {
        Fault::NewOwnerFull | Fault::AnswerUsedTwice | Fault::ClaimWithoutWait => 20..40,
        _ => 0..14,
    };
    let ops = prop::collection::vec((0..QUIET / 1_000, op), count);
    (any::<u64>(), ops).prop_map(|(seed, ops)| Case { seed, ops })
}

enum Event {
    Op(Op),
    Start(usize),
    Step(usize, Incarnation),
    Request(usize),
    Append(usize, Vec<Record>),
    Fetch(usize, Incarnation, u64),
    Entries(usize, Incarnation, Vec<Entry>),
    Message(Incarnation, Incarnation, Message),
    End {
        admitted: usize,
        hold: Message,
        to: Incarnation,
        from: Incarnation,
    },
    Adopt(usize, usize),
}

struct World {
    fault: Fault,
    random: ChaCha8Rng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    hosts: Vec<Option<Host>>,
    by_incarnation: BTreeMap<Incarnation, usize>,
    paused_until: [u64; HOSTS],
    delayed_until: [u64; HOSTS],
    refused_until: [u64; HOSTS],
    reads_late_until: [u64; HOSTS],
    leaving: BTreeSet<Incarnation>,
    idle_until: u64,
    log_down_until: u64,
    log_slow_until: u64,
    log: Vec<Entry>,
    version: usize,
    adopted: [usize; HOSTS],
    rates: Rates,
    admitted: Vec<(usize, u64, u64)>,
    probes: u64,
    probes_admitted: u64,
}

/// Runs a case and checks all bounds.
pub(crate) fn run(case: &Case, fault: Fault) -> Result<(), String> {
    let mut world = World {
        fault,
        random: ChaCha8Rng::seed_from_u64(case.seed),
        now: 0,
        events: BTreeMap::new(),
        number: 0,
        hosts: (0..HOSTS).map(|_| None).collect(),
        by_incarnation: BTreeMap::new(),
        paused_until: [0; HOSTS],
        delayed_until: [0; HOSTS],
        refused_until: [0; HOSTS],
        reads_late_until: [0; HOSTS],
        leaving: BTreeSet::new(),
        idle_until: 0,
        log_down_until: 0,
        log_slow_until: 0,
        log: Vec::new(),
        version: 0,
        adopted: [0; HOSTS],
        rates: vec![(0, RATES[0])],
        admitted: Vec::new(),
        probes: 0,
        probes_admitted: 0,
    };
    for host in 0..HOSTS {
        let start = world.random.random_range(1..SECOND);
        world.at(start, Event::Start(host));
        world.at(start, Event::Request(host));
    }
    for &(at, op) in &case.ops {
        world.at(at * 1_000, Event::Op(op));
    }
    world.run()
}

impl World {
    fn run(&mut self) -> Result<(), String> {
        let mut settled = false;
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > END {
                break;
            }
            self.now = now;
            if now >= SETTLED && !settled {
                settled = true;
                self.check_owners()?;
            }
            // A lease becomes usable only through a log read; it expires without an event.
            let reads_log = matches!(event, Event::Entries(..));
            self.handle(event);
            if reads_log {
                self.check_leases()?;
            }
        }
        for customer in 0..CUSTOMERS.len() {
            let used: Vec<Used> = self
                .admitted
                .iter()
                .filter(|(of, _, _)| *of == customer)
                .map(|&(_, time, tokens)| (time, tokens))
                .collect();
            oracle::check_window(used, u128::from(BURST) * 1_000_000, &self.rates)?;
        }
        if self.probes_admitted < self.probes {
            let (admitted, probes) = (self.probes_admitted, self.probes);
            return Err(format!(
                "only {admitted} of {probes} requests in a quiet period admitted"
            ));
        }
        Ok(())
    }

    fn check_leases(&self) -> Result<(), String> {
        let hosts = self.hosts.iter().enumerate();
        let held = hosts.flat_map(|(index, host)| {
            let held = host
                .as_ref()
                .map(|host| host.held(self.now))
                .unwrap_or_default();
            held.into_iter().map(move |subject| (subject, index))
        });
        oracle::check_exclusive(self.now, held)
    }

    fn check_owners(&self) -> Result<(), String> {
        let hosts = self.hosts.iter().flatten();
        let held: BTreeSet<Subject> = hosts.flat_map(|host| host.held(self.now)).collect();
        let shards = held
            .iter()
            .filter(|subject| matches!(subject, Subject::Shard(_)))
            .count();
        if shards < Shard::COUNT {
            let now = self.now;
            return Err(format!(
                "only {shards} shards have an owner in a quiet period at {now} us"
            ));
        }
        Ok(())
    }

    fn at(&mut self, time: u64, event: Event) {
        self.number += 1;
        self.events.insert((time, self.number), event);
    }

    const fn faulty(&self) -> bool {
        self.now < QUIET
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.faulty() && self.random.random_bool(probability)
    }

    fn latency(&mut self) -> u64 {
        let usual = self.random.random_range(200..8_000);
        if self.chance(0.03) {
            return usual + self.random.random_range(0..3 * SECOND);
        }
        usual
    }

    fn log_latency(&mut self) -> u64 {
        let usual = self.latency();
        if self.faulty() && self.now < self.log_slow_until {
            return usual + self.random.random_range(0..12 * SECOND);
        }
        usual
    }

    fn handle(&mut self, event: Event) {
        let host = match &event {
            Event::Step(host, _) | Event::Entries(host, _, _) | Event::Adopt(host, _) => {
                Some(*host)
            }
            Event::Request(host) => Some(*host),
            Event::Message(to, _, _) => self.by_incarnation.get(to).copied(),
            _ => None,
        };
        if let Some(until) = host
            .map(|host| self.paused_until[host])
            .filter(|u| *u > self.now)
        {
            self.at(until, event);
            return;
        }
        match event {
            Event::Op(op) => self.op(op),
            Event::Start(host) => self.start(host),
            Event::Step(host, incarnation) => self.step(host, incarnation),
            Event::Request(host) => self.request(host),
            Event::Append(host, records) => self.append(host, records),
            Event::Fetch(host, incarnation, from) => self.fetch(host, incarnation, from),
            Event::Entries(host, incarnation, entries) => {
                let now = self.now;
                if let Some(host) = self.hosts[host].as_mut()
                    && host.incarnation() == incarnation
                    && entries
                        .first()
                        .is_some_and(|e| e.offset <= host.replica.next_offset().max(1))
                {
                    host.read(now, &entries);
                }
            }
            Event::Message(to, from, message) => {
                let Some(index) = self.by_incarnation.get(&to).copied() else {
                    return;
                };
                let now = self.now;
                let Some(host) = self.hosts[index].as_mut() else {
                    return;
                };
                if host.incarnation() != to {
                    return;
                }
                let effects = host.receive(now, from, message);
                self.apply(index, effects);
            }
            Event::End {
                admitted,
                hold,
                to,
                from,
            } => {
                let unused = match hold {
                    Message::GiveBack { unused, .. } => unused,
                    _ => 0,
                };
                self.admitted[admitted].2 -= unused;
                self.send(from, to, hold);
            }
            Event::Adopt(host, version) => {
                self.adopted[host] = self.adopted[host].max(version);
                let limits = self.limits(self.adopted[host]);
                let now = self.now;
                if let Some(host) = self.hosts[host].as_mut() {
                    host.set_limits(now, limits);
                }
                self.record_rates();
            }
        }
    }

    /// Limits of a configuration version. Versions are numbered in the order of publication, and
    /// the number selects the rate.
    fn limits(&self, version: usize) -> Limits {
        Limits::new(RATES[version % RATES.len()], BURST).expect("valid limits")
    }

    fn record_rates(&mut self) {
        let oldest = self.adopted.iter().copied().min().unwrap_or(0);
        let highest = (oldest..=self.version)
            .map(|version| RATES[version % RATES.len()])
            .max();
        self.rates.push((self.now, highest.expect("a version")));
    }

    fn op(&mut self, op: Op) {
        let until = |length: u64| (self.now + length * 1_000).min(QUIET);
        match op {
            Op::Crash(host) => self.stop(host),
            Op::Leave(host) => {
                if let Some(host) = self.hosts[host].as_mut() {
                    host.holder.leave();
                    self.leaving.insert(host.incarnation());
                }
            }
            Op::Pause(host, length) => self.paused_until[host] = until(length),
            Op::DelayMessages(host, length) => self.delayed_until[host] = until(length),
            Op::LogDown(length) => self.log_down_until = until(length),
            Op::LogSlow(length) => self.log_slow_until = until(length),
            Op::LogRefuses(host, length) => self.refused_until[host] = until(length),
            Op::ReadLate(host, length) => self.reads_late_until[host] = until(length),
            Op::Idle(length) => self.idle_until = until(length),
            Op::Rate(rate) => {
                // The next version whose number selects this rate.
                let step = (rate + RATES.len() - self.version % RATES.len()) % RATES.len();
                self.version += step;
                self.record_rates();
                for host in 0..HOSTS {
                    let delay = self.random.random_range(0..14 * SECOND);
                    self.at(self.now + delay, Event::Adopt(host, self.version));
                }
            }
        }
    }

    fn stop(&mut self, host: usize) {
        if self.hosts[host].take().is_some() {
            let delay = self.random.random_range(SECOND / 10..4 * SECOND);
            self.at(self.now + delay, Event::Start(host));
        }
    }

    fn start(&mut self, index: usize) {
        self.adopted[index] = self.version;
        self.record_rates();
        let limits = self.limits(self.version);
        let host = Host::new(self.now, index as u64, self.now, limits, self.fault);
        let incarnation = host.incarnation();
        self.by_incarnation.insert(incarnation, index);
        self.hosts[index] = Some(host);
        self.at(self.now, Event::Step(index, incarnation));
    }

    fn step(&mut self, index: usize, incarnation: Incarnation) {
        let now = self.now;
        let Some(host) = self.hosts[index]
            .as_mut()
            .filter(|h| h.incarnation() == incarnation)
        else {
            return;
        };
        let mut effects = host.step(now);
        if self.fault == Fault::NoClaim && now > QUIET / 2 {
            effects.retain(|effect| !is_claim(effect));
        }
        let from = host.replica.next_offset();
        if self.leaving.contains(&incarnation) && host.holder.released(host.replica.leases()) {
            self.stop(index);
        }
        self.apply(index, effects);
        let delay = self.log_latency();
        self.at(now + delay, Event::Fetch(index, incarnation, from));
        self.at(now + 200_000, Event::Step(index, incarnation));
    }

    /// Sends a caller's request. Requests exceed the rate during the faults and stay within a tenth
    /// of it in the final period.
    fn request(&mut self, index: usize) {
        let probing = self.now >= PROBE;
        let waiting = self.now >= QUIET && !probing || self.now < self.idle_until;
        let every = if probing { SECOND } else { 60_000 };
        let next = self.now + self.random.random_range(every / 2..every);
        self.at(next, Event::Request(index));
        if waiting || probing && self.now + SECOND > END {
            return;
        }
        let tokens = match probing {
            true => 60,
            false if self.random.random_bool(0.05) => self.random.random_range(1_000..2_500),
            false => self.random.random_range(1..300),
        };
        let customer = self.random.random_range(0..CUSTOMERS.len());
        let now = self.now;
        let Some(host) = self.hosts[index].as_mut() else {
            return;
        };
        self.probes += u64::from(probing);
        let effects = host.request(now, customer, tokens, &mut self.random);
        self.apply(index, effects);
    }

    fn append(&mut self, host: usize, records: Vec<Record>) {
        if self.now < self.log_down_until || self.now < self.refused_until[host] {
            return;
        }
        let offset = self.log.len() as u64 + 1;
        self.log.push(Entry {
            offset,
            appended_at_ms: self.now / 1_000,
            records,
        });
    }

    fn fetch(&mut self, host: usize, incarnation: Incarnation, from: u64) {
        if self.now < self.log_down_until || self.chance(0.05) {
            return;
        }
        let from = usize::try_from(from.max(1) - 1).expect("a small log");
        if from >= self.log.len() {
            return;
        }
        let entries = self.log[from..].to_vec();
        let mut delay = self.log_latency();
        if self.faulty() && self.now < self.reads_late_until[host] {
            delay += self.random.random_range(SECOND..9 * SECOND);
        }
        self.at(self.now + delay, Event::Entries(host, incarnation, entries));
    }

    fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        let Some(own) = self.hosts[index].as_ref().map(Host::incarnation) else {
            return;
        };
        for effect in effects {
            match effect {
                Effect::Append(records) => {
                    // A request may be lost, and is repeated after a lost answer.
                    if !self.chance(0.05) {
                        let delay = self.log_latency();
                        self.at(self.now + delay, Event::Append(index, records.clone()));
                    }
                    if self.chance(0.1) {
                        let delay = 2 * SECOND + self.log_latency();
                        self.at(self.now + delay, Event::Append(index, records));
                    }
                }
                Effect::Send(to, message) => self.send(own, to, message),
                Effect::Admitted {
                    customer,
                    tokens,
                    hold,
                    from,
                } => {
                    self.admit(own, customer, tokens, hold, from);
                }
            }
        }
    }

    fn admit(
        &mut self,
        own: Incarnation,
        customer: usize,
        tokens: u64,
        hold: berylknot_coordination::quota::Hold,
        from: Incarnation,
    ) {
        let probing = self.now >= PROBE;
        self.probes_admitted += u64::from(probing);
        let admitted = self.admitted.len();
        self.admitted.push((customer, self.now, tokens));
        if probing {
            return;
        }
        let message = match self.random.random_range(0..10) {
            0..6 => {
                let unused = self.random.random_range(0..=tokens);
                Message::GiveBack {
                    customer,
                    hold,
                    unused,
                }
            }
            6 => Message::ChargeExtra {
                customer,
                hold,
                extra: self.random.random_range(1..30),
            },
            _ => return,
        };
        let length = self.random.random_range(0..12 * SECOND);
        let end = Event::End {
            admitted,
            hold: message,
            to: from,
            from: own,
        };
        self.at(self.now + length, end);
    }

    fn send(&mut self, from: Incarnation, to: Incarnation, message: Message) {
        let Some(index) = self.by_incarnation.get(&to).copied() else {
            return;
        };
        if self.chance(0.05) {
            return;
        }
        let copies = if self.chance(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let arrival = (self.now + self.latency()).max(self.delayed_until[index]);
            self.at(arrival, Event::Message(to, from, message));
        }
    }
}

fn is_claim(effect: &Effect) -> bool {
    let Effect::Append(records) = effect else {
        return false;
    };
    records
        .iter()
        .any(|record| matches!(record, Record::Claim(_)))
}
