//! A host of the simulated fleet, which drives the real state machines like a daemon.

use std::collections::{BTreeMap, BTreeSet};

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::lease::{Holder, Seat, Shard, Subject, Timing};
use berylknot_coordination::quota::{
    Approval, Donation, Floor, Grant, Handover, Hold, Limits, Pool, Split, Ticket,
};
use berylknot_coordination::record::{Claim, Entry, Id, Incarnation, Position, Record};
use berylknot_coordination::replica::{Change, Replica};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::world::Fault;

pub(crate) const CUSTOMERS: [&str; 2] = ["registry", "atelier"];

/// Identity of a request for tokens, under which its answer is matched and used once.
pub(crate) type Ask = (Incarnation, u64);

/// Message between hosts. An answer repeats `asked` and `ask` of its request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Message {
    Ask {
        customer: usize,
        tokens: u64,
        asked: Instant,
        ask: Ask,
    },
    Granted {
        customer: usize,
        asked: Instant,
        ask: Ask,
        approval: Approval,
    },
    Invite {
        customer: usize,
        ticket: Ticket,
    },
    Donate {
        customer: usize,
        donation: Donation,
    },
    GiveBack {
        customer: usize,
        hold: Hold,
        unused: u64,
    },
    ChargeExtra {
        customer: usize,
        hold: Hold,
        extra: u64,
    },
    Handover {
        customer: usize,
        handover: Handover,
    },
}

/// Action requested by a host.
#[derive(Debug)]
pub(crate) enum Effect {
    Append(Vec<Record>),
    /// Sends to a host by incarnation; a message to its own goes from its coordinator to its
    /// gateway.
    Send(Incarnation, Message),
    Admitted {
        customer: usize,
        tokens: u64,
        hold: Hold,
        from: Incarnation,
    },
}

pub(crate) struct Host {
    fault: Fault,
    index: u64,
    pub(crate) replica: Replica,
    pub(crate) holder: Holder,
    pools: BTreeMap<usize, (Position, Pool)>,
    floors: BTreeMap<usize, (Subject, Position, Floor)>,
    handovers: Vec<(Instant, usize, Handover)>,
    /// Requests without an answer, at most 1,000; beyond that the oldest is dropped.
    asks: BTreeSet<u64>,
    next_ask: u64,
    limits: Limits,
    split: Split,
    /// Sending times of renewals by sequence number, for [`Fault::LeaseFromReadBack`].
    renewals_sent: Vec<(u64, Instant)>,
    /// Delay between sending and reading the last renewal, for [`Fault::LeaseFromReadBack`].
    read_back_delay: std::time::Duration,
}

impl Host {
    pub(crate) fn new(now: u64, index: u64, start: u64, limits: Limits, fault: Fault) -> Self {
        let incarnation = Incarnation(start << 20 | index);
        let timing = Timing {
            seat_lease: std::time::Duration::from_secs(40),
            ..Timing::default()
        };
        let seats = Seat::count(crate::world::HOSTS as u16);
        let split = Split::new(Split::FLOOR_PER_MILLE, seats, Drift::default());
        Self {
            fault,
            index,
            replica: Replica::default(),
            holder: Holder::new(
                local(now, index),
                incarnation,
                format!("host-{index}"),
                seats,
                timing,
            ),
            pools: BTreeMap::new(),
            floors: BTreeMap::new(),
            handovers: Vec::new(),
            asks: BTreeSet::new(),
            next_ask: 0,
            limits,
            split: split.expect("a valid split"),
            renewals_sent: Vec::new(),
            read_back_delay: std::time::Duration::ZERO,
        }
    }

    pub(crate) const fn incarnation(&self) -> Incarnation {
        self.holder.incarnation()
    }

    /// Subjects whose leases are usable at `now`.
    pub(crate) fn held(&self, now: u64) -> Vec<Subject> {
        let held = self.holder.held(
            self.lease_time(local(now, self.index)),
            self.replica.leases(),
        );
        held.into_iter().map(|(subject, _)| subject).collect()
    }

    pub(crate) fn step(&mut self, now: u64) -> Vec<Effect> {
        let claims_early =
            self.fault == Fault::ClaimWithoutWait && self.index == 1 && now < crate::world::QUIET;
        let now = local(now, self.index);
        self.sync_buckets(now);
        let mut records = self.holder.tick(now, self.replica.leases());
        if claims_early && !records.is_empty() {
            records.push(self.early_claim(now));
        }
        let mut effects = Vec::new();
        for record in &records {
            match record {
                Record::Renew(renew) => self.renewals_sent.push((renew.id.sequence, now)),
                Record::Release(release) => {
                    let Some(successor) = release.successor else {
                        continue;
                    };
                    for &(subject, since) in &release.subjects {
                        effects.extend(self.hand_over(now, subject, since, successor));
                    }
                }
                _ => {}
            }
        }
        if !records.is_empty() {
            effects.push(Effect::Append(records));
        }
        effects
    }

    /// Claims shards without waiting for the end of their leases.
    fn early_claim(&self, now: Instant) -> Record {
        let leases = self.replica.leases();
        let subjects = Shard::all().take(8).map(Subject::Shard);
        Record::Claim(Claim {
            id: Id {
                incarnation: self.incarnation(),
                sequence: u64::MAX - now.as_millis(),
            },
            subjects: subjects
                .map(|subject| (subject, leases.last_owning(subject)))
                .collect(),
        })
    }

    pub(crate) fn read(&mut self, now: u64, entries: &[Entry]) {
        let now = local(now, self.index);
        for entry in entries {
            for change in self.replica.apply(entry) {
                let Change::Lease(change) = change else {
                    continue;
                };
                self.record_read_back(now, &change);
                self.holder.observe(now, &change);
            }
        }
        self.sync_buckets(now);
    }

    pub(crate) fn set_limits(&mut self, now: u64, limits: Limits) {
        let now = local(now, self.index);
        self.limits = limits;
        for (_, pool) in self.pools.values_mut() {
            pool.set_limits(now, limits, self.split);
        }
        for (_, _, floor) in self.floors.values_mut() {
            floor.set_limits(now, limits, self.split);
        }
    }

    /// Requests tokens for a caller: with a probability of 0.3 from the floor if it has them, else
    /// from the pool's owner if it is known.
    pub(crate) fn request(
        &mut self,
        now: u64,
        customer: usize,
        tokens: u64,
        random: &mut ChaCha8Rng,
    ) -> Vec<Effect> {
        let now = local(now, self.index);
        self.sync_buckets(now);
        let own = self.incarnation();
        let ask = (own, self.next_ask);
        self.next_ask += 1;
        self.asks.insert(ask.1);
        if self.asks.len() > 1_000 {
            self.asks.pop_first();
        }
        if random.random_bool(0.3)
            && let Some((subject, _, floor)) = self.floors.get_mut(&customer)
            && self.holder.usable(now, self.replica.leases(), *subject)
            && let Ok(approval) = floor.acquire(now, tokens)
        {
            let granted = Message::Granted {
                customer,
                asked: now,
                ask,
                approval,
            };
            return vec![Effect::Send(own, granted)];
        }
        let shard = Shard::of(CUSTOMERS[customer].as_bytes());
        let Some(owner) = self.replica.leases().holding(Subject::Shard(shard)).owner else {
            return Vec::new();
        };
        vec![Effect::Send(
            owner,
            Message::Ask {
                customer,
                tokens,
                asked: now,
                ask,
            },
        )]
    }

    pub(crate) fn receive(&mut self, now: u64, from: Incarnation, message: Message) -> Vec<Effect> {
        let now = local(now, self.index);
        self.sync_buckets(now);
        let leases = self.replica.leases();
        let mut effects = Vec::new();
        match message {
            Message::Ask {
                customer,
                tokens,
                asked,
                ask,
            } => {
                let Some(pool) = self.usable_pool(now, customer) else {
                    return effects;
                };
                if let Ok(approval) = pool.acquire(now, tokens) {
                    let granted = Message::Granted {
                        customer,
                        asked,
                        ask,
                        approval,
                    };
                    effects.push(Effect::Send(from, granted));
                }
                if let Some(ticket) = pool.ticket(now) {
                    effects.push(Effect::Send(from, Message::Invite { customer, ticket }));
                }
            }
            Message::Granted {
                customer,
                asked,
                ask,
                approval,
            } => {
                let first = ask.0 == self.incarnation() && self.asks.remove(&ask.1);
                let repeated = self.fault == Fault::AnswerUsedTwice && ask.0 == self.incarnation();
                if !first && !repeated {
                    return effects;
                }
                let (hold, tokens) = (approval.hold, approval.tokens);
                let admitted = Grant::new(asked, approval).admit(now);
                if admitted.is_ok() || self.fault == Fault::GrantWithoutLifetime {
                    effects.push(Effect::Admitted {
                        customer,
                        tokens,
                        hold,
                        from,
                    });
                } else {
                    let unused = tokens;
                    effects.push(Effect::Send(
                        from,
                        Message::GiveBack {
                            customer,
                            hold,
                            unused,
                        },
                    ));
                }
            }
            Message::Invite { customer, ticket } => {
                if let Some((subject, _, floor)) = self.floors.get_mut(&customer)
                    && self.holder.usable(now, leases, *subject)
                    && let Some(donation) = floor.donate(now, ticket, now)
                {
                    effects.push(Effect::Send(from, Message::Donate { customer, donation }));
                }
            }
            Message::Donate { customer, donation } => {
                if let Some(pool) = self.usable_pool(now, customer) {
                    pool.accept(now, donation);
                }
            }
            Message::GiveBack {
                customer,
                hold,
                unused,
            } => {
                if let Some((_, pool)) = self.pools.get_mut(&customer) {
                    pool.give_back(now, hold, unused);
                }
                if let Some((_, _, floor)) = self.floors.get_mut(&customer) {
                    floor.give_back(now, hold, unused);
                }
            }
            Message::ChargeExtra {
                customer,
                hold,
                extra,
            } => {
                if let Some((_, pool)) = self.pools.get_mut(&customer) {
                    pool.charge_extra(now, hold, extra);
                }
            }
            Message::Handover { customer, handover } => {
                self.handovers.push((now, customer, handover));
                self.sync_buckets(now);
            }
        }
        effects
    }

    fn usable_pool(&mut self, now: Instant, customer: usize) -> Option<&mut Pool> {
        let shard = Subject::Shard(Shard::of(CUSTOMERS[customer].as_bytes()));
        if !self.usable(now, shard) {
            return None;
        }
        self.pools.get_mut(&customer).map(|(_, pool)| pool)
    }

    fn usable(&self, now: Instant, subject: Subject) -> bool {
        self.holder
            .usable(self.lease_time(now), self.replica.leases(), subject)
    }

    /// Creates and drops buckets as leases start and end, and applies handovers that arrived before
    /// the lease.
    fn sync_buckets(&mut self, now: Instant) {
        let leases = self.replica.leases();
        let seat = leases
            .seats()
            .find(|(_, holding)| holding.owner == Some(self.holder.incarnation()));
        for (customer, name) in CUSTOMERS.iter().enumerate() {
            let shard = Shard::of(name.as_bytes());
            let holding = leases.holding(Subject::Shard(shard));
            let since = holding.since;
            if self
                .pools
                .get(&customer)
                .is_some_and(|(pool_since, _)| *pool_since != since)
            {
                self.pools.remove(&customer);
            }
            if self.usable(now, Subject::Shard(shard)) && !self.pools.contains_key(&customer) {
                let mut pool = Pool::new(now, self.limits, self.split, shard, since);
                if self.fault == Fault::NewOwnerFull {
                    let ticket = pool.ticket(now).expect("an empty pool issues a ticket");
                    pool.accept(
                        now,
                        Donation {
                            ticket,
                            nanotokens: u64::MAX,
                        },
                    );
                }
                self.pools.insert(customer, (since, pool));
            }
            if let Some((_, pool)) = self.pools.get_mut(&customer) {
                self.handovers.retain(|(_, of, handover)| {
                    *of != customer || !pool.take_over(now, *handover, holding.predecessor)
                });
            }
            let Some((seat, holding)) = seat else {
                self.floors.remove(&customer);
                continue;
            };
            let (subject, since) = (Subject::Seat(seat), holding.since);
            if self
                .floors
                .get(&customer)
                .is_some_and(|floor| (floor.0, floor.1) != (subject, since))
            {
                self.floors.remove(&customer);
            }
            if self.usable(now, subject) && !self.floors.contains_key(&customer) {
                let floor = Floor::new(now, self.limits, self.split, seat, since);
                self.floors.insert(customer, (subject, since, floor));
            }
        }
        self.handovers
            .retain(|(received, _, _)| now.since(*received).as_secs() < 10);
    }

    fn hand_over(
        &mut self,
        now: Instant,
        subject: Subject,
        since: Position,
        successor: Incarnation,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (customer, name) in CUSTOMERS.iter().enumerate() {
            if Subject::Shard(Shard::of(name.as_bytes())) != subject {
                continue;
            }
            let Some((pool_since, pool)) = self.pools.remove(&customer) else {
                continue;
            };
            if pool_since == since {
                let handover = pool.hand_over(now);
                effects.push(Effect::Send(
                    successor,
                    Message::Handover { customer, handover },
                ));
            }
        }
        effects
    }

    fn record_read_back(&mut self, now: Instant, change: &berylknot_coordination::lease::Change) {
        let berylknot_coordination::lease::Change::Renewed { id, .. } = change else {
            return;
        };
        if id.incarnation != self.incarnation() {
            return;
        }
        if let Some((_, sent)) = self
            .renewals_sent
            .iter()
            .find(|(sent, _)| *sent == id.sequence)
        {
            self.read_back_delay = now.since(*sent);
        }
    }

    /// Time at which leases are checked: `now`, or with [`Fault::LeaseFromReadBack`] earlier by the
    /// delay until the last renewal was read.
    fn lease_time(&self, now: Instant) -> Instant {
        match self.fault {
            Fault::LeaseFromReadBack => now - self.read_back_delay,
            _ => now,
        }
    }
}

/// Clock of a host at a true time in microseconds; the hosts' drifts reach the bound in both
/// directions.
pub(crate) fn local(micros: u64, host: u64) -> Instant {
    let rate = [1_001_000, 999_000, 1_000_300, 999_500][(host % 4) as usize];
    Instant::from_millis((micros * rate / 1_000_000 + host * 777_777_333) / 1_000)
}
