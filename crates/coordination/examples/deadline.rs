//! A connection that exceeded its idle timeout is not used again.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::deadline::{Idle, Limits};

fn main() {
    let mut connection = Idle::new(Instant::from_millis(0), Limits::default().endpoint);
    println!(
        "at 4 s: usable {}",
        connection.accept_data(Instant::from_millis(4_000))
    );
    println!(
        "at 9 s: usable {}",
        connection.accept_data(Instant::from_millis(9_000))
    );
    println!(
        "just after: usable {}",
        connection.accept_data(Instant::from_millis(9_000) + Duration::from_millis(1))
    );
}
