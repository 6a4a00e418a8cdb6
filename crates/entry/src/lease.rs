//! The lease of the one host that gives orders to engines.
//!
//! Holders follow one another in a log: a host appends its claim on the condition that the log still
//! ends where it read it, and the position of the claim is its fencing token. The holder gives orders
//! only for a part of the lease time after the claim was sent. Another host claims only after the
//! last claim has surely lapsed, and then waits once more, so that orders of two holders never lie
//! within one lease time of each other. Answers freezes of the holder and lost answers of the store.

use std::time::Duration;

use berylknot_coordination::clock::Instant;

/// Part of the lease time in which a holder gives orders, so that one that is slow to send still
/// ends before the lease does.
const USED_SHARE: f64 = 0.7;
/// Time that a claim or an order may be late beyond the lease.
const MARGIN: Duration = Duration::from_millis(300);

/// What a host does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the log from the known end on.
    Read,
    /// Append a claim if the log ends at this position.
    Claim(u64),
    /// Nothing for now.
    Wait,
    /// It holds the lease: orders may carry this fencing token.
    Hold(u64),
}

/// What a host knows of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: String,
    length: Duration,
    /// End of the log, the holder of its last claim, and when that was read.
    known: Option<Known>,
    /// Position of the own last claim, when it was sent, and when orders may begin.
    own: Option<Own>,
}

#[derive(Clone, Debug)]
struct Known {
    end: u64,
    holder: Option<String>,
    read: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Own {
    token: u64,
    sent: Instant,
    from: Instant,
}

impl Lease {
    /// Makes the view of a host that knows nothing of the log.
    #[must_use]
    pub fn new(holder: String, length: Duration) -> Self {
        Self {
            holder,
            length,
            known: None,
            own: None,
        }
    }

    /// Name under which the host claims.
    #[must_use]
    pub fn holder(&self) -> &str {
        &self.holder
    }

    /// End of the log as far as it is known.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.known.as_ref().map_or(0, |known| known.end)
    }

    /// What to do for the sake of an order.
    #[must_use]
    pub fn step(&self, now: Instant) -> Step {
        if let Some(token) = self.token(now) {
            return Step::Hold(token);
        }
        if let Some(own) = &self.own
            && now < own.sent + self.length
        {
            // Orders begin later, or the claim is about to lapse.
            return Step::Wait;
        }
        match &self.known {
            None => Step::Read,
            Some(known) if self.is_free(known, now) => Step::Claim(known.end),
            Some(_) => Step::Wait,
        }
    }

    /// The fencing token, if an order may be sent now.
    #[must_use]
    pub fn token(&self, now: Instant) -> Option<u64> {
        let own = self.own?;
        (now >= own.from
            && now < own.sent + self.length.mul_f64(USED_SHARE) + own.from.since(own.sent))
        .then_some(own.token)
    }

    fn is_free(&self, known: &Known, now: Instant) -> bool {
        match &known.holder {
            None => true,
            Some(holder) if *holder == self.holder => true,
            Some(_) => now >= known.read + self.tenure() + MARGIN,
        }
    }

    /// Longest time from a claim to its holder's last order: the wait before the first one, and the
    /// part of the lease in which orders are given.
    fn tenure(&self) -> Duration {
        self.length + self.length.mul_f64(USED_SHARE)
    }

    /// Notes what the log says: its end, and the holder of its last claim if there is a newer one.
    pub fn read(&mut self, now: Instant, end: u64, holder: Option<String>) {
        let unchanged = self.known.as_ref().is_some_and(|known| known.end == end);
        if unchanged {
            return;
        }
        if self.own.is_some_and(|own| own.token + 1 != end) {
            self.own = None;
        }
        self.known = Some(Known {
            end,
            holder,
            read: now,
        });
    }

    /// Notes that the claim that was sent at a time stands at a position.
    pub fn claimed(&mut self, sent: Instant, token: u64) {
        let before = self.known.as_ref().and_then(|known| known.holder.as_ref());
        let other = before.is_some_and(|holder| *holder != self.holder);
        let wait = if other { self.length } else { Duration::ZERO };
        self.own = Some(Own {
            token,
            sent,
            from: sent + wait,
        });
        self.known = Some(Known {
            end: token + 1,
            holder: Some(self.holder.clone()),
            read: sent,
        });
    }

    /// Notes that the claim got no answer, or that another host was first: the log is read again.
    pub fn claim_failed(&mut self) {
        self.known = None;
        self.own = None;
    }

    /// Notes that an engine knows of a higher fencing token.
    pub fn fenced(&mut self) {
        self.claim_failed();
    }
}
