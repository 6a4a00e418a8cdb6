//! Decides whether a close-delimited answer is complete.
//!
//! Answers with neither a length nor chunks end with their connection. The kernel closes the connections of
//! a process that dies in the same way, so such an end proves nothing by itself. An answer counts as
//! complete only if its endpoint still accepts connections; a resumable stream, only once an endpoint that
//! was asked for the rest has sent none.
//!
//! An endpoint that leaves, pauses, limits its requests or is closed to new ones may get no question, or only
//! a later one. If no endpoint of its version can be asked before the caller gives up, the end is believed
//! unless something speaks against it: cutting such streams loses whole ones, of which sound endpoints send
//! far more than broken ones.
//!
//! Three faults are not noticed: an endpoint that lives and breaks off an answer that is not resumable, one
//! that breaks off a stream and then the rest of it before the first event, and one that is not known to
//! break answers off and does so while no endpoint can be asked.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Instant;

/// Time for which an endpoint that broke an answer off is not believed without a proof. An endpoint that
/// breaks off one answer in a hundred is found again within this time from some requests a second on.
const BREAK_MEMORY: Duration = Duration::from_secs(30);

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
    /// Whether the present endpoint was asked for it and has sent none yet.
    awaits_rest: bool,
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
            awaits_rest: false,
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
        self.awaits_rest = true;
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

    /// Whether the end may be believed without a proof, if the endpoint still accepts connections and no other
    /// one can be asked.
    #[must_use]
    pub fn is_credible(&self, reason: Unproven) -> bool {
        !self.has_broken_off && !reason.speaks_against()
    }

    /// Handles an event. Returns whether it is the first one of a rest that the present endpoint was asked for,
    /// which shows that it broke the answer off.
    pub const fn progressed(&mut self) -> bool {
        std::mem::replace(&mut self.awaits_rest, false)
    }

    /// Records that the present endpoint cannot prove the end, so that another one is asked for the rest.
    pub const fn unproven(&mut self) {
        self.is_asked = false;
        self.awaits_rest = false;
    }

    /// Records that the answer failed before its end, so that another endpoint goes on with it.
    pub const fn failed(&mut self) {
        self.asked_after = None;
        self.is_asked = false;
        self.awaits_rest = false;
    }
}

/// Why an endpoint has not proved the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unproven {
    /// It has started again, so the answer may have ended with the earlier process.
    Restarted,
    /// Its entry is gone: it leaves, or has left.
    Gone,
    /// It leaves and takes no further request.
    Leaving,
    /// Its entry is too old for new requests.
    EntryLate,
    /// Nothing new goes to its data centre.
    Evacuated,
    /// It has asked for a pause.
    Paused,
    /// It limits its requests, and others have used the limit up.
    Limited,
    /// The retry budget is used up.
    Budget,
    /// It refused the question as not run.
    Refused,
    /// The question brought no answer, or an error.
    NoAnswer,
}

impl Unproven {
    /// Name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Restarted => "restarted",
            Self::Gone => "gone",
            Self::Leaving => "leaving",
            Self::EntryLate => "entry late",
            Self::Evacuated => "evacuated",
            Self::Paused => "paused",
            Self::Limited => "limited",
            Self::Budget => "budget",
            Self::Refused => "refused",
            Self::NoAnswer => "no answer",
        }
    }

    /// Whether it is evidence that the answer was broken off.
    const fn speaks_against(self) -> bool {
        matches!(self, Self::Restarted | Self::NoAnswer)
    }
}

/// Entry of an endpoint at the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// That of the start which sent the answer.
    Same,
    /// That of a later start, or of another endpoint at the address.
    Replaced,
    /// There is none.
    Gone,
}

/// What bears on a question for the rest of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Access {
    /// Entry of the endpoint.
    pub entry: Entry,
    /// Time left to send it requests; `None` if it does not leave.
    pub leaves_in: Option<Duration>,
    /// Time until its entry is read again; `None` if it is recent enough for new requests.
    pub entry_due_in: Option<Duration>,
    /// Whether new requests may go to its data centre.
    pub is_open: bool,
    /// Time left of the pause that it has asked for.
    pub pause_left: Option<Duration>,
    /// Whether it limits its requests.
    pub is_limited: bool,
}

/// When an endpoint may be asked for the rest of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// Now.
    Ask,
    /// Now, with a permit for one of its limited requests.
    AskWithPermit,
    /// Perhaps after this time.
    Wait(Duration, Unproven),
    /// Not at all.
    Skip(Unproven),
}

impl Question {
    /// The question if the caller of the answer stays for `patience`.
    #[must_use]
    pub fn within(self, patience: Duration) -> Self {
        match self {
            Self::Wait(wait, reason) if wait > patience => Self::Skip(reason),
            question => question,
        }
    }
}

impl Access {
    /// Access to an endpoint that takes requests, as far as its entry goes.
    #[must_use]
    pub const fn new(entry: Entry) -> Self {
        Self {
            entry,
            leaves_in: None,
            entry_due_in: None,
            is_open: true,
            pause_left: None,
            is_limited: false,
        }
    }

    /// When the endpoint may be asked.
    #[must_use]
    pub fn question(&self) -> Question {
        match self.entry {
            Entry::Same => {}
            Entry::Replaced => return Question::Skip(Unproven::Restarted),
            Entry::Gone => return Question::Skip(Unproven::Gone),
        }
        if !self.is_open {
            return Question::Skip(Unproven::Evacuated);
        }
        if self.leaves_in.is_some_and(|left| left.is_zero()) {
            return Question::Skip(Unproven::Leaving);
        }
        if let Some(wait) = self.entry_due_in {
            return Question::Wait(wait, Unproven::EntryLate);
        }
        if let Some(wait) = self.pause_left {
            return Question::Wait(wait, Unproven::Paused);
        }
        if self.is_limited {
            return Question::AskWithPermit;
        }
        Question::Ask
    }
}

/// Endpoints that were shown to break answers off between two events, or inside one. Keys must not be used again.
#[derive(Clone, Debug)]
pub struct Breaks<K> {
    last: HashMap<K, Instant>,
}

impl<K> Default for Breaks<K> {
    fn default() -> Self {
        Self {
            last: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Breaks<K> {
    /// Records that an endpoint broke an answer off.
    pub fn record(&mut self, now: Instant, endpoint: K) {
        self.last.retain(|_, last| is_remembered(now, *last));
        self.last.insert(endpoint, now);
    }

    /// Whether an endpoint has broken an answer off recently.
    #[must_use]
    pub fn is_recent(&self, now: Instant, endpoint: K) -> bool {
        let last = self.last.get(&endpoint);
        last.is_some_and(|last| is_remembered(now, *last))
    }

    /// Forgets an endpoint that has restarted.
    pub fn remove(&mut self, endpoint: K) {
        self.last.remove(&endpoint);
    }
}

fn is_remembered(now: Instant, last: Instant) -> bool {
    now.since(last) < BREAK_MEMORY
}
