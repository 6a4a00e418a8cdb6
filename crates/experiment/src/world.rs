//! Discrete-event simulation of one run: event queue, jobs, hosts and engines.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Micros;
use berylknot_coordination::clock::Instant;
use berylknot_coordination::eject::Detector;
use berylknot_coordination::placement::{self, Candidate, Choice, Chooser};
use berylknot_coordination::queue::{Fair, Limits, Ticket, Turn};
use berylknot_coordination::retry::{Budget, Hedge};
use berylknot_coordination::slot::{self, Ledger};

use crate::admission::QUEUE_LIMIT;
use crate::fakes::{CacheEvent, Decode, Key, Link, Prefill, Service};
use crate::model::{
    FAULT_END, FAULT_START, Fleet, LOCAL_DELAY, MILLISECOND, Model, RUN_DURATION, SECOND,
};
use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::workload::Workload;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer was delivered.
    Finished,
    /// The caller cancelled the request.
    Cancelled,
    /// The caller timed out before the first token.
    GaveUp,
    /// Refused by its host before it ran: queue full or queue timeout.
    Refused,
    /// Refused because the customer exceeded its rate limit.
    OverRate,
    /// A host failed, or an attempt failed (engine crash, transfer timeout, KV expiry) without a retry
    /// left.
    Failed,
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Queued,
    Reserving,
    Sent,
    Prefilling,
    Handover,
    Transferring,
    Decoding,
    Done,
}

/// A model request and its current attempt.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the arrival.
    pub(crate) arrival: usize,
    /// Arrival time at the entry host.
    pub(crate) at: Micros,
    pub(crate) host: usize,
    /// Whether this is a resend of an earlier request by the caller.
    pub(crate) resent: bool,
    pub(crate) stage: Stage,
    pub(crate) attempt: u32,
    pub(crate) prefill: usize,
    pub(crate) decode: usize,
    /// Tokens prefilled for the current attempt.
    pub(crate) computed_tokens: u32,
    pub(crate) batched_at: Micros,
    pub(crate) first_token_at: Option<Micros>,
    pub(crate) last_token_at: Micros,
    pub(crate) tokens: u32,
    pub(crate) end: Option<End>,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) turn: Option<Turn<usize>>,
    pub(crate) choice: Option<Choice>,
    /// Index in the chooser's decode candidates of the last one asked for a slot.
    pub(crate) candidate: usize,
    /// Whether the job holds a reservation or slot in the ledger of its decode engine.
    pub(crate) reserved: bool,
    /// Start of the current TPOT sample.
    pub(crate) tpot_sample_start: Micros,
}

/// Endpoint load from a load report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) alive: bool,
}

/// An entry host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) alive: bool,
    pub(crate) queue: VecDeque<Key>,
    pub(crate) round_robin: usize,
    pub(crate) prefill_outstanding: Vec<usize>,
    pub(crate) decode_outstanding: Vec<usize>,
    /// Send times of requests that the load reports of a decode engine do not include yet.
    pub(crate) decode_unreported: Vec<VecDeque<Micros>>,
    pub(crate) prefill_load: Vec<Load>,
    pub(crate) decode_load: Vec<Load>,
    pub(crate) fair: Fair<usize>,
    pub(crate) tickets: BTreeMap<Ticket, Key>,
    /// Reservation requests in flight.
    pub(crate) pending: usize,
    pub(crate) blocked_until: Micros,
    pub(crate) dispatch_at: Option<Micros>,
    pub(crate) chooser: Chooser,
    pub(crate) prefill_keys: Vec<placement::Key>,
    pub(crate) decode_keys: Vec<placement::Key>,
    pub(crate) budget: Budget,
    pub(crate) decode_detector: Detector<usize>,
    pub(crate) service_detector: Detector<usize>,
    pub(crate) hedge: Hedge,
}

/// Response of a slot ledger's owner; `None` if that host is unreachable.
pub(crate) type Answer = Option<slot::Result<slot::Reservation>>;

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive(usize),
    Lookup(usize),
    Resend(Key),
    CallerLeaves(Key),
    Dispatch(usize),
    Reserve {
        job: Key,
        attempt: u32,
        server: usize,
    },
    Reserved {
        job: Key,
        attempt: u32,
        server: usize,
        answer: Answer,
    },
    SlotStarted {
        job: Key,
        server: usize,
    },
    SlotEnded {
        job: Key,
        server: usize,
        end: slot::End,
    },
    Confirm,
    FailOverLedgers,
    Cached {
        server: usize,
        events: Vec<CacheEvent>,
    },
    LookupDone {
        host: usize,
        server: usize,
        sent_at: Micros,
    },
    Hedge {
        index: usize,
        first_server: usize,
        answered: Micros,
    },
    PrefillSubmit {
        job: Key,
        attempt: u32,
    },
    PrefillEnd {
        server: usize,
        epoch: u64,
    },
    DecodeSubmit {
        job: Key,
        attempt: u32,
    },
    KvExpire {
        job: Key,
        attempt: u32,
    },
    TransferDone {
        job: Key,
        attempt: u32,
    },
    TransferTimeout {
        job: Key,
        attempt: u32,
    },
    Step {
        server: usize,
        epoch: u64,
    },
    SampleLoad,
    LoadReported {
        prefill: Vec<Load>,
        decode: Vec<Load>,
    },
    Fault {
        start: bool,
    },
    Reap,
}

/// State of a run.
#[derive(Debug)]
pub struct Simulation<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) model: &'a Model,
    pub(crate) policy: Policy,
    pub(crate) scenario: Scenario,
    pub(crate) workload: &'a Workload,
    pub(crate) random: ChaCha8Rng,
    pub(crate) now: Micros,
    sequence: u64,
    events: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    event_bodies: Vec<Option<Event>>,
    free_bodies: Vec<usize>,
    /// All jobs of the run.
    pub jobs: Vec<Job>,
    pub(crate) hosts: Vec<Host>,
    /// Slot ledger of each decode engine and the host that owns it.
    pub(crate) ledgers: Vec<(usize, Ledger<Key, usize>)>,
    pub(crate) prefills: Vec<Prefill>,
    pub(crate) decodes: Vec<Decode>,
    pub(crate) local_links: Vec<Link>,
    pub(crate) cross_links: Vec<Link>,
    pub(crate) services: Vec<Service>,
    /// Tokens computed by the prefill engines, cached prefixes excluded.
    pub prefilled_tokens: u64,
    /// Tokens prefilled whose attempt never got a decode slot.
    pub wasted_tokens: u64,
    /// Attempts that the hosts retried.
    pub retries: u64,
    /// Latency of each lookup, from arrival to the first answer.
    pub lookup_times: Vec<Micros>,
    pub(crate) stall_transfers: bool,
    pub(crate) slots_used: f64,
    pub(crate) peak_samples: u64,
}

/// Delay until the load balancer stops routing to a dead host.
pub(crate) const BALANCER_EJECTION_DELAY: Micros = SECOND;
/// Delay until the work of a dead host is cancelled at the engines (design page, section 5.4).
const REAP_DELAY: Micros = 16 * SECOND;
/// Timeout of a KV transfer.
pub(crate) const TRANSFER_TIMEOUT: Micros = 500 * MILLISECOND;

/// Delay until another host takes over the slot ledgers of a dead host.
const LEDGER_FAILOVER_DELAY: Micros = 3 * SECOND;
/// Queue limits of a host; the total also bounds the FIFO queue of the baselines.
const LIMITS: Limits = Limits {
    per_customer: 48,
    total: QUEUE_LIMIT,
};

pub(crate) fn new_ledger(model: &Model) -> Ledger<Key, usize> {
    Ledger::new(model.slots as u32)
}

fn new_host(fleet: &Fleet, model: &Model, number: usize) -> Host {
    let alive = Load {
        alive: true,
        ..Load::default()
    };
    let centres = fleet.data_centres;
    let delay = |from, to| {
        if from == to {
            LOCAL_DELAY
        } else {
            fleet.cross_delay
        }
    };
    let mut chooser = Chooser::new(placement::Settings {
        data_centre: number % centres,
        delay_us: (0..centres)
            .map(|from| (0..centres).map(|to| delay(from, to)).collect())
            .collect(),
        hosts: fleet.hosts as u32,
        piece_tokens: model.piece_tokens,
        prefill_ns_per_token: model.prefill_per_token_ns,
        kv_bytes_per_token: model.kv_bytes_per_token,
        cross_link_bytes_per_ms: model.cross_link_bytes_per_us * MILLISECOND,
        local_link_bytes_per_ms: model.local_link_bytes_per_us * MILLISECOND,
    });
    let mut keys = |role, count: usize| -> Vec<placement::Key> {
        (0..count)
            .map(|server| {
                chooser.add(Candidate {
                    role,
                    data_centre: server % centres,
                    slots: model.slots as u32,
                })
            })
            .collect()
    };
    let prefill_keys = keys(placement::Role::Prefill, fleet.prefill);
    let decode_keys = keys(placement::Role::Decode, fleet.decode);
    let detector = |count| {
        let mut detector = Detector::new();
        for server in 0..count {
            detector.add(server);
        }
        detector
    };
    Host {
        alive: true,
        queue: VecDeque::new(),
        round_robin: number,
        prefill_outstanding: vec![0; fleet.prefill],
        decode_outstanding: vec![0; fleet.decode],
        decode_unreported: vec![VecDeque::new(); fleet.decode],
        prefill_load: vec![alive; fleet.prefill],
        decode_load: vec![alive; fleet.decode],
        fair: Fair::new(LIMITS),
        tickets: BTreeMap::new(),
        pending: 0,
        blocked_until: 0,
        dispatch_at: None,
        chooser,
        prefill_keys,
        decode_keys,
        budget: Budget::default(),
        decode_detector: detector(fleet.decode),
        service_detector: detector(fleet.services),
        hedge: Hedge::default(),
    }
}

impl<'a> Simulation<'a> {
    /// Virtual time as the clock type of the decision code, in whole milliseconds.
    pub(crate) fn instant(&self) -> Instant {
        Instant::from_millis(self.now / MILLISECOND)
    }

    /// Runs a workload to its end; events later than 10 s after [`RUN_DURATION`] are dropped.
    #[must_use]
    pub fn run(
        fleet: &'a Fleet,
        model: &'a Model,
        policy: Policy,
        scenario: Scenario,
        workload: &'a Workload,
        seed: u64,
    ) -> Self {
        let mut simulation = Self::new(fleet, model, policy, scenario, workload, seed);
        for index in 0..workload.arrivals.len() {
            simulation.schedule(workload.arrivals[index].at, Event::Arrive(index));
        }
        for index in 0..workload.lookups.len() {
            simulation.schedule(workload.lookups[index].at, Event::Lookup(index));
        }
        simulation.schedule(0, Event::SampleLoad);
        simulation.schedule(SECOND, Event::Confirm);
        if scenario != Scenario::Steady && scenario != Scenario::OverloadPulse {
            simulation.schedule(FAULT_START, Event::Fault { start: true });
            simulation.schedule(FAULT_END, Event::Fault { start: false });
        }
        while let Some(Reverse((at, _, body))) = simulation.events.pop() {
            if at > RUN_DURATION + 10 * SECOND {
                break;
            }
            simulation.now = at;
            simulation.free_bodies.push(body);
            if let Some(event) = simulation.event_bodies[body].take() {
                simulation.handle(event);
            }
        }
        simulation
    }

    fn new(
        fleet: &'a Fleet,
        model: &'a Model,
        policy: Policy,
        scenario: Scenario,
        workload: &'a Workload,
        seed: u64,
    ) -> Self {
        let host = |index| new_host(fleet, model, index);
        Self {
            fleet,
            model,
            policy,
            scenario,
            workload,
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x005e_ed0f_0a11_u64),
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            event_bodies: Vec::new(),
            free_bodies: Vec::new(),
            jobs: Vec::new(),
            hosts: (0..fleet.hosts).map(host).collect(),
            ledgers: (0..fleet.decode)
                .map(|server| (server % fleet.hosts, new_ledger(model)))
                .collect(),
            prefills: (0..fleet.prefill).map(|_| Prefill::default()).collect(),
            decodes: (0..fleet.decode).map(|_| Decode::new()).collect(),
            local_links: vec![Link::default(); fleet.prefill],
            cross_links: vec![Link::default(); fleet.data_centres * fleet.data_centres],
            services: (0..fleet.services).map(|_| Service::default()).collect(),
            prefilled_tokens: 0,
            wasted_tokens: 0,
            retries: 0,
            lookup_times: Vec::new(),
            stall_transfers: false,
            slots_used: 0.0,
            peak_samples: 0,
        }
    }

    pub(crate) fn schedule(&mut self, at: Micros, event: Event) {
        let body = self.free_bodies.pop().unwrap_or_else(|| {
            self.event_bodies.push(None);
            self.event_bodies.len() - 1
        });
        self.event_bodies[body] = Some(event);
        self.sequence += 1;
        self.events
            .push(Reverse((at.max(self.now), self.sequence, body)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index, None),
            Event::Resend(job) => self.arrive(self.jobs[job].arrival, Some(job)),
            Event::Lookup(index) => self.lookup(index),
            Event::CallerLeaves(job) => self.caller_leaves(job),
            Event::Dispatch(host) => {
                self.hosts[host].dispatch_at = None;
                self.dispatch(host);
            }
            Event::Reserve {
                job,
                attempt,
                server,
            } => self.reserve(job, attempt, server),
            Event::Reserved {
                job,
                attempt,
                server,
                answer,
            } => self.reserved(job, attempt, server, answer),
            Event::SlotStarted { job, server } => {
                let now = self.instant();
                self.ledgers[server].1.start(now, job);
            }
            Event::SlotEnded { job, server, end } => {
                let now = self.instant();
                self.ledgers[server].1.end(now, job, end);
            }
            Event::Confirm => self.confirm(),
            Event::FailOverLedgers => self.fail_over_ledgers(),
            Event::Cached { server, events } => self.cached(server, &events),
            Event::LookupDone {
                host,
                server,
                sent_at,
            } => self.lookup_done(host, server, sent_at),
            Event::Hedge {
                index,
                first_server,
                answered,
            } => self.hedge(index, first_server, answered),
            Event::PrefillSubmit { job, attempt } => self.prefill_submit(job, attempt),
            Event::PrefillEnd { server, epoch } => self.prefill_end(server, epoch),
            Event::DecodeSubmit { job, attempt } => self.decode_submit(job, attempt),
            Event::KvExpire { job, attempt } => self.kv_expire(job, attempt),
            Event::TransferDone { job, attempt } => self.transfer_done(job, attempt),
            Event::TransferTimeout { job, attempt } => self.transfer_timeout(job, attempt),
            Event::Step { server, epoch } => self.step(server, epoch),
            Event::SampleLoad => self.sample_load(),
            Event::LoadReported { prefill, decode } => self.apply_load_report(&prefill, &decode),
            Event::Fault { start } => self.fault(start),
            Event::Reap => self.reap(),
        }
    }

    /// One-way network delay between two hosts or endpoints, given by index.
    pub(crate) fn delay(&self, from: usize, to: usize) -> Micros {
        if from % self.fleet.data_centres == to % self.fleet.data_centres {
            LOCAL_DELAY
        } else {
            self.fleet.cross_delay
        }
    }

    fn fault(&mut self, start: bool) {
        match self.scenario {
            Scenario::EndpointCrash if start => self.crash_decode(0),
            Scenario::EndpointCrash => self.decodes[0].alive = true,
            Scenario::SlowEndpoint => {
                self.decodes[0].slowdown = if start { 3 } else { 1 };
                self.services[0].slowdown = if start { 10 } else { 1 };
            }
            Scenario::StalledTransfers => self.stall_transfers = start,
            Scenario::HostCrash if start => {
                self.hosts[0] = new_host(self.fleet, self.model, 0);
                self.hosts[0].alive = false;
                self.schedule(self.now + LEDGER_FAILOVER_DELAY, Event::FailOverLedgers);
                for job in 0..self.jobs.len() {
                    if self.jobs[job].host == 0 && self.jobs[job].end.is_none() {
                        self.jobs[job].end = Some(End::Failed);
                    }
                }
                self.schedule(self.now + REAP_DELAY, Event::Reap);
            }
            Scenario::HostCrash => self.hosts[0].alive = true,
            Scenario::Steady | Scenario::OverloadPulse => {}
        }
    }

    fn reap(&mut self) {
        for job in 0..self.jobs.len() {
            if self.jobs[job].end == Some(End::Failed) && self.jobs[job].stage != Stage::Done {
                self.stop(job);
            }
        }
    }

    fn sample_load(&mut self) {
        let prefill = self
            .prefills
            .iter()
            .map(|server| Load {
                running: usize::from(server.running.is_some()),
                waiting: server.waiting.len(),
                alive: true,
            })
            .collect();
        let decode = self
            .decodes
            .iter()
            .map(|server| Load {
                running: server.used(),
                waiting: server.waiting.len(),
                alive: server.alive,
            })
            .collect();
        self.schedule(
            self.now + self.model.report_lag,
            Event::LoadReported { prefill, decode },
        );
        self.schedule(self.now + self.model.report_period, Event::SampleLoad);
        if (20 * SECOND..50 * SECOND).contains(&self.now) {
            let used: usize = self.decodes.iter().map(Decode::used).sum();
            self.slots_used += used as f64 / (self.model.slots * self.decodes.len()) as f64;
            self.peak_samples += 1;
        }
    }

    fn apply_load_report(&mut self, prefill: &[Load], decode: &[Load]) {
        let measured = self.now - self.model.report_lag;
        let (now, age) = (self.instant(), Duration::from_micros(self.model.report_lag));
        for (server, load) in decode.iter().enumerate() {
            self.ledgers[server].1.report(now, load.running as u32, age);
        }
        for host in 0..self.hosts.len() {
            self.update_chooser(host, prefill, decode);
            self.hosts[host].prefill_load.copy_from_slice(prefill);
            self.hosts[host].decode_load.copy_from_slice(decode);
            for sent in &mut self.hosts[host].decode_unreported {
                // A request enters the decode load only after its prefill; 150 ms are allowed for that.
                while sent
                    .front()
                    .is_some_and(|at| *at + 150 * MILLISECOND < measured)
                {
                    sent.pop_front();
                }
            }
            self.dispatch(host);
        }
    }
}
