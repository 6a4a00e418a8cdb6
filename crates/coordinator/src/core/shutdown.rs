//! Graceful shutdown of the coordinator: its work settles, then pools and shards go to successors.

use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, Handler, Message, WrapFuture};
use berylknot_coordination::drain::{self, Action, Event, Plan, Progress, Report};
use berylknot_coordination::lease::{Shard, Subject};
use berylknot_coordination::quota::{Handover, Pool};
use berylknot_coordination::record::{Incarnation, Record};
use berylknot_wire::peer::{Request, Response};
use tokio::sync::oneshot;

use super::Core;
use crate::options::Shutdown;
use crate::platform::Platform;

/// Time between two steps.
const INTERVAL: Duration = Duration::from_millis(100);

/// Pause before a hand-over is offered again. The successor takes it once it has read the release
/// and renewed its lease.
const OFFER_INTERVAL: Duration = Duration::from_millis(200);

/// Shuts the coordinator down; the report is sent when the process may exit.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Leave {
    pub(crate) options: Shutdown,
    pub(crate) done: oneshot::Sender<Report>,
}

/// A pool on its way to the successor.
#[derive(Debug)]
struct Leaving {
    customer: String,
    pool: Option<Pool>,
    handover: Option<Handover>,
    successor: Option<Incarnation>,
}

/// State of a shutdown.
#[derive(Debug)]
pub(super) struct Departure {
    progress: Progress,
    running: u64,
    pools: Vec<Leaving>,
    shards: Vec<Shard>,
    /// Records that give up all leases, once the pools are debited.
    releases: Vec<Record>,
    left: bool,
    done: Option<oneshot::Sender<Report>>,
}

impl<P: Platform> Handler<Leave> for Core<P> {
    type Result = ();

    fn handle(&mut self, Leave { options, done }: Leave, context: &mut Self::Context) {
        let now = self.clock.now();
        self.ready.store(false, Ordering::Relaxed);
        let running = self.work.open();
        let shards = self.own_shards();
        let customers = self.quota.customers();
        let mut pools = Vec::new();
        let mut leaving = Vec::new();
        for customer in customers {
            let shard = Shard::of(customer.as_bytes());
            pools.push((drain::Pool(index(leaving.len())), keyed(shard)));
            leaving.push(Leaving {
                customer,
                pool: None,
                handover: None,
                successor: None,
            });
        }
        let plan = Plan {
            deadline: now + options.drain(),
            handover: options.handover(),
            running,
            pools,
            ledgers: Vec::new(),
            shards: shards.iter().map(|shard| keyed(*shard)).collect(),
            seat: true,
        };
        tracing::info!(running, shards = shards.len(), "shutdown: draining");
        let (progress, actions) = Progress::begin(now, plan);
        self.departure = Some(Departure {
            progress,
            running,
            pools: leaving,
            shards,
            releases: Vec::new(),
            left: false,
            done: Some(done),
        });
        self.depart(actions, context);
        context.run_interval(INTERVAL, Self::step_departure);
    }
}

/// Key of a shard for the progress of a shutdown.
fn keyed(shard: Shard) -> drain::Shard {
    drain::Shard(u16::try_from(shard.index()).unwrap_or(u16::MAX))
}

fn index(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}

fn place(pool: drain::Pool) -> usize {
    usize::try_from(pool.0).unwrap_or(usize::MAX)
}

impl<P: Platform> Core<P> {
    fn own_shards(&self) -> Vec<Shard> {
        let table = self.replica.leases();
        let own = Some(self.identity.incarnation);
        Shard::all()
            .filter(|shard| table.holding(Subject::Shard(*shard)).owner == own)
            .collect()
    }

    /// Whether the host is shutting down.
    pub(super) const fn is_leaving(&self) -> bool {
        self.departure.is_some()
    }

    /// Feeds the progress with what has happened since the last step.
    fn step_departure(&mut self, context: &mut Context<Self>) {
        let now = self.clock.now();
        let own = Some(self.identity.incarnation);
        let open = self.work.open();
        let Some(departure) = &mut self.departure else {
            return;
        };
        let mut actions = departure.progress.tick(now);
        for _ in open..departure.running {
            actions.extend(departure.progress.event(now, Event::Ended));
        }
        departure.running = departure.running.min(open);
        if departure.left {
            let table = self.replica.leases();
            for shard in &departure.shards {
                if table.holding(Subject::Shard(*shard)).owner != own {
                    let shard = keyed(*shard);
                    let released = Event::ShardReleased { shard };
                    actions.extend(departure.progress.event(now, released));
                }
            }
            if self.holder.released(table) {
                actions.extend(departure.progress.event(now, Event::SeatReleased));
            }
        }
        self.depart(actions, context);
    }

    /// Carries out what the progress asks for.
    fn depart(&mut self, actions: Vec<Action>, context: &mut Context<Self>) {
        let now = self.clock.now();
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Debit { pool } => {
                    self.leave_once();
                    let Some(level) = self.debit(pool) else {
                        continue;
                    };
                    if let Some(departure) = &mut self.departure {
                        let debited = Event::Debited { pool, level };
                        queue.extend(departure.progress.event(now, debited));
                    }
                }
                Action::SendLevel { pool, .. } => self.offer(pool, Duration::ZERO, context),
                Action::ReleaseShard { .. } | Action::ReleaseSeat => {
                    self.leave_once();
                    let departure = self.departure.as_mut();
                    let releases =
                        departure.map(|departure| std::mem::take(&mut departure.releases));
                    for record in releases.unwrap_or_default() {
                        self.submit(record);
                    }
                }
                Action::Exit(report) => {
                    let done = self
                        .departure
                        .as_mut()
                        .and_then(|departure| departure.done.take());
                    if let Some(done) = done {
                        let _ = done.send(report);
                    }
                }
                Action::Cut => tracing::warn!("shutdown: deadline is over, requests still run"),
                _ => {}
            }
        }
    }

    /// Stops the use of all leases and prepares their releases, which name the successors.
    fn leave_once(&mut self) {
        let now = self.clock.now();
        let Some(departure) = self.departure.as_mut().filter(|departure| !departure.left) else {
            return;
        };
        departure.left = true;
        // Shards that were claimed or given up since the start of the shutdown.
        for leaving in &mut departure.pools {
            leaving.pool = self.quota.take_pool(&leaving.customer);
        }
        self.holder.leave();
        departure.releases = self.holder.tick(now, self.replica.leases());
        for record in &departure.releases {
            let Record::Release(release) = record else {
                continue;
            };
            for leaving in &mut departure.pools {
                let subject = Subject::Shard(Shard::of(leaving.customer.as_bytes()));
                if release.subjects.iter().any(|(given, _)| *given == subject) {
                    leaving.successor = release.successor;
                }
            }
        }
    }

    /// Ends a pool and returns its level in whole tokens.
    fn debit(&mut self, pool: drain::Pool) -> Option<u64> {
        const NANOTOKENS_PER_TOKEN: i64 = 1_000_000_000;
        let now = self.clock.now();
        let leaving = self.departure.as_mut()?.pools.get_mut(place(pool))?;
        leaving.handover = leaving.pool.take().map(|pool| pool.hand_over(now));
        let level = leaving.handover.map_or(0, |handover| handover.level);
        u64::try_from(level / NANOTOKENS_PER_TOKEN).ok().or(Some(0))
    }

    /// Sends a level to the successor until it is accepted. The successor takes it once, so that
    /// a repeated message doubles nothing.
    fn offer(&mut self, pool: drain::Pool, delay: Duration, context: &mut Context<Self>) {
        let Some(departure) = &self.departure else {
            return;
        };
        let Some(leaving) = departure.pools.get(place(pool)) else {
            return;
        };
        let (customer, successor) = (leaving.customer.clone(), leaving.successor);
        let address = successor.and_then(|successor| self.address_of(successor));
        let (Some(handover), Some(address)) = (leaving.handover, address) else {
            return;
        };
        let peers = self.peers.clone();
        let offer = async move {
            actix_rt::time::sleep(delay).await;
            peers
                .send(address, Request::Handover { customer, handover })
                .await
        };
        context.spawn(offer.into_actor(self).map(move |answer, core, context| {
            if !matches!(answer, Ok(Response::Done)) {
                core.offer(pool, OFFER_INTERVAL, context);
                return;
            }
            let now = core.clock.now();
            let accepted = Event::LevelAccepted { pool };
            let departure = core.departure.as_mut();
            let actions = departure.map(|departure| departure.progress.event(now, accepted));
            core.depart(actions.unwrap_or_default(), context);
        }));
    }
}
