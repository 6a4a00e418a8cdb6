//! Two hosts balance the shards through a log; then one shuts down and hands over its shards.

use berylknot_coordination::clock::Instant;
use berylknot_coordination::lease::{Holder, Seat, Timing};
use berylknot_coordination::record::{Entry, Incarnation};
use berylknot_coordination::replica::{Change, Replica};

struct Host {
    holder: Holder,
    replica: Replica,
}

impl Host {
    fn new(name: &str, incarnation: u64) -> Self {
        let start = Instant::from_millis(0);
        let seats = Seat::count(2);
        let incarnation = Incarnation(incarnation);
        let holder = Holder::new(start, incarnation, name.into(), seats, Timing::default());
        Self {
            holder,
            replica: Replica::default(),
        }
    }

    /// One iteration of a daemon's loop: read the log, update the holder, append records.
    fn tick(&mut self, now: Instant, log: &mut Vec<Entry>) {
        for entry in log.iter() {
            for change in self.replica.apply(entry) {
                if let Change::Lease(change) = change {
                    self.holder.observe(now, &change);
                }
            }
        }
        let records = self.holder.tick(now, self.replica.leases());
        if records.is_empty() {
            return;
        }
        let offset = log.len() as u64 + 1;
        log.push(Entry {
            offset,
            appended_at_ms: now.as_millis(),
            records,
        });
    }
}

fn main() {
    let mut log = Vec::new();
    let mut hosts = [Host::new("north", 1), Host::new("south", 2)];
    for millis in (0..40_000).step_by(250) {
        if millis == 20_000 {
            hosts[1].holder.leave();
        }
        let now = Instant::from_millis(millis);
        for host in &mut hosts {
            host.tick(now, &mut log);
        }
        if millis % 5_000 != 0 {
            continue;
        }
        for host in &hosts {
            let held = host.holder.held(now, host.replica.leases()).len();
            let incarnation = host.holder.incarnation();
            println!("{millis:>6} ms: {incarnation:?} holds {held} valid leases");
        }
    }
    println!("{} entries in the log", log.len());
}
