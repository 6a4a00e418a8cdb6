//! What one host knows about leases by its own clock.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Change, Seat, Shard, Subject, Table, plan};
use crate::clock::{Drift, Instant};
use crate::record::{Claim, Id, Incarnation, Position, Record, Release, Renew};

/// Durations of leases; equal on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Lease of a shard, 15 s by default.
    pub shard_lease: Duration,
    /// Lease of a seat, 1 h by default, so that floors serve through an outage of the log.
    pub seat_lease: Duration,
    /// Time between renewals, 5 s by default: two may be lost before a lease ends.
    pub renew_every: Duration,
    /// Bound on the rate error of the hosts' clocks.
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

/// A release that was sent and is not yet seen in the log.
#[derive(Clone, Copy, Debug)]
struct GivenUp {
    since: Position,
    successor: Option<Incarnation>,
    /// Last sending; `None` when the release is due at once.
    sent: Option<Instant>,
}

/// One host's side of its leases: when its own are usable, and when it may claim others.
///
/// A host's own lease runs from a time before its renewal or claim was sent, and only after the
/// record was read back as valid. Another host's lease is over when it has surely passed by the
/// own clock since its last renewal was read.
#[derive(Clone, Debug)]
pub struct Holder {
    timing: Timing,
    incarnation: Incarnation,
    host: String,
    seats: u16,
    leaving: bool,
    /// Whether a release said that this host is leaving.
    announced: bool,
    sequence: u64,
    configuration_version: Position,
    /// Time from which records that were applied earlier count as read.
    horizon: Instant,
    next_renewal: Instant,
    next_claim: Instant,
    next_balance: Instant,
    /// Renewals sent and not read back, with the time before the first sending.
    renewals: VecDeque<(u64, Instant)>,
    /// Claims sent and not read back.
    claims: VecDeque<(u64, Instant)>,
    /// Position and sending time of the last renewal read back.
    renewed: Option<(Position, Instant)>,
    /// Position and sending time of claims read back.
    claimed: VecDeque<(Position, Instant)>,
    given_up: BTreeMap<Subject, GivenUp>,
    /// When the last renewal of an incarnation was read.
    read: BTreeMap<Incarnation, Instant>,
    /// When the last change of a subject's owner was read.
    changed: BTreeMap<Subject, Instant>,
    live: Vec<Incarnation>,
    live_since: Instant,
}

impl Holder {
    /// Bound on records that wait to be read back. At one renewal in 5 s this covers a delay of
    /// 5 min, after which a shard's lease is over in any case.
    const PENDING: usize = 64;
    /// Shards released to other hosts in one round, so that a round moves at most half of all.
    const SHARDS_PER_ROUND: usize = 128;

    /// Makes the holder of a process that starts now and has read nothing.
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
            announced: false,
            sequence: 0,
            configuration_version: Position::default(),
            horizon: now,
            next_renewal: now,
            next_claim: now + timing.renew_every,
            next_balance: now + timing.renew_every,
            renewals: VecDeque::new(),
            claims: VecDeque::new(),
            renewed: None,
            claimed: VecDeque::new(),
            given_up: BTreeMap::new(),
            read: BTreeMap::new(),
            changed: BTreeMap::new(),
            live: Vec::new(),
            live_since: now,
        }
    }

    /// Incarnation of the process.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Sets the number of seats and the configuration version that renewals acknowledge.
    ///
    /// To be called once every bucket of this host has its new limits, since the next renewal
    /// acknowledges the version. See [`crate::quota::Split`] for a change of the number of seats.
    pub fn configure(&mut self, seats: u16, version: Position) {
        self.seats = seats;
        self.configuration_version = self.configuration_version.max(version);
    }

    /// Notes that the replica was restored from a snapshot: what it contains counts as read now.
    pub fn restored(&mut self, now: Instant) {
        self.horizon = now;
        self.read.clear();
        self.changed.clear();
    }

    /// Notes a change that the replica reported. `now` is a time after the entry was received.
    pub fn observe(&mut self, now: Instant, change: &Change) {
        match *change {
            Change::Renewed { id, position } => {
                self.read.insert(id.incarnation, now);
                if id.incarnation == self.incarnation {
                    self.renewal_read(id.sequence, position);
                }
            }
            Change::Owner {
                subject,
                owner,
                since,
                id,
            } => {
                self.changed.insert(subject, now);
                if owner == Some(self.incarnation) && id.incarnation == self.incarnation {
                    self.claim_read(id.sequence, since);
                    self.next_claim = now;
                }
            }
        }
    }

    /// Whether this host may act as the owner of a subject at `now`.
    ///
    /// To be asked at each use; what is issued under the lease carries a lifetime of its own.
    #[must_use]
    pub fn usable(&self, now: Instant, table: &Table, subject: Subject) -> bool {
        self.remaining(now, table, subject).is_some()
    }

    /// Time by the own clock for which the lease of a subject stays usable; `None` when it is not.
    #[must_use]
    pub fn remaining(&self, now: Instant, table: &Table, subject: Subject) -> Option<Duration> {
        let holding = table.holding(subject);
        if holding.owner != Some(self.incarnation) || self.gave_up(subject, holding.since) {
            return None;
        }
        let claimed = self
            .claimed
            .iter()
            .find(|(position, _)| *position == holding.since);
        let renewed = self
            .renewed
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

    /// Subjects that this host may use at `now`, each with its fencing token.
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

    /// Whether this host has a renewal in the log that is younger than a shard's lease.
    #[must_use]
    pub fn log_lease_usable(&self, now: Instant) -> bool {
        self.renewed
            .is_some_and(|(_, sent)| now.since(sent) < self.timing.shard_lease)
    }

    /// Time by the own clock for which the log lease stays usable; `None` when it is not.
    #[must_use]
    pub fn log_lease_remaining(&self, now: Instant) -> Option<Duration> {
        let (_, sent) = self.renewed?;
        let remaining = self.timing.shard_lease.checked_sub(now.since(sent))?;
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Whether all shard leases of an incarnation are surely over.
    #[must_use]
    pub fn leases_expired(&self, now: Instant, incarnation: Incarnation) -> bool {
        let read = self.read.get(&incarnation).copied().unwrap_or(self.horizon);
        now.since(read) >= self.timing.drift.safe_wait(self.timing.shard_lease)
    }

    /// Whether a valid claim of a subject cannot overlap another host's usable lease.
    #[must_use]
    pub fn may_claim(&self, now: Instant, table: &Table, subject: Subject) -> bool {
        self.claimable_from(table, subject)
            .is_some_and(|from| now >= from)
    }

    /// Hosts that renewed within the last lease and are not leaving, in ascending order.
    #[must_use]
    pub fn live_hosts(&self) -> &[Incarnation] {
        &self.live
    }

    /// Gives up everything from the next tick on, for a graceful shutdown.
    ///
    /// The releases name successors. The caller must stop using all leases before the next call
    /// of [`Holder::tick`] and ends the process when [`Holder::released`] holds.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether a leaving host holds nothing any more.
    #[must_use]
    pub fn released(&self, table: &Table) -> bool {
        self.leaving
            && table
                .session(self.incarnation)
                .is_none_or(|session| session.holdings() == 0)
    }

    /// Records to append now, in this order; to be called at least every 500 ms.
    ///
    /// The caller sends them after this call. It may send a record again when the answer to an
    /// append is lost. Subjects named by a [`Release`] are no longer usable.
    pub fn tick(&mut self, now: Instant, table: &Table) -> Vec<Record> {
        self.forget(now, table);
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

    fn renewal_read(&mut self, sequence: u64, position: Position) {
        while let Some(&(pending, sent)) = self.renewals.front() {
            if pending > sequence {
                break;
            }
            self.renewals.pop_front();
            if pending == sequence {
                self.renewed = Some((position, sent));
            }
        }
    }

    fn claim_read(&mut self, sequence: u64, position: Position) {
        if self
            .claimed
            .back()
            .is_some_and(|(last, _)| *last == position)
        {
            return;
        }
        let Some(&(_, sent)) = self.claims.iter().find(|(pending, _)| *pending == sequence) else {
            return;
        };
        push_bounded(&mut self.claimed, (position, sent));
    }

    fn gave_up(&self, subject: Subject, since: Position) -> bool {
        self.given_up
            .get(&subject)
            .is_some_and(|given_up| given_up.since == since)
    }

    /// Drops what later decisions do not need and updates the live hosts.
    fn forget(&mut self, now: Instant, table: &Table) {
        let own = self.incarnation;
        self.given_up.retain(|subject, given_up| {
            let holding = table.holding(*subject);
            holding.owner == Some(own) && holding.since == given_up.since
        });
        self.read
            .retain(|incarnation, _| table.session(*incarnation).is_some());
        let sessions = table.sessions().filter(|(_, session)| !session.leaving);
        let live: Vec<Incarnation> = sessions
            .map(|(incarnation, _)| incarnation)
            .filter(|incarnation| !self.leases_expired(now, *incarnation))
            .collect();
        if live != self.live {
            self.live = live;
            self.live_since = now;
        }
    }

    /// The next renewal when it is due. It is early when a predecessor handed something over,
    /// which is usable only after a renewal that follows the release.
    fn renewal(&mut self, now: Instant, table: &Table) -> Option<Record> {
        let handed_over = self.renewals.is_empty()
            && self.own_subjects(table).any(|(subject, since)| {
                table.holding(subject).predecessor.is_some()
                    && self.renewed.is_some_and(|(position, _)| position < since)
            });
        if now < self.next_renewal && !handed_over {
            return None;
        }
        self.next_renewal = now + self.timing.renew_every;
        let id = self.next_id();
        push_bounded(&mut self.renewals, (id.sequence, now));
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
            .filter(|(subject, since)| !self.gave_up(*subject, *since))
    }

    fn claimable_from(&self, table: &Table, subject: Subject) -> Option<Instant> {
        let changed = self.changed.get(&subject).copied().unwrap_or(self.horizon);
        let Some(owner) = table.holding(subject).owner else {
            return Some(changed);
        };
        if owner == self.incarnation {
            return None;
        }
        let read = self.read.get(&owner).copied().unwrap_or(self.horizon);
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
        push_bounded(&mut self.claims, (id.sequence, now));
        let subjects = subjects
            .into_iter()
            .map(|subject| (subject, table.last_owning(subject)))
            .collect();
        Some(Record::Claim(Claim { id, subjects }))
    }

    /// Claimable shards that the plan gives to this host. When the planned host fails to claim a
    /// shard, the others try in turn, in rendezvous order, so that claims do not compete.
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
            let plan = plan.get_or_insert_with(|| plan::wanted_owners(table, &self.live));
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

    /// A claimable seat when this host has none. Hosts without a seat choose different ones by
    /// their place among each other.
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

    /// Gives up shards that the plan gives to others, and seats that are surplus.
    fn balance(&mut self, now: Instant, table: &Table) {
        let stable = now.since(self.live_since) >= self.timing.renew_every * 2;
        let settled = stable && self.live.binary_search(&self.incarnation).is_ok();
        let plan = settled.then(|| plan::wanted_owners(table, &self.live));
        let mut seats = 0;
        let mut moved = 0;
        let own: Vec<(Subject, Position)> = self.own_subjects(table).collect();
        for (subject, since) in own {
            let successor = match (subject, &plan) {
                (Subject::Shard(shard), Some(plan)) => {
                    let wanted = plan[shard.index()];
                    if wanted == self.incarnation || moved == Self::SHARDS_PER_ROUND {
                        continue;
                    }
                    moved += 1;
                    Some(wanted)
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
            self.give_up(subject, since, successor);
        }
    }

    fn release_all(&mut self, table: &Table) {
        let mut others = self.live.clone();
        others.retain(|host| *host != self.incarnation);
        let plan = (!others.is_empty()).then(|| plan::wanted_owners(table, &others));
        let own: Vec<(Subject, Position)> = self.own_subjects(table).collect();
        for (subject, since) in own {
            let successor = match (subject, &plan) {
                (Subject::Shard(shard), Some(plan)) => Some(plan[shard.index()]),
                _ => None,
            };
            self.give_up(subject, since, successor);
        }
    }

    fn give_up(&mut self, subject: Subject, since: Position, successor: Option<Incarnation>) {
        self.given_up.insert(
            subject,
            GivenUp {
                since,
                successor,
                sent: None,
            },
        );
    }

    /// Releases that are due, one record per successor. They are repeated until they are seen in
    /// the log; otherwise renewals would keep what nobody uses.
    fn releases(&mut self, now: Instant) -> Vec<Record> {
        let mut due: BTreeMap<Option<Incarnation>, Vec<(Subject, Position)>> = BTreeMap::new();
        if self.leaving && !self.announced {
            self.announced = true;
            due.insert(None, Vec::new());
        }
        for (subject, given_up) in &mut self.given_up {
            if given_up
                .sent
                .is_some_and(|sent| now.since(sent) < self.timing.renew_every)
            {
                continue;
            }
            given_up.sent = Some(now);
            due.entry(given_up.successor)
                .or_default()
                .push((*subject, given_up.since));
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
    if queue.len() == Holder::PENDING {
        queue.pop_front();
    }
    queue.push_back(item);
}
