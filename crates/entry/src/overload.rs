//! Refuses calls at their arrival while the endpoints of their service cannot run all of them.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::forecast::admitted_share;
use berylknot_coordination::returns::Terms;

use crate::call::{RETRY_AFTER, jittered};
use crate::health::Group;
use crate::request::Call;
use crate::state::{Host, jitter, now};

/// Share of admitted calls below which the time until a refused caller returns no longer grows.
const MIN_FAIR_SHARE: f64 = 0.1;

/// Share of a customer's calls that its service has room for beside those of the other customers.
pub(crate) fn fair_share<D, S>(host: &Host<D, S>, call: &Call) -> f64 {
    let usual = host.forecast.borrow().usual(&call.service);
    let (Some(customer), Some(usual)) = (call.customer_name(), usual) else {
        return 1.0;
    };
    if !host.options.features.competing_callers {
        return 1.0;
    }
    let customers = &call.fleet.customers;
    let largest = customers.iter().map(|customer| customer.rate).max();
    let largest = largest.unwrap_or_default().max(1);
    // A customer without a quota counts as the largest of the others.
    let weight = |rate: u64| if rate == 0 { largest } else { rate } as f64;
    let weights: Vec<(&String, f64)> = customers
        .iter()
        .map(|customer| (&customer.name, weight(customer.rate)))
        .collect();
    let now = now();
    let nominal = nominal_capacity(host, call, now, usual);
    if are_all_queued(host, call, now) {
        host.contention.borrow_mut().queued(now, &call.service);
    }
    let capacity = (host.contention.borrow()).capacity(now, &call.service, nominal);
    let contention = host.contention.borrow();
    contention.admitted_share(now, &call.service, &customer.to_owned(), capacity, &weights)
}

/// Time after which a refused caller may return, where there may be room after `earliest` on average.
pub(crate) fn return_after<D, S>(host: &Host<D, S>, call: &Call, earliest: Duration) -> Duration {
    let now = now();
    // Callers accept a third of the time that they have left.
    let latest = call.deadline().since(now) / 3;
    let usual = host.forecast.borrow().usual(&call.service);
    let usual = usual.filter(|_| host.options.features.competing_callers);
    let capacity = usual.map_or(0.0, |usual| nominal_capacity(host, call, now, usual));
    if capacity <= 0.0 {
        return jittered(earliest).min(latest);
    }
    let (hosts, _) = host.view.borrow().hosts(now);
    let terms = Terms {
        earliest,
        latest,
        spacing: Duration::from_secs_f64(hosts as f64 / capacity).min(latest),
    };
    // The callers of a customer that sends too much do not delay those of others.
    let line = (call.service.clone(), call.customer);
    let mut returns = host.returns.borrow_mut();
    returns.next(now, &line, terms, jitter(1.0))
}

/// Whether all endpoints of a service state that calls wait there.
fn are_all_queued<D, S>(host: &Host<D, S>, call: &Call, now: Instant) -> bool {
    let directory = host.directory.borrow();
    let (forecast, health) = (host.forecast.borrow(), host.health.borrow());
    let mut usable = directory
        .ready(&call.service)
        .filter(|(key, endpoint)| health.suspicion(now, *key, &Group::of(endpoint)).is_none())
        .peekable();
    usable.peek().is_some() && usable.all(|(key, _)| forecast.is_queued(now, key))
}

/// Calls a second that the endpoints of a service run in calm.
fn nominal_capacity<D, S>(host: &Host<D, S>, call: &Call, now: Instant, usual: Duration) -> f64 {
    let directory = host.directory.borrow();
    let (forecast, health) = (host.forecast.borrow(), host.health.borrow());
    let usual = usual.as_secs_f64().max(0.001);
    let ready = directory.ready(&call.service);
    let usable = ready.filter(|(key, endpoint)| {
        health.notices().admits(now, *key)
            && health.suspicion(now, *key, &Group::of(endpoint)).is_none()
    });
    let rates = usable.map(|(key, endpoint)| {
        let pace = forecast.pace(now, key).unwrap_or(1.0);
        f64::from(endpoint.slots) / (usual * pace)
    });
    rates.sum()
}

/// Whether a call is refused at arrival, since its customer sends far more than its share while the endpoints
/// cannot run the calls of all: the mean time until its caller returns.
pub(crate) fn surplus<D, S>(host: &Host<D, S>, call: &Call) -> Option<Duration> {
    let share = fair_share(host, call);
    if jitter(1.0) < share {
        return None;
    }
    host.metrics.shed_calls.inc();
    tracing::info!(
        id = call.head.id,
        service = call.service,
        customer = call.customer_name(),
        admitted_share = share,
        "call: refused at arrival; its customer sends far more than its share of a full service"
    );
    Some(RETRY_AFTER.div_f64(share.max(MIN_FAIR_SHARE)))
}

/// Prospect of a call at its arrival.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prospect {
    /// Earliest time in which an endpoint would answer it.
    earliest: Duration,
    /// Time for which its caller stays.
    left: Duration,
    usual: Duration,
    precedence: f64,
}

impl Prospect {
    /// `None` where an endpoint does not state its load, which is then taken to have room.
    pub(crate) fn new<D, S>(host: &Host<D, S>, call: &Call) -> Option<Self> {
        let now = now();
        let usual = host.forecast.borrow().usual(&call.service)?;
        Some(Self {
            earliest: earliest_end(host, call, now, usual)?,
            left: call.deadline().since(now),
            usual,
            precedence: precedence(call),
        })
    }

    /// Share of such calls that is admitted.
    pub(crate) fn admitted_share(&self) -> f64 {
        admitted_share(self.earliest, self.left, self.precedence)
    }

    /// Mean time until a refused caller returns.
    pub(crate) fn retry_after(&self) -> Duration {
        RETRY_AFTER.max(self.earliest.saturating_sub(self.left))
    }
}

/// The prospect of a call that is refused at arrival, since every endpoint would answer it only when its caller is
/// about to leave. A call that is merely late is served, since its caller gains nothing by returning.
pub(crate) fn hopeless<D, S>(host: &Host<D, S>, call: &Call) -> Option<Prospect> {
    let prospect = Prospect::new(host, call)?;
    if jitter(1.0) < prospect.admitted_share() {
        return None;
    }
    host.metrics.hopeless_calls.inc();
    tracing::info!(
        id = call.head.id,
        service = call.service,
        earliest_ms = prospect.earliest.as_millis() as u64,
        left_ms = prospect.left.as_millis() as u64,
        usual_ms = prospect.usual.as_millis() as u64,
        precedence = prospect.precedence,
        "call: refused at arrival; no endpoint would answer it before its caller leaves"
    );
    Some(prospect)
}

/// Earliest time in which an endpoint would answer a call; `None` if one does not state its load.
fn earliest_end<D, S>(
    host: &Host<D, S>,
    call: &Call,
    now: Instant,
    usual: Duration,
) -> Option<Duration> {
    let directory = host.directory.borrow();
    let (forecast, health, ledger) = (
        host.forecast.borrow(),
        host.health.borrow(),
        host.ledger.borrow(),
    );
    let places = host.places.borrow();
    let mut earliest: Option<Duration> = None;
    for (key, endpoint) in directory.ready(&call.service) {
        let is_usable = health.notices().admits(now, key)
            && health.suspicion(now, key, &Group::of(endpoint)).is_none()
            && places.is_open(&endpoint.data_centre)
            && places.is_home(call.homes(), &endpoint.data_centre);
        if !is_usable {
            continue;
        }
        let end = forecast.outlook(now, key, ledger.requests(key), usual)?.end;
        earliest = Some(earliest.map_or(end, |earliest| earliest.min(end)));
    }
    earliest
}

/// How far a call yields to others of its service: 0 for the most urgent routes to it, 1 for the least urgent
/// ones.
fn precedence(call: &Call) -> f64 {
    let routes = call.fleet.routes.iter();
    let beside =
        routes.filter(|route| route.services.iter().any(|(name, _)| *name == call.service));
    let (mut first, mut last) = (call.priority(), call.priority());
    for route in beside {
        first = first.min(route.priority);
        last = last.max(route.priority);
    }
    if last == first {
        return 0.0;
    }
    f64::from(call.priority() - first) / f64::from(last - first)
}
