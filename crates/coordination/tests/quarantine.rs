//! Simulation of the quarantine: a request crashes at most two endpoints, and no other customer's
//! request is refused because of it.

mod support {
    pub(crate) mod agreement;
    pub(crate) mod log;
    pub(crate) mod network;
    pub(crate) mod run;
}

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use berylknot_coordination::clock::Instant;
use berylknot_coordination::quarantine::{
    Announcement, End, Event, Fingerprint, Kind, Local, MAX_FINGERPRINTS, Occupant,
    STRIKE_RETENTION, Struck, Table, Verdict, may_join, strike,
};
use berylknot_coordination::record::Record;
use berylknot_coordination::replica::Replica;
use proptest::prelude::*;
use rand::Rng;
use support::agreement::Agreement;
use support::log::Log;
use support::network::Network;
use support::run::{Result, catches, holds};

const HOSTS: usize = 3;
const ENDPOINTS: usize = 6;
const TICK_MS: u64 = 50;
const RESTART_MS: u64 = 2_000;
const STRIKE_RETENTION_MS: u64 = STRIKE_RETENTION.as_millis() as u64;
/// Number of crashing requests: customer 0 sends requests 0 to 4, customers 1 to 3 the innocent
/// ones.
const CRASHING_REQUESTS: u8 = 5;
const REQUESTS: u8 = 15;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A suspect may share an endpoint with other customers' requests that are not suspects.
    SharedEndpoints,
    /// Strikes reach other hosts only through the log.
    NoPeerMessages,
    /// Callers are answered before the peers have acknowledged the strike.
    EarlyAnswer,
    /// The end of an endpoint on a leaving host counts as a crash.
    StrikeOnLeave,
    /// A host that starts does not fetch its peers' strikes.
    NoCatchUp,
}

#[derive(Clone, Debug)]
enum Step {
    Call { request: u8 },
    Leave { endpoint: usize },
    Restart { host: usize },
    ToggleLog,
    Wait(u64),
}

#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    trouble_percent: u32,
    steps: Vec<Step>,
}

fn plans() -> impl Strategy<Value = Plan> {
    let step = prop_oneof![
        12 => (0..REQUESTS).prop_map(|request| Step::Call { request }),
        4 => (0..CRASHING_REQUESTS).prop_map(|request| Step::Call { request }),
        1 => (0..ENDPOINTS).prop_map(|endpoint| Step::Leave { endpoint }),
        1 => (0..HOSTS).prop_map(|host| Step::Restart { host }),
        1 => Just(Step::ToggleLog),
        5 => (0_u64..2_000).prop_map(Step::Wait),
        5 => (0_u64..300).prop_map(Step::Wait),
    ];
    let steps = proptest::collection::vec(step, 20..120);
    (any::<u64>(), 0_u32..25, steps).prop_map(|(seed, trouble_percent, steps)| Plan {
        seed,
        trouble_percent,
        steps,
    })
}

fn fingerprint(request: u8) -> Fingerprint {
    let customer = if request < CRASHING_REQUESTS {
        0
    } else {
        1 + request % 3
    };
    Fingerprint {
        customer: customer.to_string(),
        route: "chat".to_owned(),
        body: [request; 32],
    }
}

#[derive(Clone)]
enum Message {
    Announce(usize, usize, usize, Event),
    Acknowledged(usize, usize, usize),
    Append(Event),
}

#[derive(Clone, Debug)]
struct Running {
    request: u8,
    host: usize,
    suspect: Vec<String>,
    ends_ms: u64,
}

#[derive(Default)]
struct Host {
    replica: Replica,
    local: Local,
    announcements: BTreeMap<usize, (Announcement<usize>, BTreeSet<u8>)>,
}

struct World {
    fault: Fault,
    now_ms: u64,
    log: Log,
    log_up: bool,
    network: Network<Message>,
    hosts: Vec<Host>,
    announced: usize,
    up_ms: [u64; ENDPOINTS],
    running: [Vec<Running>; ENDPOINTS],
    /// Requests whose callers have no answer yet.
    unanswered: BTreeSet<u8>,
    crashes: BTreeMap<u8, Vec<u64>>,
    refused: usize,
    finished: usize,
    agreement: Agreement,
}

impl World {
    fn new(plan: &Plan, fault: Fault) -> Self {
        Self {
            fault,
            now_ms: 1_000_000,
            log: Log::new(u64::MAX / 2),
            log_up: true,
            network: Network::new(plan.seed, plan.trouble_percent),
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            announced: 0,
            up_ms: [0; ENDPOINTS],
            running: Default::default(),
            unanswered: BTreeSet::new(),
            crashes: BTreeMap::new(),
            refused: 0,
            finished: 0,
            agreement: Agreement::default(),
        }
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn verdict(&mut self, host: usize, request: u8) -> Verdict {
        let now = self.now();
        let Host { replica, local, .. } = &mut self.hosts[host];
        local.verdict(
            now,
            self.now_ms,
            replica.strikes(),
            Kind::Model,
            &fingerprint(request),
        )
    }

    fn call(&mut self, request: u8) -> Result {
        // A caller retries a request only after it was answered.
        if self.unanswered.contains(&request) {
            return Ok(());
        }
        let host = self.network.random.random_range(0..HOSTS);
        let avoid = match self.verdict(host, request) {
            Verdict::Free => Vec::new(),
            Verdict::Suspect { avoid } => avoid,
            Verdict::Refused if request < CRASHING_REQUESTS => {
                self.refused += 1;
                return Ok(());
            }
            Verdict::Refused => return Err(format!("innocent request {request} is refused")),
        };
        let first = self.network.random.random_range(0..ENDPOINTS);
        for endpoint in (first..first + ENDPOINTS).map(|endpoint| endpoint % ENDPOINTS) {
            if self.place(host, endpoint, request, &avoid) {
                break;
            }
        }
        Ok(())
    }

    /// Places a request unless the endpoint's coordinating host refuses it by its own strikes or by
    /// `known`, those of the sending host.
    fn place(&mut self, host: usize, endpoint: usize, request: u8, known: &[String]) -> bool {
        if self.up_ms[endpoint] > self.now_ms {
            return false;
        }
        let mut suspect = known.to_vec();
        match self.verdict(endpoint % HOSTS, request) {
            Verdict::Free => {}
            Verdict::Suspect { avoid } => suspect.extend(avoid),
            Verdict::Refused => return false,
        }
        if suspect.contains(&endpoint.to_string()) {
            return false;
        }
        let customer = fingerprint(request).customer;
        let new = Occupant {
            customer: &customer,
            suspect: !suspect.is_empty(),
        };
        let running: Vec<_> = self.running[endpoint]
            .iter()
            .map(|job| (fingerprint(job.request).customer, !job.suspect.is_empty()))
            .collect();
        let occupants = running.iter().map(|(customer, suspect)| Occupant {
            customer,
            suspect: *suspect,
        });
        let allowed = match self.fault {
            Fault::SharedEndpoints => !new.suspect || occupants.clone().all(|other| !other.suspect),
            _ => may_join(new, occupants),
        };
        if !allowed {
            return false;
        }
        self.unanswered.insert(request);
        let ends_ms = self.now_ms + self.network.random.random_range(100..1_500);
        let running = Running {
            request,
            host,
            suspect,
            ends_ms,
        };
        self.running[endpoint].push(running);
        true
    }

    fn crash(&mut self, endpoint: usize, end: End) {
        self.up_ms[endpoint] = self.now_ms + RESTART_MS;
        let lost = std::mem::take(&mut self.running[endpoint]);
        for host in 0..HOSTS {
            let own = lost
                .iter()
                .filter(|running| running.host == host)
                .map(|running| running.request);
            let own: BTreeSet<u8> = own.collect();
            // The coordinating host knows all requests of the endpoint, other hosts only their own.
            let coordinates = host == endpoint % HOSTS;
            let seen = lost
                .iter()
                .filter(|running| coordinates || running.host == host);
            let seen = seen.map(|running| Struck {
                fingerprint: fingerprint(running.request),
                isolated: !running.suspect.is_empty(),
            });
            match strike(Kind::Model, &endpoint.to_string(), end, seen) {
                Some(event) => self.announce(host, event, own),
                None => self.answer(&own),
            }
        }
    }

    fn answer(&mut self, requests: &BTreeSet<u8>) {
        self.unanswered
            .retain(|request| !requests.contains(request));
    }

    fn announce(&mut self, host: usize, event: Event, mut own: BTreeSet<u8>) {
        self.announced += 1;
        let now = self.now();
        self.hosts[host].local.apply(now, &event);
        self.network
            .send(self.now_ms, 5_000, &Message::Append(event.clone()));
        if self.fault == Fault::EarlyAnswer {
            self.answer(&std::mem::take(&mut own));
        }
        let peers = (0..HOSTS).filter(|peer| *peer != host && self.fault != Fault::NoPeerMessages);
        let announcement = Announcement::new(now, event, peers);
        let announcements = &mut self.hosts[host].announcements;
        announcements.insert(self.announced, (announcement, own));
        self.send_announcements(host);
    }

    fn send_announcements(&mut self, host: usize) {
        for (number, (announcement, _)) in &self.hosts[host].announcements {
            for peer in announcement.unacknowledged() {
                let message = Message::Announce(host, *peer, *number, announcement.event().clone());
                self.network.send(self.now_ms, 150, &message);
            }
        }
    }

    fn finish(&mut self, endpoint: usize, done: &Running) {
        self.finished += 1;
        self.unanswered.remove(&done.request);
        if !done.suspect.is_empty() {
            let event = Event::Clear {
                kind: Kind::Model,
                endpoints: done.suspect.clone(),
                fingerprint: fingerprint(done.request),
            };
            // No answer depends on a cleared strike, so its message is sent once and may be lost.
            let now = self.now();
            self.hosts[done.host].local.apply(now, &event);
            self.network
                .send(self.now_ms, 5_000, &Message::Append(event.clone()));
            for peer in (0..HOSTS).filter(|peer| *peer != done.host) {
                let message = Message::Announce(done.host, peer, 0, event.clone());
                self.network.send(self.now_ms, 150, &message);
            }
        }
        self.running[endpoint].retain(|running| running.request != done.request);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Announce(from, to, number, event) => {
                let now = self.now();
                self.hosts[to].local.apply(now, &event);
                let message = Message::Acknowledged(from, to, number);
                self.network.send(self.now_ms, 150, &message);
            }
            Message::Acknowledged(host, peer, number) => {
                if let Some((announcement, _)) = self.hosts[host].announcements.get_mut(&number) {
                    announcement.acknowledged(&peer);
                }
            }
            Message::Append(event) => {
                if self.log_up {
                    self.log.append(self.now_ms, vec![Record::Strike(event)]);
                }
            }
        }
    }

    fn restart(&mut self, host: usize) {
        // The gateway keeps running and resends unfinished announcements to the new coordinator.
        let peers = (1..HOSTS).map(|turn| &self.hosts[(host + turn) % HOSTS]);
        let peer_strikes: Vec<_> = peers.flat_map(|peer| peer.local.strike_events()).collect();
        let announcements = std::mem::take(&mut self.hosts[host].announcements);
        let own: Vec<_> = announcements
            .values()
            .map(|(announcement, _)| announcement.event().clone())
            .collect();
        let now = self.now();
        self.hosts[host] = Host {
            announcements,
            ..Host::default()
        };
        for event in own {
            self.hosts[host].local.apply(now, &event);
        }
        for strike in peer_strikes {
            if self.fault != Fault::NoCatchUp {
                self.hosts[host].local.apply(now, &strike);
            }
        }
    }

    fn poll(&mut self, host: usize) -> Result {
        let now = self.now();
        if self.now_ms.is_multiple_of(200) {
            self.send_announcements(host);
        }
        let mut answered = BTreeSet::new();
        for (announcement, own) in self.hosts[host].announcements.values_mut() {
            if announcement.is_done(now) {
                answered.append(own);
            }
        }
        self.hosts[host]
            .announcements
            .retain(|_, (announcement, _)| announcement.unacknowledged().next().is_some());
        self.answer(&answered);
        if self.log_up && !self.network.inject_fault() {
            let reader = &mut self.hosts[host];
            let read = self.log.read(reader.replica.next_offset());
            assert!(read.oldest <= reader.replica.next_offset());
            for entry in read.entries {
                reader.replica.apply(&entry);
                self.agreement.check(&reader.replica)?;
            }
        }
        Ok(())
    }

    fn advance(&mut self, millis: u64) -> Result {
        for _ in 0..millis / TICK_MS {
            self.now_ms += TICK_MS;
            while let Some(message) = self.network.receive(self.now_ms) {
                self.deliver(message);
            }
            for endpoint in 0..ENDPOINTS {
                for running in self.running[endpoint].clone() {
                    if running.ends_ms > self.now_ms || self.running[endpoint].is_empty() {
                        continue;
                    }
                    if running.request < CRASHING_REQUESTS {
                        self.crashes
                            .entry(running.request)
                            .or_default()
                            .push(self.now_ms);
                        self.crash(endpoint, End::Crashed);
                    } else {
                        self.finish(endpoint, &running);
                    }
                }
            }
            for host in 0..HOSTS {
                self.poll(host)?;
            }
        }
        self.check_crashes()
    }

    /// Oracle: within the retention of strikes, a request crashes at most two endpoints.
    fn check_crashes(&self) -> Result {
        for (request, crashes) in &self.crashes {
            let three = crashes
                .windows(3)
                .find(|three| three[2] - three[0] < STRIKE_RETENTION_MS);
            if let Some(three) = three {
                return Err(format!("request {request} crashes endpoints at {three:?}"));
            }
        }
        Ok(())
    }
}

fn run(plan: &Plan, fault: Fault) -> std::result::Result<World, String> {
    let mut world = World::new(plan, fault);
    for step in &plan.steps {
        match *step {
            Step::Call { request } => world.call(request)?,
            Step::Leave { endpoint } => {
                let leaving = fault != Fault::StrikeOnLeave;
                world.crash(
                    endpoint,
                    if leaving {
                        End::HostLeaving
                    } else {
                        End::Crashed
                    },
                );
            }
            Step::Restart { host } => world.restart(host),
            Step::ToggleLog => world.log_up = !world.log_up,
            Step::Wait(millis) => world.advance(millis)?,
        }
    }
    Ok(world)
}

/// Guards against a request that crashes one endpoint after another, and against the refusal of
/// requests that only shared an endpoint with it.
#[test]
fn a_request_takes_two_endpoints_and_nobody_else_is_refused() {
    let seen = Cell::new((0, 0, 0));
    holds(1_000, plans(), |plan| {
        let world = run(&plan, Fault::None)?;
        let crashes: usize = world.crashes.values().map(Vec::len).sum();
        let sum = seen.get();
        seen.set((
            sum.0 + crashes,
            sum.1 + world.refused,
            sum.2 + world.finished,
        ));
        Ok(())
    });
    let seen = seen.get();
    assert!(
        seen.0 > 2_000 && seen.1 > 1_000 && seen.2 > 5_000,
        "too few crashes, refusals or completions: {seen:?}"
    );
}

/// Guards against permanent refusal: strikes expire after their retention even if nothing is
/// appended to the log.
#[test]
fn strikes_expire() {
    let steps = (0..40).flat_map(|_| [Step::Call { request: 0 }, Step::Wait(1_000)]);
    let plan = Plan {
        seed: 1,
        trouble_percent: 0,
        steps: steps.collect(),
    };
    let mut world = run(&plan, Fault::None).expect("no violation");
    assert_eq!(world.verdict(1, 0), Verdict::Refused);
    world.now_ms += STRIKE_RETENTION_MS;
    world.advance(1_000).expect("no violation");
    assert_eq!(world.verdict(1, 0), Verdict::Free);
}

/// Guards against refusal after two crashes without isolation, which happen when a host does not
/// know the first strike and may be the fault of other requests, and against refusal after two
/// crashes of the same endpoint.
#[yare::parameterized(
    no_isolation = { [("a", false), ("b", false)], false },
    one_endpoint = { [("a", false), ("a", true)], false },
    second_in_isolation = { [("a", false), ("b", true)], true },
    reordered_events = { [("b", true), ("a", false)], true },
)]
fn refusal_needs_two_endpoints_and_isolation(strikes: [(&str, bool); 2], refused: bool) {
    let now = Instant::from_millis(1);
    let (mut local, mut replicated) = (Local::default(), Table::default());
    for (turn, (endpoint, isolated)) in strikes.into_iter().enumerate() {
        let struck = Struck {
            fingerprint: fingerprint(9),
            isolated,
        };
        let event = strike(Kind::Model, endpoint, End::Crashed, [struck]).expect("in flight");
        if turn == 0 {
            replicated.apply(1, &event);
        }
        local.apply(now, &event);
    }
    let verdict = local.verdict(now, 1, &replicated, Kind::Model, &fingerprint(9));
    assert_eq!(verdict == Verdict::Refused, refused, "{verdict:?}");
    assert_ne!(verdict, Verdict::Free);
}

/// Guards against unbounded memory, and against strikes of one kind of service that displace those
/// of another kind.
#[test]
fn strikes_are_bounded_per_kind() {
    let mut table = Table::default();
    let mut add_strike = |kind, number: u64| {
        let mut struck_request = fingerprint(0);
        struck_request.body[..8].copy_from_slice(&number.to_le_bytes());
        let struck = vec![Struck {
            fingerprint: struck_request.clone(),
            isolated: false,
        }];
        table.apply(
            number,
            &Event::Strike {
                kind,
                endpoint: "e".to_owned(),
                struck,
            },
        );
        (
            table.len(),
            table.size_bytes(),
            table
                .endpoints(number, Kind::Model, &struck_request)
                .count(),
        )
    };
    add_strike(Kind::Model, 0);
    let mut last = (0, 0, 0);
    for number in 1..MAX_FINGERPRINTS as u64 + 1_000 {
        last = add_strike(Kind::Plain, number);
    }
    assert_eq!(last.0, MAX_FINGERPRINTS + 1);
    assert!(last.1 < 2 << 20, "{} bytes", last.1);
    assert_eq!(add_strike(Kind::Model, 0).2, 1);
}

/// Guards against an oracle that does not detect a missing mechanism.
#[yare::parameterized(
    shared_endpoints = { Fault::SharedEndpoints, "innocent" },
    no_peer_messages = { Fault::NoPeerMessages, "crashes endpoints" },
    early_answer = { Fault::EarlyAnswer, "crashes endpoints" },
    strike_on_leave = { Fault::StrikeOnLeave, "innocent" },
    no_catch_up = { Fault::NoCatchUp, "crashes endpoints" },
)]
fn oracle_reports_fault(fault: Fault, violation: &str) {
    catches(&plans(), violation, |plan| run(&plan, fault).map(|_| ()));
}
