//! Decides at the arrival of a request whether this host takes it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;

use crate::call;
use crate::completion;
use crate::fleet::Kind;
use crate::platform::{Dialect, Store};
use crate::quota::Class;
use crate::refusal::{Reason, STOPPING_RETRY_AFTER};
use crate::request::{Call, Request};
use crate::state::{Host, jitter};
use crate::strikes::Fingerprint;

/// `Retry-After` of a host without a current configuration, which a starting host has by then.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Mean `Retry-After` of a host that reaches no endpoint; the caller returns on a new connection, which may
/// lead to another host.
const LINKS_LOST_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Mean `Retry-After` of a request all of whose endpoints are evacuated or outside of its homes. Evacuations last
/// for seconds or longer, and callers return after a third of their time at the latest.
const NO_PLACE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Id of the request, reason and time until a retry may succeed.
pub(crate) type Rejection = (String, Reason, Option<Duration>);

type Result<T> = std::result::Result<T, Rejection>;

/// Who sends a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Caller<'a> {
    /// The customer of the API key in its head.
    Key,
    /// The customer of this name, on the word of an operator.
    Customer(&'a str),
}

/// Accepts a request, and charges its customer for a plain call.
///
/// # Errors
/// Fails with the rejection of the request.
pub(crate) fn accept<D: Dialect, S: Store>(
    host: &Host<D, S>,
    request: Request,
    arrived: Instant,
) -> Result<Call> {
    let caller = Caller::Key;
    let call = examine(host, request, caller, arrived, jitter(1.0))?;
    // Generations are charged at admission.
    let charged = call.customer_name();
    if let Some(customer) = charged.filter(|_| call.route().kind != Kind::Streaming) {
        if host.options.features.competing_callers {
            let mut contention = host.contention.borrow_mut();
            contention.arrived(arrived, &call.service, &customer.to_owned());
        }
        charge(host, &call, customer, arrived)?;
    }
    host.budgets.borrow_mut().request(arrived, &call.service);
    Ok(call)
}

/// Charges the customer of a plain call.
///
/// # Errors
/// Fails with the rejection of the call.
fn charge<D, S>(host: &Host<D, S>, call: &Call, customer: &str, arrived: Instant) -> Result<()> {
    let Err(after) = host.charge(arrived, customer, call.tokens, Class::Plain) else {
        return Ok(());
    };
    let reject = |reason, after| (call.head.id.clone(), reason, Some(after));
    if host.is_introducing(arrived) {
        return Err(reject(Reason::Starting, STARTING_RETRY_AFTER));
    }
    tracing::info!(
        id = call.head.id,
        customer,
        tokens = call.tokens,
        wait_ms = after.as_millis() as u64,
        configuration = call.fleet.version,
        "quota: request rejected; the customer exceeds its quota"
    );
    Err(reject(Reason::OverQuota, call::jittered_after(after)))
}

/// Finds the route and the customer of a request without charging it; `draw`, uniform in 0..1, selects the service
/// of a route with several.
///
/// # Errors
/// Fails with the rejection of the request.
pub(crate) fn examine<D: Dialect, S: Store>(
    host: &Host<D, S>,
    request: Request,
    caller: Caller<'_>,
    arrived: Instant,
    draw: f64,
) -> Result<Call> {
    let head = D::head(&request.headers).map_err(|_| (String::new(), Reason::Unreadable, None))?;
    let reject = |reason, after| (head.id.clone(), reason, after);
    let Some(fleet) = host.fleet.borrow().clone() else {
        return Err(reject(Reason::NoConfiguration, Some(STARTING_RETRY_AFTER)));
    };
    if !host.is_fresh(arrived) {
        return Err(reject(
            Reason::StaleConfiguration,
            Some(STARTING_RETRY_AFTER),
        ));
    }
    let path = request.target.split('?').next().unwrap_or_default();
    let Some(route) = fleet.route(&request.host, path) else {
        return Err(reject(Reason::UnknownRoute, None));
    };
    let customer = match caller {
        Caller::Key => head
            .key
            .as_deref()
            .and_then(|key| fleet.keys.get(key).copied()),
        Caller::Customer(name) => fleet
            .customers
            .iter()
            .position(|customer| customer.name == name),
    };
    if customer.is_none() && !route.public && !fleet.customers.is_empty() {
        return Err(reject(Reason::UnknownKey, None));
    }
    let index = fleet
        .routes
        .iter()
        .position(|known| std::ptr::eq(known, route))
        .unwrap_or_default();
    let Some(service) = route.service(draw).map(str::to_owned) else {
        return Err(reject(Reason::NoEndpoint, None));
    };
    if host.pool.paths().is_cut_off() {
        let after = call::jittered(LINKS_LOST_RETRY_AFTER);
        return Err(reject(Reason::LinksLost, Some(after)));
    }
    let homes = customer.map_or(&[][..], |index| &fleet.customers[index].homes);
    if host.has_no_place(&service, [&route.homes, homes]) {
        let after = call::jittered(NO_PLACE_RETRY_AFTER);
        return Err(reject(Reason::NoPlace, Some(after)));
    }
    let timeout = route.timeout;
    let wait = head.deadline.unwrap_or(timeout);
    let deadline = arrived + wait.min(timeout);
    let longest_run = completion::longest_run_of(host, &head, route, &service, deadline);
    let accepts = host.shutdown.get().accepts(arrived, longest_run);
    if let Some(stopping) = host.shutdown.get().started_before(arrived) {
        tracing::info!(
            id = head.id,
            after_signal_ms = stopping.as_millis() as u64,
            longest_run_ms = longest_run.as_millis() as u64,
            accepts,
            "request: arrived at a stopping host"
        );
    }
    if !accepts {
        return Err(reject(
            Reason::Stopping,
            Some(call::jittered(STOPPING_RETRY_AFTER)),
        ));
    }
    let name = customer.map(|index| fleet.customers[index].name.as_str());
    let fingerprint = Fingerprint::of(name, &request.target, &request.body);
    if host.strikes.borrow().is_refused(arrived, fingerprint) {
        return Err(reject(Reason::CrashesEndpoints, None));
    }
    let stated = head
        .tokens
        .map(|tokens| u64::from(tokens.prompt) + u64::from(tokens.output));
    let tokens = customer.map_or(0, |index| {
        stated.unwrap_or(fleet.customers[index].plain_tokens)
    });
    Ok(Call {
        request,
        head,
        fleet: Rc::clone(&fleet),
        route: index,
        service,
        customer,
        tokens,
        fingerprint,
        arrived,
        caller_deadline: arrived + wait,
        route_deadline: arrived + timeout,
        may_have_run: Cell::new(false),
    })
}
