//! A request takes tokens from a pool and returns the unused ones; a floor donates to the pool.

use std::error::Error;

use berylknot_coordination::clock::{Drift, Instant};
use berylknot_coordination::lease::{Seat, Shard};
use berylknot_coordination::quota::{Floor, Grant, Limits, Pool, Split};
use berylknot_coordination::record::Position;

fn main() -> Result<(), Box<dyn Error>> {
    let limits = Limits::new(2_000, 10_000)?;
    let split = Split::new(Split::FLOOR_PER_MILLE, Seat::count(7), Drift::default())?;
    let start = Instant::from_millis(0);
    let since = Position::new(1, 0);
    let mut pool = Pool::new(start, limits, split, Shard::of(b"registry"), since);
    let mut floor = Floor::new(start, limits, split, Seat(0), since);

    // A new owner's buckets start empty and refill.
    let asked = Instant::from_millis(4_000);
    println!(
        "level after 4 s: pool {}, floor {}",
        pool.bucket().level(asked),
        floor.bucket().level(asked)
    );
    let approval = pool.acquire(asked, 3_000)?;
    let admitted_at = Instant::from_millis(4_010);
    let hold = Grant::new(asked, approval).admit(admitted_at)?;

    // The prompt has 200 tokens more than estimated; then the caller cancels.
    pool.charge_extra(Instant::from_millis(4_200), hold, 200);
    let credited = pool.give_back(Instant::from_millis(4_500), hold, 2_500);
    println!("credited {} tokens", credited / 1_000_000_000);

    // A long prompt drains the pool, which then invites a donation.
    let now = Instant::from_millis(6_000);
    let long = pool.acquire(now, 6_000)?;
    println!("granted {} tokens", long.tokens);
    if let Some(ticket) = pool.ticket(now)
        && let Some(donation) = floor.donate(now, ticket, now)
    {
        let credited = pool.accept(Instant::from_millis(6_002), donation);
        println!("donated {} tokens", credited / 1_000_000_000);
    }
    let refused = pool.acquire(now, 1_000_000);
    println!("too large a request: {refused:?}");
    println!("too small a burst: {:?}", Limits::new(2_000, 1_000));
    Ok(())
}
