//! Three hosts: one learns that an endpoint is leaving, and gossip spreads the notice.

use berylknot_coordination::clock::Instant;
use berylknot_coordination::member::{Limits, Listed, Piggyback, View};

const HOSTS: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

fn main() {
    let mut views = HOSTS.map(|name| {
        let now = Instant::from_millis(0);
        let mut view = View::new(now, name, Limits::default());
        view.set_hosts(now, HOSTS.map(|name| (name, Listed::Live)));
        view.set_endpoints(now, [("engine-1", Listed::Live)]);
        view
    });
    println!(
        "coordinator: {:?}",
        views[0].coordinator(Instant::from_millis(0), "engine-1")
    );
    views[0].mark_leaving(Instant::from_millis(0), "engine-1");
    for round in 0..3 {
        let now = Instant::from_millis(round * 1_000);
        for sender in 0..HOSTS.len() {
            let digest = views[sender].digest(now, round, Piggyback::default());
            let targets = views[sender].targets(now, round);
            let targets: Vec<String> = targets.into_iter().map(str::to_owned).collect();
            for (name, view) in HOSTS.iter().zip(&mut views) {
                if targets.iter().any(|target| target == name) {
                    view.merge(now, HOSTS[sender], &digest);
                }
            }
        }
        let health = views
            .each_ref()
            .map(|view| view.endpoint_health(now, "engine-1"));
        println!("round {round}: {health:?}");
    }
}
