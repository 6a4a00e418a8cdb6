//! The cases, and what they share.

mod exit_during_write;
mod lost_tail;
mod oversized_report;
mod queued_at_stop;
mod silent_store;
mod split_limit;
mod unlisted_origin;

use std::net::IpAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::daemon::{Daemon, Folder, address};
use crate::record::Record;
use crate::server::{Properties, Server};
use crate::store::Store;

/// Outcome of a case.
#[derive(Debug)]
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

pub type Case = fn(&Setup) -> Verdict;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "queued-at-stop" => Some(queued_at_stop::run),
        "exit-during-write" => Some(exit_during_write::run),
        "silent-store" => Some(silent_store::run),
        "split-limit" => Some(split_limit::run),
        "unlisted-origin" => Some(unlisted_origin::run),
        "oversized-report" => Some(oversized_report::run),
        "lost-tail" => Some(lost_tail::run),
        _ => None,
    }
}

/// Number of the address of the store and of the servers.
const PLATFORM: u8 = 100;

/// Store with the configuration, and a folder for the daemons.
#[derive(Debug)]
pub struct Setup {
    pub record: Record,
    pub has_trouble: bool,
    pub store: Store,
    folder: Folder,
}

impl Setup {
    pub fn new(record: Record, has_trouble: bool) -> Self {
        let store = Store::start(address(PLATFORM).into());
        client::publish(&store);
        Self {
            record,
            has_trouble,
            store,
            folder: Folder::create(),
        }
    }

    pub fn server(&self, properties: Properties) -> Server {
        let ip = IpAddr::from(address(PLATFORM));
        self.record.line(&format!("{} starts", properties.id));
        Server::start(ip, properties, &self.store, &self.record)
    }

    /// Starts `count` daemons and waits until they are ready and have led for long enough.
    pub fn daemons(&self, count: u8) -> Vec<Daemon> {
        let seeds: Vec<u8> = (1..=count.min(3)).collect();
        let daemons: Vec<Daemon> = (1..=count)
            .map(|number| Daemon::start(&self.folder.0, number, &seeds, self.store.address))
            .collect();
        for daemon in &daemons {
            daemon.await_ready();
        }
        thread::sleep(LEADER_WARM_UP);
        self.record.line(&format!("{count} daemons are ready"));
        daemons
    }
}

/// Time after which one host leads for all.
const LEADER_WARM_UP: Duration = Duration::from_secs(4);

/// Sleeps until `offset` after `start`.
pub fn sleep_until(start: Instant, offset: Duration) {
    thread::sleep((start + offset).saturating_duration_since(Instant::now()));
}
