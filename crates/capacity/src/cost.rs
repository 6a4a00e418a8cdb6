//! The measured slopes and the cost of a node that follows from them.

use std::time::Duration;

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::lease::{Seat, Shard};
use berylknot_coordination::member::Piggyback;
use berylknot_coordination::quota::{Floor, Limits, Pool, Split};
use berylknot_coordination::record::{Id, Incarnation, Position, Publish, Record};
use berylknot_settings::Fleet;
use berylknot_wire::peer::{Request, Response};
use berylknot_wire::{Frame, Secret, entry};

use crate::fleet::{self, Size};
use crate::measure::{bytes_of, time_of};

/// Bytes of the HTTP headers of a request (109) and its answer (121) between own processes, counted
/// on loopback.
const HTTP_BYTES: f64 = 230.0;

/// Renewals per second and host.
const RENEWALS_PER_S: f64 = 0.2;

/// Part of the requests that the floor of the entry host serves without a message.
const FLOOR_PART: f64 = 0.25;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// One line of the table.
pub(crate) struct Row {
    pub(crate) name: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) value: fn(&Size) -> String,
}

/// All lines of the table.
pub(crate) fn rows() -> Vec<Row> {
    vec![
        Row {
            name: "replica, lease table and holder",
            unit: "kB",
            value: replica_memory,
        },
        Row {
            name: "membership view",
            unit: "kB",
            value: view_memory,
        },
        Row {
            name: "pools of the shards held",
            unit: "kB",
            value: pool_memory,
        },
        Row {
            name: "floors of all customers",
            unit: "kB",
            value: floor_memory,
        },
        Row {
            name: "checked settings",
            unit: "kB",
            value: settings_memory,
        },
        Row {
            name: "merged settings as text",
            unit: "kB",
            value: settings_text,
        },
        Row {
            name: "entry of a renewal in the log",
            unit: "bytes",
            value: renewal_bytes,
        },
        Row {
            name: "renewals in the log, all hosts",
            unit: "appends/s",
            value: renewal_appends,
        },
        Row {
            name: "reading renewals",
            unit: "kB/s per node",
            value: renewal_traffic,
        },
        Row {
            name: "reading full configuration documents",
            unit: "kB/s per node",
            value: change_traffic,
        },
        Row {
            name: "gossip, three digests sent and received",
            unit: "kB/s per node",
            value: gossip_traffic,
        },
        Row {
            name: "token grant and return, one request",
            unit: "bytes",
            value: grant_bytes,
        },
        Row {
            name: "token grants and returns",
            unit: "kB/s per node",
            value: grant_traffic,
        },
        Row {
            name: "applying a renewal",
            unit: "µs",
            value: |size| micros(apply_time(size)),
        },
        Row {
            name: "granting and returning tokens",
            unit: "µs",
            value: |_| micros(grant_time()),
        },
        Row {
            name: "sealing and opening a frame",
            unit: "µs",
            value: |_| micros(frame_time()),
        },
        Row {
            name: "reading and checking the settings",
            unit: "ms",
            value: settings_time,
        },
        Row {
            name: "control work of the above",
            unit: "% of a core",
            value: control_share,
        },
        Row {
            name: "requests",
            unit: "1/s per node",
            value: |size| format!("{:.0}", per_node(size.requests_per_s, size)),
        },
        Row {
            name: "tokens",
            unit: "1/s per node",
            value: |size| format!("{:.0}", per_node(size.tokens_per_s, size)),
        },
    ]
}

fn per_node(total: u32, size: &Size) -> f64 {
    f64::from(total) / f64::from(size.hosts)
}

fn kilobytes(bytes: usize) -> String {
    format!("{:.1}", bytes as f64 / 1_000.0)
}

fn micros(time: Duration) -> String {
    format!("{:.2}", time.as_secs_f64() * 1e6)
}

fn replica_memory(size: &Size) -> String {
    kilobytes(bytes_of(|| fleet::replica(size)))
}

fn view_memory(size: &Size) -> String {
    kilobytes(bytes_of(|| fleet::view(size)))
}

fn limits() -> (Limits, Split) {
    let limits = Limits::new(10_000, 100_000).expect("the limits are possible");
    let split = Split::new(Split::FLOOR_PER_MILLE, Seat::count(360), Drift::default());
    (limits, split.expect("the split is possible"))
}

fn pool(customer: u32) -> Pool {
    let (limits, split) = limits();
    let shard = Shard::of(&customer.to_le_bytes());
    Pool::new(
        Instant::from_millis(0),
        limits,
        split,
        shard,
        Position::new(1, 0),
    )
}

fn pool_memory(size: &Size) -> String {
    let held = size.customers.div_ceil(size.hosts);
    kilobytes(bytes_of(|| (0..held).map(pool).collect::<Vec<_>>()))
}

fn floor_memory(size: &Size) -> String {
    let (limits, split) = limits();
    let floor = |_| {
        Floor::new(
            Instant::from_millis(0),
            limits,
            split,
            Seat(0),
            Position::new(1, 0),
        )
    };
    kilobytes(bytes_of(|| {
        (0..size.customers).map(floor).collect::<Vec<_>>()
    }))
}

fn settings_memory(size: &Size) -> String {
    let text = fleet::settings(size);
    kilobytes(bytes_of(|| Fleet::from_json(&text)))
}

fn settings_text(size: &Size) -> String {
    kilobytes(fleet::settings(size).len())
}

fn renewal_length(size: &Size) -> usize {
    let records = fleet::renewal(size, 0).records;
    let append = entry::encode(&records).expect("a renewal can be encoded");
    let overhead = br#"{"offset":100000000,"appended_at_ms":1790000000000,"data":""},"#.len();
    append.data.len() + overhead
}

fn renewal_bytes(size: &Size) -> String {
    renewal_length(size).to_string()
}

fn renewal_appends(size: &Size) -> String {
    format!("{:.1}", RENEWALS_PER_S * f64::from(size.hosts))
}

fn renewal_traffic(size: &Size) -> String {
    let bytes = RENEWALS_PER_S * f64::from(size.hosts) * renewal_length(size) as f64;
    format!("{:.1}", bytes / 1_000.0)
}

fn change_traffic(size: &Size) -> String {
    let publish = Publish {
        id: Id {
            incarnation: Incarnation(1),
            sequence: 1,
        },
        base_version: Position::default(),
        document: fleet::settings(size),
    };
    let append = entry::encode(&[Record::Publish(publish)]).expect("settings can be encoded");
    let bytes = append.data.len() as f64;
    format!(
        "{:.1}",
        f64::from(size.changes_per_day) * bytes / SECONDS_PER_DAY / 1_000.0
    )
}

fn gossip_traffic(size: &Size) -> String {
    let now = Instant::from_millis(1_000_000);
    let digest = fleet::view(size).digest(now, 1, Piggyback::default());
    let bytes = rmp_serde::to_vec(&digest)
        .expect("a digest can be encoded")
        .len() as f64;
    format!("{:.1}", 6.0 * (bytes + HTTP_BYTES) / 1_000.0)
}

fn sealed<B: serde::Serialize>(body: B) -> usize {
    let frame = Frame::new("entry-000", 1 << 60, 1_000_000, body);
    frame
        .seal(&Secret::new(*b"secret"))
        .expect("a frame can be sealed")
        .len()
}

fn grant_length() -> f64 {
    let mut pool = pool(0);
    let late = Instant::from_millis(60_000);
    let approval = pool.acquire(late, 1_000).expect("the pool has filled");
    let customer = "customer-0000".to_owned();
    let ask = sealed(Request::AskGrant {
        customer: customer.clone(),
        tokens: 1_000,
    });
    let granted = sealed(Response::Granted {
        approval,
        ticket: None,
    });
    let hold = approval.hold;
    let give_back = sealed(Request::ReturnTokens {
        customer,
        hold,
        unused: 500,
    });
    (ask + granted + give_back + sealed(Response::Done)) as f64 + 2.0 * HTTP_BYTES
}

fn grant_bytes(_: &Size) -> String {
    format!("{:.0}", grant_length())
}

fn grant_traffic(size: &Size) -> String {
    // A node sends this for its own requests and receives as much as the owner of its shards.
    let requests = per_node(size.requests_per_s, size) * (1.0 - FLOOR_PART);
    format!("{:.1}", 2.0 * requests * grant_length() / 1_000.0)
}

fn apply_time(size: &Size) -> Duration {
    let (mut replica, mut holder) = fleet::replica(size);
    let mut number = 2 * u64::from(size.hosts);
    time_of(|| {
        fleet::read(&mut replica, &mut holder, &fleet::renewal(size, number));
        number += 1;
    })
}

fn grant_time() -> Duration {
    let mut pool = pool(0);
    let now = Instant::from_millis(60_000);
    time_of(|| {
        if let Ok(approval) = pool.acquire(now, 100) {
            pool.give_back(now, approval.hold, 100);
        }
    })
}

fn frame_time() -> Duration {
    let secret = Secret::new(*b"secret");
    let body = Request::AskGrant {
        customer: "customer-0000".to_owned(),
        tokens: 1_000,
    };
    let frame = Frame::new("entry-000", 1 << 60, 1_000_000, body);
    time_of(|| {
        let sealed = frame.seal(&secret).expect("a frame can be sealed");
        let opened = Frame::<Request>::open(&sealed, &secret);
        assert!(opened.is_ok(), "a sealed frame opens");
    })
}

fn check_time(size: &Size) -> Duration {
    let text = fleet::settings(size);
    let started = std::time::Instant::now();
    let fleet = Fleet::from_json(&text);
    let passed = started.elapsed();
    drop(fleet);
    passed
}

fn settings_time(size: &Size) -> String {
    format!("{:.2}", check_time(size).as_secs_f64() * 1e3)
}

/// Renewals read, frames of grants and returns at both ends, and configuration changes checked by
/// both daemons. HTTP itself is not in it.
fn control_share(size: &Size) -> String {
    let renewals = RENEWALS_PER_S * f64::from(size.hosts) * apply_time(size).as_secs_f64();
    let requests = per_node(size.requests_per_s, size) * (1.0 - FLOOR_PART);
    let grants = 2.0 * requests * (grant_time() + 4 * frame_time()).as_secs_f64();
    let changes = f64::from(size.changes_per_day) / SECONDS_PER_DAY;
    let checks = 2.0 * changes * check_time(size).as_secs_f64();
    format!("{:.3}", 100.0 * (renewals + grants + checks))
}
