//! Actor that admits model requests: quota grant, fair queueing, choice of engines and reservation
//! of a decode slot.

use std::collections::HashMap;
use std::time::Duration;

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, Supervised, WrapFuture,
};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::eject::Outcome;
use berylknot_coordination::quarantine::{self, Fingerprint, Kind, Occupant, Verdict, may_join};
use berylknot_coordination::queue::{Cause, Refusal, Request, Turn};
use berylknot_coordination::quota::{GRANT_LIFETIME, Grant, Hold};
use berylknot_coordination::record::{Incarnation, Position};
use berylknot_coordination::slot;
use berylknot_wire::local::{self, Admit, Admitted, Refused, Response, Settle};
use tokio::sync::{oneshot, watch};

use crate::clock::Clock;
use crate::core::{Core, quota, strikes};
use crate::platform::Http;
use crate::state::Configuration;

mod load;
mod pool;

use pool::{Assignment, Missing, Placed, Pool, Slot};

/// Maximum number of waiting and running requests; further ones are refused. A gateway has at most
/// 10,000 open requests.
const MAX_OPEN_REQUESTS: usize = 20_000;
/// Interval at which the queues are dispatched; equal to the shortest retry time of a slot ledger.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which running streams renew their decode slots (design page, section 5.3).
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Queue deadline of a request. Together with the quota timeout it is below the gateway's 8 s.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(5);
/// Delay from the end of the prefill to the first token, as in the experiments.
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(120);
/// Prefill time per prompt token, as in the experiments.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(30);
/// Idle timeout of a model: without a request for this long, its engines are no longer polled.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Default retry-after in milliseconds, for refusals without an estimate of their own.
const RETRY_AFTER_MS: u64 = 1_000;

/// A request that has a quota grant and waits in the queue for a slot.
#[derive(Debug)]
struct Waiting {
    admit: Admit,
    grant: Grant,
    charged: u64,
    slot: Slot,
    /// Endpoints that crashed while serving the request; not empty for a suspect.
    crashed_endpoints: Vec<String>,
    answer: oneshot::Sender<Response>,
}

/// An admitted request that has not been settled.
#[derive(Debug)]
struct Running {
    admit: Admit,
    hold: Hold,
    charged: u64,
    prompt_tokens: u32,
    slot: Slot,
    prefill: String,
    decode: String,
    prefilled_at: Option<Instant>,
    /// Endpoints that crashed while serving the request; not empty for a suspect.
    crashed_endpoints: Vec<String>,
}

impl Running {
    /// Slot and engines that the request holds.
    fn assignment(&self) -> Assignment<'_> {
        Assignment {
            slot: self.slot,
            prefill: &self.prefill,
            decode: &self.decode,
            pieces: &self.admit.pieces,
        }
    }
}

/// State of the admission actor.
#[derive(Debug)]
pub(crate) struct Admission {
    parts: Parts,
    version: Option<Position>,
    /// Index of each customer in the fair queues.
    customers: HashMap<String, u32>,
    pools: HashMap<String, Pool>,
    running: HashMap<String, Running>,
    next_slot: u64,
}

/// Dependencies of an admission actor.
#[derive(Clone)]
pub(crate) struct Parts {
    pub(crate) clock: Clock,
    pub(crate) host: Incarnation,
    pub(crate) data_centre: String,
    pub(crate) configuration: watch::Receiver<Configuration>,
    pub(crate) core: Addr<Core<Http>>,
    pub(crate) client: awc::Client,
}

impl std::fmt::Debug for Parts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Parts")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

impl Admission {
    /// Makes an actor without pools; the first decision reads the published configuration.
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            parts,
            version: None,
            customers: HashMap::new(),
            pools: HashMap::new(),
            running: HashMap::new(),
            next_slot: 0,
        }
    }

    fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    /// Applies the published configuration if it is newer. Every decision calls this first, so that
    /// a leaving endpoint gets no new request once this host has read that it leaves.
    fn configure(&mut self) {
        let configuration = self.parts.configuration.borrow().clone();
        if self.version == Some(configuration.version) {
            return;
        }
        self.version = Some(configuration.version);
        let (now, fleet) = (self.now(), configuration.fleet);
        for model in fleet.models().keys() {
            let pool = self
                .pools
                .entry(model.clone())
                .or_insert_with(|| Pool::new(now));
            pool.configure(&fleet, model, &self.parts.data_centre);
            for customer in fleet.customers() {
                let next = u32::try_from(self.customers.len()).unwrap_or(u32::MAX);
                let number = *self.customers.entry(customer.name.clone()).or_insert(next);
                pool.set_weight(number, customer.weight);
            }
        }
        for (model, pool) in &mut self.pools {
            if !fleet.models().contains_key(model) {
                pool.configure(&fleet, model, &self.parts.data_centre);
            }
        }
    }

    /// Queues a request that has a quota grant.
    fn enqueue(&mut self, waiting: Waiting, context: &mut Context<Self>) {
        self.configure();
        let now = self.now();
        let fleet = self.parts.configuration.borrow().fleet.clone();
        let admit = &waiting.admit;
        let (Some(pool), Some(model)) =
            (self.pools.get_mut(&admit.model), fleet.model(&admit.model))
        else {
            return self.refuse(waiting, "no_capacity", Some(RETRY_AFTER_MS));
        };
        pool.last_used = now;
        let prefill = PREFILL_TIME_PER_TOKEN.saturating_mul(admit.prompt_tokens);
        let ttft_target = Duration::from_millis(model.ttft_ms);
        let request = Request {
            customer: self
                .customers
                .get(&admit.customer)
                .copied()
                .unwrap_or(u32::MAX),
            tokens: waiting.charged,
            start_by: now + ttft_target.saturating_sub(prefill + FIRST_TOKEN_DELAY),
            deadline: now + MAX_QUEUE_WAIT,
        };
        match pool.queue.push(now, request) {
            Ok(ticket) => {
                let model = admit.model.clone();
                pool.waiting.insert(ticket, waiting);
                self.dispatch(&model, context);
            }
            Err(refusal) => self.refuse_queued(waiting, &refusal),
        }
    }

    /// Refuses the expired requests of a model's queue and starts the next ones while slots are
    /// free.
    fn dispatch(&mut self, model: &str, context: &mut Context<Self>) {
        let (now, host) = (self.now(), self.parts.host);
        let mut refused = Vec::new();
        let mut placed = Vec::new();
        let Some(pool) = self.pools.get_mut(model) else {
            return;
        };
        for (ticket, refusal) in pool.queue.expire(now) {
            if let Some(waiting) = pool.waiting.remove(&ticket) {
                refused.push((waiting, Some(refusal)));
            }
        }
        while now >= pool.blocked_until {
            let Some(turn) = pool.queue.pop(now) else {
                break;
            };
            let Some(waiting) = pool.waiting.remove(&turn.ticket) else {
                continue;
            };
            let asked = (waiting.slot, host);
            let avoid = avoided_endpoints(&waiting, &self.running);
            match pool.reserve(now, asked, &waiting.admit, &avoid, rand::random()) {
                Ok(found) => placed.push((waiting, found)),
                Err(Missing::Endpoint) => refused.push((waiting, None)),
                Err(Missing::Slot { retry_after }) => {
                    requeue(pool, now, turn, waiting);
                    pool.blocked_until = now + retry_after;
                }
            }
        }
        for (waiting, refusal) in refused {
            match refusal {
                Some(refusal) => self.refuse_queued(waiting, &refusal),
                None => self.refuse(waiting, "no_capacity", Some(RETRY_AFTER_MS)),
            }
        }
        for (waiting, found) in placed {
            self.start(waiting, found, context);
        }
    }

    /// Admits a request that has a slot. If its grant expired in the queue, the tokens are returned
    /// and acquired again; the slot stays reserved meanwhile.
    fn start(&mut self, waiting: Waiting, placed: Placed, context: &mut Context<Self>) {
        let Waiting {
            admit,
            grant,
            charged,
            slot,
            crashed_endpoints,
            answer,
        } = waiting;
        let Some(pool) = self.pools.get(&admit.model) else {
            return;
        };
        let (prefill, decode) = (pool.name(placed.prefill), pool.name(placed.decode));
        let now = self.now();
        let admitted = grant.admit(now);
        let hold = match admitted {
            Ok(hold) => hold,
            Err(expired) => expired.hold(),
        };
        let running = Running {
            prompt_tokens: admit.prompt_tokens,
            admit,
            hold,
            charged,
            slot,
            prefill,
            decode,
            prefilled_at: None,
            crashed_endpoints,
        };
        if admitted.is_ok() {
            return self.admit(running, answer);
        }
        self.return_tokens(&running.admit.customer, hold, charged);
        let ask = quota::Acquire {
            customer: running.admit.customer.clone(),
            tokens: charged,
        };
        let asked = self.parts.core.send(ask).into_actor(self);
        context.spawn(asked.map(move |granted, actor, _| {
            actor.admit_regranted(running, answer, granted);
        }));
    }

    /// Admits a request with the new grant that replaces its expired one, or releases its slot.
    fn admit_regranted(
        &mut self,
        mut running: Running,
        answer: oneshot::Sender<Response>,
        granted: Result<quota::Granted, actix::MailboxError>,
    ) {
        let refusal = match granted {
            Ok(Ok(grant)) => match grant.admit(self.now()) {
                Ok(hold) => {
                    running.hold = hold;
                    return self.admit(running, answer);
                }
                Err(expired) => {
                    self.return_tokens(&running.admit.customer, expired.hold(), running.charged);
                    refusal("grant_expired", Some(RETRY_AFTER_MS))
                }
            },
            Ok(Err(denied)) => quota_refusal(denied),
            Err(_) => refusal("coordinator_restarting", Some(RETRY_AFTER_MS)),
        };
        self.release(&running, slot::End::Failed);
        let _ = answer.send(refusal);
    }

    /// Answers the gateway and records the request as running.
    fn admit(&mut self, running: Running, answer: oneshot::Sender<Response>) {
        let admitted = Admitted {
            prefill: running.prefill.clone(),
            decode: running.decode.clone(),
            charged_tokens: running.charged,
            lifetime_ms: u64::try_from(GRANT_LIFETIME.as_millis()).unwrap_or(u64::MAX),
            priority: 0,
        };
        // The caller may have disconnected while its request was queued.
        if answer.send(Response::Admitted(admitted)).is_err() {
            self.return_tokens(&running.admit.customer, running.hold, running.charged);
            return self.release(&running, slot::End::Released);
        }
        let request = running.admit.request.clone();
        if let Some(earlier) = self.running.insert(request, running) {
            let used = u64::from(earlier.prompt_tokens);
            self.finish(&earlier, used, slot::End::Released);
        }
    }

    fn release(&mut self, running: &Running, end: slot::End) {
        let now = self.now();
        if let Some(pool) = self.pools.get_mut(&running.admit.model) {
            pool.ended(
                now,
                &running.assignment(),
                running.prefilled_at.is_some(),
                end,
            );
        }
    }

    /// Releases the slot of a request and settles its grant with the tokens used.
    fn finish(&mut self, running: &Running, used: u64, end: slot::End) {
        self.release(running, end);
        self.parts.core.do_send(quota::Settle {
            customer: running.admit.customer.clone(),
            hold: running.hold,
            charged: running.charged,
            used,
        });
    }

    /// Refuses a request that the queue rejected or expired.
    fn refuse_queued(&self, waiting: Waiting, refusal: &Refusal) {
        let code = match refusal.cause() {
            Cause::CustomerFull => "customer_queue_full",
            Cause::QueueFull => "queue_full",
            Cause::TooLate => "queue_too_long",
            Cause::Overload => "overload",
        };
        let millis = u64::try_from(refusal.retry_after().as_millis()).unwrap_or(u64::MAX);
        self.refuse(waiting, code, Some(millis));
    }

    /// Refuses a queued request and returns all of its tokens.
    fn refuse(&self, waiting: Waiting, code: &str, retry_after_ms: Option<u64>) {
        let hold = match waiting.grant.admit(self.now()) {
            Ok(hold) => hold,
            Err(expired) => expired.hold(),
        };
        self.return_tokens(&waiting.admit.customer, hold, waiting.charged);
        let _ = waiting.answer.send(refusal(code, retry_after_ms));
    }

    /// Returns all tokens of a grant.
    fn return_tokens(&self, customer: &str, hold: Hold, charged: u64) {
        self.parts.core.do_send(quota::Settle {
            customer: customer.to_owned(),
            hold,
            charged,
            used: 0,
        });
    }

    fn dispatch_all(&mut self, context: &mut Context<Self>) {
        let waiting = self.pools.iter().filter(|(_, pool)| !pool.queue.is_empty());
        let models: Vec<String> = waiting.map(|(model, _)| model.clone()).collect();
        if !models.is_empty() {
            self.configure();
        }
        for model in models {
            self.dispatch(&model, context);
        }
    }

    /// Polls the load of the engines whose models are in use.
    fn poll_loads(&mut self, context: &mut Context<Self>) {
        self.configure();
        let now = self.now();
        let mut engines = Vec::new();
        for (model, pool) in &mut self.pools {
            if now.since(pool.last_used) >= IDLE_TIMEOUT {
                pool.reset_reachability();
                continue;
            }
            for (name, address) in pool.engines_to_poll() {
                engines.push((model.clone(), name, address));
            }
        }
        for (model, name, address) in engines {
            let asked = load::poll(self.parts.client.clone(), address).into_actor(self);
            context.spawn(asked.map(move |answer, actor, _| {
                let now = actor.now();
                if let Some(pool) = actor.pools.get_mut(&model) {
                    pool.record_load(now, &name, answer);
                }
            }));
        }
    }

    /// Renews the slots of running streams and expires those that were not renewed.
    fn confirm_streams(&mut self) {
        let now = self.now();
        for running in self.running.values() {
            if running.prefilled_at.is_some()
                && let Some(pool) = self.pools.get_mut(&running.admit.model)
            {
                pool.confirm(now, &running.decode, running.slot);
            }
        }
        for pool in self.pools.values_mut() {
            pool.tick(now);
        }
    }
}

/// Endpoints that a request must not use: those that failed it, those that crashed while serving
/// it, and those where quarantine keeps a suspect apart from the other requests of this host.
fn avoided_endpoints(waiting: &Waiting, running: &HashMap<String, Running>) -> Vec<String> {
    let mut avoid = waiting.admit.avoid.clone();
    avoid.extend(waiting.crashed_endpoints.iter().cloned());
    let new = Occupant {
        customer: &waiting.admit.customer,
        suspect: !waiting.crashed_endpoints.is_empty(),
    };
    for other in running.values() {
        let occupant = Occupant {
            customer: &other.admit.customer,
            suspect: !other.crashed_endpoints.is_empty(),
        };
        if may_join(new, [occupant]) {
            continue;
        }
        if other.prefilled_at.is_none() {
            avoid.push(other.prefill.clone());
        }
        avoid.push(other.decode.clone());
    }
    avoid
}

/// Fingerprint that strikes are counted by. The gateway's hash covers customer, model and body.
fn fingerprint(admit: &Admit) -> Fingerprint {
    let mut body = [0; 32];
    body[..8].copy_from_slice(&admit.fingerprint.to_be_bytes());
    Fingerprint {
        customer: admit.customer.clone(),
        route: admit.model.clone(),
        body,
    }
}

/// Returns a request to the queue that it was popped from.
fn requeue(pool: &mut Pool, now: Instant, turn: Turn<u32>, waiting: Waiting) {
    pool.waiting.insert(turn.ticket, waiting);
    pool.queue.put_back(now, turn);
}

fn refusal(code: &str, retry_after_ms: Option<u64>) -> Response {
    Response::Refused(Refused {
        code: code.to_owned(),
        retry_after_ms,
    })
}

/// Refusal of a request that got no quota grant.
fn quota_refusal(denied: quota::Denied) -> Response {
    match denied {
        quota::Denied::RateExceeded {
            retry_after_ms: None,
        } => refusal("request_too_large", None),
        quota::Denied::RateExceeded { retry_after_ms } => refusal("rate_exceeded", retry_after_ms),
        quota::Denied::Unavailable { retry_after_ms } => {
            refusal("quota_unavailable", Some(retry_after_ms))
        }
    }
}

impl Actor for Admission {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(DISPATCH_INTERVAL, Self::dispatch_all);
        context.run_interval(load::INTERVAL, Self::poll_loads);
        context.run_interval(CONFIRM_INTERVAL, |admission, _| admission.confirm_streams());
    }
}

impl Supervised for Admission {}

/// Asks for admission. Dropping the receiver of the answer withdraws the request.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Ask {
    pub(crate) admit: Admit,
    pub(crate) answer: oneshot::Sender<Response>,
}

impl Handler<Ask> for Admission {
    type Result = ();

    fn handle(&mut self, Ask { admit, answer }: Ask, context: &mut Self::Context) {
        let now = self.now();
        // A gateway retries only after an attempt ended, and puts that endpoint last in `avoid`.
        if !admit.refused
            && let Some(failed) = admit.avoid.last()
            && let Some(pool) = self.pools.get_mut(&admit.model)
        {
            pool.record_outcome(now, failed, Outcome::Failed);
        }
        let waiting = self
            .pools
            .values()
            .map(|pool| pool.waiting.len())
            .sum::<usize>();
        if self.running.len() + waiting >= MAX_OPEN_REQUESTS {
            let _ = answer.send(refusal("too_many_requests", Some(RETRY_AFTER_MS)));
            return;
        }
        let charged = u64::from(admit.prompt_tokens) + u64::from(admit.max_tokens);
        let ask = quota::Acquire {
            customer: admit.customer.clone(),
            tokens: charged,
        };
        let (core, ask_verdict) = (
            self.parts.core.clone(),
            strikes::AskVerdict(fingerprint(&admit)),
        );
        let asked = async move {
            let crashed_endpoints = match core.send(ask_verdict).await {
                Ok(Verdict::Refused) => return None,
                Ok(Verdict::Suspect { avoid }) => avoid,
                Ok(Verdict::Free) | Err(_) => Vec::new(),
            };
            Some((crashed_endpoints, core.send(ask).await))
        };
        context.spawn(asked.into_actor(self).map(move |asked, actor, context| {
            let Some((crashed_endpoints, granted)) = asked else {
                let _ = answer.send(refusal("request_crashes_endpoints", None));
                return;
            };
            let refused = match granted {
                Ok(Ok(grant)) => {
                    let slot = (actor.parts.host, actor.next_slot);
                    actor.next_slot += 1;
                    let waiting = Waiting {
                        admit,
                        grant,
                        charged,
                        slot,
                        crashed_endpoints,
                        answer,
                    };
                    return actor.enqueue(waiting, context);
                }
                Ok(Err(denied)) => quota_refusal(denied),
                Err(_) => refusal("coordinator_restarting", Some(RETRY_AFTER_MS)),
            };
            let _ = answer.send(refused);
        }));
    }
}

/// Reports the end of a prefill, with the exact prompt size in tokens.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Prefilled(pub(crate) local::Prefilled);

impl Handler<Prefilled> for Admission {
    type Result = ();

    fn handle(&mut self, Prefilled(prefilled): Prefilled, _: &mut Self::Context) {
        let now = self.now();
        let Some(running) = self.running.get_mut(&prefilled.request) else {
            return;
        };
        running.prompt_tokens = prefilled.prompt_tokens;
        if running.prefilled_at.replace(now).is_none()
            && let Some(pool) = self.pools.get_mut(&running.admit.model)
        {
            pool.prefilled(now, &running.assignment(), prefilled.cached_tokens);
        }
    }
}

/// Reports how an admitted request ended and how many tokens it generated.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct End(pub(crate) Settle);

impl Handler<End> for Admission {
    type Result = ();

    fn handle(&mut self, End(settle): End, context: &mut Self::Context) {
        let Some(running) = self.running.remove(&settle.request) else {
            return;
        };
        let now = self.now();
        let end = match settle.end {
            local::End::Failed => slot::End::Failed,
            _ => slot::End::Released,
        };
        if settle.end == local::End::Finished
            && settle.completion_tokens > 0
            && let Some(since) = running.prefilled_at
            && let Some(pool) = self.pools.get_mut(&running.admit.model)
        {
            let passed = now.since(since).as_secs_f64() * 1_000.0;
            let millis = passed / f64::from(settle.completion_tokens);
            pool.record_outcome(now, &running.decode, Outcome::Answered { millis });
        }
        if settle.end == local::End::Finished && !running.crashed_endpoints.is_empty() {
            let clear = quarantine::Event::Clear {
                kind: Kind::Model,
                endpoints: running.crashed_endpoints.clone(),
                fingerprint: fingerprint(&running.admit),
            };
            self.parts.core.do_send(strikes::Announce(clear));
        }
        let used = match settle.end {
            local::End::NotRun => 0,
            _ => u64::from(running.prompt_tokens) + u64::from(settle.completion_tokens),
        };
        self.finish(&running, used, end);
        self.dispatch(&running.admit.model, context);
    }
}

/// Reports that an endpoint crashed while it served an admitted request.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Crash(pub(crate) local::Strike);

impl Handler<Crash> for Admission {
    type Result = actix::ResponseFuture<()>;

    fn handle(&mut self, Crash(strike): Crash, _: &mut Self::Context) -> Self::Result {
        let running = self.running.get(&strike.request);
        let struck = running.map(|running| quarantine::Struck {
            fingerprint: fingerprint(&running.admit),
            isolated: !running.crashed_endpoints.is_empty(),
        });
        let end = quarantine::End::Crashed;
        let event = quarantine::strike(Kind::Model, &strike.endpoint, end, struck);
        let core = self.parts.core.clone();
        Box::pin(async move {
            if let Some(event) = event {
                tracing::warn!(
                    endpoint = %strike.endpoint,
                    request = %strike.request,
                    "admission: endpoint crashed serving a request; recording a strike"
                );
                let _ = core.send(strikes::Announce(event)).await;
            }
        })
    }
}
