//! State of one submission to one endpoint, kept until the endpoint provably holds nothing for it.

use std::time::Duration;

use crate::clock::Instant;
use crate::request::{Endpoint, Role};

/// Whether an endpoint started the request, ordered by certainty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Ran {
    #[default]
    No,
    Maybe,
    Yes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The submission waits in the gateway; no byte was sent.
    Queued,
    /// The submission may be in flight or at the endpoint.
    Sent { at: Instant },
    /// The endpoint answered the submission, so it is no longer in flight.
    Acknowledged { since: Instant },
    /// The endpoint holds nothing for the submission and never will.
    Released,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Cancel {
    next: Instant,
    backoff: Duration,
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
            state: State::Queued,
            cancel: None,
        }
    }

    /// Marks the submission as sent; false if it must not be sent.
    pub(crate) fn send(&mut self, now: Instant) -> bool {
        if self.state != State::Queued {
            return false;
        }
        self.state = State::Sent { at: now };
        self.ran = Ran::Maybe;
        true
    }

    pub(crate) const fn is_released(&self) -> bool {
        matches!(self.state, State::Released)
    }

    pub(crate) const fn is_queued(&self) -> bool {
        matches!(self.state, State::Queued)
    }

    /// Records that the endpoint answered, so it has started the request.
    pub(crate) fn acknowledge(&mut self, now: Instant) {
        self.ran = Ran::Yes;
        if matches!(self.state, State::Queued | State::Sent { .. }) {
            self.state = State::Acknowledged { since: now };
        }
    }

    pub(crate) fn release(&mut self) {
        self.state = State::Released;
        self.cancel = None;
    }

    /// Records that the endpoint provably did not start the request.
    pub(crate) fn mark_not_run(&mut self) {
        if self.ran == Ran::Maybe {
            self.ran = Ran::No;
        }
        self.release();
    }

    /// Starts cancelling with this initial backoff; true if a cancel must be sent now.
    pub(crate) fn cancel(&mut self, now: Instant, backoff: Duration) -> bool {
        if self.is_queued() {
            self.release();
        }
        if self.is_released() || self.cancel.is_some() {
            return false;
        }
        self.cancel = Some(Cancel {
            next: now + backoff,
            backoff,
        });
        true
    }

    /// Whether the cancel must be repeated now; if so, doubles the backoff until the next one.
    pub(crate) fn repeat_cancel(&mut self, now: Instant, backoff_max: Duration) -> bool {
        let Some(cancel) = &mut self.cancel else {
            return false;
        };
        if now < cancel.next {
            return false;
        }
        cancel.backoff = (cancel.backoff * 2).min(backoff_max);
        cancel.next = now + cancel.backoff;
        true
    }

    /// Time of the next cancel, while cancelling.
    pub(crate) fn next_cancel(&self) -> Option<Instant> {
        self.cancel.map(|cancel| cancel.next)
    }

    /// Takes the endpoint's statement that it holds nothing, in answer to a message sent at
    /// `asked_at`. The statement is final unless that message may have overtaken the submission;
    /// within one millisecond the order of the two is unknown.
    pub(crate) fn confirm_absent(&mut self, asked_at: Instant, delivery_timeout: Duration) {
        let arrived_by = match self.state {
            State::Sent { at } => at + delivery_timeout,
            State::Acknowledged { since } => since,
            State::Queued | State::Released => return,
        };
        if asked_at > arrived_by && self.cancel.is_some() {
            self.release();
        }
    }
}
