//! A controller reads two engines and orders one of them to a new version; the other keeps serving.

use std::collections::BTreeMap;
use std::time::Duration;

use berylknot_coordination::clock::Instant;
use berylknot_coordination::order::{Action, Limits, Observed, Planner, Role, Route, State};

fn main() {
    let route = Route {
        model: "dossier".to_owned(),
        role: Role::Decode,
    };
    let state = |version: &str| State {
        route: route.clone(),
        version: version.to_owned(),
    };
    let limits = Limits {
        loads: 1,
        changes: 1,
        serving: BTreeMap::from([(route.clone(), 1)]),
    };
    // Fencing token: offset of the log record that gave this host the controller shard.
    let token = 7_340;
    let mut planner = Planner::new(token, limits.clone());
    let wanted = ["decode-1", "decode-2"].map(|endpoint| (endpoint.to_owned(), state("2")));
    planner.configure(limits, BTreeMap::from(wanted));

    let mut now = Instant::from_millis(0);
    let lease_until = now + Duration::from_secs(15);
    for action in planner.poll(now, lease_until) {
        let Action::Read(endpoint) = action else {
            continue;
        };
        let seen = Observed {
            state: state("1"),
            serving: true,
        };
        planner.observed(now, &endpoint, Some(seen));
    }
    now = now + Duration::from_millis(100);
    for action in planner.poll(now, lease_until) {
        println!("{action:?}");
        if let Action::Send(order) = action {
            println!("may send: {}", planner.send(now, lease_until, &order));
        }
    }
    println!("differing: {:?}", planner.differing().collect::<Vec<_>>());
}
