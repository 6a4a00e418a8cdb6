//! An answer is resumed at a second engine after the first one fails.

use std::num::NonZeroU32;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::stream::{Action, Assembler, Body, Event, Limits};

fn main() {
    let now = Instant::from_millis(0);
    let mut answer = Assembler::new(
        "entry-1.0000000000000001.7",
        Limits {
            max_tokens: NonZeroU32::new(64).expect("not zero"),
            max_attempts: NonZeroU32::new(3).expect("not zero"),
            idle: Duration::from_secs(5),
        },
    );
    let token = |attempt, index| Event {
        request: "entry-1.0000000000000001.7",
        attempt,
        body: Body::Token { index },
    };
    println!("{:?}", answer.begin(now));
    println!("{:?}", answer.event(now, &token(1, 0)));
    println!("{:?}", answer.fail(1));
    println!("{:?}", answer.begin(now));
    println!("late event: {:?}", answer.event(now, &token(1, 1)));
    println!("{:?}", answer.event(now, &token(2, 1)));
    let finish = Event {
        request: "entry-1.0000000000000001.7",
        attempt: 2,
        body: Body::Finish { count: 2 },
    };
    assert_eq!(answer.event(now, &finish), Action::Complete);
    println!("complete after {} tokens", answer.delivered());
}
