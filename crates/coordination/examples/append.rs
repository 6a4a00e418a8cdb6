//! Appends a record, loses the response, and resolves the outcome by reading the log.

use berylknot_coordination::append::{Action, Answer, Appender, Limits};
use berylknot_coordination::clock::Instant;
use berylknot_coordination::record::{Entry, Id, Incarnation, Position, Publish, Record};
use berylknot_coordination::replica::Replica;

fn main() {
    let mut replica = Replica::default();
    let mut appender = Appender::new(Incarnation(1), Limits::default());
    let publish = Publish {
        id: Id {
            incarnation: Incarnation(1),
            sequence: 0,
        },
        base_version: Position::default(),
        document: "{}".to_owned(),
    };
    let deadline = Instant::from_millis(5_000);
    let ticket = appender
        .submit(Record::Publish(publish), 64, deadline)
        .expect("the queue is empty");
    println!("submitted {ticket:?}");

    let sent = appender.poll(Instant::from_millis(100));
    let [Action::Append { id, records }] = &sent[..] else {
        unreachable!("one batch is due");
    };
    // The append succeeds, but its response is lost.
    let entry = Entry {
        offset: 1,
        appended_at_ms: 1_700_000_000_000,
        records: records.clone(),
    };
    appender.answered(Instant::from_millis(600), *id, Answer::Lost);

    // A read up to the tail, sent after the loss, returns the batch.
    let read_sent = Instant::from_millis(650);
    println!("{:?}", replica.apply(&entry));
    println!("{:?}", appender.reached_tail(read_sent, replica.batches()));
    // A duplicate of the batch is ignored.
    println!("{:?}", replica.apply(&Entry { offset: 2, ..entry }));
}
