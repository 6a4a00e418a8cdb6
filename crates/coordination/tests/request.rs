//! Simulation of one gateway's requests at three engines: the network loses, duplicates, delays and
//! reorders messages, and callers disconnect at any stage.

mod history;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::record::Incarnation;
use berylknot_coordination::request::{
    Action, Charge, End, Endpoint, Event, Id, Kind, Limits, Outcome, Role, Stage, Submission,
    Tracker,
};
use proptest::prelude::*;

const ENGINES: u32 = 3;
const DELAY_MS: u64 = 50;
const ANSWER_TOKENS: u64 = 3;
const KINDS: [Kind; 3] = [
    Kind::Model,
    Kind::Call { idempotent: true },
    Kind::Call { idempotent: false },
];

fn limits() -> Limits {
    Limits {
        delivery_timeout: Duration::from_millis(1_000),
        ..Limits::default()
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    NoTombstone,
    CancelSentOnce,
    UnknownCountedAsReleased,
    TrackerDroppedAtAnswer,
    RetryAfterBytes,
    MaybeReportedAsNotRun,
    SettledPerAttempt,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Place {
        request: usize,
        first: u32,
        decode: u32,
    },
    FailPlacement(usize),
    Send {
        request: usize,
        fail: bool,
    },
    Deliver {
        pick: usize,
        keep: bool,
    },
    Lose(usize),
    Emit(usize),
    Fail {
        request: usize,
        retry_allowed: bool,
    },
    Terminate {
        request: usize,
        cause: usize,
    },
    Restart(u32),
    List(u32),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let request = || 0..3_usize;
    prop_oneof![
        5 => (request(), 0..ENGINES, 0..ENGINES)
            .prop_map(|(request, first, decode)| Step::Place { request, first, decode }),
        1 => request().prop_map(Step::FailPlacement),
        6 => (request(), prop::bool::weighted(0.1))
            .prop_map(|(request, fail)| Step::Send { request, fail }),
        8 => (0..8_usize, prop::bool::weighted(0.1))
            .prop_map(|(pick, keep)| Step::Deliver { pick, keep }),
        1 => (0..8_usize).prop_map(Step::Lose),
        5 => request().prop_map(Step::Emit),
        1 => (request(), any::<bool>())
            .prop_map(|(request, retry_allowed)| Step::Fail { request, retry_allowed }),
        1 => (request(), 0..4_usize)
            .prop_map(|(request, cause)| Step::Terminate { request, cause }),
        1 => (0..ENGINES).prop_map(Step::Restart),
        1 => (0..ENGINES).prop_map(Step::List),
        3 => (1..300_u64).prop_map(Step::Advance),
    ]
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Submit {
        request: usize,
        submission: Submission,
        role: Role,
        engine: u32,
        at: Instant,
    },
    Cancel {
        request: usize,
        submission: Submission,
        engine: u32,
        asked_at: Instant,
    },
    Answer {
        request: usize,
        event: Event,
    },
}

/// Memory that an engine holds for a submission until it is cancelled, fetched or finished.
#[derive(Clone, Copy, Debug)]
struct Held {
    submission: Submission,
    role: Role,
    sent: u64,
}

struct Request {
    kind: Kind,
    tracker: Option<Tracker>,
    placing: bool,
    /// Whether the pending placement needs only a decode engine.
    keep_prefill: bool,
    queued: Vec<(Submission, Role, u32)>,
    current: Option<(Submission, u32)>,
    cancelled: Vec<Submission>,
    answers: Vec<(End, Outcome)>,
    settlements: usize,
    used: Option<u64>,
    runs: u32,
    /// Plain calls whose answer bytes reached the caller.
    forwarded: BTreeSet<Submission>,
    /// Plain calls whose connection was closed.
    closed: BTreeSet<Submission>,
    finished: bool,
    ended_at: Option<Instant>,
}

struct World {
    fault: Fault,
    now: Instant,
    requests: Vec<Request>,
    engines: Vec<BTreeMap<(usize, Submission), Held>>,
    network: Vec<Message>,
    retry_allowed: bool,
}

impl World {
    fn new(fault: Fault) -> Self {
        let request = |kind| Request {
            kind,
            tracker: Some(Tracker::new(kind, limits())),
            placing: true,
            keep_prefill: false,
            queued: Vec::new(),
            current: None,
            cancelled: Vec::new(),
            answers: Vec::new(),
            settlements: 0,
            used: None,
            runs: 0,
            forwarded: BTreeSet::new(),
            closed: BTreeSet::new(),
            finished: false,
            ended_at: None,
        };
        Self {
            fault,
            now: Instant::from_millis(1),
            requests: KINDS.map(request).into(),
            engines: vec![BTreeMap::new(); ENGINES as usize],
            network: Vec::new(),
            retry_allowed: true,
        }
    }

    fn event(&mut self, request: usize, event: Event) {
        let now = self.now;
        let Some(tracker) = &mut self.requests[request].tracker else {
            return;
        };
        let actions = tracker.event(now, event);
        self.act(request, actions);
    }

    fn act(&mut self, request: usize, actions: Vec<Action>) {
        let (fault, now) = (self.fault, self.now);
        for action in actions {
            let state = &mut self.requests[request];
            match action {
                Action::Place { keep_prefill } => {
                    state.placing = true;
                    state.keep_prefill = keep_prefill;
                    state.settlements += usize::from(fault == Fault::SettledPerAttempt);
                }
                Action::Withdraw => {}
                Action::Close { submission } => self.close(request, submission),
                Action::Submit {
                    submission,
                    endpoint,
                    role,
                } => {
                    state.queued.push((submission, role, endpoint.0));
                }
                Action::Cancel {
                    submission,
                    endpoint,
                } => {
                    let again = state.cancelled.contains(&submission);
                    if again && fault == Fault::CancelSentOnce {
                        continue;
                    }
                    state.cancelled.push(submission);
                    let engine = endpoint.0;
                    self.network.push(Message::Cancel {
                        request,
                        submission,
                        engine,
                        asked_at: now,
                    });
                }
                Action::Answer { end, outcome } => {
                    let uncertain = outcome == Outcome::MayHaveRun;
                    let outcome = if uncertain && fault == Fault::MaybeReportedAsNotRun {
                        Outcome::NotRun
                    } else {
                        outcome
                    };
                    state.answers.push((end, outcome));
                    state.ended_at = Some(now);
                    if fault == Fault::TrackerDroppedAtAnswer {
                        state.tracker = None;
                    }
                }
                Action::Settle(settlement) => {
                    state.used = Some(settlement.used);
                    state.settlements += 1;
                }
                Action::Forget => state.tracker = None,
            }
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Place {
                request,
                first,
                decode,
            } if self.requests[request].placing => {
                self.requests[request].placing = false;
                let charge = Charge {
                    prompt: 10,
                    output: 20,
                };
                let (first, decode) = (Endpoint(first), Endpoint(decode));
                // The coordinator may also return a new prefill engine.
                let keep = std::mem::take(&mut self.requests[request].keep_prefill);
                let event = if keep && first != decode {
                    Event::DecodePlaced { decode }
                } else {
                    Event::Placed {
                        charge,
                        first,
                        decode,
                    }
                };
                self.event(request, event);
            }
            Step::FailPlacement(request) if self.requests[request].placing => {
                self.requests[request].placing = false;
                self.event(request, Event::PlacementFailed);
            }
            Step::Place { .. } | Step::FailPlacement(_) => {}
            Step::Send { request, fail } => self.send(request, fail),
            Step::Deliver { pick, keep } if !self.network.is_empty() => {
                let pick = pick % self.network.len();
                let message = self.network[pick];
                // A submission is delivered at most once; cancels and answers may be duplicated.
                if !keep || matches!(message, Message::Submit { .. }) {
                    self.network.remove(pick);
                }
                self.arrive(message);
            }
            Step::Lose(pick) if !self.network.is_empty() => {
                let pick = pick % self.network.len();
                self.network.remove(pick);
            }
            Step::Deliver { .. } | Step::Lose(_) => {}
            Step::Emit(request) => self.emit(request),
            Step::Fail {
                request,
                retry_allowed,
            } => self.fail(request, retry_allowed),
            Step::Terminate { request, cause } => {
                let ends = [
                    Event::CallerGone,
                    Event::KeyWithdrawn,
                    Event::DeadlinePassed,
                    Event::ShutdownDeadline,
                ];
                self.event(request, ends[cause]);
            }
            Step::Restart(engine) => self.restart(engine),
            Step::List(engine) => {
                let asked_at = self.now;
                for request in 0..self.requests.len() {
                    let held = self.engines[engine as usize]
                        .keys()
                        .any(|key| key.0 == request);
                    let event = Event::Unlisted {
                        endpoint: Endpoint(engine),
                        asked_at,
                    };
                    if !held {
                        self.network.push(Message::Answer { request, event });
                    }
                }
            }
            Step::Advance(millis) => self.advance(millis),
        }
    }

    fn send(&mut self, request: usize, fail: bool) {
        let now = self.now;
        let state = &mut self.requests[request];
        let Some((submission, role, engine)) = state.queued.pop() else {
            return;
        };
        let may = state
            .tracker
            .as_mut()
            .is_some_and(|tracker| tracker.send(now, submission));
        if !may && self.fault != Fault::NoTombstone {
            return;
        }
        state.current = Some((submission, engine));
        if fail {
            let event = Event::Failed {
                submission,
                sent: false,
                retry_allowed: false,
            };
            self.event(request, event);
            return;
        }
        self.network.push(Message::Submit {
            request,
            submission,
            role,
            engine,
            at: now,
        });
    }

    fn fail(&mut self, request: usize, retry_allowed: bool) {
        let Some((submission, _)) = self.requests[request].current.take() else {
            return;
        };
        if self.requests[request].kind != Kind::Model {
            self.close(request, submission);
        }
        let sent = self.fault != Fault::RetryAfterBytes;
        self.event(
            request,
            Event::Failed {
                submission,
                sent,
                retry_allowed,
            },
        );
    }

    /// Closes a plain call's connection; the service notices and drops the call.
    fn close(&mut self, request: usize, submission: Submission) {
        self.requests[request].closed.insert(submission);
        for memory in &mut self.engines {
            memory.remove(&(request, submission));
        }
    }

    fn restart(&mut self, engine: u32) {
        self.engines[engine as usize].clear();
        self.network.retain(
            |message| !matches!(message, Message::Submit { engine: to, .. } if *to == engine),
        );
        let endpoint = Endpoint(engine);
        for request in 0..self.requests.len() {
            let retry_allowed = self.retry_allowed;
            self.event(
                request,
                Event::EndpointExited {
                    endpoint,
                    retry_allowed,
                },
            );
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        let (now, timeout) = (self.now, limits().delivery_timeout);
        self.network.retain(
            |message| !matches!(message, Message::Submit { at, .. } if now.since(*at) > timeout),
        );
        for request in 0..self.requests.len() {
            if let Some(tracker) = &mut self.requests[request].tracker {
                let actions = tracker.tick(now);
                self.act(request, actions);
            }
        }
    }

    /// Delivers a message. An engine starts a submission, or refuses a decode as full if it already
    /// holds two submissions; a cancel releases all memory of its request.
    fn arrive(&mut self, message: Message) {
        let answer = match message {
            Message::Answer { request, event } => return self.event(request, event),
            Message::Cancel {
                request,
                submission,
                engine,
                asked_at,
            } => {
                let memory = &mut self.engines[engine as usize];
                let before = memory.len();
                memory.retain(|key, _| key.0 != request);
                let known = memory.len() < before;
                (
                    request,
                    Event::CancelAnswered {
                        submission,
                        known,
                        asked_at,
                    },
                )
            }
            Message::Submit {
                request,
                submission,
                role,
                engine,
                ..
            } => {
                let memory = &mut self.engines[engine as usize];
                if role == Role::Decode && memory.len() >= 2 {
                    (
                        request,
                        Event::Full {
                            submission,
                            retry_allowed: true,
                        },
                    )
                } else {
                    self.requests[request].runs += 1;
                    let held = Held {
                        submission,
                        role,
                        sent: 0,
                    };
                    if !self.requests[request].closed.contains(&submission) {
                        memory.insert((request, submission), held);
                    }
                    if role == Role::Decode {
                        for memory in &mut self.engines {
                            memory.retain(|key, held| {
                                key.0 != request || held.role != Role::Prefill || key.1 > submission
                            });
                        }
                    }
                    match role {
                        Role::Prefill => (
                            request,
                            Event::Prefilled {
                                submission,
                                prompt: 12,
                            },
                        ),
                        Role::Decode | Role::Call => (request, Event::Started { submission }),
                    }
                }
            }
        };
        let (request, event) = answer;
        self.network.push(Message::Answer { request, event });
    }

    /// Streams the next token from the endpoint, or finishes the answer.
    fn emit(&mut self, request: usize) {
        let state = &self.requests[request];
        let Some((submission, engine)) = state.current else {
            return;
        };
        let stage = state.tracker.as_ref().map(Tracker::stage);
        let memory = &mut self.engines[engine as usize];
        let Some(held) = memory.get_mut(&(request, submission)) else {
            return;
        };
        if held.role == Role::Prefill || stage != Some(Stage::Streaming) {
            return;
        }
        assert_eq!(held.submission, submission);
        if held.role == Role::Call {
            self.requests[request].forwarded.insert(submission);
        }
        held.sent += 1;
        let sent = held.sent;
        if sent < ANSWER_TOKENS {
            if let Some(tracker) = &mut self.requests[request].tracker {
                tracker.delivered(sent);
            }
            return;
        }
        memory.remove(&(request, submission));
        self.requests[request].finished = true;
        self.event(request, Event::Finished { submission });
    }

    /// At any time: at most one answer and one settlement, true outcomes, and at most one run of a
    /// non-idempotent call.
    fn check_invariants(&self) -> Result<(), String> {
        for (index, request) in self.requests.iter().enumerate() {
            if request.answers.len() > 1 || request.settlements > 1 {
                return Err(format!("request {index} was answered or settled twice"));
            }
            if request.kind == (Kind::Call { idempotent: false }) && request.runs > 1 {
                return Err(format!(
                    "non-idempotent call {index} reached endpoints twice"
                ));
            }
            if request.forwarded.len() > 1 {
                return Err(format!(
                    "the caller of request {index} received parts of two answers"
                ));
            }
            let not_run = request.answers.first().map(|answer| answer.1) == Some(Outcome::NotRun);
            if request.used.is_some_and(|used| not_run != (used == 0)) {
                return Err(format!(
                    "request {index} was settled with {:?} used tokens despite its outcome",
                    request.used
                ));
            }
            match request.answers.first() {
                Some((_, Outcome::NotRun)) if request.runs > 0 => {
                    return Err(format!("request {index} was reported as not run, but ran"));
                }
                Some((_, Outcome::Run)) if request.runs == 0 => {
                    return Err(format!(
                        "request {index} was reported as run, but did not run"
                    ));
                }
                Some((End::Complete, _)) if !request.finished => {
                    return Err(format!(
                        "request {index} was reported as complete, but is not"
                    ));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// After the faults stop, all callers disconnect and messages take one delay. Within
    /// [`Limits::release_bound`] no engine holds memory and each request has exactly one answer and
    /// one settlement.
    fn check_cleanup(&mut self) -> Result<(), String> {
        for request in 0..self.requests.len() {
            self.event(request, Event::CallerGone);
            self.event(request, Event::DeadlinePassed);
        }
        let delay = Duration::from_millis(DELAY_MS);
        let bound = limits().release_bound(delay) + delay;
        let end = self.now + bound;
        while self.now < end {
            self.step(Step::Advance(DELAY_MS));
            for request in 0..self.requests.len() {
                self.send(request, false);
            }
            for message in std::mem::take(&mut self.network) {
                self.arrive(message);
            }
            self.check_invariants()?;
        }
        if self.engines.iter().any(|memory| !memory.is_empty()) {
            return Err(format!(
                "engines still hold memory after {bound:?}: {:?}",
                self.engines
            ));
        }
        for request in &self.requests {
            if request.answers.len() != 1 || request.settlements != 1 {
                return Err("a request was not answered and settled exactly once".into());
            }
        }
        // After one more backoff the last cancel is confirmed and no tracker may be left.
        self.advance(u64::try_from(limits().cancel_backoff_max.as_millis()).unwrap_or(0));
        for _ in 0..2 {
            for message in std::mem::take(&mut self.network) {
                self.arrive(message);
            }
        }
        let kept = self
            .requests
            .iter()
            .any(|request| request.tracker.is_some());
        if kept && self.fault == Fault::None {
            return Err("a tracker was not dropped although no engine holds memory".into());
        }
        Ok(())
    }
}

fn run(fault: Fault, steps: &[Step]) -> Result<(), String> {
    let mut world = World::new(fault);
    for step in steps {
        if let Step::Deliver { .. } = step
            && fault == Fault::UnknownCountedAsReleased
        {
            for message in &mut world.network {
                if let Message::Answer {
                    event: Event::CancelAnswered { known, .. },
                    ..
                } = message
                {
                    *known = true;
                }
            }
        }
        world.step(*step);
        world.check_invariants()?;
    }
    world.check_cleanup()
}

fn histories() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..120)
}

/// Guards against leaked engine memory, duplicate answers or settlements, false outcomes and
/// repeated runs, whichever stage a request ends in.
#[test]
fn requests_end_once_with_true_outcome_and_no_leaked_memory() {
    history::holds(6_000, histories(), |steps| run(Fault::None, steps));
}

/// Guards against invariant checks that miss the fault they are meant to detect.
#[yare::parameterized(
    no_tombstone = { Fault::NoTombstone },
    cancel_once = { Fault::CancelSentOnce },
    unknown_as_released = { Fault::UnknownCountedAsReleased },
    tracker_dropped = { Fault::TrackerDroppedAtAnswer },
    retry_after_bytes = { Fault::RetryAfterBytes },
    maybe_as_not_run = { Fault::MaybeReportedAsNotRun },
    settled_twice = { Fault::SettledPerAttempt },
)]
fn invariants_detect(fault: Fault) {
    history::fails(20_000, histories(), |steps| run(fault, steps));
}

/// Guards against two text forms of one id, with which a cancel could miss its request.
#[test]
fn ids_have_one_text_form() {
    let ids = ("[a-z0-9_.-]{1,20}", any::<u64>(), any::<u64>());
    history::holds(2_000, ids, |(host, gateway, sequence)| {
        let id = Id::new(host.clone(), Incarnation(*gateway), *sequence)
            .map_err(|error| error.to_string())?;
        let text = id.to_string();
        let parsed: Id = text.parse().map_err(|error| format!("{text}: {error}"))?;
        if parsed == id { Ok(()) } else { Err(text) }
    });
    history::holds(2_000, "[a-c.0-2+]{0,24}", |text| match text.parse::<Id>() {
        Ok(id) if id.to_string() != *text => Err(format!("{text} is a second form of {id}")),
        _ => Ok(()),
    });
}

/// Guards against a leaked decode: prefill and decode run at the same engine, and a cancel that
/// released only the prefill is counted as confirmation for both (found by fuzzing 100,000
/// histories).
#[test]
fn cancel_of_one_submission_does_not_confirm_another() {
    let at = Instant::from_millis;
    let mut tracker = Tracker::new(Kind::Model, limits());
    let mut submissions = Vec::new();
    let mut keep = |actions: &[Action]| {
        for action in actions {
            if let Action::Submit { submission, .. } = action {
                submissions.push(*submission);
            }
        }
        submissions.last().copied().expect("a submission")
    };
    let (first, decode) = (Endpoint(1), Endpoint(1));
    let charge = Charge::default();
    let prefill = keep(&tracker.event(
        at(1),
        Event::Placed {
            charge,
            first,
            decode,
        },
    ));
    assert!(tracker.send(at(1), prefill));
    let decode = keep(&tracker.event(
        at(2),
        Event::Prefilled {
            submission: prefill,
            prompt: 1,
        },
    ));
    assert!(tracker.send(at(3), decode));
    tracker.event(at(4), Event::CallerGone);
    for submission in [prefill, decode] {
        let event = Event::CancelAnswered {
            submission,
            known: true,
            asked_at: at(4),
        };
        let actions = tracker.event(at(5), event);
        assert!(
            !actions.contains(&Action::Forget),
            "the decode may still arrive"
        );
    }
}

/// Drives a model request to `stage`. It is charged for 10 prompt and 20 output tokens; the prompt
/// has 12 tokens, and 3 tokens are delivered in [`Stage::Streaming`].
fn tracker_at(stage: Stage) -> (Tracker, Submission) {
    let now = Instant::from_millis(1);
    let mut tracker = Tracker::new(Kind::Model, limits());
    let mut latest = None;
    let charge = Charge {
        prompt: 10,
        output: 20,
    };
    let placed = Event::Placed {
        charge,
        first: Endpoint(1),
        decode: Endpoint(2),
    };
    let mut event = Some(placed);
    while tracker.stage() != stage {
        for action in event
            .map(|event| tracker.event(now, event))
            .unwrap_or_default()
        {
            if let Action::Submit { submission, .. } = action {
                latest = Some(submission);
            }
        }
        if tracker.stage() == stage {
            break;
        }
        let submission = latest.expect("a submission");
        event = match tracker.stage() {
            Stage::PrefillSent => Some(Event::Prefilled {
                submission,
                prompt: 12,
            }),
            Stage::DecodeSent => Some(Event::Started { submission }),
            _ => {
                assert!(tracker.send(now, submission));
                None
            }
        };
    }
    tracker.delivered(if stage == Stage::Streaming { 3 } else { 0 });
    (tracker, latest.expect("a submission"))
}

/// Guards against charging a disconnected caller for unused tokens, or not charging it for used
/// ones.
#[yare::parameterized(
    admitted = { Stage::Admitted, 0, 30, Outcome::NotRun, 0 },
    prefill_sent = { Stage::PrefillSent, 10, 20, Outcome::MayHaveRun, 1 },
    prefilled = { Stage::Prefilled, 12, 18, Outcome::Run, 1 },
    decode_sent = { Stage::DecodeSent, 12, 18, Outcome::Run, 2 },
    streaming = { Stage::Streaming, 15, 15, Outcome::Run, 1 },
)]
fn disconnected_caller_is_charged_for_used_tokens(
    stage: Stage,
    used: u64,
    returned: u64,
    outcome: Outcome,
    cancels: usize,
) {
    let (mut tracker, _) = tracker_at(stage);
    let actions = tracker.event(Instant::from_millis(2), Event::CallerGone);
    let sent = actions
        .iter()
        .filter(|action| matches!(action, Action::Cancel { .. }))
        .count();
    assert_eq!(sent, cancels);
    assert!(actions.contains(&Action::Answer {
        end: End::CallerGone,
        outcome
    }));
    let settlements: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Settle(settlement) => Some((settlement.used, settlement.returned())),
            _ => None,
        })
        .collect();
    assert_eq!(settlements, [(used, returned)]);
}

/// Guards against a charge that is never refunded because the coordinator places the request after
/// the caller disconnected.
#[test]
fn late_placement_is_settled_as_unused() {
    let now = Instant::from_millis(1);
    let mut tracker = Tracker::new(Kind::Model, limits());
    let actions = tracker.event(now, Event::CallerGone);
    assert!(actions.contains(&Action::Withdraw));
    let charge = Charge {
        prompt: 10,
        output: 20,
    };
    let placed = Event::Placed {
        charge,
        first: Endpoint(1),
        decode: Endpoint(2),
    };
    let actions = tracker.event(now, placed);
    let [Action::Settle(settlement), Action::Forget] = actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((settlement.used, settlement.returned()), (0, 30));
}

/// Guards against a decode without a KV cache, and a request that waits forever, when the prefill
/// engine exits before the request is placed at another decode engine.
#[test]
fn lost_prefill_is_placed_again() {
    let now = Instant::from_millis(1);
    let (mut tracker, submission) = tracker_at(Stage::DecodeSent);
    tracker.event(
        now,
        Event::Full {
            submission,
            retry_allowed: true,
        },
    );
    let gone = Event::EndpointExited {
        endpoint: Endpoint(1),
        retry_allowed: true,
    };
    assert!(tracker.event(now, gone).is_empty());
    let actions = tracker.event(
        now,
        Event::DecodePlaced {
            decode: Endpoint(3),
        },
    );
    assert_eq!(
        actions,
        [Action::Place {
            keep_prefill: false
        }]
    );
}

/// Guards against repeating the prefill when only the decode engine is full, and against an answer
/// that never completes although nothing else fails.
#[test]
fn refused_decode_reuses_prefill_at_another_engine() {
    let now = Instant::from_millis(1);
    let (mut tracker, submission) = tracker_at(Stage::DecodeSent);
    let actions = tracker.event(
        now,
        Event::Full {
            submission,
            retry_allowed: true,
        },
    );
    assert_eq!(actions, [Action::Place { keep_prefill: true }]);
    let actions = tracker.event(
        now,
        Event::DecodePlaced {
            decode: Endpoint(3),
        },
    );
    let [
        Action::Submit {
            submission,
            endpoint: Endpoint(3),
            role: Role::Decode,
        },
    ] = actions[..]
    else {
        panic!("{actions:?}");
    };
    assert!(tracker.send(now, submission));
    assert!(tracker.event(now, Event::Started { submission }).is_empty());
    tracker.delivered(20);
    let actions = tracker.event(now, Event::Finished { submission });
    let complete = Action::Answer {
        end: End::Complete,
        outcome: Outcome::Run,
    };
    let [answer, Action::Settle(settlement), Action::Forget] = actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((answer, settlement.debt()), (complete, 2));
}
