//! Permits of plain calls, and of questions for the rest of a stream, to endpoints that limit their requests. The
//! leader counts them for all hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::admission::{self, ANSWER_TIMEOUT};
use crate::directory::{Endpoint, Key};
use crate::http::Timeouts;
use crate::limits::{Limit, denial_time};
use crate::own;
use crate::state::{Host, now};

/// Path of permit queries between hosts.
pub(crate) const PATH: &str = "/v1/permit";
/// Largest accepted answer.
const MAX_ANSWER_BYTES: usize = 4 * 1_024;

/// Query for a permit at one of several endpoints.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct Query {
    /// Limits of the endpoints as the querying host knows them, the preferred endpoint first.
    limits: Vec<Limit>,
}

/// Answer to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum Answer {
    /// The endpoint takes one request.
    Granted(String),
    /// No endpoint takes a request for this time in milliseconds.
    Denied(u64),
}

/// Takes a permit at one of the endpoints, the preferred one first, from the leader.
///
/// # Errors
/// Fails with the time until one of them takes a request.
pub(crate) async fn take<D, S>(
    host: &Rc<Host<D, S>>,
    service: &str,
    endpoints: Vec<(Key, Endpoint)>,
) -> Result<(Key, Endpoint), Duration> {
    let limits = host.limits.borrow().describe(
        now(),
        endpoints.iter().map(|(_, endpoint)| endpoint.id.as_str()),
    );
    let query = Query { limits };
    let answer = match admission::leader(host) {
        None => decide(host, &query, host.limit_share()),
        Some(leader) => match query_leader(host, leader, &query).await {
            Ok(answer) => answer,
            Err(error) => {
                tracing::info!(%leader, %error, "permit: leader lost; this host's equal share of the limits is used");
                admission::cool_down(host, leader);
                decide(host, &query, host.equal_share())
            }
        },
    };
    match answer {
        Answer::Granted(id) => {
            let granted = endpoints
                .into_iter()
                .find(|(_, endpoint)| endpoint.id == id);
            granted.ok_or(Duration::ZERO)
        }
        Answer::Denied(wait_ms) => {
            let wait = Duration::from_millis(wait_ms);
            host.denials
                .borrow_mut()
                .insert(service.to_owned(), now() + wait);
            Err(wait)
        }
    }
}

async fn query_leader<D, S>(
    host: &Host<D, S>,
    leader: SocketAddr,
    query: &Query,
) -> eyre::Result<Answer> {
    let timeouts = Timeouts {
        connect: ANSWER_TIMEOUT,
        head: ANSWER_TIMEOUT,
        max_idle: Duration::MAX,
    };
    let (read, limit) = (ANSWER_TIMEOUT, MAX_ANSWER_BYTES);
    own::ask(&host.pool, leader, PATH, query, timeouts, read, limit).await
}

/// Answers the query of another host; `None` if it is malformed.
pub(crate) fn answer<D, S>(host: &Host<D, S>, body: &[u8]) -> Option<Bytes> {
    let query: Query = rmp_serde::from_slice(body).ok()?;
    for limit in &query.limits {
        host.limits.borrow_mut().apply(now(), limit);
    }
    let answer = decide(host, &query, host.limit_share());
    rmp_serde::to_vec(&answer).ok().map(Bytes::from)
}

fn decide<D, S>(host: &Host<D, S>, query: &Query, share: f64) -> Answer {
    let now = now();
    let mut limits = host.limits.borrow_mut();
    let mut shortest = Duration::MAX;
    let mut rate = 0.0;
    for limit in &query.limits {
        if is_wanted(host, &limit.endpoint) {
            shortest = shortest.min(limits.wait(now, &limit.endpoint, share));
        } else {
            match limits.take(now, &limit.endpoint, share) {
                Ok(()) => return Answer::Granted(limit.endpoint.clone()),
                Err(wait) => shortest = shortest.min(wait),
            }
        }
        rate += limits.rate(&limit.endpoint).unwrap_or_default();
    }
    let (hosts, _) = host.view.borrow().hosts(now);
    let wait = denial_time(shortest, hosts, rate * share);
    Answer::Denied(wait.as_millis() as u64)
}

/// Whether generations wait for an engine, which go before the questions for the rest of streams.
fn is_wanted<D, S>(host: &Host<D, S>, endpoint: &str) -> bool {
    let directory = host.directory.borrow();
    let engine = directory.find(endpoint);
    engine.is_some_and(|(_, engine)| {
        engine.stage.is_some() && admission::waits(host, &engine.service)
    })
}
