//! Memory, traffic and CPU cost of one node for each fleet size, from measurements of this build.

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
use crate::measure::{best_mean_time, retained_bytes};

/// HTTP header bytes of a request (109) and its response (121) between fleet processes, counted on
/// loopback.
const HTTP_HEADER_BYTES: f64 = 230.0;

/// Lease renewals per second of one host.
const RENEWALS_PER_S: f64 = 0.2;

/// Share of requests that the entry host admits from its quota floor, without a message to a peer.
const FLOOR_SHARE: f64 = 0.25;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Row of the table; `value` computes its cell for one fleet size.
pub(crate) struct Row {
    pub(crate) name: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) value: fn(&Size) -> String,
}

/// Rows in the order of the printed table.
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
            value: configuration_traffic,
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
    kilobytes(retained_bytes(|| fleet::replica(size)))
}

fn view_memory(size: &Size) -> String {
    kilobytes(retained_bytes(|| fleet::view(size)))
}

fn limits() -> (Limits, Split) {
    let limits = Limits::new(10_000, 100_000).expect("the limits are valid");
    let split = Split::new(Split::FLOOR_PER_MILLE, Seat::count(360), Drift::default());
    (limits, split.expect("the split is valid"))
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
    kilobytes(retained_bytes(|| (0..held).map(pool).collect::<Vec<_>>()))
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
    kilobytes(retained_bytes(|| {
        (0..size.customers).map(floor).collect::<Vec<_>>()
    }))
}

fn settings_memory(size: &Size) -> String {
    let text = fleet::settings(size);
    kilobytes(retained_bytes(|| Fleet::from_json(&text)))
}

fn settings_text(size: &Size) -> String {
    kilobytes(fleet::settings(size).len())
}

fn renewal_entry_bytes(size: &Size) -> usize {
    let records = fleet::renewal(size, 0).records;
    let append = entry::encode(&records).expect("a renewal can be encoded");
    let overhead = br#"{"offset":100000000,"appended_at_ms":1790000000000,"data":""},"#.len();
    append.data.len() + overhead
}

fn renewal_bytes(size: &Size) -> String {
    renewal_entry_bytes(size).to_string()
}

fn renewal_appends(size: &Size) -> String {
    format!("{:.1}", RENEWALS_PER_S * f64::from(size.hosts))
}

fn renewal_traffic(size: &Size) -> String {
    let bytes = RENEWALS_PER_S * f64::from(size.hosts) * renewal_entry_bytes(size) as f64;
    format!("{:.1}", bytes / 1_000.0)
}

fn configuration_traffic(size: &Size) -> String {
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
    format!("{:.1}", 6.0 * (bytes + HTTP_HEADER_BYTES) / 1_000.0)
}

fn sealed_bytes<B: serde::Serialize>(body: B) -> usize {
    let frame = Frame::new("entry-000", 1 << 60, 1_000_000, body);
    frame
        .seal(&Secret::new(*b"secret"))
        .expect("a frame can be sealed")
        .len()
}

fn grant_exchange_bytes() -> f64 {
    let mut pool = pool(0);
    let after_refill = Instant::from_millis(60_000);
    let approval = pool
        .acquire(after_refill, 1_000)
        .expect("the pool has refilled after 60 s");
    let customer = "customer-0000".to_owned();
    let grant_request = sealed_bytes(Request::AskGrant {
        customer: customer.clone(),
        tokens: 1_000,
    });
    let grant_response = sealed_bytes(Response::Granted {
        approval,
        ticket: None,
    });
    let hold = approval.hold;
    let return_request = sealed_bytes(Request::ReturnTokens {
        customer,
        hold,
        unused: 500,
    });
    (grant_request + grant_response + return_request + sealed_bytes(Response::Done)) as f64
        + 2.0 * HTTP_HEADER_BYTES
}

fn grant_bytes(_: &Size) -> String {
    format!("{:.0}", grant_exchange_bytes())
}

fn grant_traffic(size: &Size) -> String {
    // A node sends this traffic for its own requests and receives as much as owner of its shards.
    let requests = per_node(size.requests_per_s, size) * (1.0 - FLOOR_SHARE);
    format!("{:.1}", 2.0 * requests * grant_exchange_bytes() / 1_000.0)
}

fn apply_time(size: &Size) -> Duration {
    let (mut replica, mut holder) = fleet::replica(size);
    let mut number = 2 * u64::from(size.hosts);
    best_mean_time(|| {
        fleet::apply_entry(&mut replica, &mut holder, &fleet::renewal(size, number));
        number += 1;
    })
}

fn grant_time() -> Duration {
    let mut pool = pool(0);
    let now = Instant::from_millis(60_000);
    best_mean_time(|| {
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
    best_mean_time(|| {
        let sealed = frame.seal(&secret).expect("a frame can be sealed");
        let opened = Frame::<Request>::open(&sealed, &secret);
        assert!(opened.is_ok(), "a sealed frame opens");
    })
}

fn settings_check_time(size: &Size) -> Duration {
    let text = fleet::settings(size);
    let started = std::time::Instant::now();
    let fleet = Fleet::from_json(&text);
    let elapsed = started.elapsed();
    drop(fleet);
    elapsed
}

fn settings_time(size: &Size) -> String {
    format!("{:.2}", settings_check_time(size).as_secs_f64() * 1e3)
}

/// CPU share of applying renewals, of granting tokens and of sealing and opening the frames at both
/// ends, and of checking configuration changes in both daemons. HTTP processing is not included.
fn control_share(size: &Size) -> String {
    let renewals = RENEWALS_PER_S * f64::from(size.hosts) * apply_time(size).as_secs_f64();
    let requests = per_node(size.requests_per_s, size) * (1.0 - FLOOR_SHARE);
    let grants = 2.0 * requests * (grant_time() + 4 * frame_time()).as_secs_f64();
    let changes = f64::from(size.changes_per_day) / SECONDS_PER_DAY;
    let checks = 2.0 * changes * settings_check_time(size).as_secs_f64();
    format!("{:.3}", 100.0 * (renewals + grants + checks))
}
