//! Connects simulated events to the hosts' fair queues, slot ledgers, endpoint choosers and outlier
//! detectors.

use std::time::Duration;

use berylknot_coordination::eject::{Change, Outcome};
use berylknot_coordination::placement::Prompt;
use berylknot_coordination::queue::Request;
use berylknot_coordination::slot;
use rand::Rng;

use crate::Micros;
use crate::fakes::{CacheEvent, Key};
use crate::model::{MILLISECOND, SECOND, TTFT_TARGET};
use crate::policy::Placement;
use crate::world::{Answer, End, Event, Load, Simulation, Stage, new_ledger};

/// Queue timeout: a request that waits longer at its host is refused.
const MAX_QUEUE_WAIT: Micros = 7_500 * MILLISECOND;
/// Time allowed from the end of a prefill to the first token when the latest start is computed.
const FIRST_TOKEN_ALLOWANCE: Micros = 120 * MILLISECOND;
/// Reservation requests that a host keeps in flight.
const MAX_PENDING_RESERVATIONS: usize = 1;

impl Simulation<'_> {
    pub(crate) fn push_fair(&mut self, job: Key) {
        let host = self.jobs[job].host;
        let arrival = &self.workload.arrivals[self.jobs[job].arrival];
        let prefill = u64::from(arrival.prompt_tokens) * self.model.prefill_per_token_ns / 1_000;
        let latest_start = TTFT_TARGET.saturating_sub(prefill + FIRST_TOKEN_ALLOWANCE);
        let at = self.jobs[job].at;
        let request = Request {
            customer: arrival.customer,
            tokens: u64::from(arrival.prompt_tokens + arrival.answer_tokens),
            start_by: self.instant()
                + Duration::from_micros(at + latest_start)
                    .saturating_sub(Duration::from_micros(self.now)),
            deadline: self.instant()
                + Duration::from_micros((at + MAX_QUEUE_WAIT).saturating_sub(self.now)),
        };
        let now = self.instant();
        match self.hosts[host].fair.push(now, request) {
            Ok(ticket) => {
                self.jobs[job].ticket = Some(ticket);
                self.hosts[host].tickets.insert(ticket, job);
                self.dispatch(host);
            }
            Err(_) => self.finish(job, End::Refused),
        }
    }

    pub(crate) fn dispatch_fair(&mut self, host: usize) {
        let now = self.instant();
        for (ticket, _) in self.hosts[host].fair.expire(now) {
            if let Some(job) = self.hosts[host].tickets.remove(&ticket) {
                self.jobs[job].ticket = None;
                self.finish(job, End::Refused);
            }
        }
        while self.may_send(host) {
            let Some(turn) = self.hosts[host].fair.pop(now) else {
                return;
            };
            let Some(job) = self.hosts[host].tickets.remove(&turn.ticket) else {
                continue;
            };
            self.jobs[job].ticket = None;
            self.jobs[job].turn = Some(turn);
            let (prefill, decode) = self.place(job);
            if !self.policy.reserve {
                self.send(job, prefill, decode);
                continue;
            }
            self.jobs[job].prefill = prefill;
            self.jobs[job].stage = Stage::Reserving;
            self.jobs[job].candidate = 0;
            self.hosts[host].pending += 1;
            self.request_reservation(job, decode);
        }
        if !self.hosts[host].fair.is_empty() {
            let at = self.hosts[host]
                .blocked_until
                .max(self.now + 20 * MILLISECOND);
            self.schedule_dispatch(host, at);
        }
    }

    fn may_send(&self, host: usize) -> bool {
        let host_state = &self.hosts[host];
        if self.policy.reserve {
            host_state.pending < MAX_PENDING_RESERVATIONS && host_state.blocked_until <= self.now
        } else {
            self.free_slots(host) > 0
        }
    }

    pub(crate) fn dispatch_soon(&mut self, host: usize) {
        self.hosts[host].blocked_until = self.now;
        self.schedule_dispatch(host, self.now);
    }

    fn schedule_dispatch(&mut self, host: usize, at: Micros) {
        if self.hosts[host]
            .dispatch_at
            .is_some_and(|planned| planned <= at)
        {
            return;
        }
        self.hosts[host].dispatch_at = Some(at);
        self.schedule(at, Event::Dispatch(host));
    }

    /// Sends a reservation request to the host that owns the slot ledger of a decode engine.
    fn request_reservation(&mut self, job: Key, server: usize) {
        self.jobs[job].decode = server;
        let attempt = self.jobs[job].attempt;
        let delay = self.delay(self.jobs[job].host, self.ledgers[server].0);
        self.schedule(
            self.now + delay,
            Event::Reserve {
                job,
                attempt,
                server,
            },
        );
    }

    pub(crate) fn reserve(&mut self, job: Key, attempt: u32, server: usize) {
        let now = self.instant();
        let owner = self.ledgers[server].0;
        let host = self.jobs[job].host;
        let lead = self.lead(job);
        let answer = self.hosts[owner]
            .alive
            .then(|| self.ledgers[server].1.reserve(now, job, host, lead));
        let delay = self.delay(host, owner);
        self.schedule(
            self.now + delay,
            Event::Reserved {
                job,
                attempt,
                server,
                answer,
            },
        );
    }

    /// Expected delay until the KV cache of a job reaches its decode engine.
    fn lead(&self, job: Key) -> Duration {
        if let Some(choice) = &self.jobs[job].choice {
            return choice.lead;
        }
        let arrival = &self.workload.arrivals[self.jobs[job].arrival];
        Duration::from_nanos(u64::from(arrival.prompt_tokens) * self.model.prefill_per_token_ns)
    }

    pub(crate) fn reserved(&mut self, job: Key, attempt: u32, server: usize, answer: Answer) {
        let host = self.jobs[job].host;
        let state = &self.jobs[job];
        let current =
            state.stage == Stage::Reserving && state.attempt == attempt && state.end.is_none();
        if !current {
            self.hosts[host].pending = self.hosts[host].pending.saturating_sub(1);
            if let Some(Ok(_)) = answer {
                self.report_slot_ended(job, server, slot::End::Released);
            }
            return;
        }
        let admitted = match answer {
            Some(Ok(_)) => {
                self.jobs[job].reserved = true;
                true
            }
            // The ledger's owner is unreachable: fall back to load reports and the host's own count.
            None => self.free_slots(host) > 0,
            Some(Err(_)) => false,
        };
        if admitted {
            self.hosts[host].pending = self.hosts[host].pending.saturating_sub(1);
            let (prefill, decode) = (self.jobs[job].prefill, server);
            self.send(job, prefill, decode);
            self.dispatch(host);
            return;
        }
        let retry_after = match answer {
            Some(Err(full)) => full.retry_after().as_micros() as Micros,
            _ => 20 * MILLISECOND,
        };
        self.reservation_refused(job, retry_after);
    }

    /// Tries the next decode candidate, or requeues the request and pauses dispatch for `retry_after`.
    fn reservation_refused(&mut self, job: Key, retry_after: Micros) {
        let host = self.jobs[job].host;
        self.jobs[job].candidate += 1;
        let next = self.jobs[job].choice.and_then(|choice| {
            let key = *choice.decode.get(self.jobs[job].candidate)?;
            self.hosts[host]
                .decode_keys
                .iter()
                .position(|candidate| Some(*candidate) == key)
        });
        if let Some(server) = next {
            self.request_reservation(job, server);
            return;
        }
        self.hosts[host].pending = self.hosts[host].pending.saturating_sub(1);
        let Some(turn) = self.jobs[job].turn.take() else {
            return;
        };
        let now = self.instant();
        self.jobs[job].stage = Stage::Queued;
        self.jobs[job].ticket = Some(turn.ticket);
        self.hosts[host].tickets.insert(turn.ticket, job);
        self.hosts[host].fair.put_back(now, turn);
        let at = self.now + retry_after;
        self.hosts[host].blocked_until = at;
        self.schedule_dispatch(host, at);
    }

    pub(crate) fn place_by_chooser(&mut self, job: Key) -> (usize, usize) {
        let host = self.jobs[job].host;
        let now = self.instant();
        let random = self.random.random();
        let arrival = &self.workload.arrivals[self.jobs[job].arrival];
        let prompt = Prompt {
            pieces: &arrival.pieces,
            tokens: arrival.prompt_tokens,
        };
        let host_state = &self.hosts[host];
        let choice = host_state.chooser.choose(now, prompt, random);
        self.jobs[job].choice = choice;
        let index = |keys: &[_], key| {
            keys.iter()
                .position(|candidate| *candidate == key)
                .unwrap_or(0)
        };
        choice.map_or((0, 0), |choice| {
            let decode = choice.decode[0].unwrap_or(host_state.decode_keys[0]);
            (
                index(&host_state.prefill_keys, choice.prefill),
                index(&host_state.decode_keys, decode),
            )
        })
    }

    /// Adds a sent request to the chooser's load estimate.
    pub(crate) fn record_sent(&mut self, job: Key) {
        let now = self.instant();
        let state = &self.jobs[job];
        let tokens = self.workload.arrivals[state.arrival].prompt_tokens;
        let host = &mut self.hosts[state.host];
        if let Some(choice) = &state.choice {
            let decode = host.decode_keys[state.decode];
            host.chooser.sent(now, choice, decode, tokens);
        }
    }

    pub(crate) fn prefill_finished(&mut self, job: Key, computed_tokens: u32) {
        if self.policy.placement != Placement::Chooser {
            return;
        }
        let now = self.instant();
        let state = &self.jobs[job];
        let arrival = &self.workload.arrivals[state.arrival];
        let cached = (arrival.prompt_tokens - computed_tokens) / self.model.piece_tokens;
        let host = &mut self.hosts[state.host];
        let key = host.prefill_keys[state.prefill];
        host.chooser
            .prefilled(key, &arrival.pieces, cached as usize);
        host.chooser.ended(now, key);
    }

    pub(crate) fn cached(&mut self, server: usize, events: &[CacheEvent]) {
        for host in &mut self.hosts {
            let key = host.prefill_keys[server];
            for event in events {
                host.chooser
                    .cache_event(key, event.sequence, event.change, event.piece);
            }
        }
    }

    pub(crate) fn update_chooser(&mut self, host: usize, prefill: &[Load], decode: &[Load]) {
        let (now, age) = (self.instant(), Duration::from_micros(self.model.report_lag));
        let host_state = &mut self.hosts[host];
        for (key, load) in host_state.prefill_keys.iter().zip(prefill) {
            let requests = load.running + load.waiting;
            host_state.chooser.report(now, *key, requests as u32, age);
        }
        let probe = host_state.decode_detector.probe(now);
        for (server, (key, load)) in host_state.decode_keys.iter().zip(decode).enumerate() {
            let requests = load.running + load.waiting;
            host_state.chooser.report(now, *key, requests as u32, age);
            let usable = !host_state.decode_detector.is_ejected(server) || probe == Some(server);
            host_state.chooser.set_available(*key, load.alive && usable);
        }
    }

    pub(crate) fn report_slot_started(&mut self, job: Key) {
        if self.jobs[job].reserved {
            let server = self.jobs[job].decode;
            let delay = self.delay(self.jobs[job].host, self.ledgers[server].0);
            self.schedule(self.now + delay, Event::SlotStarted { job, server });
        }
    }

    fn report_slot_ended(&mut self, job: Key, server: usize, end: slot::End) {
        let delay = self.delay(self.jobs[job].host, self.ledgers[server].0);
        self.schedule(self.now + delay, Event::SlotEnded { job, server, end });
    }

    /// Releases a job's slot or reservation at the ledger.
    pub(crate) fn release(&mut self, job: Key, end: slot::End) {
        if self.jobs[job].stage == Stage::Reserving {
            // Invalidates the reservation response in flight; `reserved` releases its slot on arrival.
            self.jobs[job].attempt += 1;
        }
        if !self.jobs[job].reserved {
            return;
        }
        self.jobs[job].reserved = false;
        if self.hosts[self.jobs[job].host].alive {
            let server = self.jobs[job].decode;
            self.report_slot_ended(job, server, end);
        }
    }

    pub(crate) fn confirm(&mut self) {
        let now = self.instant();
        for (server, engine) in self.decodes.iter().enumerate() {
            for host in 0..self.hosts.len() {
                if !self.hosts[host].alive {
                    continue;
                }
                let running = engine.transferring.iter().chain(&engine.batch).copied();
                let own = running.filter(|job| self.jobs[*job].host == host);
                self.ledgers[server].1.confirm(now, host, own);
            }
            self.ledgers[server].1.tick(now);
        }
        self.schedule(self.now + SECOND, Event::Confirm);
    }

    pub(crate) fn fail_over_ledgers(&mut self) {
        for (owner, ledger) in &mut self.ledgers {
            if !self.hosts[*owner].alive {
                *owner = (*owner + 1) % self.hosts.len();
                *ledger = new_ledger(self.model);
            }
        }
    }

    pub(crate) fn decode_failed(&mut self, job: Key) {
        self.decode_outcome(job, Outcome::Failed);
    }

    /// Passes the mean time between tokens since the last sample to the outlier detector.
    pub(crate) fn record_tpot(&mut self, job: Key) {
        let state = &mut self.jobs[job];
        let micros = state.last_token_at - state.tpot_sample_start;
        state.tpot_sample_start = state.last_token_at;
        if state.tokens as usize <= 16 {
            return;
        }
        let millis = micros as f64 / 16.0 / MILLISECOND as f64;
        self.decode_outcome(job, Outcome::Answered { millis });
    }

    fn decode_outcome(&mut self, job: Key, outcome: Outcome) {
        if !self.policy.eject {
            return;
        }
        let now = self.instant();
        let state = &self.jobs[job];
        let host = &mut self.hosts[state.host];
        let change = host.decode_detector.outcome(now, state.decode, outcome);
        if let Some(change) = change {
            let key = host.decode_keys[state.decode];
            host.chooser.set_available(key, change == Change::Returned);
        }
    }
}
