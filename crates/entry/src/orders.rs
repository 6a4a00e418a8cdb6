//! Stage changes that engines have been ordered to make and that the directory does not show yet.
//!
//! An engine under an order refuses new requests until the change is complete, and its entry shows the
//! new stage only after that. Hosts that did not know of the order went on sending requests there,
//! whose prompts had been read elsewhere for nothing. Every host therefore reports the orders that it
//! knows, so the knowledge outlives the host that gave the order. It ends when the directory shows the
//! new stage or a restart of the engine, when the engine refuses the order, or after a time in which
//! the change has either happened or been lost.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use serde::{Deserialize, Serialize};

use crate::directory::{Endpoint, Stage};

/// Largest number of orders that are kept; beyond it the one that ends first is dropped.
const MAX_ORDERS: usize = 256;

/// Largest number of orders in a report, about 70 bytes each: with all 256 it would exceed a datagram.
const MAX_REPORTED: usize = 40;
/// Peers up to which a report carries that many. The reports of more peers together carry as many in smaller parts,
/// and large ones to a hundred hosts fill a link of 10 Mbit/s for a fifth of a second.
const FEW_PEERS: usize = 8;
/// Orders in the smallest part.
const MIN_REPORTED: usize = 12;
/// Newest orders, which each small part carries.
const NEWEST_REPORTED: usize = 4;

/// What is known of an order. When hosts know different things, the later state holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// Sent without an answer; it may be carried out later.
    Sent,
    /// The engine is carrying it out.
    Accepted,
    /// The engine has refused it, or the directory shows that the change is complete.
    Ended,
}

/// An order to an engine to change its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Id of the engine.
    pub endpoint: String,
    /// Incarnation of the engine that got the order.
    pub incarnation: u64,
    /// The new stage.
    pub stage: Stage,
    /// Fencing token of the order; a later order has a higher one.
    pub token: u64,
    /// Name of the host that gave it.
    pub sender: String,
    /// What is known of it.
    pub state: State,
    /// Time until the order is forgotten, in milliseconds; as of the report in a report.
    pub left_ms: u64,
}

/// All known orders.
#[derive(Debug, Default)]
pub struct Orders {
    by_endpoint: HashMap<String, (Order, Instant)>,
}

impl Orders {
    /// Applies an order of this host or of a peer's report; older knowledge is ignored.
    pub fn apply(&mut self, now: Instant, order: Order) {
        let until = now + Duration::from_millis(order.left_ms);
        let known = self.by_endpoint.get(&order.endpoint);
        // An engine that restarts may get a second order under the same token.
        let rank = |order: &Order| (order.token, order.incarnation, order.state);
        let is_newer = known.is_none_or(|(known, _)| rank(&order) > rank(known));
        if !is_newer || order.left_ms == 0 {
            return;
        }
        if known.is_none() && self.by_endpoint.len() >= MAX_ORDERS {
            self.drop_first();
        }
        self.by_endpoint
            .insert(order.endpoint.clone(), (order, until));
    }

    fn drop_first(&mut self) {
        let first = self.by_endpoint.iter().min_by_key(|(_, (_, until))| *until);
        if let Some(id) = first.map(|(id, _)| id.clone()) {
            self.by_endpoint.remove(&id);
        }
    }

    /// Records the state of the order with `token` to an endpoint, and the time until it is forgotten.
    pub fn set_state(
        &mut self,
        now: Instant,
        endpoint: &str,
        token: u64,
        state: State,
        left: Duration,
    ) {
        if let Some((order, until)) = self.by_endpoint.get_mut(endpoint)
            && order.token == token
            && order.state < state
        {
            order.state = state;
            *until = now + left;
        }
    }

    /// Compares an order with the entry of its endpoint: it ends when the entry shows the new stage or
    /// another incarnation. It stays known until its time is over, so that a host which lags behind
    /// does not bring it back.
    pub fn observe(&mut self, endpoint: &Endpoint) {
        let Some((order, _)) = self.by_endpoint.get_mut(&endpoint.id) else {
            return;
        };
        let is_over = endpoint.incarnation > order.incarnation
            || endpoint.incarnation == order.incarnation && endpoint.stage == Some(order.stage);
        if is_over {
            order.state = State::Ended;
        }
    }

    /// The order that an endpoint has to carry out or may carry out.
    #[must_use]
    pub fn pending(&self, now: Instant, endpoint: &Endpoint) -> Option<&Order> {
        let (order, until) = self.by_endpoint.get(&endpoint.id)?;
        let is_pending = *until > now
            && order.state < State::Ended
            && order.incarnation == endpoint.incarnation
            && endpoint.stage != Some(order.stage);
        is_pending.then_some(order)
    }

    /// Whether an endpoint has got an order recently, complete and refused ones included.
    #[must_use]
    pub fn is_recent(&self, now: Instant, endpoint: &Endpoint) -> bool {
        let known = self.by_endpoint.get(&endpoint.id);
        known
            .is_some_and(|(order, until)| *until > now && order.incarnation == endpoint.incarnation)
    }

    /// Removes the orders whose time is over.
    pub fn expire(&mut self, now: Instant) {
        self.by_endpoint.retain(|_, (_, until)| *until > now);
    }

    /// A part of the known orders, for the report with the given number to `peers` hosts: the newest, and the
    /// others in turn.
    #[must_use]
    pub fn report_page(&self, now: Instant, number: u64, peers: usize) -> Vec<Order> {
        let most = MAX_REPORTED * FEW_PEERS / peers.max(FEW_PEERS);
        let most = most.max(MIN_REPORTED);
        let mut known: Vec<Order> = self.report(now).collect();
        if known.len() <= most {
            return known;
        }
        let newest = if most < MAX_REPORTED {
            NEWEST_REPORTED
        } else {
            0
        };
        known.sort_by_key(|order| (Reverse(order.token), order.endpoint.clone()));
        let mut rest = known.split_off(newest);
        rest.sort_by(|one, other| one.endpoint.cmp(&other.endpoint));
        let most = most - newest;
        let page = number as usize % rest.len().div_ceil(most);
        known.extend(rest.into_iter().skip(page * most).take(most));
        known
    }

    /// Known orders with their remaining times.
    pub fn report(&self, now: Instant) -> impl Iterator<Item = Order> {
        self.by_endpoint.values().filter_map(move |(order, until)| {
            let left_ms = until.since(now).as_millis() as u64;
            (left_ms > 0).then(|| Order {
                left_ms,
                ..order.clone()
            })
        })
    }
}
