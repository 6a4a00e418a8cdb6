//! Simulation of shutdowns: requests end at any time, and hand-over messages are lost, duplicated
//! and delayed.

mod history;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::drain::{Action, Event, Ledger, Plan, Pool, Progress, Report, Shard};
use proptest::prelude::*;

const DEADLINE_MS: u64 = 30_000;
const HANDOVER_MS: u64 = 3_000;
const LEVEL: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    CutAtHandover,
    SentBeforeDebit,
    ReleasedBeforeDebit,
    CutNotReported,
    ReleasedWhileRunning,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    End,
    CutOff,
    Deliver { pick: usize, keep: bool },
    Lose(usize),
    Grant(u32),
    Advance(u64),
}

#[derive(Clone, Copy, Debug)]
enum Message {
    /// To the pool's owner in the same process: delayed, but never lost.
    Debit(Pool),
    Level(Pool, u64),
    Ledger(Ledger),
    Release(Shard),
    Seat,
}

struct World {
    fault: Fault,
    now: Instant,
    progress: Progress,
    /// Number of running requests.
    running: u64,
    cut: u64,
    /// Whether requests may be cut off.
    cutting: bool,
    ready: bool,
    accepting: bool,
    levels: BTreeMap<Pool, u64>,
    debited: BTreeSet<Pool>,
    released: BTreeSet<Shard>,
    successor: BTreeMap<Pool, u64>,
    granted: u64,
    network: Vec<Message>,
    exit: Option<(Instant, Report)>,
    seat_released: bool,
}

fn shard(pool: Pool) -> Shard {
    Shard(u16::try_from(pool.0 % 2).expect("a small number"))
}

impl World {
    fn begin(fault: Fault, running: u64) -> Result<Self, String> {
        let pools: Vec<Pool> = (0..3).map(Pool).collect();
        let plan = Plan {
            deadline: Instant::from_millis(DEADLINE_MS),
            handover: Duration::from_millis(HANDOVER_MS),
            running,
            pools: pools.iter().map(|pool| (*pool, shard(*pool))).collect(),
            ledgers: vec![Ledger(0), Ledger(1)],
            shards: vec![Shard(0), Shard(1), Shard(2)],
            seat: true,
        };
        let now = Instant::from_millis(0);
        let (progress, actions) = Progress::begin(now, plan);
        let mut world = Self {
            fault,
            now,
            progress,
            running,
            cut: 0,
            cutting: false,
            ready: true,
            accepting: true,
            levels: pools.iter().map(|pool| (*pool, LEVEL)).collect(),
            debited: BTreeSet::new(),
            released: BTreeSet::new(),
            successor: BTreeMap::new(),
            granted: 0,
            network: Vec::new(),
            exit: None,
            seat_released: false,
        };
        if fault == Fault::ReleasedBeforeDebit {
            world.network.push(Message::Release(Shard(0)));
            world.released.insert(Shard(0));
        }
        world.act(actions)?;
        Ok(world)
    }

    fn event(&mut self, event: Event) -> Result<(), String> {
        let actions = self.progress.event(self.now, event);
        self.act(actions)
    }

    fn act(&mut self, actions: Vec<Action>) -> Result<(), String> {
        for action in actions {
            if self.exit.is_some() {
                return Err(format!("{action:?} after the exit"));
            }
            match action {
                Action::ReportNotReady => self.ready = false,
                Action::StopAccepting => self.accepting = false,
                Action::Debit { pool } => {
                    if self.fault == Fault::CutAtHandover {
                        self.cut += std::mem::take(&mut self.running);
                    }
                    self.network.push(Message::Debit(pool));
                }
                Action::SendLevel { pool, level } => self.network.push(Message::Level(pool, level)),
                Action::SendLedger { ledger } => self.network.push(Message::Ledger(ledger)),
                Action::ReleaseShard { shard } => {
                    self.released.insert(shard);
                    self.network.push(Message::Release(shard));
                }
                Action::ReleaseSeat => {
                    self.seat_released = true;
                    self.network.push(Message::Seat);
                }
                Action::Cut => self.cutting = true,
                Action::Exit(mut report) => {
                    if self.fault == Fault::CutNotReported {
                        report.cut = 0;
                    }
                    self.exit = Some((self.now, report));
                }
            }
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::End if self.running > 0 && self.exit.is_none() => {
                self.running -= 1;
                self.event(Event::Ended)?;
            }
            Step::CutOff if self.running > 0 && self.cutting && self.exit.is_none() => {
                self.running -= 1;
                self.cut += 1;
                self.event(Event::CutOff)?;
            }
            Step::Grant(pool) => {
                // The owner grants tokens until it has debited the pool.
                let pool = Pool(pool);
                if self.levels[&pool] > 0 && !self.debited.contains(&pool) {
                    self.levels.insert(pool, self.levels[&pool] - 1);
                    self.granted += 1;
                }
            }
            Step::Deliver { pick, keep } if !self.network.is_empty() => {
                let pick = pick % self.network.len();
                let message = self.network[pick];
                // A level is delivered at most once; other messages may be duplicated.
                if !keep || matches!(message, Message::Level(..)) {
                    self.network.remove(pick);
                }
                let event = match message {
                    Message::Debit(pool) if self.debited.contains(&pool) => return Ok(()),
                    Message::Debit(pool) => {
                        let level = self.levels[&pool];
                        if self.fault != Fault::SentBeforeDebit {
                            self.levels.insert(pool, 0);
                        }
                        self.debited.insert(pool);
                        Event::Debited { pool, level }
                    }
                    Message::Level(pool, level) => {
                        *self.successor.entry(pool).or_default() += level;
                        Event::LevelAccepted { pool }
                    }
                    Message::Ledger(ledger) => Event::LedgerAccepted { ledger },
                    Message::Release(shard) => Event::ShardReleased { shard },
                    Message::Seat => Event::SeatReleased,
                };
                if self.exit.is_none() {
                    self.event(event)?;
                }
            }
            Step::Lose(pick) if !self.network.is_empty() => {
                let pick = pick % self.network.len();
                if !matches!(self.network[pick], Message::Debit(_)) {
                    self.network.remove(pick);
                }
            }
            Step::Advance(millis) => {
                let end = self.now + Duration::from_millis(millis);
                // The process calls `tick` at each deadline on the way.
                while let Some(wake) = self.progress.wake(self.now).filter(|wake| *wake <= end) {
                    self.now = wake;
                    let actions = self.progress.tick(wake);
                    self.act(actions)?;
                    if self.progress.wake(self.now) == Some(wake) {
                        return Err("`tick` at a deadline does not advance `wake`".into());
                    }
                }
                self.now = end;
            }
            Step::End | Step::CutOff | Step::Deliver { .. } | Step::Lose(_) => {}
        }
        Ok(())
    }

    /// Invariants: readiness and admission end at once, no request is cut off before the deadline,
    /// no tokens duplicated, a shard released only after its pools are debited, the seat only after
    /// the last request, and the exit on time.
    fn check_invariants(&self) -> Result<(), String> {
        if self.ready || self.accepting {
            return Err("still ready or accepting".into());
        }
        if self.cut > 0 && self.now < Instant::from_millis(DEADLINE_MS) {
            return Err("running requests were cut off before the deadline".into());
        }
        let held: u64 = self.levels.values().chain(self.successor.values()).sum();
        if held + self.granted > LEVEL * self.levels.len() as u64 {
            return Err("tokens were duplicated".into());
        }
        let owned = |pool: &&Pool| self.released.contains(&shard(**pool));
        if self
            .levels
            .keys()
            .filter(owned)
            .any(|pool| !self.debited.contains(pool))
        {
            return Err("a shard was released while its pool granted tokens".into());
        }
        if self.seat_released && self.running > 0 {
            return Err("the seat was released while requests ran".into());
        }
        let latest = Instant::from_millis(DEADLINE_MS + HANDOVER_MS);
        match self.exit {
            // The exit cuts off the requests that are still running.
            Some((_, report)) if report.cut != self.cut + self.running => Err(format!(
                "{} requests were cut off before the exit, {} by it: {report:?}",
                self.cut, self.running
            )),
            Some((_, report)) if report.pools_handed_over > self.successor.len() => {
                Err("the report counts more accepted levels than the successor received".into())
            }
            Some((exit, _)) if self.running > 0 && exit < latest => {
                Err("the process exited while requests ran and time was left".into())
            }
            None if self.now > latest => Err("the process did not exit in time".into()),
            _ => Ok(()),
        }
    }
}

fn run(fault: Fault, (running, steps): &(u64, Vec<Step>)) -> Result<(), String> {
    let mut world = World::begin(fault, *running)?;
    if fault == Fault::ReleasedWhileRunning {
        world.seat_released = true;
    }
    for step in steps
        .iter()
        .chain([&Step::Advance(DEADLINE_MS), &Step::Advance(HANDOVER_MS + 1)])
    {
        world.step(*step)?;
        world.check_invariants()?;
    }
    Ok(())
}

fn histories() -> impl Strategy<Value = (u64, Vec<Step>)> {
    let step = prop_oneof![
        3 => Just(Step::End),
        2 => Just(Step::CutOff),
        4 => (0..8_usize, any::<bool>()).prop_map(|(pick, keep)| Step::Deliver { pick, keep }),
        1 => (0..8_usize).prop_map(Step::Lose),
        1 => (0..3_u32).prop_map(Step::Grant),
        3 => (0..6_000_u64).prop_map(Step::Advance),
    ];
    (0..6_u64, prop::collection::vec(step, 1..40))
}

/// Guards against shutdowns that cut off requests early, duplicate tokens, release a shard while
/// its pools still grant, report too few cut requests or never end.
#[test]
fn shutdown_cuts_no_request_early_and_reports_all_cuts() {
    history::holds(6_000, histories(), |history| run(Fault::None, history));
}

/// Guards against invariant checks that miss the fault they are meant to detect.
#[yare::parameterized(
    cut_at_handover = { Fault::CutAtHandover },
    sent_before_debit = { Fault::SentBeforeDebit },
    released_before_debit = { Fault::ReleasedBeforeDebit },
    cut_not_reported = { Fault::CutNotReported },
    released_while_running = { Fault::ReleasedWhileRunning },
)]
fn invariants_detect(fault: Fault) {
    history::fails(6_000, histories(), |history| run(fault, history));
}

/// Guards against a failed hand-over because requests run until the deadline.
#[test]
fn hand_over_completes_before_deadline_while_requests_run() {
    let at = Instant::from_millis;
    let (pool, shard) = (Pool(1), Shard(1));
    let plan = Plan {
        deadline: at(DEADLINE_MS),
        handover: Duration::from_millis(HANDOVER_MS),
        running: 1,
        pools: vec![(pool, shard)],
        ..Plan::default()
    };
    let (mut progress, _) = Progress::begin(at(0), plan);
    let wake = progress.wake(at(0)).expect("a deadline");
    assert_eq!(progress.tick(wake), [Action::Debit { pool }]);
    progress.event(wake, Event::Debited { pool, level: 1 });
    progress.event(wake, Event::LevelAccepted { pool });
    assert!(
        progress
            .event(wake, Event::ShardReleased { shard })
            .is_empty()
    );
    assert_eq!(progress.wake(wake), Some(at(DEADLINE_MS)));
    assert_eq!(progress.tick(at(DEADLINE_MS)), [Action::Cut]);
    let report = Report {
        cut: 1,
        pools_handed_over: 1,
        ..Report::default()
    };
    assert_eq!(
        progress.event(at(DEADLINE_MS), Event::CutOff),
        [Action::Exit(report)]
    );
}

/// Guards against an idle process that waits for its deadline.
#[test]
fn idle_process_exits_at_once() {
    let now = Instant::from_millis(5);
    let plan = Plan {
        deadline: Instant::from_millis(DEADLINE_MS),
        ..Plan::default()
    };
    let (progress, actions) = Progress::begin(now, plan);
    assert_eq!(actions.last(), Some(&Action::Exit(Report::default())));
    assert_eq!(progress.wake(now), None);
}
