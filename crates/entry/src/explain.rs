//! Explains where a request would go now, and why, without sending it. Runs the code that decides, and leaves out
//! what it charges, reserves and sends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::share::Tag;
use berylknot_wire::explanation::{
    Accepted, Candidate, Explanation, Outcome, PATH, Placement, Question,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::admission::{self, ANSWER_TIMEOUT, Line, Query, Supplement, Verdict};
use crate::arrival::{self, Caller};
use crate::assignment::{DecodeCosts, PrefillCosts, Reading, held, holder};
use crate::call::{Costs, RETRY_AFTER};
use crate::choice::{self, Search};
use crate::completion::{self, Tried};
use crate::directory::{Endpoint, Key, Stage};
use crate::fleet::Kind;
use crate::http::Timeouts;
use crate::overload::{Prospect, fair_share};
use crate::own;
use crate::peer;
use crate::platform::{Dialect, Store};
use crate::quota::Class;
use crate::refusal::Reason;
use crate::request::{Call, Request};
use crate::state::{Host, now};
use crate::versions::Constraint;
use crate::waiting::Waiter;

/// Largest answer of the leader: some hundred bytes for each engine.
const MAX_ANSWER_BYTES: usize = 1_024 * 1_024;

/// Why a question cannot be answered.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    /// The question is malformed.
    #[error("malformed question: {0}")]
    Question(String),
    /// The leader, which decides on generations, does not explain.
    #[error("the leader {leader} does not explain: {error}")]
    Leader {
        leader: SocketAddr,
        error: eyre::Report,
    },
    /// The answer cannot be encoded.
    #[error("the explanation cannot be encoded: {0}")]
    Encoding(#[from] serde_json::Error),
}

/// Result of an explanation.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Stands in for the random part of costs, the same for all endpoints.
fn middle() -> f64 {
    0.5
}

/// Answers the question of an operator, both as JSON.
///
/// # Errors
/// Fails when the question is malformed, or when the leader does not answer.
pub(crate) async fn answer<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    body: &[u8],
) -> Result<Bytes> {
    let question: Question =
        serde_json::from_slice(body).map_err(|error| Error::Question(error.to_string()))?;
    let explanation = explain(host, &question).await?;
    Ok(Bytes::from(serde_json::to_vec(&explanation)?))
}

async fn explain<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    question: &Question,
) -> Result<Explanation> {
    let request = request(question)?;
    let caller = question.customer.as_deref();
    let caller = caller.map_or(Caller::Key, Caller::Customer);
    let configuration = host.fleet.borrow().as_ref().map(|fleet| fleet.version);
    let examined = arrival::examine(host, request, caller, now(), middle());
    let (request, placement) = match examined {
        Err((_, reason, after)) => (None, refused(host, reason, after, Vec::new())),
        Ok(call) => {
            let placement = match call.route().kind {
                Kind::Streaming => generation(host, &call).await?,
                Kind::Idempotent | Kind::NonIdempotent => plain(host, &call),
            };
            (Some(accepted(&call)), placement)
        }
    };
    Ok(Explanation {
        host: host.options.host.clone(),
        configuration,
        request,
        placement,
    })
}

fn request(question: &Question) -> Result<Request> {
    let mut headers = HeaderMap::new();
    for (name, value) in &question.headers {
        let name: HeaderName = name
            .parse()
            .map_err(|_| Error::Question(format!("{name:?} is no name of a header")))?;
        let value = HeaderValue::from_str(value)
            .map_err(|_| Error::Question(format!("value of the header {name}")))?;
        headers.append(name, value);
    }
    Ok(Request {
        method: Method::POST,
        target: question.path.clone(),
        host: question.host.clone(),
        headers,
        body: Bytes::new(),
    })
}

fn accepted(call: &Call) -> Accepted {
    let route = call.route();
    Accepted {
        route: route.name.clone(),
        kind: route.kind.name().to_owned(),
        service: call.service.clone(),
        services: route.services.clone(),
        customer: call.customer_name().map(str::to_owned),
        tokens: call.tokens,
        priority: call.priority(),
        deadline_ms: millis(call.deadline().since(call.arrived)),
    }
}

/// Where a call to a plain service would go.
fn plain<D: Dialect, S: Store>(host: &Host<D, S>, call: &Call) -> Placement {
    let now = now();
    peer::refresh_peer_load(host);
    let costs = Costs::new(host, call, true, middle);
    let search = Search {
        service: &call.service,
        stage: None,
        tried: &[],
    };
    let cost = |key, endpoint: &Endpoint, suspicion| costs.of(key, endpoint, suspicion);
    let mut endpoints = Vec::new();
    choice::appraise(host, now, search, cost, |key, endpoint, cost| {
        let mut candidate = candidate(host, now, key, endpoint, cost);
        candidate.end_ms = costs.end(key).map(millis);
        endpoints.push(candidate);
    });
    sort(&mut endpoints);
    let customer = call.customer_name();
    let quota = customer.map(|customer| {
        let mut quotas = host.quotas.borrow_mut();
        quotas.check(now, customer, call.tokens, Class::Plain)
    });
    if let Some(Err(wait)) = quota {
        return refused(host, Reason::OverQuota, Some(wait), endpoints);
    }
    let prospect = Prospect::new(host, call);
    let admitted_share = prospect.map_or(1.0, |prospect| prospect.admitted_share());
    let admitted_share = admitted_share * fair_share(host, call);
    if let Some(prospect) = prospect.filter(|_| admitted_share <= 0.0) {
        let after = prospect.retry_after();
        return refused(host, Reason::Overloaded, Some(after), endpoints);
    }
    let best = endpoints.first().filter(|best| best.cost.is_some());
    let Some(best) = best.filter(|_| !host.is_directory_expired(now)) else {
        let (reason, after) = match host.pause_left(&call.service) {
            Some(pause) => (Reason::EndpointsLimited, RETRY_AFTER.max(pause)),
            None => (Reason::NoEndpoint, RETRY_AFTER),
        };
        return refused(host, reason, Some(after), endpoints);
    };
    let outcome = Outcome::Sent {
        endpoint: best.id.clone(),
        prefill: None,
        admitted_share,
        needs_permit: best.limit_per_s.is_some(),
    };
    placement(host, outcome, endpoints)
}

/// Where a generation would go: asks the leader, or decides if this host is the leader.
async fn generation<D: Dialect, S: Store>(host: &Rc<Host<D, S>>, call: &Call) -> Result<Placement> {
    let demand = completion::first_demand(host, call);
    let query = completion::query(host, call, demand, &Tried::default(), now());
    let supplement = completion::supplement(host, call, demand);
    let Some(leader) = admission::leader(host) else {
        return Ok(decide(host, &query, &supplement).await);
    };
    let timeouts = Timeouts {
        connect: ANSWER_TIMEOUT,
        head: ANSWER_TIMEOUT * 4,
        max_idle: Duration::MAX,
    };
    let asked = async {
        let body = admission::encode(&query, &supplement)?;
        let (read, limit) = (ANSWER_TIMEOUT * 2, MAX_ANSWER_BYTES);
        own::ask_with(&host.pool, leader, PATH, body, timeouts, read, limit).await
    };
    asked.await.map_err(|error| Error::Leader { leader, error })
}

/// Answers the question of another host about a generation; `None` if it is malformed.
pub(crate) async fn answer_host<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    body: &[u8],
) -> Option<Bytes> {
    let (query, supplement) = admission::decode(body)?;
    let placement = decide(host, &query, &supplement).await;
    rmp_serde::to_vec(&placement).ok().map(Bytes::from)
}

/// What the leader would decide on a generation.
async fn decide<D: Dialect, S: Store>(
    host: &Rc<Host<D, S>>,
    query: &Query,
    supplement: &Supplement,
) -> Placement {
    let now = now();
    let refuse = |verdict: &Verdict, endpoints| {
        let (reason, after) = verdict.refusal();
        refused(host, reason, after, endpoints)
    };
    let version = match admission::version(host, query).await {
        Ok(version) => version,
        Err(verdict) => return refuse(&verdict, Vec::new()),
    };
    let line = Line::new(query.service.clone(), version);
    let prompt = admission::prompt(query, supplement);
    let tried = admission::keys(host, query.tried.iter().chain(&query.barred));
    peer::refresh_peer_load(host);
    let preferred = holder(host, now, query, &prompt);
    let costs = DecodeCosts::new(host, &line, query.run, preferred, f64::INFINITY, middle);
    let Some(costs) = costs else {
        return refused(host, Reason::NoEndpoint, None, Vec::new());
    };
    let search = Search {
        service: &query.service,
        stage: Some(Stage::Decode),
        tried: &tried,
    };
    let cost = |key, endpoint: &Endpoint, suspicion| costs.of(key, endpoint, suspicion);
    let mut decode = Vec::new();
    let mut best: Option<(f64, Key, Endpoint)> = None;
    choice::appraise(host, now, search, cost, |key, endpoint, cost| {
        if let Ok(cost) = cost
            && best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest)
        {
            best = Some((cost, key, endpoint.clone()));
        }
        if endpoint.stage == Some(Stage::Decode) {
            let mut candidate = candidate(host, now, key, endpoint, cost);
            candidate.held_tokens = held(host, now, key, &prompt);
            decode.push(candidate);
        }
    });
    sort(&mut decode);
    if let Some(part) = host.suspects.borrow().refused(&query.prompt) {
        return refuse(&Verdict::Crashes { part }, decode);
    }
    if let Err(wait) = check_quota(host, query, now) {
        let wait_ms = millis(wait);
        return refuse(&Verdict::OverQuota { wait_ms }, decode);
    }
    let is_waiting = admission::is_waiting(host, &line);
    let Some((_, key, endpoint)) = best.filter(|_| !is_waiting) else {
        return match queue(host, query, &line, now) {
            Ok(outcome) => placement(host, outcome, decode),
            Err(verdict) => refuse(&verdict, decode),
        };
    };
    let reading = Reading {
        service: &query.service,
        tokens: query.run.held,
        prompt: &prompt,
        decode_key: key,
        decode: &endpoint,
    };
    let barred = admission::keys(host, query.barred.iter());
    let prefill = prefill_engines(host, now, reading, &barred);
    let first = prefill.first().filter(|best| best.cost.is_some());
    let outcome = Outcome::Sent {
        endpoint: endpoint.id.clone(),
        prefill: first.map(|best| best.id.clone()),
        admitted_share: 1.0,
        needs_permit: false,
    };
    decode.extend(prefill);
    placement(host, outcome, decode)
}

/// Prefill engines by their cost; empty where the decode engine needs none.
fn prefill_engines<D, S>(
    host: &Host<D, S>,
    now: Instant,
    reading: Reading<'_>,
    barred: &[Key],
) -> Vec<Candidate> {
    let Some(costs) = PrefillCosts::new(host, reading, middle) else {
        return Vec::new();
    };
    let search = Search {
        service: reading.service,
        stage: Some(Stage::Prefill),
        tried: barred,
    };
    let cost = |key, endpoint: &Endpoint, suspicion| costs.of(key, endpoint, suspicion);
    let mut engines = Vec::new();
    choice::appraise(host, now, search, cost, |key, endpoint, cost| {
        if endpoint.stage != Some(Stage::Prefill) {
            return;
        }
        let mut candidate = candidate(host, now, key, endpoint, cost);
        candidate.held_tokens = held(host, now, key, reading.prompt);
        engines.push(candidate);
    });
    sort(&mut engines);
    engines
}

/// Time until the customer of a generation may have its tokens.
fn check_quota<D, S>(host: &Host<D, S>, query: &Query, now: Instant) -> crate::quota::Result<()> {
    let Some(customer) = query.customer.as_deref().filter(|_| query.tokens > 0) else {
        return Ok(());
    };
    let class = match query.constraint {
        Constraint::None => Class::Generation,
        Constraint::Version(_) | Constraint::TakenUp(_) => Class::Resumption,
    };
    host.count_hosts(now);
    let mut quotas = host.quotas.borrow_mut();
    quotas.check(now, customer, query.tokens, class)
}

/// The place of a generation in the queue.
fn queue<D, S>(
    host: &Host<D, S>,
    query: &Query,
    line: &Line,
    now: Instant,
) -> std::result::Result<Outcome, Verdict> {
    let waitlists = host.waitlists.borrow();
    let Some(waitlist) = waitlists.get(line) else {
        return Ok(Outcome::Queued {
            ahead: 0,
            expected_wait_ms: 0,
        });
    };
    let shares = host.options.features.competing_callers;
    let customer = query.customer.as_ref().filter(|_| shares);
    let turn = customer.map_or_else(Tag::default, |customer| waitlist.shares().next(customer));
    let waiter = Waiter {
        turn,
        ..admission::waiter(query, now)
    };
    let queue = waitlist.queue();
    queue.check(now, &waiter)?;
    Ok(Outcome::Queued {
        ahead: queue.ahead(now, &waiter),
        expected_wait_ms: millis(queue.expected_wait(now, &waiter)),
    })
}

fn placement<D, S>(host: &Host<D, S>, outcome: Outcome, endpoints: Vec<Candidate>) -> Placement {
    Placement {
        decided_by: host.options.host.clone(),
        outcome,
        endpoints,
    }
}

fn refused<D, S>(
    host: &Host<D, S>,
    reason: Reason,
    after: Option<Duration>,
    endpoints: Vec<Candidate>,
) -> Placement {
    let outcome = Outcome::Refused {
        status: reason.status().as_u16(),
        reason: reason.code().to_owned(),
        retry_after_ms: after.map(millis),
    };
    placement(host, outcome, endpoints)
}

fn candidate<D, S>(
    host: &Host<D, S>,
    now: Instant,
    key: Key,
    endpoint: &Endpoint,
    cost: choice::Result<f64>,
) -> Candidate {
    let stage = endpoint.stage.map(|stage| match stage {
        Stage::Prefill => "prefill",
        Stage::Decode => "decode",
    });
    let limits = host.limits.borrow();
    Candidate {
        id: endpoint.id.clone(),
        data_centre: endpoint.data_centre.clone(),
        stage: stage.map(str::to_owned),
        cost: cost.ok(),
        excluded: cost.err().map(|reason| reason.name().to_owned()),
        requests: host.ledger.borrow().requests(key),
        pace: host.forecast.borrow().pace(now, key),
        end_ms: None,
        limit_per_s: limits.rate(&endpoint.id),
        is_cold: limits.is_cold(now, &endpoint.id),
        held_tokens: 0,
    }
}

/// Sorts by cost; endpoints that are left out come last.
fn sort(candidates: &mut [Candidate]) {
    let cost = |candidate: &Candidate| candidate.cost.unwrap_or(f64::INFINITY);
    candidates.sort_by(|one, other| {
        let by_cost = cost(one).total_cmp(&cost(other));
        by_cost.then_with(|| one.id.cmp(&other.id))
    });
}

const fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
