//! Actor that decides on the admission of model requests.

use std::collections::HashMap;

use actix::{
    Actor, ActorFutureExt, Addr, Context, Handler, Message, ResponseActFuture, Supervised,
    WrapFuture,
};
use berylknot_coordination::quota::{GRANT_LIFETIME, Grant, Hold};
use berylknot_settings::fleet::{Fleet, Kind};
use berylknot_wire::local::{self, Admit, Admitted, Refused, Response, Settle};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::core::{Core, quota};
use crate::platform::Http;
use crate::state::Configuration;

/// Requests whose end has not been reported, at most. A gateway has at most 10,000 open requests.
const RUNNING_LIMIT: usize = 20_000;

/// An admitted request.
#[derive(Debug)]
struct Running {
    customer: String,
    hold: Hold,
    charged: u64,
    prompt_tokens: u32,
    prefill: String,
    decode: String,
}

/// Decides on admissions.
#[derive(Debug)]
pub(crate) struct Admission {
    clock: Clock,
    configuration: watch::Receiver<Configuration>,
    core: Addr<Core<Http>>,
    running: HashMap<String, Running>,
    outstanding: HashMap<String, u32>,
}

impl Admission {
    /// Makes an actor that decides by the published configuration.
    pub(crate) fn new(
        clock: Clock,
        configuration: watch::Receiver<Configuration>,
        core: Addr<Core<Http>>,
    ) -> Self {
        Self {
            clock,
            configuration,
            core,
            running: HashMap::new(),
            outstanding: HashMap::new(),
        }
    }

    fn least_outstanding(&self, fleet: &Fleet, kind: Kind, admit: &Admit) -> Option<String> {
        let mut best: Option<(u32, &str)> = None;
        for (_, endpoint) in fleet.endpoints() {
            let suits = endpoint.kind == kind && endpoint.model == admit.model && !endpoint.leaving;
            if !suits || admit.avoid.contains(&endpoint.name) {
                continue;
            }
            let outstanding = self
                .outstanding
                .get(&endpoint.name)
                .copied()
                .unwrap_or_default();
            if outstanding < endpoint.slots && best.is_none_or(|(least, _)| outstanding < least) {
                best = Some((outstanding, &endpoint.name));
            }
        }
        best.map(|(_, name)| name.to_owned())
    }
}

impl Actor for Admission {
    type Context = Context<Self>;
}

impl Supervised for Admission {}

/// Asks for admission.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "Response")]
pub(crate) struct Ask(pub(crate) Admit);

impl Handler<Ask> for Admission {
    type Result = ResponseActFuture<Self, Response>;

    fn handle(&mut self, Ask(admit): Ask, _: &mut Self::Context) -> Self::Result {
        let tokens = u64::from(admit.prompt_tokens) + u64::from(admit.max_tokens);
        let ask = quota::Ask {
            customer: admit.customer.clone(),
            tokens,
        };
        let asked = self.core.send(ask).into_actor(self);
        Box::pin(asked.map(move |granted, actor, _| match granted {
            Ok(Ok(grant)) => actor.place(admit, grant, tokens),
            Ok(Err(denied)) => refuse_tokens(denied),
            Err(_) => refuse("coordinator_restarting", Some(1_000)),
        }))
    }
}

fn refuse(code: &str, retry_after_ms: Option<u64>) -> Response {
    Response::Refused(Refused {
        code: code.to_owned(),
        retry_after_ms,
    })
}

fn refuse_tokens(denied: quota::Denied) -> Response {
    match denied {
        quota::Denied::RateExceeded {
            retry_after_ms: None,
        } => refuse("request_too_large", None),
        quota::Denied::RateExceeded { retry_after_ms } => refuse("rate_exceeded", retry_after_ms),
        quota::Denied::Unavailable { retry_after_ms } => {
            refuse("quota_unavailable", Some(retry_after_ms))
        }
    }
}

impl Admission {
    /// Chooses endpoints for a request that has its tokens.
    fn place(&mut self, admit: Admit, grant: Grant, charged: u64) -> Response {
        let customer = admit.customer.clone();
        let hold = match grant.admit(self.clock.now()) {
            Ok(hold) => hold,
            Err(expired) => {
                self.give_back(customer, expired.hold(), charged);
                return refuse("grant_expired", Some(1_000));
            }
        };
        let fleet = self.configuration.borrow().fleet.clone();
        let prefill = self.least_outstanding(&fleet, Kind::Prefill, &admit);
        let decode = self.least_outstanding(&fleet, Kind::Decode, &admit);
        let (Some(prefill), Some(decode)) = (prefill, decode) else {
            self.give_back(customer, hold, charged);
            return refuse("no_capacity", Some(1_000));
        };
        if self.running.len() >= RUNNING_LIMIT {
            self.give_back(customer, hold, charged);
            return refuse("too_many_requests", Some(1_000));
        }
        for endpoint in [&prefill, &decode] {
            *self.outstanding.entry(endpoint.clone()).or_default() += 1;
        }
        let admitted = Admitted {
            prefill: prefill.clone(),
            decode: decode.clone(),
            charged_tokens: charged,
            lifetime_ms: u64::try_from(GRANT_LIFETIME.as_millis()).unwrap_or(u64::MAX),
            priority: 0,
        };
        let prompt_tokens = admit.prompt_tokens;
        let running = Running {
            customer,
            hold,
            charged,
            prompt_tokens,
            prefill,
            decode,
        };
        self.running.insert(admit.request, running);
        Response::Admitted(admitted)
    }

    fn give_back(&self, customer: String, hold: Hold, charged: u64) {
        self.core.do_send(quota::Settle {
            customer,
            hold,
            charged,
            used: 0,
        });
    }
}

/// Reports the exact prompt size of an admitted request.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Prefilled(pub(crate) local::Prefilled);

impl Handler<Prefilled> for Admission {
    type Result = ();

    fn handle(&mut self, Prefilled(prefilled): Prefilled, _: &mut Self::Context) {
        if let Some(running) = self.running.get_mut(&prefilled.request) {
            running.prompt_tokens = prefilled.prompt_tokens;
        }
    }
}

/// Reports the end of an admitted request.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct End(pub(crate) Settle);

impl Handler<End> for Admission {
    type Result = ();

    fn handle(&mut self, End(settle): End, _: &mut Self::Context) {
        let Some(running) = self.running.remove(&settle.request) else {
            return;
        };
        for endpoint in [&running.prefill, &running.decode] {
            if let Some(outstanding) = self.outstanding.get_mut(endpoint) {
                *outstanding = outstanding.saturating_sub(1);
            }
        }
        let Running {
            customer,
            hold,
            charged,
            prompt_tokens,
            ..
        } = running;
        let used = match settle.end {
            local::End::NotRun => 0,
            _ => u64::from(prompt_tokens) + u64::from(settle.completion_tokens),
        };
        self.core.do_send(quota::Settle {
            customer,
            hold,
            charged,
            used,
        });
    }
}
