//! Choice of the endpoint with the lowest cost, and why endpoints are left out of it.

use berylknot_coordination::clock::Instant;

use crate::directory::{Endpoint, Key, Stage};
use crate::health::{Group, Suspicion};
use crate::orders;
use crate::state::{Host, now};

/// Why an endpoint is left out of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exclusion {
    /// It has told this host that it leaves or wants a pause.
    Unwilling,
    /// The operator evacuates its data centre.
    Evacuated,
    /// The homes of the route or of the customer are elsewhere.
    NotHome,
    /// The request has been sent there already.
    Tried,
    /// It serves the other stage.
    OtherStage,
    /// It carries out an order to change its stage.
    Ordered,
    /// It states how many requests it takes, and they are used up.
    Limited,
    /// Hosts find it silent; it gets one request at a time.
    Silent,
    /// Its software version does not fit.
    OtherVersion,
    /// It has no room.
    Full,
    /// It has refused work, and what it gets is bounded for a while.
    Saturated,
    /// Its backlog is too long.
    Backlog,
}

impl Exclusion {
    /// Name in explanations.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Unwilling => "unwilling",
            Self::Evacuated => "evacuated",
            Self::NotHome => "not_home",
            Self::Tried => "tried",
            Self::OtherStage => "other_stage",
            Self::Ordered => "ordered",
            Self::Limited => "limited",
            Self::Silent => "silent",
            Self::OtherVersion => "other_version",
            Self::Full => "full",
            Self::Saturated => "saturated",
            Self::Backlog => "backlog",
        }
    }
}

/// Cost of an endpoint, or why it is left out.
pub(crate) type Result<T> = std::result::Result<T, Exclusion>;

/// Endpoints among which to choose.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Search<'a> {
    pub(crate) service: &'a str,
    /// Stage of engines; `None` for plain services.
    pub(crate) stage: Option<Stage>,
    /// Endpoints to leave out.
    pub(crate) tried: &'a [Key],
}

/// The ready endpoint with the lowest cost. `None` also while the entries are too old, since the endpoint may have
/// left.
pub(crate) fn cheapest<D, S>(
    host: &Host<D, S>,
    search: Search<'_>,
    cost: impl Fn(Key, &Endpoint, Option<Suspicion>) -> Result<f64>,
) -> Option<(Key, Endpoint)> {
    let now = now();
    if host.is_directory_expired(now) {
        return None;
    }
    let mut best: Option<(f64, Key)> = None;
    appraise(host, now, search, cost, |key, _, cost| {
        if let Ok(cost) = cost
            && best.is_none_or(|(lowest, _)| cost < lowest)
        {
            best = Some((cost, key));
        }
    });
    let (_, key) = best?;
    let endpoint = host.directory.borrow().get(key).cloned()?;
    Some((key, endpoint))
}

/// Visits the ready endpoints of a service with their costs.
pub(crate) fn appraise<D, S>(
    host: &Host<D, S>,
    now: Instant,
    search: Search<'_>,
    cost: impl Fn(Key, &Endpoint, Option<Suspicion>) -> Result<f64>,
    mut visit: impl FnMut(Key, &Endpoint, Result<f64>),
) {
    let directory = host.directory.borrow();
    for (key, endpoint) in directory.ready(search.service) {
        let cost = suspicion(host, now, search, key, endpoint)
            .and_then(|suspicion| cost(key, endpoint, suspicion));
        visit(key, endpoint, cost);
    }
}

/// What an endpoint is suspected of, or why it is left out whatever it costs.
fn suspicion<D, S>(
    host: &Host<D, S>,
    now: Instant,
    search: Search<'_>,
    key: Key,
    endpoint: &Endpoint,
) -> Result<Option<Suspicion>> {
    let health = host.health.borrow();
    if !health.notices().admits(now, key) {
        return Err(Exclusion::Unwilling);
    }
    if !host.places.borrow().is_open(&endpoint.data_centre) {
        return Err(Exclusion::Evacuated);
    }
    if search.tried.contains(&key) {
        return Err(Exclusion::Tried);
    }
    if search.stage.is_some() && endpoint.stage != search.stage {
        return Err(Exclusion::OtherStage);
    }
    let orders = host.orders.borrow();
    let order = orders.pending(now, endpoint).map(|order| order.state);
    if order == Some(orders::State::Accepted) {
        return Err(Exclusion::Ordered);
    }
    let mut suspicion = health.suspicion(now, key, &Group::of(endpoint));
    if order.is_some() {
        // An order without an answer may be carried out at any moment.
        suspicion = suspicion.max(Some(Suspicion::Faulty));
    }
    Ok(suspicion)
}
