//! Weighted fair, deadline-aware order of waiting requests, counted in tokens.
//!
//! Customers share the drain rate in proportion to their weights (start-time fair queuing). Within
//! a customer, requests that can still meet the TTFT target go first, by the time at which they
//! must start; every fourth place goes to the oldest one that cannot, so that nothing starves.
//! Plain-service calls use a queue of their own.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroU32;
use std::time::Duration;

use crate::clock::Instant;

/// Result of an operation that may refuse.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Resolution of virtual time: units for one token at weight 1.
const UNITS_PER_TOKEN: u64 = 1 << 16;
/// Timely requests of a customer that go before a late one of the same customer.
const TIMELY_RUN: u8 = 7;
/// Time before its deadline at which a late request goes before timely ones of its customer.
const URGENT: Duration = Duration::from_millis(3_250);
/// Shortest time over which the drain rate is sampled; shorter samples follow single long prompts.
const SAMPLE: Duration = Duration::from_millis(500);
const FEWEST_DRAINED: u32 = 4;
/// Time after which a sample ends with fewer requests, since the queue stands.
const LONGEST_SAMPLE: Duration = Duration::from_secs(4);
/// Weight of a new sample of the drain rate, in eighths.
const SAMPLE_EIGHTHS: u64 = 2;
/// Time after which a backlog of late requests is an overload, if it is long enough as well. In an
/// overload late requests no longer go before timely ones, and those late for long are refused.
/// Without this, recovery from an overload pulse took 18 s instead of 13 s.
const LASTING: Duration = Duration::from_secs(8);
/// A backlog is an overload when it fills one part in this many of the queue. Shedding shorter ones
/// as well refused 0.7 % instead of 0.1 % of the requests in daily bursts.
const OVERLOAD_PART: usize = 2;
/// Time after its latest useful start for which a request is kept in a lasting backlog.
const LONGEST_LATE: Duration = Duration::from_millis(1_000);
/// Bounds of Retry-After.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);
const LONGEST_RETRY: Duration = Duration::from_secs(60);
/// Pushes between two sweeps over the state of customers without a weight of their own.
const SWEEP_PERIOD: u64 = 1_024;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Waiting requests of one customer.
    pub per_customer: usize,
    /// Waiting requests in total.
    pub total: usize,
}

/// A request for a place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<C> {
    /// Customer that pays.
    pub customer: C,
    /// Cost in tokens: prompt plus tokens to generate.
    pub tokens: u64,
    /// Latest start at which the TTFT target can be met.
    pub start_by: Instant,
    /// Time at which the request is refused when it still waits.
    pub deadline: Instant,
}

/// Handle of a waiting request; also its place in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request whose turn it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn<C> {
    /// Handle that [`Fair::push`] gave.
    pub ticket: Ticket,
    /// The request.
    pub request: Request<C>,
    charge: u64,
    queued_at: Instant,
    /// Whether it was counted in the drain rate.
    counted: bool,
}

/// Why a request was refused. Its name is the label of the refusal counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The customer has as many waiting requests as it may have.
    CustomerFull,
    /// The queue is full.
    QueueFull,
    /// It could no longer meet its TTFT target, and the backlog lasts.
    Overload,
    /// The deadline cannot be met at the observed drain rate, or has passed.
    TooLate,
}

/// Refusal of a request that was not run.
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
            retry_after: retry_after.clamp(SHORTEST_RETRY, LONGEST_RETRY),
        }
    }

    /// Why the request was refused.
    #[must_use]
    pub const fn cause(&self) -> Cause {
        self.cause
    }

    /// Time after which a retry is expected to be served.
    #[must_use]
    pub const fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

#[derive(Clone, Debug)]
struct Lane {
    weight: NonZeroU32,
    configured: bool,
    /// Virtual start time of the next request.
    tag: u64,
    timely: BTreeSet<(Instant, Ticket)>,
    /// By deadline.
    late: BTreeSet<(Instant, Ticket)>,
    run: u8,
    tokens: u64,
}

impl Lane {
    const fn new(tag: u64) -> Self {
        Self {
            weight: NonZeroU32::MIN,
            configured: false,
            tag,
            timely: BTreeSet::new(),
            late: BTreeSet::new(),
            run: 0,
            tokens: 0,
        }
    }

    fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    fn charge(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(UNITS_PER_TOKEN) / u64::from(self.weight.get())
    }

    /// Moves requests that can no longer meet the TTFT target to the late ones.
    fn settle<C>(&mut self, now: Instant, waiting: &BTreeMap<Ticket, (Request<C>, Instant)>) {
        while let Some(&(start_by, ticket)) = self.timely.first()
            && start_by < now
            && let Some((request, _)) = waiting.get(&ticket)
        {
            self.timely.pop_first();
            self.late.insert((request.deadline, ticket));
        }
    }

    /// Takes the request whose turn it is within the customer.
    fn next<C>(
        &mut self,
        now: Instant,
        rescue: bool,
        waiting: &BTreeMap<Ticket, (Request<C>, Instant)>,
    ) -> Option<Ticket> {
        self.settle(now, waiting);
        if let Some(&(deadline, ticket)) = self.late.first() {
            let urgent = rescue && deadline.since(now) < URGENT;
            if urgent || self.run >= TIMELY_RUN {
                self.late.pop_first();
                self.run = 0;
                return Some(ticket);
            }
        }
        if let Some((_, ticket)) = self.timely.pop_first() {
            self.run = self.run.saturating_add(1);
            return Some(ticket);
        }
        self.run = 0;
        self.late.pop_first().map(|(_, ticket)| ticket)
    }
}

/// Tokens that left the queue after waiting, and the time during which requests waited.
#[derive(Clone, Copy, Debug, Default)]
struct Drain {
    tokens: u64,
    requests: u32,
    busy: Duration,
    since: Option<Instant>,
    /// Tokens per second; zero before the first sample.
    rate: u64,
}

impl Drain {
    fn sample(&mut self, now: Instant) {
        if let Some(since) = self.since {
            self.busy += now.since(since);
            self.since = Some(now);
        }
        let enough = self.requests >= FEWEST_DRAINED && self.busy >= SAMPLE;
        if !enough && self.busy < LONGEST_SAMPLE {
            return;
        }
        let millis = u64::try_from(self.busy.as_millis()).unwrap_or(u64::MAX);
        let rate = (self.tokens.saturating_mul(1_000) / millis.max(1)).max(1);
        self.rate = if self.rate == 0 {
            rate
        } else {
            (self.rate * (8 - SAMPLE_EIGHTHS) + rate * SAMPLE_EIGHTHS) / 8
        };
        self.tokens = 0;
        self.requests = 0;
        self.busy = Duration::ZERO;
    }

    /// Counts a departure. A request that never waited says nothing about the rate.
    fn left(&mut self, tokens: u64, waited: bool) {
        if waited {
            self.tokens += tokens;
            self.requests += 1;
        }
    }
}

/// Queue of waiting requests.
#[derive(Clone, Debug)]
pub struct Fair<C> {
    limits: Limits,
    lanes: BTreeMap<C, Lane>,
    /// Customers with waiting requests, by virtual start time.
    active: BTreeSet<(u64, C)>,
    active_weight: u64,
    /// Waiting requests and the times at which they came.
    waiting: BTreeMap<Ticket, (Request<C>, Instant)>,
    deadlines: BTreeSet<(Instant, Ticket)>,
    /// Tokens of all waiting requests.
    tokens: u64,
    virtual_time: u64,
    next: u64,
    drain: Drain,
    late: usize,
    /// Requests that made room for others and were not reported yet.
    displaced: Vec<(Ticket, Refusal)>,
    /// Time since which late requests have waited without a break.
    behind_since: Option<Instant>,
}

impl<C: Copy + Ord> Fair<C> {
    /// Makes an empty queue.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            lanes: BTreeMap::new(),
            active: BTreeSet::new(),
            active_weight: 0,
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            tokens: 0,
            virtual_time: 0,
            next: 0,
            drain: Drain::default(),
            late: 0,
            displaced: Vec::new(),
            behind_since: None,
        }
    }

    /// Sets the weight of a customer; customers without one have weight 1.
    pub fn set_weight(&mut self, customer: C, weight: NonZeroU32) {
        let lane = self.lanes.entry(customer).or_insert_with(|| Lane::new(0));
        if lane.len() > 0 {
            self.active_weight -= u64::from(lane.weight.get());
            self.active_weight += u64::from(weight.get());
        }
        lane.weight = weight;
        lane.configured = true;
    }

    /// Forgets the weight of a customer that is no longer configured.
    pub fn forget(&mut self, customer: C) {
        if let Some(lane) = self.lanes.get_mut(&customer) {
            lane.configured = false;
        }
    }

    /// Waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Observed drain rate in tokens per second; zero while unknown.
    #[must_use]
    pub const fn drain_rate(&self) -> u64 {
        self.drain.rate
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Refuses a request for which there is no room, or whose deadline cannot be met.
    pub fn push(&mut self, now: Instant, request: Request<C>) -> Result<Ticket> {
        self.drain.sample(now);
        if self.next % SWEEP_PERIOD == SWEEP_PERIOD - 1 {
            self.sweep();
        }
        if let Some(lane) = self.lanes.get_mut(&request.customer) {
            let late = lane.late.len();
            lane.settle(now, &self.waiting);
            let late_after = lane.late.len();
            self.count_late(now, late, late_after);
        }
        let wait = self.expected_wait(request.customer, request.tokens);
        let left = request.deadline.since(now);
        if wait > left || left.is_zero() {
            return Err(Refusal::new(Cause::TooLate, wait.saturating_sub(left)));
        }
        let queued = self.lanes.get(&request.customer).map_or(0, Lane::len);
        let full = if queued >= self.limits.per_customer {
            Some(Cause::CustomerFull)
        } else {
            (self.waiting.len() >= self.limits.total).then_some(Cause::QueueFull)
        };
        if let Some(cause) = full
            && !self.displace(now, &request, cause)
        {
            return Err(Refusal::new(cause, wait));
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        let turn = Turn {
            ticket,
            request,
            charge: 0,
            queued_at: now,
            counted: false,
        };
        self.insert(now, turn, false);
        Ok(ticket)
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self, now: Instant) -> Option<Turn<C>> {
        self.drain.sample(now);
        let (tag, customer) = self.active.pop_first()?;
        let rescue = !self.is_overloaded(now);
        let lane = self.lanes.get_mut(&customer)?;
        let late = lane.late.len();
        let ticket = lane.next(now, rescue, &self.waiting)?;
        let (request, queued_at) = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(request.deadline, ticket));
        let late_after = lane.late.len();
        let charge = lane.charge(request.tokens);
        self.virtual_time = self.virtual_time.max(tag);
        lane.tag = tag + charge;
        lane.tokens -= request.tokens;
        self.tokens -= request.tokens;
        if lane.len() > 0 {
            self.active.insert((lane.tag, customer));
        } else {
            self.active_weight -= u64::from(lane.weight.get());
        }
        let waited = queued_at < now;
        self.drain.left(request.tokens, waited);
        self.count_late(now, late, late_after);
        if self.waiting.is_empty() {
            self.drain.since = None;
        }
        Some(Turn {
            ticket,
            request,
            charge,
            queued_at,
            counted: waited,
        })
    }

    /// Returns a request that could not be sent on; it keeps its ticket and is not charged.
    pub fn put_back(&mut self, now: Instant, turn: Turn<C>) {
        let customer = turn.request.customer;
        let lane = self
            .lanes
            .entry(customer)
            .or_insert_with(|| Lane::new(self.virtual_time));
        let before = (lane.tag, customer);
        lane.tag = lane.tag.saturating_sub(turn.charge);
        lane.run = lane.run.saturating_sub(1);
        let tag = lane.tag;
        if self.active.remove(&before) {
            self.active.insert((tag, customer));
        }
        if turn.counted {
            self.drain.tokens = self.drain.tokens.saturating_sub(turn.request.tokens);
            self.drain.requests = self.drain.requests.saturating_sub(1);
        }
        self.insert(now, turn, true);
    }

    /// Removes a request whose caller left, which drains the queue as well.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Request<C>> {
        let request = self.take(ticket)?;
        self.drain.left(request.tokens, true);
        Some(request)
    }

    fn take(&mut self, ticket: Ticket) -> Option<Request<C>> {
        let (request, _) = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(request.deadline, ticket));
        let lane = self.lanes.get_mut(&request.customer)?;
        lane.timely.remove(&(request.start_by, ticket));
        if lane.late.remove(&(request.deadline, ticket)) {
            self.late -= 1;
            if self.late == 0 {
                self.behind_since = None;
            }
        }
        lane.tokens -= request.tokens;
        self.tokens -= request.tokens;
        if lane.len() == 0 {
            self.active.remove(&(lane.tag, request.customer));
            self.active_weight -= u64::from(lane.weight.get());
        }
        if self.waiting.is_empty() {
            self.drain.since = None;
        }
        Some(request)
    }

    /// Removes and refuses the requests whose deadline has passed, and names those that had to make
    /// room since the last call. Call it after each push.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Refusal)> {
        self.drain.sample(now);
        let mut refused = std::mem::take(&mut self.displaced);
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

    /// Whether late requests have waited for long and fill a good part of the queue.
    fn is_overloaded(&self, now: Instant) -> bool {
        let lasting = self
            .behind_since
            .is_some_and(|since| now.since(since) >= LASTING);
        lasting && self.waiting.len() * OVERLOAD_PART >= self.limits.total
    }

    /// Refuses requests that have been late for long. In a lasting backlog they would take the
    /// places of requests that can meet the target, and their callers are likely to leave.
    fn shed(&mut self, now: Instant, refused: &mut Vec<(Ticket, Refusal)>) {
        while let Some(&(_, ticket)) = self.deadlines.first()
            && let Some((request, _)) = self.waiting.get(&ticket)
            && now.since(request.start_by) > LONGEST_LATE
        {
            let Some(request) = self.take(ticket) else {
                break;
            };
            let wait = self.expected_wait(request.customer, request.tokens);
            refused.push((ticket, Refusal::new(Cause::Overload, wait)));
        }
    }

    /// Makes room for a timely request by refusing a late one: the customer's own, or in a full queue
    /// the one whose deadline is first. Without this, late requests that filled the queue kept out
    /// those that could still meet their target.
    fn displace(&mut self, now: Instant, request: &Request<C>, cause: Cause) -> bool {
        if request.start_by < now {
            return false;
        }
        let lane = self.lanes.get(&request.customer);
        let own = lane.and_then(|lane| lane.late.first()).map(|one| one.1);
        let first = self.deadlines.first().map(|one| one.1);
        let any = first.filter(|ticket| {
            let waiting = self.waiting.get(ticket);
            waiting.is_some_and(|(request, _)| request.start_by < now)
        });
        let displaced = match cause {
            Cause::CustomerFull => own,
            _ => own.or(any),
        };
        let Some(ticket) = displaced else {
            return false;
        };
        let Some(removed) = self.take(ticket) else {
            return false;
        };
        let wait = self.expected_wait(removed.customer, removed.tokens);
        self.displaced.push((ticket, Refusal::new(cause, wait)));
        true
    }

    /// Time until a customer's new request is served at the observed drain rate.
    fn expected_wait(&self, customer: C, tokens: u64) -> Duration {
        if self.waiting.is_empty() || self.drain.rate == 0 {
            return Duration::ZERO;
        }
        let lane = self.lanes.get(&customer);
        // Late requests give way, so only the timely part of the lane counts.
        let ahead = tokens
            + lane.map_or(0, |lane| {
                lane.tokens * lane.timely.len() as u64 / (lane.len() as u64).max(1)
            });
        let weight = lane.map_or(1, |lane| u64::from(lane.weight.get()));
        let others = if lane.is_some_and(|lane| lane.len() > 0) {
            self.active_weight
        } else {
            self.active_weight + weight
        };
        let share = (self.drain.rate * weight / others.max(1)).max(1);
        // The queue never needs longer than all of its tokens at the whole rate.
        let queued = self.tokens + tokens;
        let millis = (ahead.saturating_mul(1_000) / share)
            .min(queued.saturating_mul(1_000) / self.drain.rate);
        Duration::from_millis(millis)
    }

    fn insert(&mut self, now: Instant, turn: Turn<C>, again: bool) {
        let Turn {
            ticket,
            request,
            queued_at,
            ..
        } = turn;
        let lane = self
            .lanes
            .entry(request.customer)
            .or_insert_with(|| Lane::new(self.virtual_time));
        if lane.len() == 0 {
            if !again {
                lane.tag = lane.tag.max(self.virtual_time);
            }
            self.active.insert((lane.tag, request.customer));
            self.active_weight += u64::from(lane.weight.get());
        }
        if request.start_by < now {
            lane.late.insert((request.deadline, ticket));
            self.late += 1;
            self.behind_since.get_or_insert(now);
        } else {
            lane.timely.insert((request.start_by, ticket));
        }
        lane.tokens += request.tokens;
        self.tokens += request.tokens;
        self.waiting.insert(ticket, (request, queued_at));
        self.deadlines.insert((request.deadline, ticket));
        if self.drain.since.is_none() {
            self.drain.since = Some(now);
        }
    }

    /// Follows the number of late requests when that of one customer changed.
    fn count_late(&mut self, now: Instant, before: usize, after: usize) {
        self.late = self.late + after - before;
        if self.late == 0 {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
    }

    fn sweep(&mut self) {
        let virtual_time = self.virtual_time;
        self.lanes
            .retain(|_, lane| lane.configured || lane.len() > 0 || lane.tag > virtual_time);
    }
}
