//! A caller disconnects during its prefill: the cancel is repeated until the engine confirms it.

use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::request::{Action, Charge, Endpoint, Event, Kind, Limits, Tracker};

fn main() {
    let start = Instant::from_millis(0);
    let mut request = Tracker::new(Kind::Model, Limits::default());
    let placed = Event::Placed {
        charge: Charge {
            prompt: 900,
            output: 100,
        },
        first: Endpoint(1),
        decode: Endpoint(2),
    };
    let actions = request.event(start, placed);
    println!("{actions:?}");
    let Some(&Action::Submit { submission, .. }) = actions.first() else {
        return;
    };
    println!("may be sent: {}", request.send(start, submission));
    println!("{:?}", request.event(start, Event::CallerGone));
    let later = start + Duration::from_millis(100);
    println!("after 0.1 s: {:?}", request.tick(later));
    let confirmed = Event::CancelAnswered {
        submission,
        known: true,
        asked_at: later,
    };
    println!("{:?}", request.event(later, confirmed));
}
