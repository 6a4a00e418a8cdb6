//! The life of a request at the gateway, and what is cancelled, charged and answered at its end.

mod id;
mod leg;

use std::time::Duration;

use crate::clock::Instant;

pub use id::{Error, Id};
use leg::{Leg, Ran};

/// Key of an endpoint in the gateway's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint(pub u32);

/// Key of a submit within its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Submit(u16);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Prefill at one engine, decode at another. May be run again.
    Model,
    /// One call of a plain service.
    Call {
        /// Whether the call may be run again.
        idempotent: bool,
    },
}

/// What an endpoint does for a submit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Computes the KV cache of a prompt.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Answers a plain call.
    Call,
}

/// Stages of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for the coordinator's placement, the first one or that of a retry.
    Queued,
    /// Placed; nothing of this attempt was sent.
    Admitted,
    /// The prefill may have reached its engine.
    PrefillSent,
    /// The KV cache is ready; nothing was sent to the decode engine.
    Prefilled,
    /// The decode may have reached its engine.
    DecodeSent,
    /// A plain call may have reached its endpoint.
    CallSent,
    /// The answer is being forwarded.
    Streaming,
    /// The caller has been answered. Cancels may still be under way.
    Ended,
}

/// Bounds of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Highest number of attempts, the first one included.
    pub max_attempts: u16,
    /// Longest time from the first byte of a submit until it reached its endpoint or is lost.
    pub flight: Duration,
    /// Pause before the first repetition of a cancel; it doubles with each repetition.
    pub cancel_pause: Duration,
    /// Longest pause between repetitions of a cancel.
    pub cancel_pause_max: Duration,
    /// Longest wait for a coordinator's answer after its request has ended.
    pub withdraw: Duration,
    /// Time for which a prefill's KV cache can still be fetched.
    pub kv_lifetime: Duration,
}

impl Default for Limits {
    /// A KV result lives for under one second, so it is reused for 0.8 s at most. The other values
    /// are chosen: 10 s of flight is twice the endpoint's idle limit.
    fn default() -> Self {
        Self {
            max_attempts: 3,
            flight: Duration::from_secs(10),
            cancel_pause: Duration::from_millis(100),
            cancel_pause_max: Duration::from_secs(2),
            withdraw: Duration::from_secs(2),
            kv_lifetime: Duration::from_millis(800),
        }
    }
}

impl Limits {
    /// Longest time an engine holds memory for a request after its end, once messages arrive
    /// within `delay` and [`Tracker::tick`] is called at its deadlines.
    ///
    /// A submit in flight at the end arrives within `flight`; the cancel after that is sent at
    /// most one pause later and takes one delay.
    #[must_use]
    pub fn release_bound(&self, delay: Duration) -> Duration {
        self.flight + self.cancel_pause_max + delay
    }
}

/// Tokens charged at admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    /// Estimated prompt tokens, or the cost of a plain call.
    pub prompt: u64,
    /// Highest number of generated tokens.
    pub output: u64,
}

/// What happened to a request.
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
    /// The coordinator found another decode engine for a kept prefill.
    DecodePlaced {
        /// Decode engine.
        decode: Endpoint,
    },
    /// The coordinator refused a placement or could not be asked.
    Unplaced,
    /// A submit, its connection or its endpoint failed.
    Failed {
        /// The submit.
        submit: Submit,
        /// Whether a byte of it may have left the gateway.
        sent: bool,
        /// Whether the retry budget allows another attempt.
        allowance: bool,
    },
    /// A model engine refused a submit because it is full, and holds nothing for it.
    Full {
        /// The submit.
        submit: Submit,
        /// Whether the retry budget allows another attempt.
        allowance: bool,
    },
    /// A prefill was answered.
    Prefilled {
        /// The prefill's submit.
        submit: Submit,
        /// Prompt tokens counted by the engine.
        prompt: u64,
    },
    /// A decode or a plain call began to answer.
    Started {
        /// The submit.
        submit: Submit,
    },
    /// The whole answer was forwarded.
    Finished {
        /// The submit that completed it.
        submit: Submit,
    },
    /// The caller's connection is gone.
    CallerGone,
    /// The caller's key was withdrawn.
    KeyWithdrawn,
    /// The request's deadline passed.
    DeadlinePassed,
    /// The gateway must exit now.
    ShutdownDeadline,
    /// An endpoint answered a cancel.
    CancelAnswered {
        /// The cancelled submit.
        submit: Submit,
        /// Whether the endpoint held the request and released it.
        known: bool,
        /// Time at which the answered cancel was sent.
        asked: Instant,
    },
    /// An endpoint listed its running requests, without this one.
    Unlisted {
        /// The endpoint.
        endpoint: Endpoint,
        /// Time at which the listing was asked for.
        asked: Instant,
    },
    /// An endpoint's process ended, with its memory and its connections.
    Gone {
        /// The endpoint.
        endpoint: Endpoint,
        /// Whether the retry budget allows another attempt.
        allowance: bool,
    },
}

/// What the gateway must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the coordinator for a placement that avoids [`Tracker::avoid`].
    Place {
        /// Whether only a decode engine is needed.
        keep_prefill: bool,
    },
    /// Tell the coordinator that the placement asked for is no longer wanted.
    Withdraw,
    /// Queue a submit; call [`Tracker::send`] just before its first byte.
    Submit {
        /// Key of the submit.
        submit: Submit,
        /// Receiver.
        endpoint: Endpoint,
        /// Purpose.
        role: Role,
    },
    /// Close the submit's connection and send a cancel on another one.
    Cancel {
        /// Key of the submit.
        submit: Submit,
        /// Receiver.
        endpoint: Endpoint,
    },
    /// Close the connection of a plain call.
    Close {
        /// Key of the submit.
        submit: Submit,
    },
    /// Answer the caller, or record the end when the caller is gone.
    Answer {
        /// How the request ended.
        end: End,
        /// Whether it ran.
        outcome: Outcome,
    },
    /// Settle the charge.
    Settle(Settlement),
    /// Drop the tracker: nothing is held anywhere.
    Forget,
}

/// Ways in which a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer was forwarded.
    Complete,
    /// The coordinator refused the request.
    Refused,
    /// An endpoint failed and no retry was allowed.
    Failed,
    /// The caller left.
    CallerGone,
    /// The caller's key was withdrawn.
    KeyWithdrawn,
    /// The deadline passed.
    Deadline,
    /// The gateway exited.
    Shutdown,
}

/// What the caller is told about the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An endpoint began the request.
    Run,
    /// No endpoint began the request or ever will.
    NotRun,
    /// Bytes may have reached an endpoint, and its answer is unknown.
    MayHaveRun,
}

/// Tokens of a request at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settlement {
    /// Tokens charged at admission.
    pub charged: u64,
    /// Tokens used; above `charged` when the prompt was longer than estimated.
    pub used: u64,
}

impl Settlement {
    /// Tokens to return to the customer's bucket.
    #[must_use]
    pub const fn returned(&self) -> u64 {
        self.charged.saturating_sub(self.used)
    }

    /// Tokens that the next refill pays.
    #[must_use]
    pub const fn debt(&self) -> u64 {
        self.used.saturating_sub(self.charged)
    }
}

/// State of one request at the gateway that accepted it.
#[derive(Clone, Debug)]
pub struct Tracker {
    kind: Kind,
    limits: Limits,
    stage: Stage,
    attempts: u16,
    legs: Vec<Leg>,
    prefill: Option<Submit>,
    current: Option<Submit>,
    decode: Option<Endpoint>,
    prefilled_at: Instant,
    charge: Option<Charge>,
    prompt: Option<u64>,
    delivered: u64,
    caller_gone: bool,
    /// Time until which a settlement waits for the coordinator's answer.
    settle_by: Option<Instant>,
    settled: bool,
    forgotten: bool,
}

impl Tracker {
    /// Starts a request whose first placement is being asked for.
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
            settle_by: None,
            settled: false,
            forgotten: false,
        }
    }

    /// Stage of the request.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Endpoints that must not get another submit of this request yet, because a cancel under way
    /// there names the request and not the attempt.
    pub fn avoid(&self) -> impl Iterator<Item = Endpoint> {
        let cancelled = self.legs.iter().filter(|leg| leg.next().is_some());
        cancelled.map(|leg| leg.endpoint)
    }

    /// Asks whether a queued submit may be sent, just before its first byte.
    ///
    /// False when the request was cancelled first: the tracker is the tombstone. A submit whose
    /// tracker is already forgotten must not be sent either.
    pub fn send(&mut self, now: Instant, submit: Submit) -> bool {
        if self.stage == Stage::Ended || self.current != Some(submit) {
            return false;
        }
        let leg = &mut self.legs[usize::from(submit.0)];
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

    /// Notes the number of tokens forwarded so far, for the settlement.
    pub const fn delivered(&mut self, tokens: u64) {
        self.delivered = tokens;
    }

    /// Time at which [`Tracker::tick`] must be called.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let cancels = self.legs.iter().filter_map(Leg::next);
        cancels.chain(self.settle_by).min()
    }

    /// Repeats cancels and settles a request whose coordinator does not answer.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (submit, leg) in (0..).map(Submit).zip(&mut self.legs) {
            if leg.repeat(now, self.limits.cancel_pause_max) {
                let endpoint = leg.endpoint;
                actions.push(Action::Cancel { submit, endpoint });
            }
        }
        if self.settle_by.is_some_and(|time| now >= time) {
            self.settle(&mut actions);
        }
        self.forget(&mut actions);
        actions
    }

    /// Decides about an event.
    pub fn event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Placed {
                charge,
                first,
                decode,
            } => self.placed(now, charge, first, decode, &mut actions),
            Event::DecodePlaced { decode } => self.decode_placed(now, decode, &mut actions),
            Event::Unplaced => self.unplaced(now, &mut actions),
            Event::Failed {
                submit,
                sent,
                allowance,
            } => self.failed(now, submit, sent, allowance, &mut actions),
            Event::Full { submit, allowance } => self.full(now, submit, allowance, &mut actions),
            Event::Prefilled { submit, prompt } => {
                self.prefilled(now, submit, prompt, &mut actions);
            }
            Event::Started { submit } => self.started(now, submit),
            Event::Finished { submit } => self.finished(now, submit, &mut actions),
            Event::CallerGone => self.caller_gone(now, &mut actions),
            Event::KeyWithdrawn => self.end(now, End::KeyWithdrawn, &mut actions),
            Event::DeadlinePassed => self.end(now, End::Deadline, &mut actions),
            Event::ShutdownDeadline => self.end(now, End::Shutdown, &mut actions),
            Event::CancelAnswered {
                submit,
                known,
                asked,
            } => self.cancel_answered(submit, known, asked),
            Event::Unlisted { endpoint, asked } => {
                for leg in &mut self.legs {
                    if leg.endpoint == endpoint {
                        leg.absent(asked, self.limits.flight);
                    }
                }
            }
            Event::Gone {
                endpoint,
                allowance,
            } => self.gone(now, endpoint, allowance, &mut actions),
        }
        self.forget(&mut actions);
        actions
    }

    fn leg(&mut self, submit: Submit) -> Option<&mut Leg> {
        self.legs.get_mut(usize::from(submit.0))
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
            // Late answer to a withdrawn placement: the charge is settled as unused.
            if self.settle_by.is_some() {
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
            return self.again(now, false, actions);
        }
        self.decode = model.then_some(decode);
        self.stage = Stage::Admitted;
        let role = if model { Role::Prefill } else { Role::Call };
        let submit = self.submit(first, role, actions);
        self.prefill = model.then_some(submit);
    }

    fn decode_placed(&mut self, now: Instant, decode: Endpoint, actions: &mut Vec<Action>) {
        if self.stage != Stage::Queued {
            return;
        }
        if self.prefill.is_none() {
            // The prefill engine has ended since the placement was asked for.
            actions.push(Action::Place {
                keep_prefill: false,
            });
            return;
        }
        if self.avoid().any(|endpoint| endpoint == decode) {
            return self.again(now, false, actions);
        }
        self.stage = Stage::Prefilled;
        self.submit(decode, Role::Decode, actions);
    }

    fn submit(&mut self, endpoint: Endpoint, role: Role, actions: &mut Vec<Action>) -> Submit {
        // Two submits per attempt at most, so the count stays far below u16::MAX.
        let submit = Submit(u16::try_from(self.legs.len()).unwrap_or(u16::MAX));
        self.legs.push(Leg::new(endpoint, role));
        self.current = Some(submit);
        actions.push(Action::Submit {
            submit,
            endpoint,
            role,
        });
        submit
    }

    fn unplaced(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.stage == Stage::Queued {
            let end = if self.ran() == Ran::No {
                End::Refused
            } else {
                End::Failed
            };
            self.stage = Stage::Admitted;
            self.end(now, end, actions);
        } else if self.settle_by.is_some() {
            self.settle(actions);
        }
    }

    fn failed(
        &mut self,
        now: Instant,
        submit: Submit,
        sent: bool,
        allowance: bool,
        actions: &mut Vec<Action>,
    ) {
        let call = self.kind != Kind::Model;
        let Some(leg) = self.leg(submit) else { return };
        if !sent {
            leg.unrun();
        } else if call {
            leg.release();
        }
        if self.stage == Stage::Ended || self.current != Some(submit) {
            return;
        }
        if sent {
            self.cancel(now, submit, actions);
        }
        self.retry(now, !sent, allowance, actions);
    }

    fn full(&mut self, now: Instant, submit: Submit, allowance: bool, actions: &mut Vec<Action>) {
        if self.kind != Kind::Model {
            // A plain service's refusal does not prove that it did nothing.
            return self.failed(now, submit, true, allowance, actions);
        }
        let Some(leg) = self.leg(submit) else { return };
        leg.unrun();
        let role = leg.role;
        if self.stage == Stage::Ended || self.current != Some(submit) {
            return;
        }
        let fresh = now.since(self.prefilled_at) < self.limits.kv_lifetime;
        let keep = role == Role::Decode && fresh && self.prefill.is_some();
        if !allowance {
            return self.end(now, End::Failed, actions);
        }
        self.again(now, keep, actions);
    }

    /// Starts another attempt after a failure, or ends the request.
    fn retry(&mut self, now: Instant, unsent: bool, allowance: bool, actions: &mut Vec<Action>) {
        let allowed = match self.kind {
            Kind::Model => unsent || allowance,
            // Bytes of a first answer may have reached the caller, so it cannot be replaced.
            Kind::Call { .. } if self.stage == Stage::Streaming => false,
            Kind::Call { idempotent: true } => unsent || allowance,
            Kind::Call { idempotent: false } => unsent,
        };
        if !allowed || self.caller_gone {
            return self.end(now, End::Failed, actions);
        }
        self.again(now, false, actions);
    }

    fn again(&mut self, now: Instant, keep_prefill: bool, actions: &mut Vec<Action>) {
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

    fn prefilled(&mut self, now: Instant, submit: Submit, prompt: u64, actions: &mut Vec<Action>) {
        let Some(leg) = self.leg(submit) else { return };
        leg.hold(now);
        if self.stage != Stage::PrefillSent || self.current != Some(submit) {
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

    fn started(&mut self, now: Instant, submit: Submit) {
        let Some(leg) = self.leg(submit) else { return };
        leg.hold(now);
        if self.current != Some(submit) || self.stage == Stage::Ended {
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

    fn finished(&mut self, now: Instant, submit: Submit, actions: &mut Vec<Action>) {
        let Some(leg) = self.leg(submit) else { return };
        if leg.role == Role::Prefill || leg.issued() {
            return;
        }
        leg.hold(now);
        leg.release();
        if self.current == Some(submit) {
            self.started(now, submit);
            self.end(now, End::Complete, actions);
        }
    }

    fn caller_gone(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.caller_gone = true;
        let running = matches!(self.stage, Stage::CallSent | Stage::Streaming);
        // The call may have taken effect, so its outcome is waited for and can be stored.
        if self.kind == (Kind::Call { idempotent: false }) && running {
            return;
        }
        self.end(now, End::CallerGone, actions);
    }

    fn cancel_answered(&mut self, submit: Submit, known: bool, asked: Instant) {
        let flight = self.limits.flight;
        let Some(leg) = self.leg(submit).copied() else {
            return;
        };
        // What the endpoint released may belong to another submit of the request, even to one that
        // has ended since the cancel was sent.
        let others = self
            .legs
            .iter()
            .filter(|other| other.endpoint == leg.endpoint);
        let alone = others.filter(|other| other.ran != Ran::No).count() <= 1;
        let Some(leg) = self.leg(submit) else { return };
        if known && alone && leg.next().is_some() {
            leg.release();
        } else {
            // After the cancel the endpoint held nothing, as if it had not known the request.
            leg.absent(asked, flight);
        }
    }

    fn gone(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        allowance: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut failed = None;
        for (submit, leg) in (0..).map(Submit).zip(&mut self.legs) {
            if leg.endpoint != endpoint || leg.over() {
                continue;
            }
            let sent = !leg.issued();
            leg.release();
            if self.current == Some(submit) || self.prefill == Some(submit) {
                failed = Some((submit, sent));
            }
        }
        let Some((submit, sent)) = failed else { return };
        if self.prefill == Some(submit) {
            self.prefill = None;
        }
        if self.current == Some(submit) && self.stage != Stage::Ended {
            self.retry(now, !sent, allowance, actions);
        }
    }

    fn cancel(&mut self, now: Instant, submit: Submit, actions: &mut Vec<Action>) {
        let pause = self.limits.cancel_pause;
        let Some(leg) = self.leg(submit) else { return };
        if leg.role == Role::Call {
            if !leg.over() {
                let sent = !leg.issued();
                leg.release();
                if sent {
                    actions.push(Action::Close { submit });
                }
            }
        } else if leg.cancel(now, pause) {
            let endpoint = leg.endpoint;
            actions.push(Action::Cancel { submit, endpoint });
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
        for submit in 0..self.legs.len() {
            let submit = Submit(u16::try_from(submit).unwrap_or(u16::MAX));
            self.cancel(now, submit, actions);
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
            // The charge is unknown until the coordinator answers.
            self.settle_by = Some(now + self.limits.withdraw);
        } else {
            self.settle(actions);
        }
    }

    fn settle(&mut self, actions: &mut Vec<Action>) {
        self.settle_by = None;
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
        let held = self.legs.iter().any(|leg| !leg.over());
        if self.stage == Stage::Ended && self.settled && !held && !self.forgotten {
            self.forgotten = true;
            actions.push(Action::Forget);
        }
    }
}
