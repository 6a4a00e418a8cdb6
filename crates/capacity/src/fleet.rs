//! Fleet sizes and the state that one coordinator holds at each of them.

use berylknot_coordination::clock::Instant;
use berylknot_coordination::lease::{Holder, Seat, Shard, Subject, Timing};
use berylknot_coordination::member::{self, Listed, View};
use berylknot_coordination::record::{Claim, Entry, Id, Incarnation, Position, Record, Renew};
use berylknot_coordination::replica::{Change, Replica};

/// Fleet size and load, as totals over all hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) hosts: u32,
    pub(crate) endpoints: u32,
    pub(crate) customers: u32,
    /// Model requests per second over all hosts.
    pub(crate) requests_per_s: u32,
    /// Generated tokens per second over all hosts.
    pub(crate) tokens_per_s: u32,
    /// Accepted configuration changes per day.
    pub(crate) changes_per_day: u32,
}

/// Current size, an intermediate size and the design target.
pub(crate) const SIZES: [Size; 3] = [
    Size {
        hosts: 7,
        endpoints: 14,
        customers: 5,
        requests_per_s: 40,
        tokens_per_s: 8_000,
        changes_per_day: 20,
    },
    Size {
        hosts: 60,
        endpoints: 500,
        customers: 130,
        requests_per_s: 3_600,
        tokens_per_s: 1_100_000,
        changes_per_day: 700,
    },
    Size {
        hosts: 360,
        endpoints: 3_100,
        customers: 790,
        requests_per_s: 22_000,
        tokens_per_s: 6_900_000,
        changes_per_day: 4_100,
    },
];

/// Log entry of the lease renewal with this number; the hosts renew in turn.
pub(crate) fn renewal(size: &Size, number: u64) -> Entry {
    let hosts = u64::from(size.hosts);
    let incarnation = Incarnation::new(1_790_000_000_000, 0);
    let id = Id {
        incarnation: Incarnation(incarnation.0 + number % hosts),
        sequence: number / hosts + 1,
    };
    let renew = Renew {
        id,
        host: format!("entry-{:03}", number % hosts),
        configuration_version: Position::new(1_000, 1),
    };
    let batch = Record::Batch(Id {
        incarnation: id.incarnation,
        sequence: number + 1,
    });
    let records = vec![batch, Record::Renew(renew)];
    Entry {
        offset: number + 1,
        appended_at_ms: 1_790_000_000_000 + number,
        records,
    }
}

/// Replica and lease holder after applying one renewal and one claim of every host.
pub(crate) fn replica(size: &Size) -> (Replica, Holder) {
    let start = Instant::from_millis(0);
    let seats = Seat::count(u16::try_from(size.hosts).unwrap_or(u16::MAX));
    let own = Incarnation::new(1_790_000_000_000, 0);
    let mut holder = Holder::new(start, own, "entry-000".to_owned(), seats, Timing::default());
    let mut replica = Replica::default();
    for number in 0..u64::from(size.hosts) {
        apply_entry(&mut replica, &mut holder, &renewal(size, number));
    }
    for host in 0..size.hosts {
        apply_entry(&mut replica, &mut holder, &claim(size, host));
    }
    (replica, holder)
}

fn claim(size: &Size, host: u32) -> Entry {
    let own = Incarnation::new(1_790_000_000_000, 0);
    let id = Id {
        incarnation: Incarnation(own.0 + u64::from(host)),
        sequence: 1_000_000,
    };
    let shards = Shard::all()
        .map(Subject::Shard)
        .skip(host as usize)
        .step_by(size.hosts as usize);
    let seat = Subject::Seat(Seat(u16::try_from(host).unwrap_or(u16::MAX)));
    let subjects = shards
        .chain([seat])
        .map(|subject| (subject, Position::default()))
        .collect();
    let records = vec![Record::Claim(Claim { id, subjects })];
    Entry {
        offset: u64::from(size.hosts + host) + 1,
        appended_at_ms: 1_790_000_000_000,
        records,
    }
}

/// Applies a log entry to the replica and passes its lease changes to the holder.
pub(crate) fn apply_entry(replica: &mut Replica, holder: &mut Holder, entry: &Entry) {
    let now = Instant::from_millis(entry.offset);
    for change in replica.apply(entry) {
        if let Change::Lease(change) = change {
            holder.observe(now, &change);
        }
    }
}

/// Membership view of the first host with all hosts and endpoints live.
pub(crate) fn view(size: &Size) -> View {
    let now = Instant::from_millis(1_000_000);
    let hosts: Vec<String> = (0..size.hosts)
        .map(|host| format!("entry-{host:03}"))
        .collect();
    let engines: Vec<String> = (0..size.endpoints)
        .map(|engine| format!("engine-{engine:04}"))
        .collect();
    let mut view = View::new(now, &hosts[0], member::Limits::default());
    view.set_hosts(now, hosts.iter().map(|name| (name.as_str(), Listed::Live)));
    view.set_endpoints(
        now,
        engines.iter().map(|name| (name.as_str(), Listed::Live)),
    );
    view
}

/// Merged settings of a fleet as JSON, with three API keys for each customer.
pub(crate) fn settings(size: &Size) -> String {
    let mut customers = serde_json::Map::new();
    let mut keys = serde_json::Map::new();
    for customer in 0..size.customers {
        let name = format!("customer-{customer:04}");
        customers.insert(
            name.clone(),
            serde_json::json!({ "rate": 10_000, "burst": 100_000, "weight": 1 }),
        );
        for key in 0..3 {
            let hash = pseudo_hash(u64::from(customer * 3 + key + 1));
            keys.insert(
                format!("{name}-{key}"),
                serde_json::json!({ "customer": name, "hash": hash }),
            );
        }
    }
    let mut endpoints = serde_json::Map::new();
    for endpoint in 0..size.endpoints {
        let kind = if endpoint % 3 == 0 {
            "prefill"
        } else {
            "decode"
        };
        endpoints.insert(
            format!("engine-{endpoint:04}"),
            serde_json::json!({
                "kind": kind,
                "address": format!("10.{}.{}.{}:9000", endpoint >> 16, endpoint >> 8 & 255, endpoint & 255),
                "data_centre": "dc-1",
                "model": "model-1",
            }),
        );
    }
    serde_json::json!({
        "customers": customers,
        "keys": keys,
        "models": { "model-1": {} },
        "endpoints": endpoints,
    })
    .to_string()
}

/// Pseudo-random text of 64 hexadecimal digits; like a hash, it does not compress.
fn pseudo_hash(mut state: u64) -> String {
    let mut text = String::new();
    for _ in 0..4 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        text.push_str(&format!("{:016x}", state ^ state >> 29));
    }
    text
}
