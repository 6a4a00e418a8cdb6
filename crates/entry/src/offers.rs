//! Takes back what a leader granted and charged for a query that its sender gave up: the sender declines the
//! query as soon as that leader answers again.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::offer;
use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::admission::{ANSWER_TIMEOUT, Query, Verdict};
use crate::http::Timeouts;
use crate::ledger::Grant;
use crate::own;
use crate::state::{Host, now};

/// Path of the queries with which hosts decline what they were granted.
pub(crate) const PATH: &str = "/v1/declined";
/// Interval between attempts to reach a leader that did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a leader that was not reached is given up; it may be gone.
const DECLINE_TIME: Duration = Duration::from_secs(15);
/// Most declined queries that are kept; the oldest give way.
const MAX_DECLINED: usize = 4_096;
/// Largest accepted answer to declined queries.
const MAX_ANSWER_BYTES: usize = 16;

/// A query for admission, unique across hosts and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Ask {
    /// Incarnation of the sender.
    pub(crate) incarnation: u64,
    pub(crate) number: u64,
}

/// What a query was granted.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    /// Id of the request.
    id: String,
    grant: Grant,
    customer: Option<String>,
    /// Tokens that were charged.
    tokens: u64,
}

/// Queries of this host, and what it has granted to those of others.
#[derive(Debug, Default)]
pub(crate) struct Offers {
    /// Number of this host's last query.
    last: Cell<u64>,
    made: RefCell<offer::Offers<Ask, Offer>>,
    /// Declined queries, the leaders that they went to, and when they were given up.
    declined: RefCell<VecDeque<(SocketAddr, Ask, Instant)>>,
    /// Wakes the task that tells leaders of them.
    changed: Notify,
}

/// A query under way; it is declined on drop unless its answer has come.
#[derive(Debug)]
pub(crate) struct Pending<'a> {
    offers: &'a Offers,
    leader: SocketAddr,
    pub(crate) ask: Ask,
    is_due: bool,
}

impl Offers {
    /// Numbers a query to a leader.
    pub(crate) fn begin(&self, incarnation: u64, leader: SocketAddr) -> Pending<'_> {
        let number = self.last.get() + 1;
        self.last.set(number);
        Pending {
            offers: self,
            leader,
            ask: Ask {
                incarnation,
                number,
            },
            is_due: true,
        }
    }
}

impl Pending<'_> {
    /// Records that the answer has come, or that the query was not sent.
    pub(crate) fn end(mut self) {
        self.is_due = false;
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.is_due {
            return;
        }
        let mut declined = self.offers.declined.borrow_mut();
        declined.push_back((self.leader, self.ask, now()));
        if declined.len() > MAX_DECLINED {
            declined.pop_front();
        }
        self.offers.changed.notify_one();
    }
}

/// Whether the sender of a query has given it up.
pub(crate) fn is_declined<D, S>(host: &Host<D, S>, ask: Option<Ask>) -> bool {
    let made = host.offers.made.borrow();
    ask.is_some_and(|ask| made.is_declined(ask))
}

/// Records what a query was granted, which is taken back if its sender has given it up meanwhile.
pub(crate) fn note<D, S>(host: &Host<D, S>, ask: Option<Ask>, query: &Query, verdict: &Verdict) {
    let (Some(ask), Verdict::Granted { grant, .. }) = (ask, verdict) else {
        return;
    };
    let offer = Offer {
        id: query.id.clone(),
        grant: *grant,
        customer: query.customer.clone(),
        tokens: query.tokens,
    };
    let declined = host.offers.made.borrow_mut().offer(now(), ask, offer);
    if let Some(offer) = declined {
        take_back(host, &offer);
    }
}

fn take_back<D, S>(host: &Host<D, S>, offer: &Offer) {
    host.ledger.borrow_mut().settle(offer.grant);
    if let Some(customer) = &offer.customer {
        let mut quotas = host.quotas.borrow_mut();
        quotas.refund(now(), customer, offer.tokens);
    }
    host.capacity_freed.notify_one();
    tracing::info!(
        id = offer.id,
        grant = offer.grant,
        customer = offer.customer,
        tokens = offer.tokens,
        "admission: sender gave up; grant and charge taken back"
    );
}

/// Takes back what was granted to the queries that a peer declines; `None` if they are malformed.
pub(crate) fn answer<D, S>(host: &Host<D, S>, body: &[u8]) -> Option<Bytes> {
    let declined: Vec<Ask> = rmp_serde::from_slice(body).ok()?;
    for ask in &declined {
        let offer = host.offers.made.borrow_mut().decline(now(), *ask);
        if let Some(offer) = offer {
            take_back(host, &offer);
        }
    }
    rmp_serde::to_vec(&declined.len()).ok().map(Bytes::from)
}

/// Tells leaders of the queries that this host has given up.
pub(crate) async fn decline<D, S>(host: Rc<Host<D, S>>) {
    loop {
        if host.offers.declined.borrow().is_empty() {
            host.offers.changed.notified().await;
        }
        let mut by_leader: HashMap<SocketAddr, Vec<Ask>> = HashMap::new();
        for (leader, ask, _) in host.offers.declined.borrow().iter() {
            by_leader.entry(*leader).or_default().push(*ask);
        }
        for (leader, declined) in by_leader {
            tell(&host, leader, &declined).await;
        }
        let now = now();
        host.offers
            .declined
            .borrow_mut()
            .retain(|(_, _, at)| now.since(*at) <= DECLINE_TIME);
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn tell<D, S>(host: &Host<D, S>, leader: SocketAddr, declined: &[Ask]) {
    let timeouts = Timeouts {
        connect: ANSWER_TIMEOUT,
        head: ANSWER_TIMEOUT,
        max_idle: Duration::MAX,
    };
    let (read, limit) = (ANSWER_TIMEOUT, MAX_ANSWER_BYTES);
    let told = own::ask::<_, usize>(&host.pool, leader, PATH, &declined, timeouts, read, limit);
    if let Err(error) = told.await {
        // Builds up to 06854e7 take nothing back.
        if error.downcast_ref() != Some(&own::Status(StatusCode::BAD_REQUEST)) {
            return;
        }
    }
    let mut kept = host.offers.declined.borrow_mut();
    kept.retain(|(at, ask, _)| *at != leader || !declined.contains(ask));
}
