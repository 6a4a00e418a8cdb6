//! Assembly of a caller's answer from the events of one engine after another.

use std::num::NonZeroU32;
use std::time::Duration;

use crate::clock::Instant;
use crate::deadline::Idle;

/// Bounds of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Highest number of tokens, as admitted and charged.
    pub max_tokens: NonZeroU32,
    /// Highest number of attempts, the first one included.
    pub max_attempts: NonZeroU32,
    /// Longest silence of an engine, before its first event and between events.
    pub idle: Duration,
}

/// An engine's event about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Request id in the engine's message.
    pub request: &'a str,
    /// Attempt in the engine's message.
    pub attempt: u32,
    /// What happened.
    pub body: Body,
}

/// Content of an engine's event, without the token's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// A token of the answer.
    Token {
        /// Place in the whole answer, from zero.
        index: u32,
    },
    /// End of the answer.
    Finish {
        /// Tokens of the whole answer, including those of earlier attempts.
        count: u32,
    },
}

/// A new attempt, to be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt, from one.
    pub number: u32,
    /// Index of the first token to send.
    pub resume_from: u32,
}

/// What to do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Action {
    /// Nothing happened.
    Wait,
    /// Forward the event's token to the caller.
    Deliver,
    /// Ignore the event.
    Drop(Reason),
    /// Cancel the attempt at its engine; then [`Assembler::begin`] another or
    /// [`Assembler::abandon`].
    Resume(Cause),
    /// Tell the caller that the answer is whole.
    Complete,
    /// Cancel the attempt and tell the caller that the answer is not whole, without an end marker.
    Incomplete(Cause),
}

/// Reasons for ignoring an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The event names another request.
    OtherRequest,
    /// The event belongs to an attempt that is not the current one.
    OtherAttempt,
    /// The token was delivered before.
    Repeat,
    /// The answer has ended.
    Ended,
}

/// Reasons for giving up an attempt or an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The engine was silent for longer than the idle limit.
    Idle,
    /// The connection or the engine failed.
    Failed,
    /// A token was skipped; on one connection a missing token does not arrive later.
    Gap,
    /// The final event counts more tokens than were delivered.
    Short,
    /// The final event counts fewer tokens than were delivered.
    Excess,
    /// The engine sent more than `max_tokens`.
    Limit,
    /// The owner of the answer ended it.
    Abandoned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Between,
    Running(Idle),
    Ended,
}

/// Answer to one request.
#[derive(Clone, Debug)]
pub struct Assembler {
    request: Box<str>,
    limits: Limits,
    attempt: u32,
    delivered: u32,
    state: State,
}

impl Assembler {
    /// Makes an empty answer to the request with the given id.
    #[must_use]
    pub fn new(request: impl Into<Box<str>>, limits: Limits) -> Self {
        Self {
            request: request.into(),
            limits,
            attempt: 0,
            delivered: 0,
            state: State::Between,
        }
    }

    /// Starts the next attempt. `None` when one is running, the answer has ended or all attempts
    /// are used up.
    pub fn begin(&mut self, now: Instant) -> Option<Attempt> {
        if self.state != State::Between || self.attempt >= self.limits.max_attempts.get() {
            return None;
        }
        self.attempt += 1;
        self.state = State::Running(Idle::new(now, self.limits.idle));
        Some(Attempt {
            number: self.attempt,
            resume_from: self.delivered,
        })
    }

    /// Decides about an engine's event.
    pub fn event(&mut self, now: Instant, event: &Event<'_>) -> Action {
        if *event.request != *self.request {
            return Action::Drop(Reason::OtherRequest);
        }
        let idle = match &mut self.state {
            State::Ended => return Action::Drop(Reason::Ended),
            State::Running(idle) if event.attempt == self.attempt => idle,
            State::Between | State::Running(_) => return Action::Drop(Reason::OtherAttempt),
        };
        if !idle.accept_data(now) {
            return self.interrupt(Cause::Idle);
        }
        match event.body {
            Body::Token { index } if index < self.delivered => Action::Drop(Reason::Repeat),
            Body::Token { index } if index > self.delivered => self.interrupt(Cause::Gap),
            Body::Token { .. } if self.delivered >= self.limits.max_tokens.get() => {
                self.end(Cause::Limit)
            }
            Body::Token { .. } => {
                self.delivered += 1;
                Action::Deliver
            }
            Body::Finish { count } if count > self.delivered => self.interrupt(Cause::Short),
            Body::Finish { count } if count < self.delivered => self.end(Cause::Excess),
            Body::Finish { .. } => {
                self.state = State::Ended;
                Action::Complete
            }
        }
    }

    /// Checks the idle deadline.
    pub fn tick(&mut self, now: Instant) -> Action {
        match &mut self.state {
            State::Running(idle) => {
                if idle.expire(now) {
                    self.interrupt(Cause::Idle)
                } else {
                    Action::Wait
                }
            }
            State::Between | State::Ended => Action::Wait,
        }
    }

    /// Reports that the connection or the engine of an attempt failed.
    pub fn fail(&mut self, attempt: u32) -> Action {
        match self.state {
            State::Running(_) if attempt == self.attempt => self.interrupt(Cause::Failed),
            State::Between | State::Running(_) | State::Ended => Action::Wait,
        }
    }

    /// Ends an answer that will not be continued.
    pub fn abandon(&mut self) -> Action {
        match self.state {
            State::Ended => Action::Wait,
            State::Between | State::Running(_) => self.end(Cause::Abandoned),
        }
    }

    /// Tokens delivered to the caller.
    #[must_use]
    pub const fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Number of the latest attempt; zero before the first.
    #[must_use]
    pub const fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Whether the answer has ended, whole or not.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Time at which [`Assembler::tick`] must be called; `None` when no attempt runs.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        match &self.state {
            State::Running(idle) => Some(idle.deadline()),
            State::Between | State::Ended => None,
        }
    }

    fn interrupt(&mut self, cause: Cause) -> Action {
        if self.attempt >= self.limits.max_attempts.get() {
            return self.end(cause);
        }
        self.state = State::Between;
        Action::Resume(cause)
    }

    const fn end(&mut self, cause: Cause) -> Action {
        self.state = State::Ended;
        Action::Incomplete(cause)
    }
}
