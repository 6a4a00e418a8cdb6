//! Claims of idempotency keys for calls that must run at most once.

use std::collections::HashMap;
use std::time::Duration;

use actix::{Context, Handler, Message, ResponseFuture};
use berylknot_coordination::claim::{Action, Answer, Claimant, Event, Outcome, Verdict};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::record::{Id, Incarnation, Record};
use berylknot_wire::local::{ClaimKey, Refused, Response};
use tokio::sync::oneshot;

use super::Core;
use crate::platform::Platform;

/// Time between two looks for claims that are too old.
pub(super) const INTERVAL: Duration = Duration::from_millis(250);

/// Open claims of a host.
const OPEN_LIMIT: usize = 4_096;

/// Time without a successful read after which claims are refused at once.
const LOG_SILENCE: Duration = Duration::from_secs(3);

/// Milliseconds after which a caller may try again when the log does not take claims.
const RETRY_AFTER_MS: Option<u64> = Some(2_000);

/// Time that a finished call has to be reported beyond its own deadline.
const REPORT_MARGIN: Duration = Duration::from_secs(5);

/// Claims of this host.
#[derive(Debug)]
pub(super) struct Claims {
    claimant: Claimant,
    waiting: HashMap<u64, Waiting>,
    /// Calls that may have been sent, with the time by which their end must be reported.
    sent: HashMap<u64, Instant>,
}

#[derive(Debug)]
struct Waiting {
    reply: oneshot::Sender<Response>,
    timeout: Duration,
}

impl Claims {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        let claimant = Claimant::new(incarnation, OPEN_LIMIT);
        Self {
            claimant,
            waiting: HashMap::new(),
            sent: HashMap::new(),
        }
    }
}

/// Claims a key.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "Response")]
pub(crate) struct Claim(pub(crate) ClaimKey);

impl<P: Platform> Handler<Claim> for Core<P> {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, Claim(claim): Claim, _: &mut Self::Context) -> Self::Result {
        let (reply, receiver) = oneshot::channel();
        self.claim(claim, reply);
        Box::pin(async move { receiver.await.unwrap_or_else(|_| refuse("claim_lost")) })
    }
}

/// Reports the end of a call that ran under a claim.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Finish {
    pub(crate) id: Id,
    pub(crate) outcome: Option<Outcome>,
}

impl<P: Platform> Handler<Finish> for Core<P> {
    type Result = ();

    fn handle(&mut self, Finish { id, outcome }: Finish, _: &mut Self::Context) {
        self.claims.sent.remove(&id.sequence);
        let actions = self.claims.claimant.finish(self.clock.now(), id, outcome);
        self.act_on_claims(actions);
    }
}

/// Reports that a permitted call was not sent.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Abandon(pub(crate) Id);

impl<P: Platform> Handler<Abandon> for Core<P> {
    type Result = ();

    fn handle(&mut self, Abandon(id): Abandon, _: &mut Self::Context) {
        self.claims.sent.remove(&id.sequence);
        let actions = self.claims.claimant.not_sent(self.clock.now(), id);
        self.act_on_claims(actions);
    }
}

fn refuse(code: &str) -> Response {
    Response::Refused(Refused {
        code: code.to_owned(),
        retry_after_ms: RETRY_AFTER_MS,
    })
}

impl<P: Platform> Core<P> {
    fn claim(&mut self, claim: ClaimKey, reply: oneshot::Sender<Response>) {
        let now = self.clock.now();
        let ClaimKey {
            key,
            fingerprint,
            timeout_ms,
        } = claim;
        let holder = &self.holder;
        let dead = |incarnation| holder.leases_expired(now, incarnation);
        match self.replica.claims().answer(&key, fingerprint, dead) {
            None | Some(Answer::NotRun) => {}
            Some(answer) => {
                let _ = reply.send(Response::KeyTaken(answer));
                return;
            }
        }
        if now.since(self.last_read) >= LOG_SILENCE {
            let _ = reply.send(refuse("log_unavailable"));
            return;
        }
        match self.claims.claimant.claim(now, key, fingerprint) {
            Ok(event) => {
                let timeout = Duration::from_millis(timeout_ms);
                self.claims
                    .waiting
                    .insert(event.id().sequence, Waiting { reply, timeout });
                self.submit(Record::Key(event));
            }
            Err(error) => {
                tracing::warn!(%error, "claims: claim is not taken");
                let _ = reply.send(refuse("too_many_claims"));
            }
        }
    }

    /// Takes what the log says about a claim.
    pub(super) fn claim_changed(&mut self, id: Id, verdict: &Verdict) {
        let actions = self.claims.claimant.observe(self.clock.now(), id, verdict);
        self.act_on_claims(actions);
    }

    /// Gives up claims that are too old and calls whose end was not reported.
    pub(super) fn step_claims(&mut self, _: &mut Context<Self>) {
        let now = self.clock.now();
        let mut unreported = Vec::new();
        self.claims.sent.retain(|sequence, deadline| {
            if now >= *deadline {
                unreported.push(*sequence);
            }
            now < *deadline
        });
        for sequence in unreported {
            let id = Id {
                incarnation: self.identity.incarnation,
                sequence,
            };
            let actions = self.claims.claimant.finish(now, id, None);
            self.act_on_claims(actions);
        }
        let actions = self.claims.claimant.poll(now);
        self.act_on_claims(actions);
    }

    fn act_on_claims(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(event) => self.append_event(event),
                Action::Send(id) => self.permit(id),
                Action::Taken(id, answer) => self.reply(id, Response::KeyTaken(answer)),
                Action::NotRun(id) => self.reply(id, refuse("log_unavailable")),
            }
        }
    }

    fn append_event(&mut self, event: Event) {
        self.submit(Record::Key(event));
    }

    fn reply(&mut self, id: Id, response: Response) {
        if let Some(waiting) = self.claims.waiting.remove(&id.sequence) {
            let _ = waiting.reply.send(response);
        }
    }

    /// Lets the gateway send the call, or abandons the claim when nobody waits for it any more.
    fn permit(&mut self, id: Id) {
        let now = self.clock.now();
        let Some(waiting) = self.claims.waiting.remove(&id.sequence) else {
            let actions = self.claims.claimant.abandon(now, id);
            self.act_on_claims(actions);
            return;
        };
        if waiting.reply.is_closed() {
            let actions = self.claims.claimant.abandon(now, id);
            self.act_on_claims(actions);
            return;
        }
        if !self.claims.claimant.begin_send(now, id) {
            let _ = waiting.reply.send(refuse("claim_expired"));
            return;
        }
        self.claims
            .sent
            .insert(id.sequence, now + waiting.timeout + REPORT_MARGIN);
        let _ = waiting.reply.send(Response::KeyWon { id });
    }
}
