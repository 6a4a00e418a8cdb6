//! Guards against connections that a stopping host closes while a request is on them.

use berylknot_coordination::clock::Instant;
use berylknot_coordination::closing::{QUIET_TIME, Usage};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 2_000;
const STEPS: u32 = 60;
/// Most requests that a caller sends before their answers.
const MAX_PIPELINED: u32 = 3;

const NOW: Instant = Instant::from_millis(1_000);

#[test]
fn a_connection_before_its_first_request_is_not_closed() {
    let mut usage = Usage::default();
    assert_eq!(usage.may_close_at(), None);
    usage.answered(NOW, 0);
    assert_eq!(usage.may_close_at(), None, "nothing was answered");
}

#[test]
fn a_connection_is_closed_between_an_answer_and_the_next_request() {
    let mut usage = Usage::default();
    usage.received();
    usage.began();
    // The body of the request.
    usage.received();
    assert_eq!(usage.may_close_at(), None);
    usage.answered(NOW, 1);
    assert_eq!(usage.may_close_at(), Some(NOW + QUIET_TIME));
    usage.received();
    assert_eq!(usage.may_close_at(), None, "a part of the next head");
}

#[test]
fn a_connection_with_a_request_behind_an_answered_one_is_not_closed() {
    let mut usage = Usage::default();
    usage.received();
    usage.began();
    usage.began();
    usage.answered(NOW, 1);
    assert_eq!(usage.may_close_at(), None);
    usage.answered(NOW, 1);
    assert_eq!(usage.may_close_at(), Some(NOW + QUIET_TIME));
}

/// What the host's socket and HTTP library do: it reads bytes, begins requests whose head is whole, and
/// writes answers in order.
#[derive(Default)]
struct Connection {
    usage: Usage,
    /// Requests of which the host has read a part, without their whole head.
    partial: bool,
    begun: u32,
    answered: u32,
}

/// A connection may be closed exactly when it has carried an answer and no request is on it.
#[test]
fn a_connection_is_closed_exactly_when_no_request_is_on_it() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut connection = Connection::default();
        for _ in 0..STEPS {
            let open = connection.begun - connection.answered;
            match random.random_range(0..4) {
                0 if !connection.partial && open < MAX_PIPELINED => {
                    connection.partial = true;
                    connection.usage.received();
                }
                1 if connection.partial => {
                    connection.partial = false;
                    connection.usage.received();
                    connection.usage.began();
                    connection.begun += 1;
                }
                // A part of the body of the last request.
                2 if open > 0 && !connection.partial => connection.usage.received(),
                // The callers of the platform send no head before the answers to their requests.
                3 if open > 0 && !connection.partial => {
                    let answers = random.random_range(1..=open);
                    connection.usage.answered(NOW, answers);
                    connection.answered += answers;
                }
                _ => {}
            }
            let is_free = connection.begun == connection.answered && !connection.partial;
            assert_eq!(
                connection.usage.may_close_at().is_some(),
                is_free && connection.answered > 0,
                "seed {seed}: {:?}",
                connection.usage
            );
        }
    }
}
