//! Simulated hosts, links, log and engine.

use std::collections::BTreeSet;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::reap::{Epoch, Evidence, Gateways, Limits, Permit, Report, Watch};
use berylknot_coordination::record::Incarnation;
use berylknot_coordination::request::Id;

/// True time per tick of the simulation.
const TICK_MS: u64 = 250;
const SECOND_MS: u64 = 1_000;
const NAMES: [&str; 2] = ["a", "b"];

/// A mechanism that a run leaves out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Evidence is dated 1,000 s ahead, so the lease counts as expired and heartbeats as timed out.
    HeartbeatAlone,
    /// Heartbeats always count as timed out.
    LeaseAlone,
    /// Gateways forward streams whose permit has expired.
    NoPermit,
    /// The log counts as read up to now even when it is unreachable.
    StaleLog,
    /// Streams continue after their permit expired and was extended again.
    ExpiryIgnored,
    /// Permits are extended from the receipt of an acknowledgement, not from the message's sending.
    ExtendedFromReceipt,
    /// A gateway keeps its incarnation after its permit expired or a coordinator refused it.
    IncarnationKept,
    /// The heartbeat timeout starts before the coordinating host does.
    SilenceBeforeStart,
    NeverReaped,
    /// Gateways start streams before their first `Streams` message is answered.
    UnregisteredStreams,
}

/// Step of a case; durations are in ticks.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    Run(u64),
    PauseGateway(usize, u64),
    PauseCoordinator(usize, u64),
    PauseWatch(u64),
    RestartWatch,
    KillGateway(usize),
    KillCoordinator(usize),
    Restart(usize),
    CutLog(usize, u64),
    CutWatchLog(u64),
    CutPeer(usize, u64),
    Lose(u8),
}

#[derive(Clone, Debug)]
enum Message {
    Streams {
        gateway: Incarnation,
        sent: Instant,
    },
    StreamsAnswer {
        gateway: Incarnation,
        sent: Instant,
        accepted: bool,
        until: Instant,
    },
    Heartbeat {
        coordinator: Incarnation,
        sent: Instant,
        report: Report,
    },
    Acknowledgement {
        coordinator: Incarnation,
        sent: Instant,
    },
    Renewal {
        coordinator: Incarnation,
        sent: Instant,
    },
}

struct Clock {
    parts_per_million: i64,
    offset: u64,
}

impl Clock {
    fn read(&self, real: u64) -> Instant {
        let real = i64::try_from(real).expect("a short simulation");
        let local = real + real * self.parts_per_million / 1_000_000;
        Instant::from_millis(self.offset + u64::try_from(local).expect("time is positive"))
    }
}

struct Stream {
    id: String,
    epochs: (Epoch, Epoch),
}

struct Gateway {
    incarnation: Incarnation,
    coordinator: Permit,
    /// Epoch of the permit in which the incarnation started.
    first_epoch: Option<Epoch>,
    /// Whether a coordinator has answered this incarnation or was not running.
    registered: bool,
    host: Permit,
    streams: Vec<Stream>,
    sequence: u64,
}

struct Coordinator {
    incarnation: Incarnation,
    gateways: Gateways,
    permit: Permit,
    read_to: usize,
}

struct Host {
    clock: Clock,
    gateway: Option<Gateway>,
    coordinator: Option<Coordinator>,
    gateway_paused_until: u64,
    coordinator_paused_until: u64,
    log_cut_until: u64,
    peer_cut_until: u64,
}

struct Watcher {
    clock: Clock,
    watch: Watch,
    since: Instant,
    read_to: usize,
    renewal_read: [Option<Instant>; 2],
    known_until: Instant,
    paused_until: u64,
    log_cut_until: u64,
}

pub(crate) struct World {
    fault: Fault,
    real: u64,
    random: Vec<u8>,
    drawn: usize,
    loss_percent: u8,
    hosts: Vec<Host>,
    watcher: Watcher,
    /// Renewals in the log: host, incarnation and the holder's time before sending.
    log: Vec<(usize, Incarnation, Instant)>,
    /// Messages in flight: arrival time, the entry host that sends or receives, message.
    network: Vec<(u64, usize, Message)>,
    engine: BTreeSet<String>,
    reaped: BTreeSet<String>,
}

impl World {
    pub(crate) fn new(fault: Fault, random: Vec<u8>, drifts: [i64; 3]) -> Self {
        let clock = |index: usize| Clock {
            parts_per_million: drifts[index],
            offset: 1_000_000 * (index as u64 + 1),
        };
        let host = |index| Host {
            clock: clock(index),
            gateway: None,
            coordinator: None,
            gateway_paused_until: 0,
            coordinator_paused_until: 0,
            log_cut_until: 0,
            peer_cut_until: 0,
        };
        let since = clock(2).read(0);
        let mut world = Self {
            fault,
            real: 0,
            random,
            drawn: 0,
            loss_percent: 0,
            hosts: vec![host(0), host(1)],
            watcher: Watcher {
                clock: clock(2),
                watch: Watch::new(Limits::default()),
                since,
                read_to: 0,
                renewal_read: [None; 2],
                known_until: since,
                paused_until: 0,
                log_cut_until: 0,
            },
            log: Vec::new(),
            network: Vec::new(),
            engine: BTreeSet::new(),
            reaped: BTreeSet::new(),
        };
        world.restart(0);
        world.restart(1);
        world
    }

    fn draw(&mut self) -> u8 {
        self.drawn += 1;
        let spread = (self.drawn / self.random.len()) as u8;
        self.random[self.drawn % self.random.len()].wrapping_add(spread.wrapping_mul(37))
    }

    pub(crate) fn step(&mut self, step: Step) -> Result<(), String> {
        let until = |ticks: u64| self.real + ticks * TICK_MS;
        match step {
            Step::Run(ticks) => {
                for _ in 0..ticks {
                    self.tick()?;
                }
                return Ok(());
            }
            Step::PauseGateway(host, ticks) => self.hosts[host].gateway_paused_until = until(ticks),
            Step::PauseCoordinator(host, ticks) => {
                self.hosts[host].coordinator_paused_until = until(ticks);
            }
            Step::PauseWatch(ticks) => self.watcher.paused_until = until(ticks),
            Step::RestartWatch => {
                let now = self.watcher.clock.read(self.real);
                self.watcher.watch = Watch::new(Limits::default());
                self.watcher.since = now;
                self.watcher.read_to = 0;
                self.watcher.renewal_read = [None; 2];
                self.watcher.known_until = now;
            }
            Step::KillGateway(host) => self.hosts[host].gateway = None,
            Step::KillCoordinator(host) => self.hosts[host].coordinator = None,
            Step::Restart(host) => self.restart(host),
            Step::CutLog(host, ticks) => self.hosts[host].log_cut_until = until(ticks),
            Step::CutWatchLog(ticks) => self.watcher.log_cut_until = until(ticks),
            Step::CutPeer(host, ticks) => self.hosts[host].peer_cut_until = until(ticks),
            Step::Lose(percent) => self.loss_percent = percent,
        }
        self.tick()
    }

    /// Starts a host's coordinator and gateway unless they are running.
    fn restart(&mut self, host: usize) {
        let incarnation = Incarnation((self.real + 1) << 20);
        let host = &mut self.hosts[host];
        let now = host.clock.read(self.real);
        host.coordinator.get_or_insert_with(|| Coordinator {
            incarnation,
            gateways: Gateways::new(now, incarnation, Limits::default()),
            permit: Permit::new(),
            read_to: 0,
        });
        let permit = Permit::starting(now, Limits::default().silence);
        host.gateway.get_or_insert_with(|| Gateway {
            incarnation,
            coordinator: permit,
            first_epoch: permit.epoch(now),
            registered: false,
            host: Permit::new(),
            streams: Vec::new(),
            sequence: 0,
        });
    }

    fn send(&mut self, host: usize, message: &Message) {
        let drawn = self.draw();
        let lost = self.loss_percent > 0 && drawn % 100 < self.loss_percent;
        // While messages are lost, a quarter of them is delayed by up to 8 s.
        let slow = self.loss_percent > 0 && drawn.is_multiple_of(4);
        let delay = if slow { u64::from(self.draw() % 32) } else { 0 } * TICK_MS;
        let copies = 1 + usize::from(slow);
        for copy in (0..copies).filter(|_| !lost) {
            let arrival = self.real + delay * copy as u64;
            self.network.push((arrival, host, message.clone()));
        }
    }

    fn tick(&mut self) -> Result<(), String> {
        self.real += TICK_MS;
        let due = self.real.is_multiple_of(SECOND_MS);
        for host in 0..self.hosts.len() {
            self.run_gateway(host, due)?;
            self.run_coordinator(host, due);
        }
        self.deliver_due();
        self.run_watcher(due);
        Ok(())
    }

    fn run_gateway(&mut self, index: usize, due: bool) -> Result<(), String> {
        let (drawn, fault, real) = (self.draw(), self.fault, self.real);
        let host = &mut self.hosts[index];
        let now = host.clock.read(real);
        let Some(gateway) = &mut host.gateway else {
            return Ok(());
        };
        if real < host.gateway_paused_until {
            return Ok(());
        }
        // This incarnation may have been declared ended while its permit had expired.
        let expired = gateway
            .first_epoch
            .is_some_and(|epoch| !gateway.coordinator.allows(now, epoch));
        let mut kept = Vec::new();
        for mut stream in std::mem::take(&mut gateway.streams) {
            if fault == Fault::ExpiryIgnored {
                let epochs = (gateway.coordinator.epoch(now), gateway.host.epoch(now));
                let (Some(first), Some(second)) = epochs else {
                    kept.push(stream);
                    continue;
                };
                stream.epochs = (first, second);
            }
            let allowed = gateway.coordinator.allows(now, stream.epochs.0)
                && gateway.host.allows(now, stream.epochs.1);
            if allowed || fault == Fault::NoPermit {
                if self.reaped.contains(&stream.id) {
                    return Err(format!("{} was reaped while it was forwarded", stream.id));
                }
                kept.push(stream);
            } else {
                self.engine.remove(&stream.id);
            }
        }
        gateway.streams = kept;
        if expired && fault != Fault::IncarnationKept && fault != Fault::NoPermit {
            gateway.incarnation = Incarnation((real + 1) << 20);
            gateway.coordinator = Permit::starting(now, Limits::default().silence);
            gateway.first_epoch = gateway.coordinator.epoch(now);
            gateway.registered = false;
        }
        if gateway.streams.len() > 2 && drawn.is_multiple_of(16) {
            let done = gateway.streams.remove(0);
            self.engine.remove(&done.id);
        }
        if (gateway.registered || fault == Fault::UnregisteredStreams)
            && gateway.streams.len() < 4
            && let (Some(first), Some(second)) =
                (gateway.coordinator.epoch(now), gateway.host.epoch(now))
        {
            gateway.sequence += 1;
            let id = Id::new(NAMES[index], gateway.incarnation, gateway.sequence);
            let id = id.expect("a valid name").to_string();
            self.engine.insert(id.clone());
            gateway.streams.push(Stream {
                id,
                epochs: (first, second),
            });
        }
        if due {
            let incarnation = gateway.incarnation;
            if host.coordinator.is_none() {
                // The connection is refused: no coordinator can declare this gateway ended.
                let silence = Limits::default().silence;
                gateway.registered = true;
                gateway.coordinator.acknowledged(now, now, silence);
            } else {
                self.send(
                    index,
                    &Message::Streams {
                        gateway: incarnation,
                        sent: now,
                    },
                );
            }
        }
        Ok(())
    }

    fn run_coordinator(&mut self, index: usize, due: bool) {
        let real = self.real;
        let host = &mut self.hosts[index];
        let now = host.clock.read(real);
        let Some(coordinator) = &mut host.coordinator else {
            return;
        };
        if real < host.coordinator_paused_until {
            return;
        }
        if real >= host.log_cut_until {
            for (holder, incarnation, sent) in &self.log[coordinator.read_to..] {
                if *holder == index && *incarnation == coordinator.incarnation {
                    coordinator
                        .permit
                        .extend(now, *sent + Limits::default().lease);
                }
            }
            coordinator.read_to = self.log.len();
        }
        if !due {
            return;
        }
        coordinator.gateways.tick(now);
        let (incarnation, report) = (coordinator.incarnation, coordinator.gateways.report());
        let log_cut = real < host.log_cut_until;
        self.send(
            index,
            &Message::Heartbeat {
                coordinator: incarnation,
                sent: now,
                report,
            },
        );
        if real.is_multiple_of(5 * SECOND_MS) && !log_cut {
            self.send(
                index,
                &Message::Renewal {
                    coordinator: incarnation,
                    sent: now,
                },
            );
        }
    }

    fn deliver_due(&mut self) {
        let mut rounds = 0;
        // An answer without delay arrives in the same tick as its request.
        while rounds < 2 {
            rounds += 1;
            let (due, later) = std::mem::take(&mut self.network)
                .into_iter()
                .partition::<Vec<_>, _>(|(arrival, _, _)| *arrival <= self.real);
            self.network = later;
            for (arrival, host, message) in due {
                self.deliver(arrival, host, message);
            }
        }
    }

    fn deliver(&mut self, arrival: u64, index: usize, message: Message) {
        let (fault, real, limits) = (self.fault, self.real, Limits::default());
        let host = &mut self.hosts[index];
        let now = host.clock.read(real);
        let gateway_paused = real < host.gateway_paused_until;
        let coordinator_paused = real < host.coordinator_paused_until;
        // A message to a paused process waits in its socket buffer.
        let waits = match message {
            Message::Streams { .. } | Message::Acknowledgement { .. } => coordinator_paused,
            Message::StreamsAnswer { .. } => gateway_paused,
            Message::Heartbeat { .. } => real < self.watcher.paused_until,
            Message::Renewal { .. } => false,
        };
        if waits {
            self.network.push((arrival, index, message));
            return;
        }
        let cut = real < host.peer_cut_until;
        match message {
            Message::Streams { gateway, sent } => {
                let Some(coordinator) = &mut host.coordinator else {
                    return;
                };
                let accepted = coordinator.gateways.heartbeat(now, gateway);
                let until = coordinator.permit.until();
                self.send(
                    index,
                    &Message::StreamsAnswer {
                        gateway,
                        sent,
                        accepted,
                        until,
                    },
                );
            }
            Message::StreamsAnswer {
                gateway,
                sent,
                accepted,
                until,
            } => {
                let Some(own) = &mut host.gateway else { return };
                if own.incarnation != gateway {
                    return;
                }
                if !accepted && fault != Fault::IncarnationKept {
                    for stream in own.streams.drain(..) {
                        self.engine.remove(&stream.id);
                    }
                    own.incarnation = Incarnation((real + 1) << 20);
                    own.coordinator = Permit::starting(now, limits.silence);
                    own.first_epoch = own.coordinator.epoch(now);
                    own.registered = false;
                    return;
                }
                let sent = if fault == Fault::ExtendedFromReceipt {
                    now
                } else {
                    sent
                };
                own.registered = true;
                own.coordinator.acknowledged(now, sent, limits.silence);
                own.host.extend(now, until);
            }
            Message::Heartbeat {
                coordinator,
                sent,
                report,
            } if !cut => {
                if fault != Fault::LeaseAlone {
                    let now = self.watcher.clock.read(real);
                    self.watcher.watch.heartbeat(now, NAMES[index], &report);
                }
                self.send(index, &Message::Acknowledgement { coordinator, sent });
            }
            Message::Acknowledgement { coordinator, sent } if !cut => {
                let sent = if fault == Fault::ExtendedFromReceipt {
                    now
                } else {
                    sent
                };
                if let Some(own) = &mut host.coordinator
                    && own.incarnation == coordinator
                {
                    own.permit.acknowledged(now, sent, limits.silence);
                }
            }
            Message::Heartbeat { .. } | Message::Acknowledgement { .. } => {}
            Message::Renewal { coordinator, sent } => self.log.push((index, coordinator, sent)),
        }
    }

    fn run_watcher(&mut self, due: bool) {
        let (fault, real) = (self.fault, self.real);
        let watcher = &mut self.watcher;
        let now = watcher.clock.read(real);
        if real < watcher.paused_until {
            return;
        }
        if real >= watcher.log_cut_until {
            for (host, _, _) in &self.log[watcher.read_to..] {
                watcher.renewal_read[*host] = Some(now);
            }
            watcher.read_to = self.log.len();
            watcher.known_until = now;
        }
        if !due || fault == Fault::NeverReaped {
            return;
        }
        let evidence = |name: &str| {
            let host = NAMES
                .iter()
                .position(|other| *other == name)
                .expect("a known host");
            let far = now + Duration::from_secs(1_000);
            match fault {
                Fault::HeartbeatAlone => Evidence {
                    renewal_read: Some(now),
                    known_until: far,
                },
                Fault::StaleLog => Evidence {
                    renewal_read: watcher.renewal_read[host],
                    known_until: now,
                },
                _ => Evidence {
                    renewal_read: watcher.renewal_read[host],
                    known_until: watcher.known_until,
                },
            }
        };
        let since = match fault {
            Fault::SilenceBeforeStart | Fault::LeaseAlone => Instant::from_millis(0),
            _ => watcher.since,
        };
        let running = self.engine.iter().map(String::as_str);
        for (id, _) in watcher.watch.scan(now, since, running, evidence) {
            self.reaped.insert(id.to_string());
        }
        self.engine.retain(|id| !self.reaped.contains(id));
    }

    /// Ends all faults and checks that, after the stated bound, the engine holds only streams of
    /// live gateways.
    pub(crate) fn check_recovery(&mut self) -> Result<(), String> {
        self.loss_percent = 0;
        for host in &mut self.hosts {
            host.gateway_paused_until = 0;
            host.coordinator_paused_until = 0;
            host.log_cut_until = 0;
            host.peer_cut_until = 0;
        }
        self.watcher.paused_until = 0;
        self.watcher.log_cut_until = 0;
        let limits = Limits::default();
        let scan = Duration::from_secs(1);
        let lease = limits.drift.safe_wait(limits.lease);
        // Two ticks for the simulation's granularity, 16 ms for the watcher's clock drift over a
        // lease.
        let bound = lease + scan + Duration::from_millis(2 * TICK_MS) + Duration::from_millis(16);
        // Delays of earlier messages by up to 8 s are faults too, which end here.
        self.network.clear();
        let end = self.real + u64::try_from(bound.as_millis()).expect("a short bound");
        while self.real < end {
            self.tick()?;
        }
        let forwarded = |id: &String| {
            let gateways = self.hosts.iter().filter_map(|host| host.gateway.as_ref());
            let mut streams = gateways.flat_map(|gateway| &gateway.streams);
            streams.any(|stream| stream.id == *id)
        };
        match self.engine.iter().find(|id| !forwarded(id)) {
            Some(id) => Err(format!("{id} is still held {bound:?} after faults stopped")),
            None => Ok(()),
        }
    }
}
