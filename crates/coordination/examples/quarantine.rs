//! A request crashes two endpoints: after the first it is a suspect, after the second it is
//! refused.

use berylknot_coordination::clock::Instant;
use berylknot_coordination::quarantine::{
    Announcement, End, Fingerprint, Kind, Local, Occupant, Struck, Table, may_join, strike,
};

fn main() {
    let now = Instant::from_millis(1_000);
    let replicated = Table::default();
    let mut local = Local::default();
    let request = Fingerprint {
        customer: "atelier-7".to_owned(),
        route: "chat".to_owned(),
        body: [9; 32],
    };
    for (endpoint, isolated) in [("decode-1", false), ("decode-2", true)] {
        let struck = Struck {
            fingerprint: request.clone(),
            isolated,
        };
        let event = strike(Kind::Model, endpoint, End::Crashed, [struck]);
        let event = event.expect("a request was in flight");
        local.apply(now, &event);
        let mut announcement = Announcement::new(now, event, ["host-b"]);
        println!("caller may be answered: {}", announcement.is_done(now));
        announcement.acknowledged(&"host-b");
        println!("after the peer's answer: {}", announcement.is_done(now));
        println!(
            "{:?}",
            local.verdict(now, 0, &replicated, Kind::Model, &request)
        );
    }
    let suspect = Occupant {
        customer: "atelier-7",
        suspect: true,
    };
    let other = Occupant {
        customer: "atelier-3",
        suspect: false,
    };
    println!(
        "a suspect beside another customer: {}",
        may_join(suspect, [other])
    );
}
