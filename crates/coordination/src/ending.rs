//! Decides whether an answer is whole whose end is that of its connection.
//!
//! Answers with neither a length nor chunks end with their connection. The kernel closes the connections of
//! a process that dies in the same way, so such an end proves nothing by itself. An answer is whole only if
//! its endpoint still accepts connections; a stream that can go on after its last event, only once an
//! endpoint that was asked for the rest has sent none.
//!
//! Replaces the rule that a stream is whole if it ends between two events, which passed off what a dying
//! engine had sent so far as a complete answer.

/// What marks the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// A length or a last chunk; without it, the end of the connection is an error.
    Stated,
    /// The end of the connection.
    Connection,
}

/// What to do at the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: the answer is whole.
    Finish,
    /// Ask the same endpoint to go on after the last event.
    AskForRest,
    /// Find out whether the endpoint accepts connections; the answer is whole if it does.
    Reach,
    /// Go on at another endpoint: this one breaks answers off.
    Break,
}

/// The ends of one answer, which several endpoints may send one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    can_go_on: bool,
    /// Number of events after which an endpoint was asked for the rest.
    asked_after: Option<u32>,
    /// Whether the present endpoint was asked for it.
    is_asked: bool,
}

impl Ending {
    /// Ending of an answer; `can_go_on` is whether an endpoint can be asked for the rest of it.
    #[must_use]
    pub const fn new(can_go_on: bool) -> Self {
        Self {
            can_go_on,
            asked_after: None,
            is_asked: false,
        }
    }

    /// Ending of a stream that its caller takes up: the first endpoint is asked for the rest already.
    #[must_use]
    pub const fn taken_up(can_go_on: bool) -> Self {
        Self {
            asked_after: Some(0),
            ..Self::new(can_go_on)
        }
    }

    /// Handles an end without an error, after a number of whole events.
    pub fn ended(&mut self, framing: Framing, events: u32) -> Step {
        if framing == Framing::Stated {
            return Step::Finish;
        }
        if !self.can_go_on || self.asked_after == Some(events) {
            return Step::Reach;
        }
        self.asked_after = Some(events);
        if self.is_asked {
            self.is_asked = false;
            return Step::Break;
        }
        self.is_asked = true;
        Step::AskForRest
    }

    /// Records that the present endpoint cannot prove the end, so that another one is asked for the rest.
    pub const fn refused(&mut self) {
        self.is_asked = false;
    }

    /// Records that the answer failed before its end, so that another endpoint goes on with it.
    pub const fn failed(&mut self) {
        self.asked_after = None;
        self.is_asked = false;
    }
}
