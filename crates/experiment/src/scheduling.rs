//! Drives the fair queue, the ledgers and the chooser of the hosts.

use std::time::Duration;

use berylknot_coordination::eject::{Change, Outcome};
use berylknot_coordination::placement::Prompt;
use berylknot_coordination::queue::Request;
use berylknot_coordination::slot;
use rand::Rng;

use crate::Micros;
use crate::fakes::{CacheEvent, Key};
use crate::model::{MILLISECOND, SECOND, TTFT_TARGET};
use crate::policy::Place;
use crate::world::{Answer, End, Event, Load, Stage, World, new_ledger};

/// Longest time that a request waits at a host before it is refused.
const LONGEST_WAIT: Micros = 7_500 * MILLISECOND;
/// Time between the end of a prefill and the first token, for the latest useful start.
const AFTER_PREFILL: Micros = 120 * MILLISECOND;
/// Reservations that a host asks for at one time.
const MOST_PENDING: usize = 1;

impl World<'_> {
    pub(crate) fn push_fair(&mut self, job: Key) {
        let host = self.jobs[job].host;
        let arrival = &self.workload.arrivals[self.jobs[job].arrival];
        let prefill = u64::from(arrival.prompt) * self.model.prefill_per_token_ns / 1_000;
        let latest = TTFT_TARGET.saturating_sub(prefill + AFTER_PREFILL);
        let at = self.jobs[job].at;
        let request = Request {
            customer: arrival.customer,
            tokens: u64::from(arrival.prompt + arrival.answer),
            start_by: self.instant()
                + Duration::from_micros(at + latest)
                    .saturating_sub(Duration::from_micros(self.now)),
            deadline: self.instant()
                + Duration::from_micros((at + LONGEST_WAIT).saturating_sub(self.now)),
        };
        let now = self.instant();
        match self.hosts[host].fair.push(now, request) {
            Ok(ticket) => {
                self.jobs[job].ticket = Some(ticket);
                self.hosts[host].tickets.insert(ticket, job);
                self.pump(host);
            }
            Err(_) => self.finish(job, End::Refused),
        }
    }

    pub(crate) fn pump_fair(&mut self, host: usize) {
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
            self.jobs[job].asked = 0;
            self.hosts[host].pending += 1;
            self.ask(job, decode);
        }
        if !self.hosts[host].fair.is_empty() {
            let at = self.hosts[host]
                .blocked_until
                .max(self.now + 20 * MILLISECOND);
            self.pump_at(host, at);
        }
    }

    fn may_send(&self, host: usize) -> bool {
        let one = &self.hosts[host];
        if self.policy.reserve {
            one.pending < MOST_PENDING && one.blocked_until <= self.now
        } else {
            self.free_slots(host) > 0
        }
    }

    pub(crate) fn pump_soon(&mut self, host: usize) {
        self.hosts[host].blocked_until = self.now;
        self.pump_at(host, self.now);
    }

    fn pump_at(&mut self, host: usize, at: Micros) {
        if self.hosts[host]
            .pump_at
            .is_some_and(|planned| planned <= at)
        {
            return;
        }
        self.hosts[host].pump_at = Some(at);
        self.schedule(at, Event::Pump(host));
    }

    /// Sends a reservation request to the coordinating host of a decode engine.
    fn ask(&mut self, job: Key, server: usize) {
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
        let keeper = self.ledgers[server].0;
        let host = self.jobs[job].host;
        let lead = self.lead(job);
        let answer = self.hosts[keeper]
            .alive
            .then(|| self.ledgers[server].1.reserve(now, job, host, lead));
        let delay = self.delay(host, keeper);
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

    /// Time until the KV cache of a job is at its decode engine.
    fn lead(&self, job: Key) -> Duration {
        if let Some(choice) = &self.jobs[job].choice {
            return choice.lead;
        }
        let arrival = &self.workload.arrivals[self.jobs[job].arrival];
        Duration::from_nanos(u64::from(arrival.prompt) * self.model.prefill_per_token_ns)
    }

    pub(crate) fn reserved(&mut self, job: Key, attempt: u32, server: usize, answer: Answer) {
        let host = self.jobs[job].host;
        let one = &self.jobs[job];
        let waits = one.stage == Stage::Reserving && one.attempt == attempt && one.end.is_none();
        if !waits {
            self.hosts[host].pending = self.hosts[host].pending.saturating_sub(1);
            if let Some(Ok(_)) = answer {
                self.tell_ended(job, server, slot::End::Released);
            }
            return;
        }
        let start = match answer {
            Some(Ok(_)) => {
                self.jobs[job].reserved = true;
                true
            }
            // Without its ledger, load reports and the own count decide.
            None => self.free_slots(host) > 0,
            Some(Err(_)) => false,
        };
        if start {
            self.hosts[host].pending = self.hosts[host].pending.saturating_sub(1);
            let (prefill, decode) = (self.jobs[job].prefill, server);
            self.send(job, prefill, decode);
            self.pump(host);
            return;
        }
        let retry = match answer {
            Some(Err(full)) => full.retry_after().as_micros() as Micros,
            _ => 20 * MILLISECOND,
        };
        self.refused(job, retry);
    }

    /// Asks the next decode engine of the choice, or puts the request back.
    fn refused(&mut self, job: Key, retry: Micros) {
        let host = self.jobs[job].host;
        self.jobs[job].asked += 1;
        let next = self.jobs[job].choice.and_then(|choice| {
            let key = *choice.decode.get(self.jobs[job].asked)?;
            self.hosts[host]
                .decode_keys
                .iter()
                .position(|one| Some(*one) == key)
        });
        if let Some(server) = next {
            self.ask(job, server);
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
        let at = self.now + retry;
        self.hosts[host].blocked_until = at;
        self.pump_at(host, at);
    }

    pub(crate) fn place_by_chooser(&mut self, job: Key) -> (usize, usize) {
        let host = self.jobs[job].host;
        let now = self.instant();
        let draw = self.random.random();
        let arrival = &self.workload.arrivals[self.jobs[job].arrival];
        let prompt = Prompt {
            pieces: &arrival.pieces,
            tokens: arrival.prompt,
        };
        let one = &self.hosts[host];
        let choice = one.chooser.choose(now, prompt, draw);
        self.jobs[job].choice = choice;
        let index = |keys: &[_], key| keys.iter().position(|one| *one == key).unwrap_or(0);
        choice.map_or((0, 0), |choice| {
            let decode = choice.decode[0].unwrap_or(one.decode_keys[0]);
            (
                index(&one.prefill_keys, choice.prefill),
                index(&one.decode_keys, decode),
            )
        })
    }

    /// Tells the chooser of the host about a request that is sent on.
    pub(crate) fn note_sent(&mut self, job: Key) {
        let now = self.instant();
        let one = &self.jobs[job];
        let tokens = self.workload.arrivals[one.arrival].prompt;
        let host = &mut self.hosts[one.host];
        if let Some(choice) = &one.choice {
            let decode = host.decode_keys[one.decode];
            host.chooser.sent(now, choice, decode, tokens);
        }
    }

    pub(crate) fn prefill_finished(&mut self, job: Key, computed: u32) {
        if self.policy.place != Place::Chooser {
            return;
        }
        let now = self.instant();
        let one = &self.jobs[job];
        let arrival = &self.workload.arrivals[one.arrival];
        let cached = (arrival.prompt - computed) / self.model.piece_tokens;
        let host = &mut self.hosts[one.host];
        let key = host.prefill_keys[one.prefill];
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

    pub(crate) fn tell_chooser(&mut self, host: usize, prefill: &[Load], decode: &[Load]) {
        let (now, age) = (self.instant(), Duration::from_micros(self.model.report_lag));
        let one = &mut self.hosts[host];
        for (key, load) in one.prefill_keys.iter().zip(prefill) {
            let requests = load.running + load.waiting;
            one.chooser.report(now, *key, requests as u32, age);
        }
        let probe = one.decode_detector.probe(now);
        for (server, (key, load)) in one.decode_keys.iter().zip(decode).enumerate() {
            let requests = load.running + load.waiting;
            one.chooser.report(now, *key, requests as u32, age);
            let usable = !one.decode_detector.is_ejected(server) || probe == Some(server);
            one.chooser.set_available(*key, load.alive && usable);
        }
    }

    pub(crate) fn tell_started(&mut self, job: Key) {
        if self.jobs[job].reserved {
            let server = self.jobs[job].decode;
            let delay = self.delay(self.jobs[job].host, self.ledgers[server].0);
            self.schedule(self.now + delay, Event::SlotStarted { job, server });
        }
    }

    fn tell_ended(&mut self, job: Key, server: usize, end: slot::End) {
        let delay = self.delay(self.jobs[job].host, self.ledgers[server].0);
        self.schedule(self.now + delay, Event::SlotEnded { job, server, end });
    }

    /// Gives up a job's reservation or slot.
    pub(crate) fn release(&mut self, job: Key, end: slot::End) {
        if self.jobs[job].stage == Stage::Reserving {
            // The answer that is under way is released when it comes.
            self.jobs[job].attempt += 1;
        }
        if !self.jobs[job].reserved {
            return;
        }
        self.jobs[job].reserved = false;
        if self.hosts[self.jobs[job].host].alive {
            let server = self.jobs[job].decode;
            self.tell_ended(job, server, end);
        }
    }

    pub(crate) fn confirm(&mut self) {
        let now = self.instant();
        for (server, engine) in self.decodes.iter().enumerate() {
            for host in 0..self.hosts.len() {
                if !self.hosts[host].alive {
                    continue;
                }
                let running = engine.joining.iter().chain(&engine.batch).copied();
                let own = running.filter(|job| self.jobs[*job].host == host);
                self.ledgers[server].1.confirm(now, host, own);
            }
            self.ledgers[server].1.tick(now);
        }
        self.schedule(self.now + SECOND, Event::Confirm);
    }

    pub(crate) fn move_ledgers(&mut self) {
        for (keeper, ledger) in &mut self.ledgers {
            if !self.hosts[*keeper].alive {
                *keeper = (*keeper + 1) % self.hosts.len();
                *ledger = new_ledger(self.model);
            }
        }
    }

    pub(crate) fn decode_failed(&mut self, job: Key) {
        self.decode_outcome(job, Outcome::Failed);
    }

    /// Counts the time between the last tokens of a stream.
    pub(crate) fn decode_gaps(&mut self, job: Key) {
        let one = &mut self.jobs[job];
        let micros = one.last - one.gap_from;
        one.gap_from = one.last;
        if one.tokens as usize <= 16 {
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
        let one = &self.jobs[job];
        let host = &mut self.hosts[one.host];
        let change = host.decode_detector.outcome(now, one.decode, outcome);
        if let Some(change) = change {
            let key = host.decode_keys[one.decode];
            host.chooser.set_available(key, change == Change::Returned);
        }
    }
}
