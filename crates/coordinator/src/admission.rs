//! Actor that decides on the admission of model requests.

use std::collections::HashMap;

use actix::{Actor, Context, Handler, Message, Supervised};
use berylknot_settings::fleet::{Fleet, Kind};
use berylknot_wire::local::{Admit, Admitted, Refused, Response, Settle};
use tokio::sync::watch;

use crate::state::Configuration;

/// Time for which a permission to run is valid, in milliseconds.
const GRANT_LIFETIME_MS: u64 = 500;

/// Decides on admissions.
#[derive(Debug)]
pub(crate) struct Admission {
    configuration: watch::Receiver<Configuration>,
    running: HashMap<String, Admitted>,
    outstanding: HashMap<String, u32>,
}

impl Admission {
    /// Makes an actor that decides by the published configuration.
    pub(crate) fn new(configuration: watch::Receiver<Configuration>) -> Self {
        Self {
            configuration,
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
#[derive(Debug, Message)]
#[rtype(result = "Response")]
pub(crate) struct Ask(pub(crate) Admit);

impl Handler<Ask> for Admission {
    type Result = actix::MessageResult<Ask>;

    fn handle(&mut self, Ask(admit): Ask, _: &mut Self::Context) -> Self::Result {
        let fleet = self.configuration.borrow().fleet.clone();
        let prefill = self.least_outstanding(&fleet, Kind::Prefill, &admit);
        let decode = self.least_outstanding(&fleet, Kind::Decode, &admit);
        let (Some(prefill), Some(decode)) = (prefill, decode) else {
            let code = "no_capacity".to_owned();
            return actix::MessageResult(Response::Refused(Refused {
                code,
                retry_after_ms: Some(1_000),
            }));
        };
        for endpoint in [&prefill, &decode] {
            *self.outstanding.entry(endpoint.clone()).or_default() += 1;
        }
        let charged_tokens = u64::from(admit.prompt_tokens) + u64::from(admit.max_tokens);
        let admitted = Admitted {
            prefill,
            decode,
            charged_tokens,
            lifetime_ms: GRANT_LIFETIME_MS,
            priority: 0,
        };
        self.running.insert(admit.request, admitted.clone());
        actix::MessageResult(Response::Admitted(admitted))
    }
}

/// Reports the end of an admitted request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct End(pub(crate) Settle);

impl Handler<End> for Admission {
    type Result = ();

    fn handle(&mut self, End(settle): End, _: &mut Self::Context) {
        let Some(admitted) = self.running.remove(&settle.request) else {
            return;
        };
        for endpoint in [&admitted.prefill, &admitted.decode] {
            if let Some(outstanding) = self.outstanding.get_mut(endpoint) {
                *outstanding = outstanding.saturating_sub(1);
            }
        }
    }
}
