//! A coordinator shuts down: after its last request, it hands over a token pool and a shard.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::drain::{Event, Plan, Pool, Progress, Shard};

fn main() {
    let now = Instant::from_millis(0);
    let (pool, shard) = (Pool(7), Shard(3));
    let plan = Plan {
        deadline: now + Duration::from_secs(30),
        handover: Duration::from_secs(3),
        running: 1,
        pools: vec![(pool, shard)],
        ..Plan::default()
    };
    let (mut progress, actions) = Progress::begin(now, plan);
    println!("{actions:?}");
    let debited = Event::Debited { pool, level: 1_200 };
    let accepted = Event::LevelAccepted { pool };
    for event in [
        Event::Ended,
        debited,
        accepted,
        Event::ShardReleased { shard },
    ] {
        println!("{event:?}: {:?}", progress.event(now, event));
    }
}
