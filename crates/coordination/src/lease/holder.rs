//! Validity, renewal, claim and release of leases on one host, by its local clock.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Change, Seat, Shard, Subject, Table, plan};
use crate::clock::{Drift, Instant};
use crate::record::{Claim, Id, Incarnation, Position, Record, Release, Renew};

/// Lease timing; must be equal on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Lease duration of a shard, 15 s by default.
    pub shard_lease: Duration,
    /// Lease duration of a seat, 1 h by default, so that floor rates survive a log outage.
    pub seat_lease: Duration,
    /// Renewal interval, 5 s by default: two renewals may be lost before a shard lease expires.
    pub renew_every: Duration,
    /// Bound on the clock drift of all hosts.
    pub drift: Drift,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            shard_lease: Duration::from_secs(15),
            seat_lease: Duration::from_secs(3_600),
            renew_every: Duration::from_secs(5),
            drift: Drift::default(),
        }
    }
}

impl Timing {
    const fn lease(&self, subject: Subject) -> Duration {
        match subject {
            Subject::Shard(_) => self.shard_lease,
            Subject::Seat(_) => self.seat_lease,
        }
    }
}

/// Release that was decided but not yet read back from the log.
#[derive(Clone, Copy, Debug)]
struct Pending {
    since: Position,
    successor: Option<Incarnation>,
    /// Time of the last append attempt; `None` when the release is due immediately.
    sent: Option<Instant>,
}

/// Lease state of one host: when its own leases are valid, and when it may claim others.
///
/// An own lease starts at an instant before its renewal or claim was sent, and is valid only after
/// the record was read back. Another host's lease counts as expired once its duration, extended by
/// [`Drift::safe_wait`], has passed on the local clock since its last renewal was read.
#[derive(Clone, Debug)]
pub struct Holder {
    timing: Timing,
    incarnation: Incarnation,
    host: String,
    seats: u16,
    leaving: bool,
    /// Whether a release that marks this host as leaving was issued.
    leave_announced: bool,
    sequence: u64,
    configuration_version: Position,
    /// Assumed read time of records that were applied before the start or the last restore.
    baseline: Instant,
    next_renewal: Instant,
    next_claim: Instant,
    next_balance: Instant,
    /// Sequence and send time of renewals that were not read back.
    pending_renewals: VecDeque<(u64, Instant)>,
    /// Sequence and send time of recent claims, for matching those read back.
    recent_claims: VecDeque<(u64, Instant)>,
    /// Position and send time of the last renewal read back.
    last_renewal: Option<(Position, Instant)>,
    /// Position and send time of claims read back.
    confirmed_claims: VecDeque<(Position, Instant)>,
    releasing: BTreeMap<Subject, Pending>,
    /// Read time of each incarnation's last renewal.
    renewal_read_at: BTreeMap<Incarnation, Instant>,
    /// Read time of each subject's last change of owner.
    owner_changed_at: BTreeMap<Subject, Instant>,
    live: Vec<Incarnation>,
    live_changed_at: Instant,
}

impl Holder {
    /// Highest number of renewals, and of claims, that are tracked. At one renewal per 5 s this
    /// covers a read delay of 5 min, long after a shard lease has expired.
    const MAX_PENDING: usize = 64;
    /// Shards released to other hosts in one rebalancing round; a round moves at most half of all.
    const MAX_MOVES_PER_ROUND: usize = 128;

    /// Creates the holder of a process that starts at `now` and has read nothing from the log.
    ///
    /// `seats` is the configured number of seats, see [`Seat::count`].
    #[must_use]
    pub fn new(
        now: Instant,
        incarnation: Incarnation,
        host: String,
        seats: u16,
        timing: Timing,
    ) -> Self {
        Self {
            timing,
            incarnation,
            host,
            seats,
            leaving: false,
            leave_announced: false,
            sequence: 0,
            configuration_version: Position::default(),
            baseline: now,
            next_renewal: now,
            next_claim: now + timing.renew_every,
            next_balance: now + timing.renew_every,
            pending_renewals: VecDeque::new(),
            recent_claims: VecDeque::new(),
            last_renewal: None,
            confirmed_claims: VecDeque::new(),
            releasing: BTreeMap::new(),
            renewal_read_at: BTreeMap::new(),
            owner_changed_at: BTreeMap::new(),
            live: Vec::new(),
            live_changed_at: now,
        }
    }

    /// Incarnation that owns the leases of this process.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Sets the number of seats and the configuration version that renewals acknowledge.
    ///
    /// Call this only after every token bucket of this host has its new limits, since the next
    /// renewal acknowledges the version. See [`crate::quota::Split`] for a change of the number of
    /// seats.
    pub fn configure(&mut self, seats: u16, version: Position) {
        self.seats = seats;
        self.configuration_version = self.configuration_version.max(version);
    }

    /// Resets all read times after the replica was restored from a snapshot: its renewals and
    /// ownership changes count as read at `now`.
    pub fn restored(&mut self, now: Instant) {
        self.baseline = now;
        self.renewal_read_at.clear();
        self.owner_changed_at.clear();
    }

    /// Records a change that the replica reported. `now` must be after the entry was received.
    pub fn observe(&mut self, now: Instant, change: &Change) {
        match *change {
            Change::Renewed { id, position } => {
                self.renewal_read_at.insert(id.incarnation, now);
                if id.incarnation == self.incarnation {
                    self.confirm_renewal(id.sequence, position);
                }
            }
            Change::Owner {
                subject,
                owner,
                since,
                id,
            } => {
                self.owner_changed_at.insert(subject, now);
                if owner == Some(self.incarnation) && id.incarnation == self.incarnation {
                    self.confirm_claim(id.sequence, since);
                    self.next_claim = now;
                }
            }
        }
    }

    /// Whether this host holds a valid lease on a subject at `now`.
    ///
    /// Check this at each use. Grants issued under the lease carry their own lifetime.
    #[must_use]
    pub fn usable(&self, now: Instant, table: &Table, subject: Subject) -> bool {
        self.remaining(now, table, subject).is_some()
    }

    /// Remaining lifetime of this host's lease on a subject by the local clock; `None` if the host
    /// does not hold it, has released it, or it has expired.
    #[must_use]
    pub fn remaining(&self, now: Instant, table: &Table, subject: Subject) -> Option<Duration> {
        let holding = table.holding(subject);
        if holding.owner != Some(self.incarnation) || self.is_releasing(subject, holding.since) {
            return None;
        }
        let claimed = self
            .confirmed_claims
            .iter()
            .find(|(position, _)| *position == holding.since);
        let renewed = self
            .last_renewal
            .as_ref()
            .filter(|(position, _)| *position > holding.since);
        let from = claimed
            .into_iter()
            .chain(renewed)
            .map(|(_, sent)| *sent)
            .max()?;
        let left = self.timing.lease(subject).saturating_sub(now.since(from));
        (!left.is_zero()).then_some(left)
    }

    /// Subjects that this host holds valid leases on at `now`, each with its fencing token.
    #[must_use]
    pub fn held(&self, now: Instant, table: &Table) -> Vec<(Subject, Position)> {
        let shards = Shard::all().map(Subject::Shard);
        let seats = table.seats().map(|(seat, _)| Subject::Seat(seat));
        shards
            .chain(seats)
            .filter(|subject| self.usable(now, table, *subject))
            .map(|subject| (subject, table.holding(subject).since))
            .collect()
    }

    /// Whether this host's last confirmed renewal is younger than [`Timing::shard_lease`].
    #[must_use]
    pub fn log_lease_usable(&self, now: Instant) -> bool {
        self.last_renewal
            .is_some_and(|(_, sent)| now.since(sent) < self.timing.shard_lease)
    }

    /// Time left until the last confirmed renewal is [`Timing::shard_lease`] old; `None` when it
    /// already is, or when no renewal was confirmed.
    #[must_use]
    pub fn log_lease_remaining(&self, now: Instant) -> Option<Duration> {
        let (_, sent) = self.last_renewal?;
        let remaining = self.timing.shard_lease.checked_sub(now.since(sent))?;
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Whether all shard leases of an incarnation have expired, allowing for clock drift.
    #[must_use]
    pub fn leases_expired(&self, now: Instant, incarnation: Incarnation) -> bool {
        let read = self
            .renewal_read_at
            .get(&incarnation)
            .copied()
            .unwrap_or(self.baseline);
        now.since(read) >= self.timing.drift.safe_wait(self.timing.shard_lease)
    }

    /// Whether this host may claim a subject without overlapping another host's valid lease.
    #[must_use]
    pub fn may_claim(&self, now: Instant, table: &Table, subject: Subject) -> bool {
        self.claimable_from(table, subject)
            .is_some_and(|from| now >= from)
    }

    /// Hosts whose shard leases have not expired and that are not leaving, in ascending order.
    #[must_use]
    pub fn live_hosts(&self) -> &[Incarnation] {
        &self.live
    }

    /// Starts a graceful shutdown: the next tick releases all leases and names successors.
    ///
    /// The caller must stop using all leases before the next call of [`Holder::tick`], and may end
    /// the process once [`Holder::released`] returns true.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether this host is leaving and the log shows no lease of it.
    #[must_use]
    pub fn released(&self, table: &Table) -> bool {
        self.leaving
            && table
                .session(self.incarnation)
                .is_none_or(|session| session.holdings() == 0)
    }

    /// Returns the records to append, in order; call it at least every 500 ms.
    ///
    /// The caller must send them after this call, and may resend a record when the response to an
    /// append is lost. Subjects named in a [`Release`] are no longer usable.
    pub fn tick(&mut self, now: Instant, table: &Table) -> Vec<Record> {
        self.prune(now, table);
        let mut records = Vec::new();
        if self.leaving {
            self.release_all(table);
        } else {
            records.extend(self.renewal(now, table));
            if now >= self.next_claim && self.log_lease_usable(now) {
                records.extend(self.claim(now, table));
            }
            if now >= self.next_balance {
                self.next_balance = now + self.timing.renew_every;
                self.balance(now, table);
            }
        }
        records.extend(self.releases(now));
        records
    }

    fn next_id(&mut self) -> Id {
        self.sequence += 1;
        Id {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }

    fn confirm_renewal(&mut self, sequence: u64, position: Position) {
        while let Some(&(pending, sent)) = self.pending_renewals.front() {
            if pending > sequence {
                break;
            }
            self.pending_renewals.pop_front();
            if pending == sequence {
                self.last_renewal = Some((position, sent));
            }
        }
    }

    fn confirm_claim(&mut self, sequence: u64, position: Position) {
        if self
            .confirmed_claims
            .back()
            .is_some_and(|(last, _)| *last == position)
        {
            return;
        }
        let Some(&(_, sent)) = self
            .recent_claims
            .iter()
            .find(|(pending, _)| *pending == sequence)
        else {
            return;
        };
        push_bounded(&mut self.confirmed_claims, (position, sent));
    }

    fn is_releasing(&self, subject: Subject, since: Position) -> bool {
        self.releasing
            .get(&subject)
            .is_some_and(|pending| pending.since == since)
    }

    /// Prunes obsolete state and refreshes the list of live hosts.
    fn prune(&mut self, now: Instant, table: &Table) {
        let own = self.incarnation;
        self.releasing.retain(|subject, pending| {
            let holding = table.holding(*subject);
            holding.owner == Some(own) && holding.since == pending.since
        });
        self.renewal_read_at
            .retain(|incarnation, _| table.session(*incarnation).is_some());
        let sessions = table.sessions().filter(|(_, session)| !session.leaving);
        let live: Vec<Incarnation> = sessions
            .map(|(incarnation, _)| incarnation)
            .filter(|incarnation| !self.leases_expired(now, *incarnation))
            .collect();
        if live != self.live {
            self.live = live;
            self.live_changed_at = now;
        }
    }

    /// The next renewal if it is due. After a handover it is sent early, since a handed-over lease
    /// becomes valid only by a renewal after the release.
    fn renewal(&mut self, now: Instant, table: &Table) -> Option<Record> {
        let handed_over = self.pending_renewals.is_empty()
            && self.own_subjects(table).any(|(subject, since)| {
                table.holding(subject).predecessor.is_some()
                    && self
                        .last_renewal
                        .is_some_and(|(position, _)| position < since)
            });
        if now < self.next_renewal && !handed_over {
            return None;
        }
        self.next_renewal = now + self.timing.renew_every;
        let id = self.next_id();
        push_bounded(&mut self.pending_renewals, (id.sequence, now));
        Some(Record::Renew(Renew {
            id,
            host: self.host.clone(),
            configuration_version: self.configuration_version,
        }))
    }

    fn own_subjects<'a>(
        &'a self,
        table: &'a Table,
    ) -> impl Iterator<Item = (Subject, Position)> + 'a {
        let shards = Shard::all().map(Subject::Shard);
        let seats = table.seats().map(|(seat, _)| Subject::Seat(seat));
        shards
            .chain(seats)
            .map(|subject| (subject, table.holding(subject)))
            .filter(|(_, holding)| holding.owner == Some(self.incarnation))
            .map(|(subject, holding)| (subject, holding.since))
            .filter(|(subject, since)| !self.is_releasing(*subject, *since))
    }

    fn claimable_from(&self, table: &Table, subject: Subject) -> Option<Instant> {
        let changed = self
            .owner_changed_at
            .get(&subject)
            .copied()
            .unwrap_or(self.baseline);
        let Some(owner) = table.holding(subject).owner else {
            return Some(changed);
        };
        if owner == self.incarnation {
            return None;
        }
        let read = self
            .renewal_read_at
            .get(&owner)
            .copied()
            .unwrap_or(self.baseline);
        Some(changed.max(read) + self.timing.drift.safe_wait(self.timing.lease(subject)))
    }

    fn claim(&mut self, now: Instant, table: &Table) -> Option<Record> {
        let mut subjects = self.shards_to_claim(now, table);
        subjects.extend(self.seat_to_claim(now, table));
        if subjects.is_empty() {
            return None;
        }
        self.next_claim = now + self.timing.renew_every;
        let id = self.next_id();
        push_bounded(&mut self.recent_claims, (id.sequence, now));
        let subjects = subjects
            .into_iter()
            .map(|subject| (subject, table.last_owning(subject)))
            .collect();
        Some(Record::Claim(Claim { id, subjects }))
    }

    /// Claimable shards that the placement plan assigns to this host. When the planned host fails
    /// to claim a shard, the others try in turn by rendezvous rank, so that claims do not conflict.
    fn shards_to_claim(&self, now: Instant, table: &Table) -> Vec<Subject> {
        let mut subjects = Vec::new();
        if self.live.binary_search(&self.incarnation).is_err() {
            return subjects;
        }
        let mut plan = None;
        for shard in Shard::all() {
            let subject = Subject::Shard(shard);
            let owner = table.holding(subject).owner;
            if owner.is_some_and(|owner| self.live.binary_search(&owner).is_ok()) {
                continue;
            }
            let Some(from) = self
                .claimable_from(table, subject)
                .filter(|from| now >= *from)
            else {
                continue;
            };
            let plan = plan.get_or_insert_with(|| plan::target_owners(table, &self.live));
            let turn = self.timing.renew_every * 2;
            let missed = now.since(from).as_millis() / turn.as_millis().max(1);
            let own_turn = match missed {
                0 | 1 => plan[shard.index()] == self.incarnation,
                missed => {
                    let rank = plan::rank(shard, self.incarnation, &self.live);
                    (missed - 2) % self.live.len() as u128 == rank as u128
                        || plan[shard.index()] == self.incarnation
                }
            };
            if own_turn {
                subjects.push(subject);
            }
        }
        subjects
    }

    /// A claimable seat if this host holds none. Each host picks the free seat at its own rank
    /// among the hosts without a seat, so that their claims do not conflict.
    fn seat_to_claim(&self, now: Instant, table: &Table) -> Option<Subject> {
        let seated: Vec<Incarnation> = table
            .seats()
            .filter_map(|(_, holding)| holding.owner)
            .collect();
        if seated.contains(&self.incarnation) {
            return None;
        }
        let mut waiting = self.live.iter().filter(|host| !seated.contains(host));
        let place = waiting.position(|host| *host == self.incarnation)?;
        (0..self.seats)
            .map(|seat| Subject::Seat(Seat(seat)))
            .filter(|subject| self.may_claim(now, table, *subject))
            .nth(place)
    }

    /// Rebalances: releases shards that the plan assigns to other hosts, and surplus seats.
    fn balance(&mut self, now: Instant, table: &Table) {
        let stable = now.since(self.live_changed_at) >= self.timing.renew_every * 2;
        let settled = stable && self.live.binary_search(&self.incarnation).is_ok();
        let plan = settled.then(|| plan::target_owners(table, &self.live));
        let mut seats = 0;
        let mut moved = 0;
        let own: Vec<(Subject, Position)> = self.own_subjects(table).collect();
        for (subject, since) in own {
            let successor = match (subject, &plan) {
                (Subject::Shard(shard), Some(plan)) => {
                    let target = plan[shard.index()];
                    if target == self.incarnation || moved == Self::MAX_MOVES_PER_ROUND {
                        continue;
                    }
                    moved += 1;
                    Some(target)
                }
                (Subject::Shard(_), None) => continue,
                (Subject::Seat(seat), _) => {
                    if seat.0 < self.seats && seats == 0 {
                        seats = 1;
                        continue;
                    }
                    None
                }
            };
            self.start_release(subject, since, successor);
        }
    }

    fn release_all(&mut self, table: &Table) {
        let mut others = self.live.clone();
        others.retain(|host| *host != self.incarnation);
        let plan = (!others.is_empty()).then(|| plan::target_owners(table, &others));
        let own: Vec<(Subject, Position)> = self.own_subjects(table).collect();
        for (subject, since) in own {
            let successor = match (subject, &plan) {
                (Subject::Shard(shard), Some(plan)) => Some(plan[shard.index()]),
                _ => None,
            };
            self.start_release(subject, since, successor);
        }
    }

    fn start_release(&mut self, subject: Subject, since: Position, successor: Option<Incarnation>) {
        self.releasing.insert(
            subject,
            Pending {
                since,
                successor,
                sent: None,
            },
        );
    }

    /// Release records that are due, one per successor. A release is resent until it is read back,
    /// since otherwise further renewals would keep an unused lease alive.
    fn releases(&mut self, now: Instant) -> Vec<Record> {
        let mut due: BTreeMap<Option<Incarnation>, Vec<(Subject, Position)>> = BTreeMap::new();
        if self.leaving && !self.leave_announced {
            self.leave_announced = true;
            due.insert(None, Vec::new());
        }
        for (subject, pending) in &mut self.releasing {
            if pending
                .sent
                .is_some_and(|sent| now.since(sent) < self.timing.renew_every)
            {
                continue;
            }
            pending.sent = Some(now);
            due.entry(pending.successor)
                .or_default()
                .push((*subject, pending.since));
        }
        let leaving = self.leaving;
        due.into_iter()
            .map(|(successor, subjects)| {
                let id = self.next_id();
                Record::Release(Release {
                    id,
                    subjects,
                    successor,
                    leaving,
                })
            })
            .collect()
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() == Holder::MAX_PENDING {
        queue.pop_front();
    }
    queue.push_back(item);
}
