//! Simulation of answers over a network that loses, duplicates, delays, reorders and misroutes
//! events.

mod history;

use std::num::NonZeroU32;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::stream::{Action, Assembler, Body, Event, Limits, Reason};
use proptest::prelude::*;

const REQUESTS: [&str; 2] = ["a.1.1", "a.1.2"];
const MAX_TOKENS: u32 = 8;
const IDLE_MS: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    OldAttemptAccepted,
    OtherRequestAccepted,
    RepeatDelivered,
    IncompleteEndedAsComplete,
    SilentConnectionReused,
    LimitIgnored,
}

#[derive(Clone, Debug)]
enum Step {
    Emit(usize),
    Transmit {
        pick: usize,
        keep: bool,
        to: usize,
    },
    Lose(usize),
    Fail(usize),
    Advance(u64),
    /// Time passes while the process is paused and checks no deadline.
    Pause(u64),
    Begin(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..2_usize).prop_map(Step::Emit),
        // Most events arrive in order at their own request; the others in any order at any request.
        9 => (0..2_usize).prop_map(|to| Step::Transmit { pick: 0, keep: false, to }),
        2 => (0..16_usize, any::<bool>(), 0..2_usize)
            .prop_map(|(pick, keep, to)| Step::Transmit { pick, keep, to }),
        1 => (0..4_usize).prop_map(Step::Lose),
        1 => (0..2_usize).prop_map(Step::Fail),
        1 => (1..120_u64).prop_map(Step::Advance),
        1 => (1..120_u64).prop_map(Step::Pause),
        4 => (0..2_usize).prop_map(Step::Begin),
    ]
}

#[derive(Clone, Copy, Debug)]
struct Message {
    request: usize,
    attempt: u32,
    body: Body,
}

/// An engine that sends the tokens from `next` to `length`; more than `MAX_TOKENS` if it is faulty.
#[derive(Clone, Copy)]
struct Engine {
    attempt: u32,
    next: u32,
    length: u32,
    finished: bool,
}

struct Request {
    assembler: Assembler,
    engine: Option<Engine>,
    /// Tokens that the caller received: request, attempt and index.
    received: Vec<(usize, u32, u32)>,
    reported_complete: Option<bool>,
}

/// Runs a history. Returns whether each caller was told that its answer is complete; `None` if the
/// answer has not ended.
fn run(fault: Fault, lengths: &[u32], steps: &[Step]) -> Result<[Option<bool>; 2], String> {
    let limits = Limits {
        max_tokens: NonZeroU32::new(MAX_TOKENS).expect("not zero"),
        max_attempts: NonZeroU32::new(3).expect("not zero"),
        idle: Duration::from_millis(IDLE_MS),
    };
    let mut now = Instant::from_millis(0);
    let mut network: Vec<Message> = Vec::new();
    let mut requests = REQUESTS.map(|id| Request {
        assembler: Assembler::new(id, limits),
        engine: None,
        received: Vec::new(),
        reported_complete: None,
    });
    for step in steps {
        match *step {
            Step::Begin(index) => {
                let request = &mut requests[index];
                let Some(attempt) = request.assembler.begin(now) else {
                    continue;
                };
                let length = lengths[(index + attempt.number as usize) % lengths.len()];
                request.engine = Some(Engine {
                    attempt: attempt.number,
                    next: attempt.resume_from,
                    length,
                    finished: false,
                });
            }
            Step::Emit(index) => {
                let Some(engine) = &mut requests[index].engine else {
                    continue;
                };
                if engine.finished {
                    continue;
                }
                let body = if engine.next < engine.length {
                    engine.next += 1;
                    Body::Token {
                        index: engine.next - 1,
                    }
                } else {
                    engine.finished = true;
                    Body::Finish {
                        count: engine.length,
                    }
                };
                network.push(Message {
                    request: index,
                    attempt: engine.attempt,
                    body,
                });
            }
            Step::Lose(pick) if !network.is_empty() => {
                network.remove(pick % network.len());
            }
            Step::Transmit { pick, keep, to } if !network.is_empty() => {
                let pick = pick % network.len();
                let message = network[pick];
                if !keep {
                    network.remove(pick);
                }
                // The oldest message goes to its own request; any other may be misrouted.
                let to = if pick == 0 { message.request } else { to };
                arrive(fault, &mut requests[to], to, message, now)?;
            }
            Step::Lose(_) | Step::Transmit { .. } => {}
            Step::Fail(index) => {
                let attempt = requests[index].assembler.attempt();
                apply(&mut requests[index], None, |assembler| {
                    assembler.fail(attempt)
                })?;
            }
            Step::Pause(millis) => now = now + Duration::from_millis(millis),
            Step::Advance(millis) => {
                now = now + Duration::from_millis(millis);
                if fault == Fault::SilentConnectionReused {
                    continue;
                }
                for request in &mut requests {
                    apply(request, None, |assembler| assembler.tick(now))?;
                }
            }
        }
        for (index, request) in requests.iter().enumerate() {
            check_invariants(index, request)?;
        }
    }
    Ok(requests.map(|request| request.reported_complete))
}

fn arrive(
    fault: Fault,
    request: &mut Request,
    to: usize,
    mut message: Message,
    now: Instant,
) -> Result<(), String> {
    let origin = message;
    match fault {
        Fault::OldAttemptAccepted => message.attempt = request.assembler.attempt(),
        Fault::OtherRequestAccepted => message.request = to,
        _ => {}
    }
    let event = Event {
        request: REQUESTS[message.request],
        attempt: message.attempt,
        body: message.body,
    };
    let deadline = request
        .assembler
        .deadline()
        .filter(|deadline| now >= *deadline);
    let clock = match deadline {
        Some(deadline) if fault == Fault::SilentConnectionReused => {
            deadline - Duration::from_millis(1)
        }
        _ => now,
    };
    let decision = request.assembler.event(clock, &event);
    if deadline.is_some() && matches!(decision, Action::Deliver | Action::Complete) {
        return Err(format!(
            "an event was used after the idle timeout of its connection: {message:?}"
        ));
    }
    let action = match (fault, decision) {
        (Fault::RepeatDelivered, Action::Drop(Reason::Repeat)) => Action::Deliver,
        (Fault::IncompleteEndedAsComplete, Action::Incomplete(_)) => Action::Complete,
        (Fault::LimitIgnored, Action::Incomplete(_))
            if matches!(message.body, Body::Token { .. }) =>
        {
            Action::Deliver
        }
        (_, action) => action,
    };
    apply(request, Some(origin), |_| action)
}

fn apply(
    request: &mut Request,
    message: Option<Message>,
    act: impl FnOnce(&mut Assembler) -> Action,
) -> Result<(), String> {
    match act(&mut request.assembler) {
        Action::Deliver => {
            let message = message.ok_or("a token was delivered without a message")?;
            let Body::Token { index } = message.body else {
                return Err("an event other than a token was delivered".into());
            };
            request
                .received
                .push((message.request, message.attempt, index));
        }
        Action::Complete | Action::Incomplete(_) if request.reported_complete.is_some() => {
            return Err("the caller was told of the end twice".into());
        }
        Action::Complete => request.reported_complete = Some(true),
        Action::Incomplete(_) => request.reported_complete = Some(false),
        Action::Resume(_) | Action::Drop(_) | Action::Wait => {}
    }
    Ok(())
}

/// Invariants: the caller received each index once, in order, from successive attempts, and was
/// told that the answer is complete only with all tokens of the last attempt's answer.
fn check_invariants(index: usize, request: &Request) -> Result<(), String> {
    let mut latest = 0;
    for (place, &(origin, attempt, token)) in request.received.iter().enumerate() {
        if origin != index || token as usize != place || attempt < latest {
            return Err(format!(
                "the received tokens are not a prefix of the answer: {:?}",
                request.received
            ));
        }
        latest = attempt;
    }
    if request.received.len() > MAX_TOKENS as usize {
        return Err("the caller received more than max_tokens tokens".into());
    }
    let whole = request
        .engine
        .is_some_and(|engine| engine.length as usize == request.received.len());
    if request.reported_complete == Some(true) && !whole {
        return Err("the answer was reported as complete, but tokens are missing".into());
    }
    Ok(())
}

fn histories() -> impl Strategy<Value = (Vec<u32>, Vec<Step>)> {
    // Length 9 exceeds MAX_TOKENS: an engine that ignores the limit.
    (
        prop::collection::vec(0..10_u32, 4),
        prop::collection::vec(step(), 1..160),
    )
}

/// Guards against answers with missing, duplicate or foreign tokens, and against false end markers.
#[test]
fn callers_receive_a_prefix_and_a_true_end_marker() {
    history::holds(2_000, histories(), |(lengths, steps)| {
        run(Fault::None, lengths, steps).map(drop)
    });
}

/// Guards against invariant checks that miss the fault they are meant to detect.
#[yare::parameterized(
    old_attempt = { Fault::OldAttemptAccepted },
    other_request = { Fault::OtherRequestAccepted },
    repeat = { Fault::RepeatDelivered },
    incomplete_as_complete = { Fault::IncompleteEndedAsComplete },
    silent_connection = { Fault::SilentConnectionReused },
    limit = { Fault::LimitIgnored },
)]
fn invariants_detect(fault: Fault) {
    history::fails(4_000, histories(), |(lengths, steps)| {
        run(fault, lengths, steps).map(drop)
    });
}

/// Guards against answers that never complete although nothing fails.
#[test]
fn answer_without_faults_completes() {
    let mut steps = vec![Step::Begin(0)];
    for _ in 0..6 {
        steps.push(Step::Emit(0));
        steps.push(Step::Transmit {
            pick: 0,
            keep: false,
            to: 0,
        });
    }
    assert_eq!(run(Fault::None, &[5], &steps), Ok([Some(true), None]));
}
