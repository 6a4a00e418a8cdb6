//! Assembly of a caller's token stream from successive attempts at different engines.

use std::num::NonZeroU32;
use std::time::Duration;

use crate::clock::Instant;
use crate::deadline::Idle;

/// Limits of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of tokens, as admitted and charged.
    pub max_tokens: NonZeroU32,
    /// Maximum number of attempts, including the first.
    pub max_attempts: NonZeroU32,
    /// Idle timeout of an engine, before its first event and between events.
    pub idle: Duration,
}

/// Event in an engine's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Request id in the engine's message.
    pub request: &'a str,
    /// Attempt number in the engine's message.
    pub attempt: u32,
    /// A token or the end of the answer.
    pub body: Body,
}

/// Content of an engine's event, without the token's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// A token of the answer.
    Token {
        /// Index in the whole answer, from zero.
        index: u32,
    },
    /// End of the answer.
    Finish {
        /// Number of tokens in the whole answer, including those of earlier attempts.
        count: u32,
    },
}

/// A new attempt to send to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt, from one.
    pub number: u32,
    /// Index of the first token that the engine must send.
    pub resume_from: u32,
}

/// What the owner of the answer must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Action {
    /// Nothing to do.
    Wait,
    /// Forward the event's token to the caller.
    Deliver,
    /// Ignore the event.
    Drop(Reason),
    /// Cancel the attempt at its engine; then call [`Assembler::begin`] or [`Assembler::abandon`].
    Resume(Cause),
    /// Send the caller the end marker: the answer is complete.
    Complete,
    /// Cancel the attempt and tell the caller, without an end marker, that the answer is
    /// incomplete.
    Incomplete(Cause),
}

/// Why an event was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The event names another request.
    OtherRequest,
    /// The event belongs to another attempt than the running one.
    OtherAttempt,
    /// The token was already delivered.
    Repeat,
    /// The answer has ended.
    Ended,
}

/// Why an attempt or the answer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The idle timeout passed.
    Idle,
    /// The connection or the engine failed.
    Failed,
    /// A token is missing; it cannot arrive later on the same connection.
    Gap,
    /// The final event counts more tokens than were delivered.
    Short,
    /// The final event counts fewer tokens than were delivered.
    Excess,
    /// The engine sent more than `max_tokens`.
    Limit,
    /// [`Assembler::abandon`] was called.
    Abandoned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No attempt runs, and the answer has not ended.
    Between,
    Running(Idle),
    Ended,
}

/// State machine of one request's answer.
#[derive(Clone, Debug)]
pub struct Assembler {
    request: Box<str>,
    limits: Limits,
    attempt: u32,
    delivered: u32,
    state: State,
}

impl Assembler {
    /// Makes the empty answer of the request with this id.
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

    /// Starts the next attempt; `None` if one is running, the answer has ended or no attempt is
    /// left.
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

    /// Processes an engine's event.
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

    /// Checks the idle timeout.
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

    /// Records a failure of an attempt's connection or engine; ignored unless that attempt is
    /// running.
    pub fn fail(&mut self, attempt: u32) -> Action {
        match self.state {
            State::Running(_) if attempt == self.attempt => self.interrupt(Cause::Failed),
            State::Between | State::Running(_) | State::Ended => Action::Wait,
        }
    }

    /// Ends the answer as incomplete without another attempt.
    pub fn abandon(&mut self) -> Action {
        match self.state {
            State::Ended => Action::Wait,
            State::Between | State::Running(_) => self.end(Cause::Abandoned),
        }
    }

    /// Number of tokens delivered to the caller.
    #[must_use]
    pub const fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Number of the latest attempt; zero before the first.
    #[must_use]
    pub const fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Whether the answer has ended, complete or not.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Time of the next due [`Assembler::tick`]; `None` if no attempt is running.
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
