//! Token buckets of the customers: pools for the quota shards and floors for the seat that this
//! host holds.

use std::collections::HashMap;

use actix::{ActorFutureExt, Handler, Message, MessageResult, ResponseActFuture, WrapFuture};
use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::lease::{Holder, Seat, Shard, Subject, Table};
use berylknot_coordination::quota::{
    Approval, Donation, Floor, Grant, Hold, Limits, Pool, Refused, Split, Ticket,
};
use berylknot_coordination::record::Position;
use berylknot_settings::Fleet;
use berylknot_wire::peer::{Request, Response};

use super::Core;
use crate::platform::Platform;

/// Retry-after in milliseconds while the owner of a customer's pool cannot be reached.
const UNAVAILABLE_RETRY_MS: u64 = 2_000;

/// Buckets that this host owns, each with the position of the lease that it was made under.
#[derive(Debug, Default)]
pub(super) struct Buckets {
    limits: HashMap<String, Limits>,
    split: Option<Split>,
    pools: HashMap<String, (Position, Pool)>,
    floors: HashMap<String, (Position, Floor)>,
}

impl Buckets {
    /// Applies the limits of a configuration and drops the buckets of removed customers.
    pub(super) fn configure(&mut self, now: Instant, fleet: &Fleet) {
        let planned = u16::try_from(fleet.quota().planned_hosts).unwrap_or(u16::MAX);
        let per_mille = u16::try_from(fleet.quota().floor_percent * 10).unwrap_or(u16::MAX);
        let split = Split::new(per_mille, Seat::count(planned), Drift::default());
        self.split = split
            .inspect_err(|error| {
                tracing::error!(
                    %error,
                    "quota: planned hosts or floor percentage is invalid; no tokens are granted"
                );
            })
            .ok();
        self.limits.clear();
        for customer in fleet.customers() {
            match Limits::new(customer.rate, customer.burst) {
                Ok(limits) => {
                    self.limits.insert(customer.name.clone(), limits);
                }
                Err(error) => tracing::error!(
                    customer = %customer.name,
                    %error,
                    "quota: rate or burst of the customer is invalid; it gets no tokens"
                ),
            }
        }
        let Some(split) = self.split else {
            return;
        };
        let limits = &self.limits;
        self.pools.retain(|customer, (_, pool)| {
            let found = limits.get(customer);
            found
                .inspect(|limits| pool.set_limits(now, **limits, split))
                .is_some()
        });
        self.floors.retain(|customer, (_, floor)| {
            let found = limits.get(customer);
            found
                .inspect(|limits| floor.set_limits(now, **limits, split))
                .is_some()
        });
    }

    /// Customers whose pools this host owns.
    pub(super) fn customers(&self) -> Vec<String> {
        self.pools.keys().cloned().collect()
    }

    /// Removes a customer's pool, so that it grants no more tokens.
    pub(super) fn take_pool(&mut self, customer: &str) -> Option<Pool> {
        self.pools.remove(customer).map(|(_, pool)| pool)
    }

    /// Drops the buckets whose lease changed its owner or was granted anew.
    pub(super) fn drop_lost(&mut self, table: &Table) {
        self.pools.retain(|customer, (since, _)| {
            let subject = Subject::Shard(Shard::of(customer.as_bytes()));
            table.holding(subject).since == *since
        });
        self.floors
            .retain(|_, (since, _)| table.seats().any(|(_, holding)| holding.since == *since));
    }

    /// Creates the missing buckets at once, so that they refill from the start of their lease.
    pub(super) fn create_missing(&mut self, now: Instant, holder: &Holder, table: &Table) {
        let customers: Vec<String> = self.limits.keys().cloned().collect();
        for customer in customers {
            self.pool(now, &customer, holder, table);
            self.floor(now, &customer, holder, table);
        }
    }

    /// The customer's pool, made if missing, if this host holds a usable lease of its shard.
    fn pool(
        &mut self,
        now: Instant,
        customer: &str,
        holder: &Holder,
        table: &Table,
    ) -> Option<&mut Pool> {
        let (split, limits) = (self.split?, *self.limits.get(customer)?);
        let shard = Shard::of(customer.as_bytes());
        let subject = Subject::Shard(shard);
        if !holder.usable(now, table, subject) {
            return None;
        }
        let since = table.holding(subject).since;
        let entry = self.pools.entry(customer.to_owned());
        let (held_since, pool) =
            entry.or_insert_with(|| (since, Pool::new(now, limits, split, shard, since)));
        if *held_since != since {
            (*held_since, *pool) = (since, Pool::new(now, limits, split, shard, since));
        }
        Some(pool)
    }

    /// The customer's floor, made if missing, if this host holds a usable seat.
    fn floor(
        &mut self,
        now: Instant,
        customer: &str,
        holder: &Holder,
        table: &Table,
    ) -> Option<&mut Floor> {
        let (split, limits) = (self.split?, *self.limits.get(customer)?);
        let (seat, since) = own_seat(now, holder, table)?;
        let entry = self.floors.entry(customer.to_owned());
        let (held_since, floor) =
            entry.or_insert_with(|| (since, Floor::new(now, limits, split, seat, since)));
        if *held_since != since {
            (*held_since, *floor) = (since, Floor::new(now, limits, split, seat, since));
        }
        Some(floor)
    }
}

/// Seat that this host may use, with the position of its lease.
fn own_seat(now: Instant, holder: &Holder, table: &Table) -> Option<(Seat, Position)> {
    for (seat, holding) in table.seats() {
        if holder.usable(now, table, Subject::Seat(seat)) {
            return Some((seat, holding.since));
        }
    }
    None
}

/// Reason for which a customer gets no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The customer's rate and burst are exhausted.
    RateExceeded {
        /// Time until the bucket has the tokens, in milliseconds; `None` if the amount exceeds the
        /// capacity of every bucket.
        retry_after_ms: Option<u64>,
    },
    /// The floor lacks the tokens, and the pool has no reachable owner.
    Unavailable {
        /// Retry-after in milliseconds.
        retry_after_ms: u64,
    },
}

/// Grant of a request's tokens, or the reason of the denial.
pub(crate) type Granted = Result<Grant, Denied>;

/// Acquires tokens of a customer, from this host's floor or else from the customer's pool.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "Granted")]
pub(crate) struct Acquire {
    pub(crate) customer: String,
    pub(crate) tokens: u64,
}

impl<P: Platform> Handler<Acquire> for Core<P> {
    type Result = ResponseActFuture<Self, Granted>;

    fn handle(
        &mut self,
        Acquire { customer, tokens }: Acquire,
        _: &mut Self::Context,
    ) -> Self::Result {
        let now = self.clock.now();
        if let Some(approval) = self.acquire_from_floor(now, &customer, tokens) {
            return Box::pin(actix::fut::ready(Ok(Grant::new(now, approval))));
        }
        let subject = Subject::Shard(Shard::of(customer.as_bytes()));
        let owner = self.replica.leases().holding(subject).owner;
        if owner == Some(self.identity.incarnation) {
            let response = self.grant_tokens(&customer, tokens);
            return Box::pin(actix::fut::ready(self.granted(now, &customer, &response)));
        }
        let Some(address) = owner.and_then(|owner| self.address_of(owner)) else {
            return Box::pin(actix::fut::ready(Err(unavailable())));
        };
        let peers = self.peers.clone();
        let request = Request::AskGrant {
            customer: customer.clone(),
            tokens,
        };
        let asked = async move { peers.send(address, request).await };
        Box::pin(
            asked
                .into_actor(self)
                .map(move |answer, core, _| match answer {
                    Ok(response) => core.granted(now, &customer, &response),
                    Err(error) => {
                        tracing::info!(
                            %error,
                            "quota: pool owner did not answer; denying the tokens as unavailable"
                        );
                        Err(unavailable())
                    }
                }),
        )
    }
}

const fn unavailable() -> Denied {
    Denied::Unavailable {
        retry_after_ms: UNAVAILABLE_RETRY_MS,
    }
}

/// Settles a grant: returns unused tokens, or charges those used beyond the estimate.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Settle {
    pub(crate) customer: String,
    pub(crate) hold: Hold,
    pub(crate) charged: u64,
    pub(crate) used: u64,
}

impl<P: Platform> Handler<Settle> for Core<P> {
    type Result = ();

    fn handle(&mut self, settle: Settle, _: &mut Self::Context) {
        let Settle {
            customer,
            hold,
            charged,
            used,
        } = settle;
        let request = if used <= charged {
            Request::ReturnTokens {
                customer,
                hold,
                unused: charged - used,
            }
        } else {
            Request::Owe {
                customer,
                hold,
                extra: used - charged,
            }
        };
        if matches!(hold.subject, Subject::Seat(_)) {
            self.handle_request(request);
            return;
        }
        let owner = self.replica.leases().holding(hold.subject).owner;
        if owner == Some(self.identity.incarnation) {
            self.handle_request(request);
            return;
        }
        if let Some(address) = owner.and_then(|owner| self.address_of(owner)) {
            self.peers.notify(address, request);
        }
    }
}

/// Request of another coordinator that concerns tokens or strikes.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "Response")]
pub(crate) struct PeerRequest(pub(crate) Request);

impl<P: Platform> Handler<PeerRequest> for Core<P> {
    type Result = MessageResult<PeerRequest>;

    fn handle(&mut self, PeerRequest(request): PeerRequest, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.handle_request(request))
    }
}

impl<P: Platform> Core<P> {
    /// Acquires tokens from this host's floor; `None` if there is none or it lacks the tokens.
    fn acquire_from_floor(
        &mut self,
        now: Instant,
        customer: &str,
        tokens: u64,
    ) -> Option<Approval> {
        let floor = self
            .quota
            .floor(now, customer, &self.holder, self.replica.leases())?;
        floor.acquire(now, tokens).ok()
    }

    /// Converts the response of a pool's owner to a grant, and donates if the owner sent a ticket.
    fn granted(&mut self, asked: Instant, customer: &str, response: &Response) -> Granted {
        let (granted, ticket) = match *response {
            Response::Granted { approval, ticket } => (Ok(Grant::new(asked, approval)), ticket),
            Response::RateExceeded {
                retry_after_ms,
                ticket,
            } => (Err(Denied::RateExceeded { retry_after_ms }), ticket),
            _ => (Err(unavailable()), None),
        };
        if let Some(ticket) = ticket {
            self.donate(customer, ticket);
        }
        granted
    }

    /// Moves tokens that this host's floor can spare to the pool that issued the ticket.
    fn donate(&mut self, customer: &str, ticket: Ticket) {
        let now = self.clock.now();
        let floor = self
            .quota
            .floor(now, customer, &self.holder, self.replica.leases());
        let Some(donation) = floor.and_then(|floor| floor.donate(now, ticket, now)) else {
            return;
        };
        let owner = self.replica.leases().holding(ticket.subject).owner;
        let request = Request::Donate {
            customer: customer.to_owned(),
            donation,
        };
        if owner == Some(self.identity.incarnation) {
            self.handle_request(request);
        } else if let Some(address) = owner.and_then(|owner| self.address_of(owner)) {
            self.peers.notify(address, request);
        }
    }

    /// Handles a request about buckets of this host, sent by itself or by a peer.
    fn handle_request(&mut self, request: Request) -> Response {
        match request {
            Request::AskGrant { customer, tokens } => return self.grant_tokens(&customer, tokens),
            Request::ReturnTokens {
                customer,
                hold,
                unused,
            } => {
                self.return_tokens(&customer, hold, unused);
            }
            Request::Owe {
                customer,
                hold,
                extra,
            } => self.charge_overrun(&customer, hold, extra),
            Request::Donate { customer, donation } => self.accept_donation(&customer, donation),
            Request::Handover { customer, handover } => {
                let now = self.clock.now();
                let table = self.replica.leases();
                let predecessor = table.holding(handover.subject).predecessor;
                let Some(pool) = self.quota.pool(now, &customer, &self.holder, table) else {
                    // The sender retries, since this host may not have read the release yet.
                    return Response::NotOwner;
                };
                pool.take_over(now, handover, predecessor);
            }
            Request::Strike(event) => self.strikes.apply(self.clock.now(), &event),
            _ => {}
        }
        Response::Done
    }

    /// Grants tokens from a pool of this host. The ticket invites the caller's floor to donate.
    fn grant_tokens(&mut self, customer: &str, tokens: u64) -> Response {
        let now = self.clock.now();
        let table = self.replica.leases();
        let Some(pool) = self.quota.pool(now, customer, &self.holder, table) else {
            return Response::NotOwner;
        };
        let asked: Result<Approval, Refused> = pool.acquire(now, tokens);
        let ticket = pool.ticket(now);
        match asked {
            Ok(approval) => Response::Granted { approval, ticket },
            Err(refused) => {
                let wait = refused.retry_after();
                let retry_after_ms =
                    wait.map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
                Response::RateExceeded {
                    retry_after_ms,
                    ticket,
                }
            }
        }
    }

    /// Returns the unused tokens of a grant to its bucket, if this host still owns it.
    fn return_tokens(&mut self, customer: &str, hold: Hold, unused: u64) {
        let now = self.clock.now();
        let table = self.replica.leases();
        match hold.subject {
            Subject::Seat(_) => {
                if let Some(floor) = self.quota.floor(now, customer, &self.holder, table) {
                    floor.give_back(now, hold, unused);
                }
            }
            Subject::Shard(_) => {
                if let Some(pool) = self.quota.pool(now, customer, &self.holder, table) {
                    pool.give_back(now, hold, unused);
                }
            }
        }
    }

    /// Charges tokens used beyond a grant to its bucket, if this host still owns it.
    fn charge_overrun(&mut self, customer: &str, hold: Hold, extra: u64) {
        let now = self.clock.now();
        let table = self.replica.leases();
        match hold.subject {
            Subject::Seat(_) => {
                if let Some(floor) = self.quota.floor(now, customer, &self.holder, table) {
                    floor.charge_extra(now, hold, extra);
                }
            }
            Subject::Shard(_) => {
                if let Some(pool) = self.quota.pool(now, customer, &self.holder, table) {
                    pool.charge_extra(now, hold, extra);
                }
            }
        }
    }

    /// Adds a donation to a customer's pool, if this host owns it.
    fn accept_donation(&mut self, customer: &str, donation: Donation) {
        let now = self.clock.now();
        let table = self.replica.leases();
        if let Some(pool) = self.quota.pool(now, customer, &self.holder, table) {
            pool.accept(now, donation);
        }
    }
}
