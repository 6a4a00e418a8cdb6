//! Graceful shutdown of the coordinator: waits for unsettled work, then hands token pools over to
//! successors and releases its leases.

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

/// Interval at which the progress is updated.
const INTERVAL: Duration = Duration::from_millis(100);

/// Retry delay of a hand-over. The successor accepts it only after it has read the release and
/// renewed its lease.
const OFFER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Begins a graceful shutdown; the report is sent when the process may exit.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Begin {
    pub(crate) options: Shutdown,
    pub(crate) done: oneshot::Sender<Report>,
}

/// Hand-over of a token pool to its successor.
#[derive(Debug)]
struct Transfer {
    customer: String,
    pool: Option<Pool>,
    handover: Option<Handover>,
    successor: Option<Incarnation>,
}

/// State of a graceful shutdown.
#[derive(Debug)]
pub(super) struct State {
    progress: Progress,
    running: u64,
    transfers: Vec<Transfer>,
    shards: Vec<Shard>,
    /// Records that release all leases, appended once the pools are debited.
    releases: Vec<Record>,
    /// Whether the use of all leases has stopped.
    leases_stopped: bool,
    done: Option<oneshot::Sender<Report>>,
}

impl<P: Platform> Handler<Begin> for Core<P> {
    type Result = ();

    fn handle(&mut self, Begin { options, done }: Begin, context: &mut Self::Context) {
        let now = self.clock.now();
        self.ready.store(false, Ordering::Relaxed);
        let running = self.work.open();
        let shards = self.owned_shards();
        let customers = self.quota.customers();
        let mut pools = Vec::new();
        let mut transfers = Vec::new();
        for customer in customers {
            let shard = Shard::of(customer.as_bytes());
            pools.push((drain::Pool(to_u32(transfers.len())), shard_key(shard)));
            transfers.push(Transfer {
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
            shards: shards.iter().map(|shard| shard_key(*shard)).collect(),
            seat: true,
        };
        tracing::info!(running, shards = shards.len(), "shutdown: draining");
        let (progress, actions) = Progress::begin(now, plan);
        self.shutdown = Some(State {
            progress,
            running,
            transfers,
            shards,
            releases: Vec::new(),
            leases_stopped: false,
            done: Some(done),
        });
        self.execute_shutdown(actions, context);
        context.run_interval(INTERVAL, Self::step_shutdown);
    }
}

/// Key of a shard for the progress of a shutdown.
fn shard_key(shard: Shard) -> drain::Shard {
    drain::Shard(u16::try_from(shard.index()).unwrap_or(u16::MAX))
}

fn to_u32(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}

/// Index of a pool's transfer.
fn transfer_index(pool: drain::Pool) -> usize {
    usize::try_from(pool.0).unwrap_or(usize::MAX)
}

impl<P: Platform> Core<P> {
    /// Shards whose lease this process owns.
    fn owned_shards(&self) -> Vec<Shard> {
        let table = self.replica.leases();
        let own = Some(self.identity.incarnation);
        Shard::all()
            .filter(|shard| table.holding(Subject::Shard(*shard)).owner == own)
            .collect()
    }

    /// Whether a graceful shutdown has begun.
    pub(super) const fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Reports settled work and released leases since the last step to the progress.
    fn step_shutdown(&mut self, context: &mut Context<Self>) {
        let now = self.clock.now();
        let own = Some(self.identity.incarnation);
        let open = self.work.open();
        let Some(shutdown) = &mut self.shutdown else {
            return;
        };
        let mut actions = shutdown.progress.tick(now);
        for _ in open..shutdown.running {
            actions.extend(shutdown.progress.event(now, Event::Ended));
        }
        shutdown.running = shutdown.running.min(open);
        if shutdown.leases_stopped {
            let table = self.replica.leases();
            for shard in &shutdown.shards {
                if table.holding(Subject::Shard(*shard)).owner != own {
                    let shard = shard_key(*shard);
                    let released = Event::ShardReleased { shard };
                    actions.extend(shutdown.progress.event(now, released));
                }
            }
            if self.holder.released(table) {
                actions.extend(shutdown.progress.event(now, Event::SeatReleased));
            }
        }
        self.execute_shutdown(actions, context);
    }

    /// Executes the actions of the progress.
    fn execute_shutdown(&mut self, actions: Vec<Action>, context: &mut Context<Self>) {
        let now = self.clock.now();
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Debit { pool } => {
                    self.stop_leases_once();
                    let Some(level) = self.debit(pool) else {
                        continue;
                    };
                    if let Some(shutdown) = &mut self.shutdown {
                        let debited = Event::Debited { pool, level };
                        queue.extend(shutdown.progress.event(now, debited));
                    }
                }
                Action::SendLevel { pool, .. } => self.offer(pool, Duration::ZERO, context),
                Action::ReleaseShard { .. } | Action::ReleaseSeat => {
                    self.stop_leases_once();
                    let shutdown = self.shutdown.as_mut();
                    let releases = shutdown.map(|shutdown| std::mem::take(&mut shutdown.releases));
                    for record in releases.unwrap_or_default() {
                        self.submit(record);
                    }
                }
                Action::Exit(report) => {
                    let done = self
                        .shutdown
                        .as_mut()
                        .and_then(|shutdown| shutdown.done.take());
                    if let Some(done) = done {
                        let _ = done.send(report);
                    }
                }
                Action::Cut => tracing::warn!("shutdown: drain timed out, requests still run"),
                _ => {}
            }
        }
    }

    /// Stops the use of all leases and prepares the release records, which name the successors.
    /// Later calls do nothing.
    fn stop_leases_once(&mut self) {
        let now = self.clock.now();
        let Some(shutdown) = self
            .shutdown
            .as_mut()
            .filter(|shutdown| !shutdown.leases_stopped)
        else {
            return;
        };
        shutdown.leases_stopped = true;
        // Shards may have been claimed or lost since the start of the shutdown, so the pools are
        // taken only now.
        for transfer in &mut shutdown.transfers {
            transfer.pool = self.quota.take_pool(&transfer.customer);
        }
        self.holder.leave();
        shutdown.releases = self.holder.tick(now, self.replica.leases());
        for record in &shutdown.releases {
            let Record::Release(release) = record else {
                continue;
            };
            for transfer in &mut shutdown.transfers {
                let subject = Subject::Shard(Shard::of(transfer.customer.as_bytes()));
                if release.subjects.iter().any(|(given, _)| *given == subject) {
                    transfer.successor = release.successor;
                }
            }
        }
    }

    /// Closes a pool for its hand-over and returns its level in whole tokens; a debt counts as
    /// zero.
    fn debit(&mut self, pool: drain::Pool) -> Option<u64> {
        const NANOTOKENS_PER_TOKEN: i64 = 1_000_000_000;
        let now = self.clock.now();
        let transfer = self
            .shutdown
            .as_mut()?
            .transfers
            .get_mut(transfer_index(pool))?;
        transfer.handover = transfer.pool.take().map(|pool| pool.hand_over(now));
        let level = transfer.handover.map_or(0, |handover| handover.level);
        u64::try_from(level / NANOTOKENS_PER_TOKEN).ok().or(Some(0))
    }

    /// Sends a pool's level to its successor until it is accepted. The successor applies it only
    /// once, so retries are idempotent.
    fn offer(&mut self, pool: drain::Pool, delay: Duration, context: &mut Context<Self>) {
        let Some(shutdown) = &self.shutdown else {
            return;
        };
        let Some(transfer) = shutdown.transfers.get(transfer_index(pool)) else {
            return;
        };
        let (customer, successor) = (transfer.customer.clone(), transfer.successor);
        let address = successor.and_then(|successor| self.address_of(successor));
        let (Some(handover), Some(address)) = (transfer.handover, address) else {
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
                core.offer(pool, OFFER_RETRY_DELAY, context);
                return;
            }
            let now = core.clock.now();
            let accepted = Event::LevelAccepted { pool };
            let shutdown = core.shutdown.as_mut();
            let actions = shutdown.map(|shutdown| shutdown.progress.event(now, accepted));
            core.execute_shutdown(actions.unwrap_or_default(), context);
        }));
    }
}
