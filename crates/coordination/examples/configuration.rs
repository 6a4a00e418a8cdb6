//! Two operators publish on the same base version; the first proposal in the log wins.

use berylknot_coordination::record::{Entry, Id, Incarnation, Position, Publish, Record};
use berylknot_coordination::replica::Replica;

fn main() {
    let publish = |operator, document: &str| {
        Record::Publish(Publish {
            id: Id {
                incarnation: Incarnation(operator),
                sequence: 0,
            },
            base_version: Position::default(),
            document: document.to_owned(),
        })
    };
    let mut replica = Replica::default();
    let records = vec![
        publish(1, r#"{"by":"first"}"#),
        publish(2, r#"{"by":"second"}"#),
        // The first operator resends its proposal after a lost response.
        publish(1, r#"{"by":"first"}"#),
    ];
    let entry = Entry {
        offset: 1,
        appended_at_ms: 1_700_000_000_000,
        records,
    };
    for change in replica.apply(&entry) {
        println!("{change:?}");
    }
    println!("in force: {:?}", replica.configuration().accepted());
}
