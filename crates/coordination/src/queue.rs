//! Weighted fair, deadline-aware admission queue, with costs in tokens.
//!
//! Customers share the drain rate in proportion to their weights (start-time fair queuing). Within
//! a customer, timely requests, which can still meet the TTFT target, go first in the order of
//! their latest start. Every eighth turn goes to the late request with the earliest deadline, so
//! that late requests do not starve. Plain-service calls use a queue of their own.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroU32;
use std::time::Duration;

use crate::clock::Instant;

/// Result of an operation that may refuse a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Virtual time units per token at weight 1.
const UNITS_PER_TOKEN: u64 = 1 << 16;
/// Consecutive timely requests of a customer before one of its late requests is served.
const TIMELY_STREAK_MAX: u8 = 7;
/// Remaining time below which a late request is served before timely ones of its customer.
const URGENT_BEFORE_DEADLINE: Duration = Duration::from_millis(3_250);
/// Minimum duration of a drain rate sample; a single long prompt dominates shorter ones.
const SAMPLE_MIN: Duration = Duration::from_millis(500);
/// Minimum number of dequeued requests in a sample shorter than [`SAMPLE_MAX`].
const SAMPLE_MIN_REQUESTS: u32 = 4;
/// Maximum duration of a drain rate sample; a stalled queue ends it with fewer requests.
const SAMPLE_MAX: Duration = Duration::from_secs(4);
/// Weight of a new sample in the moving average of the drain rate, in eighths.
const SAMPLE_WEIGHT_EIGHTHS: u64 = 2;
/// Minimum age of a backlog of late requests that counts as overload, provided that the queue is
/// full enough as well ([`OVERLOAD_FILL_DIVISOR`]). During an overload, urgent late requests no
/// longer precede timely ones, and requests later than [`LATENESS_MAX`] are shed. Without this,
/// recovery from an overload pulse took 18 s instead of 13 s.
const OVERLOAD_AFTER: Duration = Duration::from_secs(8);
/// An overload requires a queue filled to at least one part in this many. Load shedding at lower
/// fill levels refused 0.7 % instead of 0.1 % of the requests in daily bursts.
const OVERLOAD_FILL_DIVISOR: usize = 2;
/// Maximum time past its latest start for which a request is kept during an overload.
const LATENESS_MAX: Duration = Duration::from_millis(1_000);
/// Bounds of [`Refusal::retry_after`].
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);
/// Number of pushes between sweeps that drop the state of idle customers without a configured
/// weight.
const SWEEP_PERIOD_PUSHES: u64 = 1_024;

/// Maximum queue lengths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of waiting requests of one customer.
    pub per_customer: usize,
    /// Maximum number of waiting requests of all customers.
    pub total: usize,
}

/// A request to queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<C> {
    /// Customer that the cost is charged to.
    pub customer: C,
    /// Cost: prompt tokens plus tokens to generate.
    pub tokens: u64,
    /// Latest start that still meets the TTFT target; the request is timely until then, late after.
    pub start_by: Instant,
    /// Time at which the request is refused if it is still waiting.
    pub deadline: Instant,
}

/// Handle of a waiting request; tickets are ordered by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A dequeued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn<C> {
    /// Handle that [`Fair::push`] returned.
    pub ticket: Ticket,
    /// Request as it was queued.
    pub request: Request<C>,
    virtual_cost: u64,
    queued_at: Instant,
    /// Whether the current drain rate sample counts it.
    counted: bool,
}

/// Why a request was refused. The variant name is printed in [`Refusal`]'s message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The customer has reached [`Limits::per_customer`].
    CustomerFull,
    /// The queue has reached [`Limits::total`].
    QueueFull,
    /// The request had missed its TTFT target and was shed during an overload.
    Overload,
    /// The deadline has passed or cannot be met at the observed drain rate.
    TooLate,
}

/// Refusal of a request; the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("request refused ({cause:?}), retry after {} ms", retry_after.as_millis())]
pub struct Refusal {
    cause: Cause,
    retry_after: Duration,
}

impl Refusal {
    fn new(cause: Cause, retry_after: Duration) -> Self {
        Self {
            cause,
            retry_after: retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        }
    }

    /// Reason for the refusal.
    #[must_use]
    pub const fn cause(&self) -> Cause {
        self.cause
    }

    /// Delay after which a retry is expected to be served.
    #[must_use]
    pub const fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

/// Waiting requests of one customer: a flow of the fair queue.
#[derive(Clone, Debug)]
struct Flow {
    weight: NonZeroU32,
    configured: bool,
    /// SFQ start tag: virtual start time of the next request.
    start_tag: u64,
    /// Timely requests, by latest start.
    timely: BTreeSet<(Instant, Ticket)>,
    /// Late requests, by deadline.
    late: BTreeSet<(Instant, Ticket)>,
    /// Timely requests served since the last late one.
    timely_streak: u8,
    /// Total cost of the waiting requests.
    tokens: u64,
}

impl Flow {
    const fn new(start_tag: u64) -> Self {
        Self {
            weight: NonZeroU32::MIN,
            configured: false,
            start_tag,
            timely: BTreeSet::new(),
            late: BTreeSet::new(),
            timely_streak: 0,
            tokens: 0,
        }
    }

    fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// Virtual time that a request of this many tokens takes.
    fn virtual_cost(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(UNITS_PER_TOKEN) / u64::from(self.weight.get())
    }

    /// Moves requests that can no longer meet the TTFT target from `timely` to `late`.
    fn reclassify<C>(&mut self, now: Instant, waiting: &BTreeMap<Ticket, (Request<C>, Instant)>) {
        while let Some(&(start_by, ticket)) = self.timely.first()
            && start_by < now
            && let Some((request, _)) = waiting.get(&ticket)
        {
            self.timely.pop_first();
            self.late.insert((request.deadline, ticket));
        }
    }

    /// Takes the customer's next request; `prefer_urgent` lets urgent late requests go first.
    fn next<C>(
        &mut self,
        now: Instant,
        prefer_urgent: bool,
        waiting: &BTreeMap<Ticket, (Request<C>, Instant)>,
    ) -> Option<Ticket> {
        self.reclassify(now, waiting);
        if let Some(&(deadline, ticket)) = self.late.first() {
            let urgent = prefer_urgent && deadline.since(now) < URGENT_BEFORE_DEADLINE;
            if urgent || self.timely_streak >= TIMELY_STREAK_MAX {
                self.late.pop_first();
                self.timely_streak = 0;
                return Some(ticket);
            }
        }
        if let Some((_, ticket)) = self.timely.pop_first() {
            self.timely_streak = self.timely_streak.saturating_add(1);
            return Some(ticket);
        }
        self.timely_streak = 0;
        self.late.pop_first().map(|(_, ticket)| ticket)
    }
}

/// Drain rate estimator: moving average of the tokens dequeued per second of backlog.
#[derive(Clone, Copy, Debug, Default)]
struct DrainRate {
    /// Tokens dequeued in the current sample.
    tokens: u64,
    /// Requests dequeued in the current sample.
    requests: u32,
    /// Time with a non-empty queue in the current sample.
    busy: Duration,
    /// Time up to which `busy` is counted; `None` while the queue is empty.
    since: Option<Instant>,
    /// Tokens per second; zero before the first sample.
    rate: u64,
}

impl DrainRate {
    fn sample(&mut self, now: Instant) {
        if let Some(since) = self.since {
            self.busy += now.since(since);
            self.since = Some(now);
        }
        let enough = self.requests >= SAMPLE_MIN_REQUESTS && self.busy >= SAMPLE_MIN;
        if !enough && self.busy < SAMPLE_MAX {
            return;
        }
        let millis = u64::try_from(self.busy.as_millis()).unwrap_or(u64::MAX);
        let rate = (self.tokens.saturating_mul(1_000) / millis.max(1)).max(1);
        self.rate = if self.rate == 0 {
            rate
        } else {
            (self.rate * (8 - SAMPLE_WEIGHT_EIGHTHS) + rate * SAMPLE_WEIGHT_EIGHTHS) / 8
        };
        self.tokens = 0;
        self.requests = 0;
        self.busy = Duration::ZERO;
    }

    /// Counts a departure. A request that did not wait was not limited by the drain rate.
    fn record_departure(&mut self, tokens: u64, waited: bool) {
        if waited {
            self.tokens += tokens;
            self.requests += 1;
        }
    }
}

/// Weighted fair queue of waiting requests.
#[derive(Clone, Debug)]
pub struct Fair<C> {
    limits: Limits,
    flows: BTreeMap<C, Flow>,
    /// Customers with waiting requests, by start tag.
    active: BTreeSet<(u64, C)>,
    /// Sum of the weights of `active`.
    active_weight: u64,
    /// Waiting requests with their arrival times.
    waiting: BTreeMap<Ticket, (Request<C>, Instant)>,
    deadlines: BTreeSet<(Instant, Ticket)>,
    /// Total cost of the waiting requests.
    tokens: u64,
    virtual_time: u64,
    next: u64,
    drain: DrainRate,
    /// Number of late requests.
    late: usize,
    /// Evicted requests that [`Fair::expire`] has not reported yet.
    evicted: Vec<(Ticket, Refusal)>,
    /// Start of the current period in which the queue has always had late requests.
    late_since: Option<Instant>,
}

impl<C: Copy + Ord> Fair<C> {
    /// Makes an empty queue.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            flows: BTreeMap::new(),
            active: BTreeSet::new(),
            active_weight: 0,
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            tokens: 0,
            virtual_time: 0,
            next: 0,
            drain: DrainRate::default(),
            late: 0,
            evicted: Vec::new(),
            late_since: None,
        }
    }

    /// Sets the weight of a customer. The default is 1.
    pub fn set_weight(&mut self, customer: C, weight: NonZeroU32) {
        let flow = self.flows.entry(customer).or_insert_with(|| Flow::new(0));
        if flow.len() > 0 {
            self.active_weight -= u64::from(flow.weight.get());
            self.active_weight += u64::from(weight.get());
        }
        flow.weight = weight;
        flow.configured = true;
    }

    /// Marks a customer as no longer configured; its weight is dropped once it is idle.
    pub fn expire_weight(&mut self, customer: C) {
        if let Some(flow) = self.flows.get_mut(&customer) {
            flow.configured = false;
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Observed drain rate in tokens per second; zero before the first sample.
    #[must_use]
    pub const fn drain_rate(&self) -> u64 {
        self.drain.rate
    }

    /// Queues a request. In a full queue a timely request may evict a late one, which the next call
    /// of [`Fair::expire`] reports.
    ///
    /// # Errors
    ///
    /// [`Cause::CustomerFull`], [`Cause::QueueFull`] or [`Cause::TooLate`].
    pub fn push(&mut self, now: Instant, request: Request<C>) -> Result<Ticket> {
        self.drain.sample(now);
        if self.next % SWEEP_PERIOD_PUSHES == SWEEP_PERIOD_PUSHES - 1 {
            self.sweep();
        }
        if let Some(flow) = self.flows.get_mut(&request.customer) {
            let late = flow.late.len();
            flow.reclassify(now, &self.waiting);
            let late_after = flow.late.len();
            self.update_late(now, late, late_after);
        }
        let wait = self.expected_wait(request.customer, request.tokens);
        let remaining = request.deadline.since(now);
        if wait > remaining || remaining.is_zero() {
            return Err(Refusal::new(Cause::TooLate, wait.saturating_sub(remaining)));
        }
        let queued = self.flows.get(&request.customer).map_or(0, Flow::len);
        let full = if queued >= self.limits.per_customer {
            Some(Cause::CustomerFull)
        } else {
            (self.waiting.len() >= self.limits.total).then_some(Cause::QueueFull)
        };
        if let Some(cause) = full
            && !self.evict(now, &request, cause)
        {
            return Err(Refusal::new(cause, wait));
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        let turn = Turn {
            ticket,
            request,
            virtual_cost: 0,
            queued_at: now,
            counted: false,
        };
        self.insert(now, turn, false);
        Ok(ticket)
    }

    /// Dequeues the next request.
    pub fn pop(&mut self, now: Instant) -> Option<Turn<C>> {
        self.drain.sample(now);
        let (start_tag, customer) = self.active.pop_first()?;
        let prefer_urgent = !self.is_overloaded(now);
        let flow = self.flows.get_mut(&customer)?;
        let late = flow.late.len();
        let ticket = flow.next(now, prefer_urgent, &self.waiting)?;
        let (request, queued_at) = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(request.deadline, ticket));
        let late_after = flow.late.len();
        let virtual_cost = flow.virtual_cost(request.tokens);
        self.virtual_time = self.virtual_time.max(start_tag);
        flow.start_tag = start_tag + virtual_cost;
        flow.tokens -= request.tokens;
        self.tokens -= request.tokens;
        if flow.len() > 0 {
            self.active.insert((flow.start_tag, customer));
        } else {
            self.active_weight -= u64::from(flow.weight.get());
        }
        let waited = queued_at < now;
        self.drain.record_departure(request.tokens, waited);
        self.update_late(now, late, late_after);
        if self.waiting.is_empty() {
            self.drain.since = None;
        }
        Some(Turn {
            ticket,
            request,
            virtual_cost,
            queued_at,
            counted: waited,
        })
    }

    /// Requeues a dequeued request that could not be placed; it keeps its ticket, and its
    /// customer's share is not reduced.
    pub fn put_back(&mut self, now: Instant, turn: Turn<C>) {
        let customer = turn.request.customer;
        let flow = self
            .flows
            .entry(customer)
            .or_insert_with(|| Flow::new(self.virtual_time));
        let before = (flow.start_tag, customer);
        flow.start_tag = flow.start_tag.saturating_sub(turn.virtual_cost);
        flow.timely_streak = flow.timely_streak.saturating_sub(1);
        let start_tag = flow.start_tag;
        if self.active.remove(&before) {
            self.active.insert((start_tag, customer));
        }
        if turn.counted {
            self.drain.tokens = self.drain.tokens.saturating_sub(turn.request.tokens);
            self.drain.requests = self.drain.requests.saturating_sub(1);
        }
        self.insert(now, turn, true);
    }

    /// Removes a request whose caller disconnected; it counts towards the drain rate.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Request<C>> {
        let request = self.take(ticket)?;
        self.drain.record_departure(request.tokens, true);
        Some(request)
    }

    fn take(&mut self, ticket: Ticket) -> Option<Request<C>> {
        let (request, _) = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(request.deadline, ticket));
        let flow = self.flows.get_mut(&request.customer)?;
        flow.timely.remove(&(request.start_by, ticket));
        if flow.late.remove(&(request.deadline, ticket)) {
            self.late -= 1;
            if self.late == 0 {
                self.late_since = None;
            }
        }
        flow.tokens -= request.tokens;
        self.tokens -= request.tokens;
        if flow.len() == 0 {
            self.active.remove(&(flow.start_tag, request.customer));
            self.active_weight -= u64::from(flow.weight.get());
        }
        if self.waiting.is_empty() {
            self.drain.since = None;
        }
        Some(request)
    }

    /// Removes the requests whose deadline has passed and, during an overload, sheds late ones.
    /// Returns them together with the requests evicted since the last call. Call it after each
    /// push.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Refusal)> {
        self.drain.sample(now);
        let mut refused = std::mem::take(&mut self.evicted);
        while let Some(&(deadline, ticket)) = self.deadlines.first()
            && deadline <= now
        {
            let Some(request) = self.take(ticket) else {
                break;
            };
            let wait = self.expected_wait(request.customer, request.tokens);
            refused.push((ticket, Refusal::new(Cause::TooLate, wait)));
        }
        if self.is_overloaded(now) {
            self.shed(now, &mut refused);
        }
        refused
    }

    /// Whether the queue has had late requests for [`OVERLOAD_AFTER`] and is full enough.
    fn is_overloaded(&self, now: Instant) -> bool {
        let is_lasting = self
            .late_since
            .is_some_and(|since| now.since(since) >= OVERLOAD_AFTER);
        is_lasting && self.waiting.len() * OVERLOAD_FILL_DIVISOR >= self.limits.total
    }

    /// Sheds requests later than [`LATENESS_MAX`]. During an overload they would delay requests
    /// that can still meet the target, and their callers are likely to disconnect.
    fn shed(&mut self, now: Instant, refused: &mut Vec<(Ticket, Refusal)>) {
        while let Some(&(_, ticket)) = self.deadlines.first()
            && let Some((request, _)) = self.waiting.get(&ticket)
            && now.since(request.start_by) > LATENESS_MAX
        {
            let Some(request) = self.take(ticket) else {
                break;
            };
            let wait = self.expected_wait(request.customer, request.tokens);
            refused.push((ticket, Refusal::new(Cause::Overload, wait)));
        }
    }

    /// Evicts a late request to make room for a timely one: one of the same customer or, if the
    /// whole queue is full, the one with the earliest deadline. Without this, late requests filled
    /// the queue and requests that could still meet their target were refused.
    fn evict(&mut self, now: Instant, request: &Request<C>, cause: Cause) -> bool {
        if request.start_by < now {
            return false;
        }
        let flow = self.flows.get(&request.customer);
        let own = flow.and_then(|flow| flow.late.first()).map(|entry| entry.1);
        let first = self.deadlines.first().map(|entry| entry.1);
        let any = first.filter(|ticket| {
            let waiting = self.waiting.get(ticket);
            waiting.is_some_and(|(request, _)| request.start_by < now)
        });
        let evicted = match cause {
            Cause::CustomerFull => own,
            _ => own.or(any),
        };
        let Some(ticket) = evicted else {
            return false;
        };
        let Some(removed) = self.take(ticket) else {
            return false;
        };
        let wait = self.expected_wait(removed.customer, removed.tokens);
        self.evicted.push((ticket, Refusal::new(cause, wait)));
        true
    }

    /// Expected queueing delay of a customer's new request at the observed drain rate; zero while
    /// the rate is unknown.
    fn expected_wait(&self, customer: C, tokens: u64) -> Duration {
        if self.waiting.is_empty() || self.drain.rate == 0 {
            return Duration::ZERO;
        }
        let flow = self.flows.get(&customer);
        // Late requests yield to timely ones, so only the timely part of the backlog counts.
        let ahead = tokens
            + flow.map_or(0, |flow| {
                flow.tokens * flow.timely.len() as u64 / (flow.len() as u64).max(1)
            });
        let weight = flow.map_or(1, |flow| u64::from(flow.weight.get()));
        let others = if flow.is_some_and(|flow| flow.len() > 0) {
            self.active_weight
        } else {
            self.active_weight + weight
        };
        let share = (self.drain.rate * weight / others.max(1)).max(1);
        // Upper bound: the whole backlog at the full drain rate.
        let queued = self.tokens + tokens;
        let millis = (ahead.saturating_mul(1_000) / share)
            .min(queued.saturating_mul(1_000) / self.drain.rate);
        Duration::from_millis(millis)
    }

    fn insert(&mut self, now: Instant, turn: Turn<C>, requeued: bool) {
        let Turn {
            ticket,
            request,
            queued_at,
            ..
        } = turn;
        let flow = self
            .flows
            .entry(request.customer)
            .or_insert_with(|| Flow::new(self.virtual_time));
        if flow.len() == 0 {
            if !requeued {
                flow.start_tag = flow.start_tag.max(self.virtual_time);
            }
            self.active.insert((flow.start_tag, request.customer));
            self.active_weight += u64::from(flow.weight.get());
        }
        if request.start_by < now {
            flow.late.insert((request.deadline, ticket));
            self.late += 1;
            self.late_since.get_or_insert(now);
        } else {
            flow.timely.insert((request.start_by, ticket));
        }
        flow.tokens += request.tokens;
        self.tokens += request.tokens;
        self.waiting.insert(ticket, (request, queued_at));
        self.deadlines.insert((request.deadline, ticket));
        if self.drain.since.is_none() {
            self.drain.since = Some(now);
        }
    }

    /// Updates the total number of late requests after a customer's number changed.
    fn update_late(&mut self, now: Instant, before: usize, after: usize) {
        self.late = self.late + after - before;
        if self.late == 0 {
            self.late_since = None;
        } else {
            self.late_since.get_or_insert(now);
        }
    }

    /// Drops the state of idle customers without a configured weight.
    fn sweep(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| flow.configured || flow.len() > 0 || flow.start_tag > virtual_time);
    }
}
