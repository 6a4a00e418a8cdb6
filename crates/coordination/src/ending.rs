//! Decides whether a close-delimited answer is complete.
//!
//! Answers with neither a length nor chunks end with their connection. The kernel closes the connections of
//! a process that dies in the same way, so such an end proves nothing by itself. An answer counts as
//! complete only if its endpoint still accepts connections; a resumable stream, only once an endpoint that
//! was asked for the rest has sent none.
//!
//! Three faults are not noticed: an endpoint that lives and breaks off an answer that is not resumable, one
//! that breaks off a stream and then the rest of it before the first event, and one that breaks off a stream
//! for the first time while the retry budget allows no question.

/// What marks the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// A length or a last chunk; without it, the end of the connection is an error.
    Delimited,
    /// The end of the connection.
    Close,
}

/// What to do at the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: the answer is whole.
    Finish,
    /// Ask the same endpoint to go on after the last event.
    AskForRest,
    /// Find out whether the endpoint accepts connections; the answer is complete if it does.
    Reach,
    /// Go on at another endpoint: this one breaks answers off.
    Break,
}

/// The ends of one answer, which several endpoints may send one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    resumable: bool,
    /// Number of events after which an endpoint was asked for the rest.
    asked_after: Option<u32>,
    /// Whether the present endpoint was asked for it.
    is_asked: bool,
    /// Whether an endpoint had more to send after an end.
    has_broken_off: bool,
}

impl Ending {
    /// Ending of an answer; `resumable` is whether an endpoint can be asked for the rest of it.
    #[must_use]
    pub const fn new(resumable: bool) -> Self {
        Self {
            resumable,
            asked_after: None,
            is_asked: false,
            has_broken_off: false,
        }
    }

    /// Handles an end without an error, after a number of whole events.
    pub fn ended(&mut self, framing: Framing, events: u32) -> Step {
        if framing == Framing::Delimited {
            return Step::Finish;
        }
        if !self.resumable || self.asked_after == Some(events) {
            return Step::Reach;
        }
        self.asked_after = Some(events);
        if self.is_asked {
            self.is_asked = false;
            self.has_broken_off = true;
            return Step::Break;
        }
        self.is_asked = true;
        Step::AskForRest
    }

    /// What to do if the retry budget does not allow to ask for the rest. A cut needs evidence against the
    /// answer: without it every whole stream without a length would be cut once the budget is used up.
    #[must_use]
    pub const fn denied(&self) -> Step {
        if self.has_broken_off {
            Step::Break
        } else {
            Step::Reach
        }
    }

    /// Records that the present endpoint cannot prove the end, so that another one is asked for the rest.
    pub const fn unproven(&mut self) {
        self.is_asked = false;
    }

    /// Records that the answer failed before its end, so that another endpoint goes on with it.
    pub const fn failed(&mut self) {
        self.asked_after = None;
        self.is_asked = false;
    }
}
