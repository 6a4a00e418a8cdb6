//! Graceful shutdown of a gateway or a coordinator: drains running requests, then hands over token
//! pools, slot ledgers, shards and the seat.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Instant;

/// Key of a shard of the ownership records in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u16);

/// Key of a customer's token pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool(pub u32);

/// Key of an endpoint's slot ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ledger(pub u32);

/// State at the start of a shutdown.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Drain deadline set by the operator: running requests are cut off at this time, not earlier.
    pub deadline: Instant,
    /// Time budget of the hand-over, which starts at the latest this long before the deadline. The
    /// process exits at the latest this long after the deadline.
    pub handover: Duration,
    /// Number of running requests.
    pub running: u64,
    /// Token pools held, with their shards.
    pub pools: Vec<(Pool, Shard)>,
    /// Slot ledgers held.
    pub ledgers: Vec<Ledger>,
    /// Shards held, including those without pools.
    pub shards: Vec<Shard>,
    /// Whether the host holds a seat.
    pub seat: bool,
}

/// Input to [`Progress::event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A running request ended normally.
    Ended,
    /// A running request was cut off by [`Action::Cut`]: answered and cancelled.
    CutOff,
    /// A pool stopped granting tokens, and its level was set to zero.
    Debited {
        /// Pool whose level was set to zero.
        pool: Pool,
        /// Level before the debit, in tokens.
        level: u64,
    },
    /// The successor accepted a pool's level.
    LevelAccepted {
        /// Pool whose level was accepted.
        pool: Pool,
    },
    /// The successor accepted a slot ledger.
    LedgerAccepted {
        /// Ledger that was accepted.
        ledger: Ledger,
    },
    /// The release of a shard was read back from the log.
    ShardReleased {
        /// Shard whose release was read.
        shard: Shard,
    },
    /// The release of the seat was read back from the log.
    SeatReleased,
}

/// Output of [`Progress`], to be carried out by the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fail readiness probes and announce this host as leaving.
    ReportNotReady,
    /// Refuse new requests as not run.
    StopAccepting,
    /// Stop grants from a pool, set its level to zero and report [`Event::Debited`].
    Debit {
        /// Pool to stop.
        pool: Pool,
    },
    /// Send a pool's level to the successor, at most once: a lost message loses tokens, but tokens
    /// are never duplicated.
    SendLevel {
        /// Pool to hand over.
        pool: Pool,
        /// Level in tokens.
        level: u64,
    },
    /// Send a slot ledger to the endpoint's next coordinating host.
    SendLedger {
        /// Ledger to hand over.
        ledger: Ledger,
    },
    /// Append the release of a shard to the log; all its pools have been debited.
    ReleaseShard {
        /// Shard to release.
        shard: Shard,
    },
    /// Append the release of the seat to the log. Until then the host's lease must be renewed,
    /// since running streams need it.
    ReleaseSeat,
    /// Cut off all running requests with `request::Event::ShutdownDeadline`.
    Cut,
    /// Exit with status 0.
    Exit(Report),
}

/// Result of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that ended normally.
    pub finished: u64,
    /// Requests cut off at the deadline.
    pub cut: u64,
    /// Pools whose level the successor accepted.
    pub pools_handed_over: usize,
    /// Pools whose level was not accepted in time; their tokens are lost.
    pub pools_lost: usize,
    /// Slot ledgers that were not accepted in time; the successor starts from the engine's load
    /// report.
    pub ledgers_lost: usize,
    /// Shards whose release was not confirmed; they can be claimed once the lease expires.
    pub shards_unconfirmed: usize,
}

/// Hand-over progress of a pool, ledger, shard or seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Held,
    /// Only pools: waits for [`Event::Debited`].
    Debiting,
    /// The level, ledger or release was sent.
    Sent,
    Accepted,
}

/// State machine of a shutdown.
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
    /// Starts a shutdown; the process must accept no further requests.
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

    /// Processes an event and returns the resulting actions.
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

    /// Processes the deadlines; call it at [`Progress::wake`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        actions
    }

    /// Time of the next due [`Progress::tick`]; `None` after the exit.
    #[must_use]
    pub fn wake(&self, now: Instant) -> Option<Instant> {
        let latest = self.deadline + self.handover;
        let times = [
            self.deadline - self.handover,
            self.deadline,
            self.exit_deadline().unwrap_or(latest),
        ];
        let next = times.into_iter().filter(|time| *time > now).min();
        (!self.exited).then(|| next.unwrap_or(now))
    }

    /// Number of requests still running.
    #[must_use]
    pub const fn running(&self) -> u64 {
        self.running
    }

    /// Result so far; final once [`Action::Exit`] was returned.
    #[must_use]
    pub const fn report(&self) -> Report {
        self.report
    }

    /// Time at which the process exits even without the outstanding confirmations, unless requests
    /// run that were not cut. After a cut, the answers and cancels get the hand-over budget as
    /// well.
    fn exit_deadline(&self) -> Option<Instant> {
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
        // Running requests need the lease and the slots until they end. However, the hand-over must
        // start early enough to complete before the deadline.
        if self.running > 0 && now < self.deadline - self.handover {
            return;
        }
        self.handover_since.get_or_insert(now);
        self.hand_over(actions);
        let is_overdue = self.exit_deadline().is_some_and(|end| now >= end);
        let done = self.running == 0 && self.is_handed_over();
        // Before the cut, only the drain deadline ends the wait for running requests.
        if !done && !(is_overdue && (self.cutting || self.running == 0)) {
            return;
        }
        if self.seat == Step::Held && self.running == 0 {
            self.seat = Step::Sent;
            actions.push(Action::ReleaseSeat);
        }
        if self.seat == Step::Accepted || is_overdue {
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

    /// Whether the hand-over of everything except the seat is confirmed.
    fn is_handed_over(&self) -> bool {
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

/// Records a confirmation; ignored unless the message was sent.
fn accept(step: Option<&mut Step>) {
    if let Some(step) = step
        && *step == Step::Sent
    {
        *step = Step::Accepted;
    }
}
