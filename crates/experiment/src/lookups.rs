//! Plain-service lookups: server choice, hedging and outlier detection.

use berylknot_coordination::eject::Outcome;
use berylknot_coordination::retry::Reason;
use rand::Rng;

use crate::Micros;
use crate::model::MILLISECOND;
use crate::policy::Placement;
use crate::world::{Event, Simulation};

impl Simulation<'_> {
    pub(crate) fn lookup(&mut self, index: usize) {
        let lookup = self.workload.lookups[index];
        if !self.hosts[lookup.host].alive {
            return;
        }
        self.hosts[lookup.host].budget.record_request();
        let server = self.choose_service(index, None);
        let answered = self.call_service(lookup.host, server, lookup.work);
        let delay = self.hosts[lookup.host].hedge.delay();
        if let Some(delay) = delay
            && self.policy.hedge
        {
            let at = self.now + delay.as_micros() as Micros;
            if answered > at {
                self.schedule(
                    at,
                    Event::Hedge {
                        index,
                        first_server: server,
                        answered,
                    },
                );
                return;
            }
        }
        self.lookup_times.push(answered - self.now);
    }

    /// Sends a late lookup to a second server if the retry budget allows; the earlier answer counts.
    pub(crate) fn hedge(&mut self, index: usize, first_server: usize, answered: Micros) {
        let lookup = self.workload.lookups[index];
        let mut earliest = answered;
        if self.hosts[lookup.host].budget.try_retry(Reason::Hedge) {
            let server = self.choose_service(index, Some(first_server));
            earliest = earliest.min(self.call_service(lookup.host, server, lookup.work));
        }
        self.lookup_times.push(earliest - lookup.at);
    }

    fn choose_service(&mut self, index: usize, avoid: Option<usize>) -> usize {
        let now = self.instant();
        let host = &mut self.hosts[self.workload.lookups[index].host];
        if self.policy.placement == Placement::RoundRobin {
            return index % self.fleet.services;
        }
        if self.policy.eject
            && avoid.is_none()
            && let Some(server) = host.service_detector.probe(now)
        {
            return server;
        }
        let usable: Vec<usize> = (0..self.fleet.services)
            .filter(|server| Some(*server) != avoid)
            .filter(|server| !self.policy.eject || !host.service_detector.is_ejected(*server))
            .collect();
        match usable.len() {
            0 => self.random.random_range(0..self.fleet.services),
            count => usable[self.random.random_range(0..count)],
        }
    }

    fn call_service(&mut self, host: usize, server: usize, work: Micros) -> Micros {
        let delay = self.delay(host, server);
        let answered = self.services[server].call(self.now + delay, work) + delay;
        let sent_at = self.now;
        self.schedule(
            answered,
            Event::LookupDone {
                host,
                server,
                sent_at,
            },
        );
        answered
    }

    pub(crate) fn lookup_done(&mut self, host: usize, server: usize, sent_at: Micros) {
        let now = self.instant();
        let latency = self.now - sent_at;
        let millis = latency as f64 / MILLISECOND as f64;
        let host_state = &mut self.hosts[host];
        host_state
            .hedge
            .record_latency(std::time::Duration::from_micros(latency));
        host_state
            .service_detector
            .outcome(now, server, Outcome::Answered { millis });
    }
}
