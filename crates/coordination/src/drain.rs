//! Graceful shutdown of a gateway or a coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;

/// Key of a shard of the log's ownership records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u16);

/// Key of a customer's pool bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool(pub u32);

/// Key of the slot ledger of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ledger(pub u32);

/// What must be finished and handed over.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The operator's deadline: running requests are cut at this time and not earlier.
    pub deadline: Instant,
    /// Time for the hand-over. It begins this long before the deadline at the latest, and the
    /// process exits this long after the deadline at the latest.
    pub handover: Duration,
    /// Requests accepted and not ended.
    pub running: u64,
    /// Pool buckets held, with their shards.
    pub pools: Vec<(Pool, Shard)>,
    /// Slot ledgers held.
    pub ledgers: Vec<Ledger>,
    /// Shards held, also those without pools.
    pub shards: Vec<Shard>,
    /// Whether a seat is held.
    pub seat: bool,
}

/// What happened during the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A running request ended by itself.
    Ended,
    /// A running request was answered and cancelled because of [`Action::Cut`].
    CutOff,
    /// A pool grants nothing any more, and its level was set to zero.
    Debited {
        /// The pool.
        pool: Pool,
        /// Tokens taken out.
        level: u64,
    },
    /// The successor accepted a pool's level.
    LevelAccepted {
        /// The pool.
        pool: Pool,
    },
    /// The successor accepted a slot ledger.
    LedgerAccepted {
        /// The ledger.
        ledger: Ledger,
    },
    /// The release of a shard was read back from the log.
    ShardReleased {
        /// The shard.
        shard: Shard,
    },
    /// The release of the seat was read back from the log.
    SeatReleased,
}

/// What the process must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer readiness probes with "not ready" and name this host as leaving.
    ReportNotReady,
    /// Refuse new requests as not run.
    StopAccepting,
    /// Stop grants from a pool, set its level to zero and report [`Event::Debited`].
    Debit {
        /// The pool.
        pool: Pool,
    },
    /// Send a level to the successor, once: a lost message loses tokens and never doubles them.
    SendLevel {
        /// The pool.
        pool: Pool,
        /// Tokens.
        level: u64,
    },
    /// Send a slot ledger to the endpoint's next coordinating host.
    SendLedger {
        /// The ledger.
        ledger: Ledger,
    },
    /// Append the release of a shard; all its pools are debited.
    ReleaseShard {
        /// The shard.
        shard: Shard,
    },
    /// Append the release of the seat. The host's lease is renewed until now, since running streams
    /// need it.
    ReleaseSeat,
    /// End all running requests with `request::Event::ShutdownDeadline`.
    Cut,
    /// Exit with status 0.
    Exit(Report),
}

/// Truthful account of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that ended by themselves.
    pub finished: u64,
    /// Requests cut off by the deadline.
    pub cut: u64,
    /// Levels that the successor accepted.
    pub pools_handed_over: usize,
    /// Pools whose level was not accepted in time; their tokens are lost.
    pub pools_lost: usize,
    /// Ledgers that were not accepted in time; the successor starts from the engine's count.
    pub ledgers_lost: usize,
    /// Shards whose release was not confirmed; they can be claimed when the lease expires.
    pub shards_unconfirmed: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Held,
    Debiting,
    Sent,
    Accepted,
}

/// State of a shutdown.
#[derive(Clone, Debug)]
pub struct Progress {
    deadline: Instant,
    handover: Duration,
    handover_since: Option<Instant>,
    cutting: bool,
    running: u64,
    pools: BTreeMap<Pool, (Shard, Step)>,
    ledgers: BTreeMap<Ledger, Step>,
    shards: BTreeMap<Shard, Step>,
    seat: Step,
    report: Report,
    exited: bool,
}

impl Progress {
    /// Starts a shutdown. From now on the process accepts no request.
    #[must_use]
    pub fn begin(now: Instant, plan: Plan) -> (Self, Vec<Action>) {
        let pools = plan.pools.into_iter();
        let pools: BTreeMap<_, _> = pools
            .map(|(pool, shard)| (pool, (shard, Step::Held)))
            .collect();
        let owned = pools.values().map(|(shard, _)| *shard);
        let shards = plan.shards.into_iter().chain(owned);
        let mut progress = Self {
            deadline: plan.deadline,
            handover: plan.handover,
            handover_since: None,
            cutting: false,
            running: plan.running,
            shards: shards.map(|shard| (shard, Step::Held)).collect(),
            pools,
            ledgers: plan
                .ledgers
                .into_iter()
                .map(|ledger| (ledger, Step::Held))
                .collect(),
            seat: if plan.seat {
                Step::Held
            } else {
                Step::Accepted
            },
            report: Report::default(),
            exited: false,
        };
        let mut actions = vec![Action::ReportNotReady, Action::StopAccepting];
        progress.advance(now, &mut actions);
        (progress, actions)
    }

    /// Decides about an event.
    pub fn event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Ended if self.running > 0 => {
                self.running -= 1;
                self.report.finished += 1;
            }
            Event::CutOff if self.running > 0 => {
                self.running -= 1;
                self.report.cut += 1;
            }
            Event::Ended | Event::CutOff => {}
            Event::Debited { pool, level } => {
                if let Some((_, step)) = self.pools.get_mut(&pool)
                    && *step == Step::Debiting
                {
                    *step = Step::Sent;
                    actions.push(Action::SendLevel { pool, level });
                }
            }
            Event::LevelAccepted { pool } => {
                accept(self.pools.get_mut(&pool).map(|(_, step)| step));
            }
            Event::LedgerAccepted { ledger } => accept(self.ledgers.get_mut(&ledger)),
            Event::ShardReleased { shard } => accept(self.shards.get_mut(&shard)),
            Event::SeatReleased => accept(Some(&mut self.seat)),
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Checks the deadlines; due at [`Progress::wake`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        actions
    }

    /// Next time at which [`Progress::tick`] must be called; `None` after the exit.
    #[must_use]
    pub fn wake(&self, now: Instant) -> Option<Instant> {
        let latest = self.deadline + self.handover;
        let times = [
            self.deadline - self.handover,
            self.deadline,
            self.end().unwrap_or(latest),
        ];
        let next = times.into_iter().filter(|time| *time > now).min();
        (!self.exited).then(|| next.unwrap_or(now))
    }

    /// Requests that still run.
    #[must_use]
    pub const fn running(&self) -> u64 {
        self.running
    }

    /// Account so far; final when [`Action::Exit`] was returned.
    #[must_use]
    pub const fn report(&self) -> Report {
        self.report
    }

    /// Time at which the rest is given up. After a cut the requests' answers and cancels get the
    /// time of a hand-over.
    fn end(&self) -> Option<Instant> {
        let since = if self.cutting {
            Some(self.deadline)
        } else {
            self.handover_since
        };
        since.map(|since| since + self.handover)
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.exited {
            return;
        }
        if now >= self.deadline && self.running > 0 && !self.cutting {
            self.cutting = true;
            actions.push(Action::Cut);
        }
        // Running requests keep their lease and their slots until they end, but the hand-over must
        // not be lost to a deadline that cuts them.
        if self.running > 0 && now < self.deadline - self.handover {
            return;
        }
        self.handover_since.get_or_insert(now);
        self.hand_over(actions);
        let late = self.end().is_some_and(|end| now >= end);
        let done = self.running == 0 && self.settled();
        // Without a cut, only the deadline ends the wait for running requests.
        if !done && !(late && (self.cutting || self.running == 0)) {
            return;
        }
        if self.seat == Step::Held && self.running == 0 {
            self.seat = Step::Sent;
            actions.push(Action::ReleaseSeat);
        }
        if self.seat == Step::Accepted || late {
            self.exit(actions);
        }
    }

    fn hand_over(&mut self, actions: &mut Vec<Action>) {
        for (pool, (_, step)) in &mut self.pools {
            if *step == Step::Held {
                *step = Step::Debiting;
                actions.push(Action::Debit { pool: *pool });
            }
        }
        for (ledger, step) in &mut self.ledgers {
            if *step == Step::Held {
                *step = Step::Sent;
                actions.push(Action::SendLedger { ledger: *ledger });
            }
        }
        for (shard, step) in &mut self.shards {
            let mut pools = self.pools.values().filter(|(of, _)| of == shard);
            let debited = pools.all(|(_, step)| matches!(step, Step::Sent | Step::Accepted));
            if *step == Step::Held && debited {
                *step = Step::Sent;
                actions.push(Action::ReleaseShard { shard: *shard });
            }
        }
    }

    /// Whether everything but the seat is handed over.
    fn settled(&self) -> bool {
        let pools = self.pools.values().map(|(_, step)| step);
        let mut steps = pools
            .chain(self.ledgers.values())
            .chain(self.shards.values());
        steps.all(|step| *step == Step::Accepted)
    }

    fn exit(&mut self, actions: &mut Vec<Action>) {
        self.report.cut += std::mem::take(&mut self.running);
        let lost = |step: &&Step| **step != Step::Accepted;
        let pools = self.pools.values().map(|(_, step)| step);
        self.report.pools_lost = pools.filter(lost).count();
        self.report.pools_handed_over = self.pools.len() - self.report.pools_lost;
        self.report.ledgers_lost = self.ledgers.values().filter(lost).count();
        self.report.shards_unconfirmed = self.shards.values().filter(lost).count();
        self.exited = true;
        actions.push(Action::Exit(self.report));
    }
}

/// Notes a confirmation; one for something that was not sent is ignored.
fn accept(step: Option<&mut Step>) {
    if let Some(step) = step
        && *step == Step::Sent
    {
        *step = Step::Accepted;
    }
}
