//! A host writes a snapshot to the log; another host restores it after older entries have expired.

use berylknot_coordination::clock::Instant;
use berylknot_coordination::configuration::Readiness;
use berylknot_coordination::record::{Entry, Id, Incarnation, Position, Publish, Record};
use berylknot_coordination::replica::Replica;
use berylknot_coordination::snapshot::{self, Assembler, CHUNK_BYTES};

fn main() -> snapshot::Result<()> {
    let id = |sequence| Id {
        incarnation: Incarnation(1),
        sequence,
    };
    let publish = Record::Publish(Publish {
        id: id(0),
        base_version: Position::default(),
        document: "{}".to_owned(),
    });
    let entry = |offset, records| Entry {
        offset,
        appended_at_ms: 1_700_000_000_000,
        records,
    };
    let mut writer = Replica::default();
    writer.apply(&entry(1, vec![publish]));
    let chunks = snapshot::split(id(1), &writer.snapshot()?, CHUNK_BYTES)?;
    let records = chunks.into_iter().map(Record::Snapshot).collect();
    let second = entry(2, records);

    // Entry 1 has expired; the oldest offset in the log is 2.
    let mut starting = Replica::default();
    println!("needs a snapshot: {}", starting.is_behind(2));
    let mut search = Assembler::default();
    search.read(&second);
    if let Some(found) = search.best(2) {
        println!("restored: {}", starting.restore(&found)?);
    }
    starting.apply(&second);
    println!("configuration: {:?}", starting.configuration().accepted());
    println!("bytes in memory: {}", starting.size_bytes());

    let mut readiness: Readiness<&str> = Readiness::new(7);
    readiness.record_tail(3);
    let now = Instant::from_millis(0);
    println!("ready: {}", readiness.poll(now, starting.next_offset()));
    Ok(())
}
