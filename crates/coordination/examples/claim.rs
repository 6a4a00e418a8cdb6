//! Two hosts claim the same idempotency key; the first claim in the log wins and runs the call.

use berylknot_coordination::claim::{Action, Claimant, Key, Outcome};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::record::{Entry, Incarnation, Record};
use berylknot_coordination::replica::{Change, Replica};

fn main() {
    let now = Instant::from_millis(1_000);
    let key = Key {
        customer: "kennel-club".to_owned(),
        hash: [7; 32],
    };
    let mut replica = Replica::default();
    let mut first = Claimant::new(Incarnation(1), 100);
    let mut second = Claimant::new(Incarnation(2), 100);
    let claims = [&mut first, &mut second].map(|claimant| {
        let claim = claimant.claim(now, key.clone(), 42);
        Record::Key(claim.expect("no claim is open"))
    });
    let changes = replica.apply(&Entry {
        offset: 1,
        appended_at_ms: 1_700_000_000_000,
        records: claims.to_vec(),
    });
    for change in changes {
        let Change::Key { id, verdict } = change else {
            continue;
        };
        println!("{id:?}: {verdict:?}");
        println!(
            "  actions of the second host: {:?}",
            second.observe(now, id, &verdict)
        );
        for action in first.observe(now, id, &verdict) {
            let Action::Send(id) = action else {
                continue;
            };
            println!("  first host may send: {}", first.begin_send(now, id));
            let outcome = Outcome {
                status: 201,
                body: Some("reserved".into()),
            };
            println!(
                "  actions after the call: {:?}",
                first.finish(now, id, Some(outcome))
            );
        }
    }
}
