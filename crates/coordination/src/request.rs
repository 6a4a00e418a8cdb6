//! State machine of one request at the gateway: attempts, cancels, the caller's answer and the
//! token settlement.

mod id;
mod leg;

use std::time::Duration;

use crate::clock::Instant;

pub use id::{Error, Id};
use leg::{Leg, Ran};

/// Index of an endpoint in the gateway's endpoint table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint(pub u32);

/// Number of a submission (one request sent to one endpoint) within its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Submission(u16);

/// Type of work that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Prefill at one engine, decode at another; idempotent.
    Model,
    /// One call to a plain service.
    Call {
        /// Whether a retry is safe after bytes of the call were sent.
        idempotent: bool,
    },
}

/// Work that an endpoint does for a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Computes the KV cache of a prompt.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Answers a plain call.
    Call,
}

/// Stage in the life cycle of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for the coordinator to place the first attempt or a retry.
    Queued,
    /// Placed; no byte of this attempt was sent.
    Admitted,
    /// The prefill may have reached its engine.
    PrefillSent,
    /// The KV cache is ready; no byte was sent to the decode engine.
    Prefilled,
    /// The decode may have reached its engine.
    DecodeSent,
    /// A plain call may have reached its endpoint.
    CallSent,
    /// The answer is being forwarded.
    Streaming,
    /// The caller was answered or is gone. Cancels may still be in flight.
    Ended,
}

/// Retry limits and timeouts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of attempts, including the first.
    pub max_attempts: u16,
    /// Upper bound on the network delay of a submission; after it the submission has arrived or is
    /// lost.
    pub delivery_timeout: Duration,
    /// Initial backoff before a cancel is repeated; doubles with each repetition.
    pub cancel_backoff: Duration,
    /// Upper bound of the cancel backoff.
    pub cancel_backoff_max: Duration,
    /// Timeout for the coordinator's answer to a placement that is pending when the request ends;
    /// the request is then settled without a charge.
    pub withdraw_timeout: Duration,
    /// Age up to which a retry of the decode reuses the prefill's KV cache.
    pub kv_lifetime: Duration,
}

impl Default for Limits {
    /// Engines keep a KV cache for less than one second, so it is reused for 0.8 s at most. The
    /// delivery timeout of 10 s is twice the endpoint's idle limit.
    fn default() -> Self {
        Self {
            max_attempts: 3,
            delivery_timeout: Duration::from_secs(10),
            cancel_backoff: Duration::from_millis(100),
            cancel_backoff_max: Duration::from_secs(2),
            withdraw_timeout: Duration::from_secs(2),
            kv_lifetime: Duration::from_millis(800),
        }
    }
}

impl Limits {
    /// Upper bound on the time an engine holds memory for an ended request, provided that messages
    /// arrive within `delay` and [`Tracker::tick`] is called at its deadlines.
    ///
    /// A submission in flight at the end arrives within `delivery_timeout`; the next cancel is sent
    /// at most one backoff later and takes one `delay`.
    #[must_use]
    pub fn release_bound(&self, delay: Duration) -> Duration {
        self.delivery_timeout + self.cancel_backoff_max + delay
    }
}

/// Tokens charged at admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    /// Estimated prompt tokens, or the cost of a plain call.
    pub prompt: u64,
    /// Maximum number of generated tokens.
    pub output: u64,
}

/// Input to [`Tracker::event`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The coordinator placed the request or its retry.
    Placed {
        /// Tokens charged; counted for the first placement only.
        charge: Charge,
        /// Prefill engine, or the endpoint of a plain call.
        first: Endpoint,
        /// Decode engine; ignored for a plain call.
        decode: Endpoint,
    },
    /// The coordinator found another decode engine; the existing prefill is reused.
    DecodePlaced {
        /// Decode engine.
        decode: Endpoint,
    },
    /// The coordinator refused a placement or was unreachable.
    PlacementFailed,
    /// A submission failed, or its connection or endpoint did.
    Failed {
        /// The submission that failed.
        submission: Submission,
        /// Whether any byte of it may have left the gateway.
        sent: bool,
        /// Whether the retry budget allows another attempt.
        retry_allowed: bool,
    },
    /// A model engine refused a submission because it is full, and allocated nothing for it.
    Full {
        /// The refused submission.
        submission: Submission,
        /// Whether the retry budget allows another attempt.
        retry_allowed: bool,
    },
    /// A prefill completed.
    Prefilled {
        /// The prefill's submission.
        submission: Submission,
        /// Prompt tokens counted by the engine.
        prompt: u64,
    },
    /// The first part of a decode's or plain call's answer arrived.
    Started {
        /// The submission that is being answered.
        submission: Submission,
    },
    /// The whole answer was forwarded.
    Finished {
        /// The submission that answered.
        submission: Submission,
    },
    /// The caller disconnected.
    CallerGone,
    /// The caller's API key was revoked.
    KeyWithdrawn,
    /// The request's deadline passed.
    DeadlinePassed,
    /// The gateway's shutdown deadline passed.
    ShutdownDeadline,
    /// An endpoint acknowledged a cancel.
    CancelAnswered {
        /// The submission that the cancel named.
        submission: Submission,
        /// Whether the endpoint held the request (and released it).
        known: bool,
        /// Time at which that cancel was sent.
        asked_at: Instant,
    },
    /// An endpoint's list of running requests does not contain this request.
    Unlisted {
        /// Endpoint that sent the list.
        endpoint: Endpoint,
        /// Time at which the list was requested.
        asked_at: Instant,
    },
    /// An endpoint's process exited; its memory and connections are gone.
    EndpointExited {
        /// Endpoint whose process exited.
        endpoint: Endpoint,
        /// Whether the retry budget allows another attempt.
        retry_allowed: bool,
    },
}

/// Output of [`Tracker`], to be carried out by the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the coordinator for a placement that avoids [`Tracker::avoid`].
    Place {
        /// Whether the prefill is reused, so that only a decode engine is needed.
        keep_prefill: bool,
    },
    /// Withdraw the pending placement at the coordinator.
    Withdraw,
    /// Queue a submission; call [`Tracker::send`] just before its first byte.
    Submit {
        /// The submission to queue.
        submission: Submission,
        /// Endpoint to send it to.
        endpoint: Endpoint,
        /// Work requested.
        role: Role,
    },
    /// Close the submission's connection and send a cancel on another one.
    Cancel {
        /// The submission to cancel.
        submission: Submission,
        /// Endpoint to send the cancel to.
        endpoint: Endpoint,
    },
    /// Close the connection of a plain call.
    Close {
        /// The call's submission.
        submission: Submission,
    },
    /// Answer the caller, or only record the end if the caller is gone.
    Answer {
        /// How the request ended.
        end: End,
        /// What the caller learns about execution.
        outcome: Outcome,
    },
    /// Report the token settlement.
    Settle(Settlement),
    /// Drop the tracker: no endpoint holds anything for the request.
    Forget,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer was forwarded.
    Complete,
    /// The coordinator did not place the request, and no endpoint ran it.
    Refused,
    /// An attempt failed and no further retry was allowed.
    Failed,
    /// The caller disconnected.
    CallerGone,
    /// The caller's API key was revoked.
    KeyWithdrawn,
    /// The request's deadline passed.
    Deadline,
    /// The gateway's shutdown deadline passed.
    Shutdown,
}

/// What the caller is told about execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An endpoint started the request.
    Run,
    /// No endpoint started the request or will start it.
    NotRun,
    /// Bytes may have reached an endpoint that has not answered.
    MayHaveRun,
}

/// Token settlement of an ended request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settlement {
    /// Tokens charged at admission.
    pub charged: u64,
    /// Tokens used; above `charged` when the prompt was longer than estimated.
    pub used: u64,
}

impl Settlement {
    /// Tokens to refund to the customer's token bucket; zero if more were used than charged.
    #[must_use]
    pub const fn returned(&self) -> u64 {
        self.charged.saturating_sub(self.used)
    }

    /// Tokens used beyond the charge, to be deducted from the next refill.
    #[must_use]
    pub const fn debt(&self) -> u64 {
        self.used.saturating_sub(self.charged)
    }
}

/// State machine of one request at the gateway that accepted it.
#[derive(Clone, Debug)]
pub struct Tracker {
    kind: Kind,
    limits: Limits,
    stage: Stage,
    attempts: u16,
    legs: Vec<Leg>,
    prefill: Option<Submission>,
    current: Option<Submission>,
    decode: Option<Endpoint>,
    prefilled_at: Instant,
    charge: Option<Charge>,
    prompt: Option<u64>,
    delivered: u64,
    caller_gone: bool,
    /// Time at which the request is settled even without the coordinator's answer.
    settle_deadline: Option<Instant>,
    settled: bool,
    forgotten: bool,
}

impl Tracker {
    /// Makes the tracker of a request whose first placement was just requested.
    #[must_use]
    pub const fn new(kind: Kind, limits: Limits) -> Self {
        Self {
            kind,
            limits,
            stage: Stage::Queued,
            attempts: 1,
            legs: Vec::new(),
            prefill: None,
            current: None,
            decode: None,
            prefilled_at: Instant::from_millis(0),
            charge: None,
            prompt: None,
            delivered: 0,
            caller_gone: false,
            settle_deadline: None,
            settled: false,
            forgotten: false,
        }
    }

    /// Current stage.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Endpoints that must not get another submission of this request yet: a cancel in flight there
    /// names only the request and would also cancel the new attempt.
    pub fn avoid(&self) -> impl Iterator<Item = Endpoint> {
        let cancelled = self.legs.iter().filter(|leg| leg.next_cancel().is_some());
        cancelled.map(|leg| leg.endpoint)
    }

    /// Marks a queued submission as sent; call it just before the first byte.
    ///
    /// Returns false if the submission was cancelled first and must not be sent: the tracker serves
    /// as tombstone. A submission whose tracker was already dropped must not be sent either.
    pub fn send(&mut self, now: Instant, submission: Submission) -> bool {
        if self.stage == Stage::Ended || self.current != Some(submission) {
            return false;
        }
        let leg = &mut self.legs[usize::from(submission.0)];
        if !leg.send(now) {
            return false;
        }
        self.stage = match leg.role {
            Role::Prefill => Stage::PrefillSent,
            Role::Decode => Stage::DecodeSent,
            Role::Call => Stage::CallSent,
        };
        true
    }

    /// Sets the number of tokens forwarded so far, for the settlement.
    pub const fn delivered(&mut self, tokens: u64) {
        self.delivered = tokens;
    }

    /// Time of the next due [`Tracker::tick`].
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let cancels = self.legs.iter().filter_map(Leg::next_cancel);
        cancels.chain(self.settle_deadline).min()
    }

    /// Repeats due cancels, and settles the request when the withdraw timeout has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (submission, leg) in (0..).map(Submission).zip(&mut self.legs) {
            if leg.repeat_cancel(now, self.limits.cancel_backoff_max) {
                let endpoint = leg.endpoint;
                actions.push(Action::Cancel {
                    submission,
                    endpoint,
                });
            }
        }
        if self.settle_deadline.is_some_and(|time| now >= time) {
            self.settle(&mut actions);
        }
        self.forget(&mut actions);
        actions
    }

    /// Processes an event and returns the resulting actions.
    pub fn event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Placed {
                charge,
                first,
                decode,
            } => self.placed(now, charge, first, decode, &mut actions),
            Event::DecodePlaced { decode } => self.decode_placed(now, decode, &mut actions),
            Event::PlacementFailed => self.placement_failed(now, &mut actions),
            Event::Failed {
                submission,
                sent,
                retry_allowed,
            } => self.failed(now, submission, sent, retry_allowed, &mut actions),
            Event::Full {
                submission,
                retry_allowed,
            } => self.full(now, submission, retry_allowed, &mut actions),
            Event::Prefilled { submission, prompt } => {
                self.prefilled(now, submission, prompt, &mut actions);
            }
            Event::Started { submission } => self.started(now, submission),
            Event::Finished { submission } => self.finished(now, submission, &mut actions),
            Event::CallerGone => self.caller_gone(now, &mut actions),
            Event::KeyWithdrawn => self.end(now, End::KeyWithdrawn, &mut actions),
            Event::DeadlinePassed => self.end(now, End::Deadline, &mut actions),
            Event::ShutdownDeadline => self.end(now, End::Shutdown, &mut actions),
            Event::CancelAnswered {
                submission,
                known,
                asked_at,
            } => self.cancel_answered(submission, known, asked_at),
            Event::Unlisted { endpoint, asked_at } => {
                for leg in &mut self.legs {
                    if leg.endpoint == endpoint {
                        leg.confirm_absent(asked_at, self.limits.delivery_timeout);
                    }
                }
            }
            Event::EndpointExited {
                endpoint,
                retry_allowed,
            } => self.endpoint_exited(now, endpoint, retry_allowed, &mut actions),
        }
        self.forget(&mut actions);
        actions
    }

    fn leg(&mut self, submission: Submission) -> Option<&mut Leg> {
        self.legs.get_mut(usize::from(submission.0))
    }

    fn placed(
        &mut self,
        now: Instant,
        charge: Charge,
        first: Endpoint,
        decode: Endpoint,
        actions: &mut Vec<Action>,
    ) {
        if self.stage == Stage::Ended {
            // Late answer to a withdrawn placement: the whole charge is refunded.
            if self.settle_deadline.is_some() {
                self.charge = Some(charge);
                self.settle(actions);
            }
            return;
        }
        if self.stage != Stage::Queued {
            return;
        }
        self.charge.get_or_insert(charge);
        if let Some(prefill) = self.prefill.take() {
            self.cancel(now, prefill, actions);
        }
        let model = self.kind == Kind::Model;
        if self
            .avoid()
            .any(|endpoint| endpoint == first || (model && endpoint == decode))
        {
            return self.place_again(now, false, actions);
        }
        self.decode = model.then_some(decode);
        self.stage = Stage::Admitted;
        let role = if model { Role::Prefill } else { Role::Call };
        let submission = self.submit(first, role, actions);
        self.prefill = model.then_some(submission);
    }

    fn decode_placed(&mut self, now: Instant, decode: Endpoint, actions: &mut Vec<Action>) {
        if self.stage != Stage::Queued {
            return;
        }
        if self.prefill.is_none() {
            // The prefill engine exited after the placement was requested.
            actions.push(Action::Place {
                keep_prefill: false,
            });
            return;
        }
        if self.avoid().any(|endpoint| endpoint == decode) {
            return self.place_again(now, false, actions);
        }
        self.stage = Stage::Prefilled;
        self.submit(decode, Role::Decode, actions);
    }

    fn submit(&mut self, endpoint: Endpoint, role: Role, actions: &mut Vec<Action>) -> Submission {
        // At most two submissions per attempt, so the count stays far below u16::MAX.
        let submission = Submission(u16::try_from(self.legs.len()).unwrap_or(u16::MAX));
        self.legs.push(Leg::new(endpoint, role));
        self.current = Some(submission);
        actions.push(Action::Submit {
            submission,
            endpoint,
            role,
        });
        submission
    }

    fn placement_failed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.stage == Stage::Queued {
            let end = if self.ran() == Ran::No {
                End::Refused
            } else {
                End::Failed
            };
            self.stage = Stage::Admitted;
            self.end(now, end, actions);
        } else if self.settle_deadline.is_some() {
            self.settle(actions);
        }
    }

    fn failed(
        &mut self,
        now: Instant,
        submission: Submission,
        sent: bool,
        retry_allowed: bool,
        actions: &mut Vec<Action>,
    ) {
        let call = self.kind != Kind::Model;
        let Some(leg) = self.leg(submission) else {
            return;
        };
        if !sent {
            leg.mark_not_run();
        } else if call {
            leg.release();
        }
        if self.stage == Stage::Ended || self.current != Some(submission) {
            return;
        }
        if sent {
            self.cancel(now, submission, actions);
        }
        self.retry(now, !sent, retry_allowed, actions);
    }

    fn full(
        &mut self,
        now: Instant,
        submission: Submission,
        retry_allowed: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.kind != Kind::Model {
            // A refusal by a plain service does not prove that the call had no effect.
            return self.failed(now, submission, true, retry_allowed, actions);
        }
        let Some(leg) = self.leg(submission) else {
            return;
        };
        leg.mark_not_run();
        let role = leg.role;
        if self.stage == Stage::Ended || self.current != Some(submission) {
            return;
        }
        let fresh = now.since(self.prefilled_at) < self.limits.kv_lifetime;
        let keep = role == Role::Decode && fresh && self.prefill.is_some();
        if !retry_allowed {
            return self.end(now, End::Failed, actions);
        }
        self.place_again(now, keep, actions);
    }

    /// Starts another attempt if a retry is safe and within budget, else ends the request.
    fn retry(
        &mut self,
        now: Instant,
        unsent: bool,
        retry_allowed: bool,
        actions: &mut Vec<Action>,
    ) {
        let allowed = match self.kind {
            Kind::Model => unsent || retry_allowed,
            // Bytes of the first answer may have reached the caller: it cannot be replaced.
            Kind::Call { .. } if self.stage == Stage::Streaming => false,
            Kind::Call { idempotent: true } => unsent || retry_allowed,
            Kind::Call { idempotent: false } => unsent,
        };
        if !allowed || self.caller_gone {
            return self.end(now, End::Failed, actions);
        }
        self.place_again(now, false, actions);
    }

    /// Starts another attempt, or ends the request if no attempt is left.
    fn place_again(&mut self, now: Instant, keep_prefill: bool, actions: &mut Vec<Action>) {
        if self.attempts >= self.limits.max_attempts {
            return self.end(now, End::Failed, actions);
        }
        self.attempts += 1;
        self.current = None;
        self.stage = Stage::Queued;
        if !keep_prefill && let Some(prefill) = self.prefill.take() {
            self.cancel(now, prefill, actions);
        }
        actions.push(Action::Place { keep_prefill });
    }

    fn prefilled(
        &mut self,
        now: Instant,
        submission: Submission,
        prompt: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(leg) = self.leg(submission) else {
            return;
        };
        leg.acknowledge(now);
        if self.stage != Stage::PrefillSent || self.current != Some(submission) {
            return;
        }
        let Some(decode) = self.decode.take() else {
            return;
        };
        self.prompt = Some(prompt);
        self.prefilled_at = now;
        self.stage = Stage::Prefilled;
        self.submit(decode, Role::Decode, actions);
    }

    fn started(&mut self, now: Instant, submission: Submission) {
        let Some(leg) = self.leg(submission) else {
            return;
        };
        leg.acknowledge(now);
        if self.current != Some(submission) || self.stage == Stage::Ended {
            return;
        }
        self.stage = Stage::Streaming;
        // The decode engine has fetched the KV cache, so the prefill engine no longer holds it.
        if let Some(prefill) = self.prefill.take()
            && let Some(leg) = self.leg(prefill)
        {
            leg.release();
        }
    }

    fn finished(&mut self, now: Instant, submission: Submission, actions: &mut Vec<Action>) {
        let Some(leg) = self.leg(submission) else {
            return;
        };
        if leg.role == Role::Prefill || leg.is_queued() {
            return;
        }
        leg.acknowledge(now);
        leg.release();
        if self.current == Some(submission) {
            self.started(now, submission);
            self.end(now, End::Complete, actions);
        }
    }

    fn caller_gone(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.caller_gone = true;
        let running = matches!(self.stage, Stage::CallSent | Stage::Streaming);
        // The call may have taken effect: keep it running so that its outcome can be stored.
        if self.kind == (Kind::Call { idempotent: false }) && running {
            return;
        }
        self.end(now, End::CallerGone, actions);
    }

    fn cancel_answered(&mut self, submission: Submission, known: bool, asked_at: Instant) {
        let delivery_timeout = self.limits.delivery_timeout;
        let Some(leg) = self.leg(submission).copied() else {
            return;
        };
        // The endpoint may have released another submission of this request, even one that ended
        // after the cancel was sent.
        let others = self
            .legs
            .iter()
            .filter(|other| other.endpoint == leg.endpoint);
        let alone = others.filter(|other| other.ran != Ran::No).count() <= 1;
        let Some(leg) = self.leg(submission) else {
            return;
        };
        if known && alone && leg.next_cancel().is_some() {
            leg.release();
        } else {
            // The endpoint held nothing after the cancel, as if the request had been unknown.
            leg.confirm_absent(asked_at, delivery_timeout);
        }
    }

    fn endpoint_exited(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        retry_allowed: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut failed = None;
        for (submission, leg) in (0..).map(Submission).zip(&mut self.legs) {
            if leg.endpoint != endpoint || leg.is_released() {
                continue;
            }
            let sent = !leg.is_queued();
            leg.release();
            if self.current == Some(submission) || self.prefill == Some(submission) {
                failed = Some((submission, sent));
            }
        }
        let Some((submission, sent)) = failed else {
            return;
        };
        if self.prefill == Some(submission) {
            self.prefill = None;
        }
        if self.current == Some(submission) && self.stage != Stage::Ended {
            self.retry(now, !sent, retry_allowed, actions);
        }
    }

    fn cancel(&mut self, now: Instant, submission: Submission, actions: &mut Vec<Action>) {
        let backoff = self.limits.cancel_backoff;
        let Some(leg) = self.leg(submission) else {
            return;
        };
        if leg.role == Role::Call {
            if !leg.is_released() {
                let sent = !leg.is_queued();
                leg.release();
                if sent {
                    actions.push(Action::Close { submission });
                }
            }
        } else if leg.cancel(now, backoff) {
            let endpoint = leg.endpoint;
            actions.push(Action::Cancel {
                submission,
                endpoint,
            });
        }
    }

    fn ran(&self) -> Ran {
        let legs = self.legs.iter().map(|leg| leg.ran);
        legs.max().unwrap_or_default()
    }

    fn end(&mut self, now: Instant, end: End, actions: &mut Vec<Action>) {
        if self.stage == Stage::Ended {
            return;
        }
        let queued = self.stage == Stage::Queued;
        self.stage = Stage::Ended;
        for submission in 0..self.legs.len() {
            let submission = Submission(u16::try_from(submission).unwrap_or(u16::MAX));
            self.cancel(now, submission, actions);
        }
        let outcome = match self.ran() {
            Ran::No => Outcome::NotRun,
            Ran::Maybe => Outcome::MayHaveRun,
            Ran::Yes => Outcome::Run,
        };
        actions.push(Action::Answer { end, outcome });
        if queued {
            actions.push(Action::Withdraw);
        }
        if queued && self.charge.is_none() {
            // Whether and how much was charged is unknown until the coordinator answers.
            self.settle_deadline = Some(now + self.limits.withdraw_timeout);
        } else {
            self.settle(actions);
        }
    }

    fn settle(&mut self, actions: &mut Vec<Action>) {
        self.settle_deadline = None;
        if self.settled {
            return;
        }
        self.settled = true;
        let charge = self.charge.unwrap_or_default();
        let used = match (self.ran(), self.kind) {
            (Ran::No, _) => 0,
            (Ran::Maybe | Ran::Yes, Kind::Model) => {
                self.prompt.unwrap_or(charge.prompt) + self.delivered
            }
            (Ran::Maybe | Ran::Yes, Kind::Call { .. }) => charge.prompt + charge.output,
        };
        actions.push(Action::Settle(Settlement {
            charged: charge.prompt + charge.output,
            used,
        }));
    }

    fn forget(&mut self, actions: &mut Vec<Action>) {
        let held = self.legs.iter().any(|leg| !leg.is_released());
        if self.stage == Stage::Ended && self.settled && !held && !self.forgotten {
            self.forgotten = true;
            actions.push(Action::Forget);
        }
    }
}
