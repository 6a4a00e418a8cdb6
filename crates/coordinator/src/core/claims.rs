//! Claims of idempotency keys, for calls that must run at most once.

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

/// Interval at which expired claims and calls are closed.
pub(super) const INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of open claims of a host.
const MAX_OPEN_CLAIMS: usize = 4_096;

/// Staleness of the log, as age of the last successful read, from which claims are refused at once.
const MAX_LOG_STALENESS: Duration = Duration::from_secs(3);

/// Retry-after in milliseconds of refused claims.
const RETRY_AFTER_MS: Option<u64> = Some(2_000);

/// Grace period after a call's timeout within which the gateway must report its end.
const REPORT_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Claims of this host and the gateways' calls that depend on them.
#[derive(Debug)]
pub(super) struct Claims {
    claimant: Claimant,
    /// Gateways that wait for the verdict on a claim, by the claim's sequence number.
    waiting: HashMap<u64, Waiting>,
    /// Report deadlines of permitted calls, by the claim's sequence number.
    sent: HashMap<u64, Instant>,
}

#[derive(Debug)]
struct Waiting {
    reply: oneshot::Sender<Response>,
    timeout: Duration,
}

impl Claims {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        let claimant = Claimant::new(incarnation, MAX_OPEN_CLAIMS);
        Self {
            claimant,
            waiting: HashMap::new(),
            sent: HashMap::new(),
        }
    }
}

/// Claims an idempotency key; answered once the claim is decided.
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

/// Reports the end of a call that was sent under a claim; without an outcome it may have run.
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
        self.execute_claim_actions(actions);
    }
}

/// Reports that a permitted call was not sent, so that its key can be claimed again.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Abandon(pub(crate) Id);

impl<P: Platform> Handler<Abandon> for Core<P> {
    type Result = ();

    fn handle(&mut self, Abandon(id): Abandon, _: &mut Self::Context) {
        self.claims.sent.remove(&id.sequence);
        let actions = self.claims.claimant.not_sent(self.clock.now(), id);
        self.execute_claim_actions(actions);
    }
}

fn refuse(code: &str) -> Response {
    Response::Refused(Refused {
        code: code.to_owned(),
        retry_after_ms: RETRY_AFTER_MS,
    })
}

impl<P: Platform> Core<P> {
    /// Answers from the replica if the key is taken, else appends a claim to the log.
    fn claim(&mut self, claim: ClaimKey, reply: oneshot::Sender<Response>) {
        let now = self.clock.now();
        let ClaimKey {
            key,
            fingerprint,
            timeout_ms,
        } = claim;
        let holder = &self.holder;
        let is_expired = |incarnation| holder.leases_expired(now, incarnation);
        match self.replica.claims().answer(&key, fingerprint, is_expired) {
            None | Some(Answer::NotRun) => {}
            Some(answer) => {
                let _ = reply.send(Response::KeyTaken(answer));
                return;
            }
        }
        if now.since(self.last_read) >= MAX_LOG_STALENESS {
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
                tracing::warn!(%error, "claims: claim was refused");
                let _ = reply.send(refuse("too_many_claims"));
            }
        }
    }

    /// Applies the verdict of the log on a claim.
    pub(super) fn observe_verdict(&mut self, id: Id, verdict: &Verdict) {
        let actions = self.claims.claimant.observe(self.clock.now(), id, verdict);
        self.execute_claim_actions(actions);
    }

    /// Abandons expired claims, and finishes calls past their report deadline without an outcome.
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
            self.execute_claim_actions(actions);
        }
        let actions = self.claims.claimant.poll(now);
        self.execute_claim_actions(actions);
    }

    fn execute_claim_actions(&mut self, actions: Vec<Action>) {
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

    /// Permits the gateway to send the call, or abandons the claim if the gateway no longer waits.
    fn permit(&mut self, id: Id) {
        let now = self.clock.now();
        let Some(waiting) = self.claims.waiting.remove(&id.sequence) else {
            let actions = self.claims.claimant.abandon(now, id);
            self.execute_claim_actions(actions);
            return;
        };
        if waiting.reply.is_closed() {
            let actions = self.claims.claimant.abandon(now, id);
            self.execute_claim_actions(actions);
            return;
        }
        if !self.claims.claimant.begin_send(now, id) {
            let _ = waiting.reply.send(refuse("claim_expired"));
            return;
        }
        self.claims
            .sent
            .insert(id.sequence, now + waiting.timeout + REPORT_GRACE_PERIOD);
        let _ = waiting.reply.send(Response::KeyWon { id });
    }
}
