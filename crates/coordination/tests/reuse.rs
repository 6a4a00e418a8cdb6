//! Guards against the copy of a refusal that is taken for the answer to the same request, sent again.

use berylknot_coordination::reuse::History;

#[test]
fn a_connection_does_not_carry_a_refused_request_again() {
    let mut history = History::default();
    assert!(history.admits("r1"));
    history.refuse("r1");
    assert!(!history.admits("r1"));
    assert!(history.admits("r2"));
}

#[test]
fn a_connection_is_closed_before_it_forgets_a_refusal() {
    let mut history = History::default();
    let mut refused = 0;
    while !history.is_full() {
        history.refuse(&format!("r{refused}"));
        refused += 1;
        assert!(refused <= 1_024, "the memory of a connection is bounded");
    }
    for request in 0..refused {
        assert!(!history.admits(&format!("r{request}")));
    }
}

#[test]
fn a_repeated_refusal_takes_no_further_room() {
    let mut history = History::default();
    for _ in 0..1_024 {
        history.refuse("r1");
    }
    assert!(!history.is_full());
}

#[test]
fn a_connection_does_not_carry_the_next_stage_of_an_answered_request() {
    let mut history = History::default();
    for request in 0..1_024 {
        history.answer(&format!("r{request}"));
    }
    assert!(!history.admits("r1023"));
    assert!(!history.is_full(), "answers do not end a connection");
}
