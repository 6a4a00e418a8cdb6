//! What hosts tell each other about the log: age of their knowledge, missing entries, appends for a
//! host that alone has lost the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, Handler, Message, MessageResult};
use actix::{ResponseFuture, WrapFuture};
use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::configuration::{Readiness, Report};
use berylknot_coordination::freshness::{POLL_INTERVAL, STATUS_LIFETIME, Status, Tracker, Verdict};
use berylknot_wire::peer::{Request, Response};

use super::Core;
use crate::platform::Platform;

/// Time between two rounds of questions.
pub(super) const INTERVAL: Duration = Duration::from_secs(1);

/// Least number of peers asked in a round.
const PEERS: usize = 3;

/// Entries in one answer.
const ENTRY_LIMIT: usize = 256;

/// Addresses kept, almost three times the fleet of 360 hosts.
const ADDRESS_LIMIT: usize = 1_024;

/// Knowledge of this host and its peers about the log.
#[derive(Debug)]
pub(super) struct Words {
    line: Tracker<String>,
    readiness: Readiness<String>,
    /// Configured hosts other than this one.
    others: Vec<String>,
    /// Place in `others` from which the next round asks.
    turn: usize,
    pub(super) address: SocketAddr,
    /// Latest answers with the time at which the questions were sent.
    heard: BTreeMap<String, (Instant, Status)>,
    fetching: bool,
}

impl Words {
    /// Makes the knowledge of a host that has read nothing.
    pub(super) fn new(
        host: &str,
        configured: &[String],
        address: SocketAddr,
        drift: Drift,
    ) -> Self {
        let mut others = configured.to_vec();
        others.sort_unstable();
        others.dedup();
        others.retain(|other| other != host);
        // Without a list of hosts nothing can be a majority, so an outage permits nothing.
        let count = if configured.is_empty() {
            usize::MAX
        } else {
            others.len() + 1
        };
        Self {
            line: Tracker::new(count, drift),
            readiness: Readiness::new(count),
            others,
            turn: 0,
            address,
            heard: BTreeMap::new(),
            fetching: false,
        }
    }
}

/// What the host knows about the age of its configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Knowledge {
    /// Time for which keys may still be honoured, in milliseconds.
    pub(crate) lifetime_ms: u64,
    /// Time since the log was known to end where the replica does, in milliseconds. The clock runs
    /// for an hour before the process starts, so a host that has read nothing is older than that.
    pub(crate) age_ms: u64,
}

/// Asks for the age of the configuration.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "Knowledge")]
pub(crate) struct AskKnowledge;

impl<P: Platform> Handler<AskKnowledge> for Core<P> {
    type Result = MessageResult<AskKnowledge>;

    fn handle(&mut self, _: AskKnowledge, _: &mut Self::Context) -> Self::Result {
        let now = self.clock.now();
        let applied = self.replica.next_offset();
        let until = match self.words.line.verdict(now, applied) {
            Verdict::Fresh { until } | Verdict::Outage { until } if self.caught_up() => until,
            _ => now,
        };
        MessageResult(Knowledge {
            lifetime_ms: until.as_millis().saturating_sub(now.as_millis()),
            age_ms: self.log_age_ms(),
        })
    }
}

/// Message of another host about the log.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "Response")]
pub(crate) struct Question {
    pub(crate) sender: String,
    pub(crate) request: Request,
}

impl<P: Platform> Handler<Question> for Core<P> {
    type Result = ResponseFuture<Response>;

    fn handle(&mut self, question: Question, _: &mut Self::Context) -> Self::Result {
        let response = match question.request {
            Request::AskWord { address } => {
                self.members
                    .record_contact(self.clock.now(), &question.sender);
                self.learn(question.sender, address);
                self.word()
            }
            Request::Digest { address, digest } => {
                let now = self.clock.now();
                self.members.merge(now, &question.sender, &digest);
                self.learn(question.sender, address);
                self.word()
            }
            Request::Fetch { next_offset } => self.entries_from(next_offset),
            Request::Relay { records } => {
                let platform = self.platform.clone();
                return Box::pin(async move {
                    match platform.append(&records).await {
                        Ok(_) => Response::Appended,
                        Err(_) => Response::AppendLost,
                    }
                });
            }
            _ => Response::Done,
        };
        Box::pin(std::future::ready(response))
    }
}

impl<P: Platform> Core<P> {
    /// Whether the host has caught up with the log since its start.
    pub(super) fn caught_up(&mut self) -> bool {
        let now = self.clock.now();
        self.words.readiness.poll(now, self.replica.next_offset())
    }

    /// Whether the log could not be read lately.
    pub(super) fn lacks_log(&self, now: Instant) -> bool {
        self.words.line.needs_majority(now)
    }

    /// Takes note of the log's tail, as shown by a read that was sent at `sent`.
    pub(super) fn tail_read(&mut self, sent: Instant, tail: u64) {
        let applied = self.replica.next_offset();
        self.words.readiness.record_tail(tail);
        self.words.line.record_read(sent, tail, applied);
    }

    fn word(&mut self) -> Response {
        let (now, ready) = (self.clock.now(), self.caught_up());
        let applied = self.replica.next_offset();
        Response::Word(self.words.line.status(now, ready, applied))
    }

    /// Milliseconds since the log was known to end where the replica does.
    pub(super) fn log_age_ms(&self) -> u64 {
        let now = self.clock.now();
        let word = self
            .words
            .line
            .status(now, false, self.replica.next_offset());
        word.tail.map_or(now.as_millis(), |tail| tail.age_ms)
    }

    /// Remembers the address by which a host can be reached.
    fn learn(&mut self, host: String, address: SocketAddr) {
        if self.addresses.len() < ADDRESS_LIMIT || self.addresses.contains_key(&host) {
            self.addresses.insert(host, address);
        }
    }

    /// Asks all configured hosts in turn within [`ROUND`] while the log cannot be read; otherwise
    /// the answers to the digests suffice.
    pub(super) fn ask_words(&mut self, context: &mut Context<Self>) {
        let now = self.clock.now();
        let count = self.words.others.len();
        if !self.lacks_log(now) && self.caught_up() {
            return;
        }
        let rounds = usize::try_from(POLL_INTERVAL.as_secs()).unwrap_or(1);
        let asked = PEERS.max(count.div_ceil(rounds));
        for _ in 0..asked.min(count) {
            let host = self.words.others[self.words.turn % count].clone();
            self.words.turn = (self.words.turn + 1) % count;
            if let Some(address) = self.addresses.get(&host).copied() {
                let own = self.words.address;
                self.ask_word(host, address, Request::AskWord { address: own }, context);
            }
        }
    }

    /// Sends a message whose answer is a word.
    pub(super) fn ask_word(
        &mut self,
        host: String,
        address: SocketAddr,
        question: Request,
        context: &mut Context<Self>,
    ) {
        let peers = self.peers.clone();
        let sent = self.clock.now();
        let ask = async move { peers.ask(address, question).await };
        let asked = ask.into_actor(self).map(move |answer, core, context| {
            let Ok(frame) = answer else {
                return;
            };
            // The address may belong to another host by now.
            if frame.sender != host {
                return;
            }
            if let Response::Word(word) = frame.body {
                core.heard_word(host, address, sent, word, context);
            }
        });
        context.spawn(asked);
    }

    fn heard_word(
        &mut self,
        host: String,
        address: SocketAddr,
        asked: Instant,
        word: Status,
        context: &mut Context<Self>,
    ) {
        self.members.record_contact(self.clock.now(), &host);
        // Only configured hosts count towards a majority.
        if !self.words.others.contains(&host) {
            return;
        }
        let applied = self.replica.next_offset();
        let Status {
            ready, next_offset, ..
        } = word;
        let report = Report { ready, next_offset };
        self.words
            .readiness
            .record_report(host.clone(), asked, report);
        self.words
            .line
            .record_status(host.clone(), asked, word, applied);
        self.words.heard.insert(host, (asked, word));
        if next_offset > applied && self.lacks_log(self.clock.now()) {
            self.fetch(address, context);
        }
        self.publish();
    }

    /// Fetches entries that the log withholds.
    fn fetch(&mut self, address: SocketAddr, context: &mut Context<Self>) {
        if std::mem::replace(&mut self.words.fetching, true) {
            return;
        }
        let peers = self.peers.clone();
        let next_offset = self.replica.next_offset();
        let fetch = async move { peers.send(address, Request::Fetch { next_offset }).await };
        let fetched = fetch.into_actor(self).map(move |answer, core, context| {
            core.words.fetching = false;
            match answer {
                Ok(Response::Entries(entries)) => {
                    for entry in &entries {
                        core.apply(entry);
                    }
                    let actions = core.appender.observe(core.replica.batches());
                    core.carry_out(actions, context);
                }
                Ok(Response::Snapshot(found)) => {
                    core.restore(&found, context);
                }
                Ok(_) => {}
                Err(error) => tracing::debug!(%error, "words: entries were not fetched"),
            }
            core.words.line.record_applied(core.replica.next_offset());
            core.publish();
        });
        context.spawn(fetched);
    }

    fn entries_from(&self, next_offset: u64) -> Response {
        if next_offset >= self.replica.next_offset() {
            return Response::Entries(Vec::new());
        }
        if let Some(entries) = self.follower.recent.from(next_offset) {
            return Response::Entries(entries.take(ENTRY_LIMIT).cloned().collect());
        }
        match self.replica.snapshot() {
            Ok(snapshot) => Response::Snapshot(snapshot),
            Err(error) => {
                tracing::error!(%error, "words: snapshot cannot be encoded");
                Response::Done
            }
        }
    }

    /// Peer through which to append while this host alone has lost the log.
    pub(super) fn relay(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        if !self.lacks_log(now) {
            return None;
        }
        let mut heard = self.words.heard.iter();
        let (host, _) = heard
            .find(|(_, (asked, word))| word.reaches_log && now.since(*asked) < STATUS_LIFETIME)?;
        self.addresses.get(host).copied()
    }
}
