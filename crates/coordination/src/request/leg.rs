//! One submit to one endpoint, until the endpoint certainly holds nothing for it.

use std::time::Duration;

use crate::clock::Instant;
use crate::request::{Endpoint, Role};

/// Whether an endpoint began the request, in increasing certainty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Ran {
    #[default]
    No,
    Maybe,
    Yes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The submit waits in the gateway and nothing was sent.
    Issued,
    /// The submit may be on its way or at the endpoint.
    Sent { at: Instant },
    /// The endpoint answered the submit, so it is no longer on its way.
    Held { since: Instant },
    /// The endpoint holds nothing for the submit and never will.
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Cancel {
    next: Instant,
    pause: Duration,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Leg {
    pub(crate) endpoint: Endpoint,
    pub(crate) role: Role,
    pub(crate) ran: Ran,
    state: State,
    cancel: Option<Cancel>,
}

impl Leg {
    pub(crate) const fn new(endpoint: Endpoint, role: Role) -> Self {
        Self {
            endpoint,
            role,
            ran: Ran::No,
            state: State::Issued,
            cancel: None,
        }
    }

    /// Marks the submit as sent; false when it must not be sent.
    pub(crate) fn send(&mut self, now: Instant) -> bool {
        if self.state != State::Issued {
            return false;
        }
        self.state = State::Sent { at: now };
        self.ran = Ran::Maybe;
        true
    }

    pub(crate) const fn over(&self) -> bool {
        matches!(self.state, State::Over)
    }

    pub(crate) const fn issued(&self) -> bool {
        matches!(self.state, State::Issued)
    }

    /// The endpoint began the request and answered the submit.
    pub(crate) fn hold(&mut self, now: Instant) {
        self.ran = Ran::Yes;
        if matches!(self.state, State::Issued | State::Sent { .. }) {
            self.state = State::Held { since: now };
        }
    }

    pub(crate) fn release(&mut self) {
        self.state = State::Over;
        self.cancel = None;
    }

    /// The endpoint certainly did not begin the request.
    pub(crate) fn unrun(&mut self) {
        if self.ran == Ran::Maybe {
            self.ran = Ran::No;
        }
        self.release();
    }

    /// Starts to cancel; true when a cancel must be sent now.
    pub(crate) fn cancel(&mut self, now: Instant, pause: Duration) -> bool {
        if self.issued() {
            self.release();
        }
        if self.over() || self.cancel.is_some() {
            return false;
        }
        self.cancel = Some(Cancel {
            next: now + pause,
            pause,
        });
        true
    }

    /// True when the cancel must be repeated now.
    pub(crate) fn repeat(&mut self, now: Instant, longest: Duration) -> bool {
        let Some(cancel) = &mut self.cancel else {
            return false;
        };
        if now < cancel.next {
            return false;
        }
        cancel.pause = (cancel.pause * 2).min(longest);
        cancel.next = now + cancel.pause;
        true
    }

    pub(crate) fn next(&self) -> Option<Instant> {
        self.cancel.map(|cancel| cancel.next)
    }

    /// The endpoint said, to a question asked at `asked`, that it holds nothing. This is final
    /// unless the question may have overtaken the submit. Within a millisecond the order of both
    /// is unknown.
    pub(crate) fn absent(&mut self, asked: Instant, flight: Duration) {
        let arrived_by = match self.state {
            State::Sent { at } => at + flight,
            State::Held { since } => since,
            State::Issued | State::Over => return,
        };
        if asked > arrived_by && self.cancel.is_some() {
            self.release();
        }
    }
}
