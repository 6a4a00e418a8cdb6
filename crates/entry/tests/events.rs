//! Guards against streams that resume inside an event, repeat an event, or join parts of two runs.

use berylknot_entry::events::{Error, Splitter};

const STREAM: &[u8] = b"weight-versions: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

#[test]
fn events_do_not_depend_on_where_the_bytes_are_split() {
    for cut in 0..=STREAM.len() {
        let mut events = Splitter::after(None);
        let mut complete = events.push(&STREAM[..cut]).expect("valid events").to_vec();
        complete.extend_from_slice(&events.push(&STREAM[cut..]).expect("valid events"));
        assert_eq!(complete, STREAM, "cut at {cut}");
        assert_eq!((events.last(), events.count()), (Some(3), 3));
        assert!(events.is_at_boundary());
    }
}

#[test]
fn events_arriving_byte_by_byte_are_complete() {
    let mut events = Splitter::after(None);
    let mut complete = Vec::new();
    for byte in STREAM {
        complete.extend_from_slice(
            &events
                .push(std::slice::from_ref(byte))
                .expect("valid events"),
        );
    }
    assert_eq!(complete, STREAM);
}

#[test]
fn incomplete_event_is_buffered_and_can_be_discarded() {
    let mut events = Splitter::after(None);
    let complete = events
        .push(b"id: 1\ndata: a\n\nid: 2\nda")
        .expect("valid events");
    assert_eq!(&complete[..], b"id: 1\ndata: a\n\n");
    assert!(!events.is_at_boundary());
    events.discard_tail();
    assert_eq!(events.last(), Some(1));
    let complete = events.push(b"id: 2\ndata: b\n\n").expect("valid events");
    assert_eq!(&complete[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn repeated_event_is_an_error() {
    let mut events = Splitter::after(Some(5));
    assert_eq!(events.push(b"id: 5\ndata: a\n\n"), Err(Error::Repeated));
}

#[test]
fn crlf_ends_an_event() {
    let mut events = Splitter::after(None);
    let complete = events
        .push(b"id: 1\r\ndata: a\r\n\r\n")
        .expect("valid events");
    assert_eq!((complete.len(), events.last()), (18, Some(1)));
}

#[test]
fn oversized_event_is_an_error() {
    let mut events = Splitter::after(None);
    let result = (0..300)
        .map(|_| events.push(&[b'x'; 1_024]))
        .find(Result::is_err);
    assert_eq!(result, Some(Err(Error::TooLong)));
}

#[test]
fn events_before_a_copied_answer_in_the_same_read_are_kept() {
    let mut events = Splitter::after(None);
    let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let copied = [STREAM, head, STREAM].concat();
    let complete = events.push(&copied).expect("whole events");
    assert_eq!(complete, STREAM);
    assert_eq!((events.last(), events.count()), (Some(3), 3));
    assert!(!events.is_at_boundary(), "the stream has not ended well");
    assert_eq!(events.push(b"\n\n"), Err(Error::Repeated));
}

#[test]
fn events_before_a_repeated_one_in_the_same_read_are_kept() {
    let mut events = Splitter::after(Some(1));
    let complete = events.push(b"id: 2\ndata: b\n\nid: 2\ndata: b\n\nid: 3\n");
    assert_eq!(complete.expect("whole events"), &b"id: 2\ndata: b\n\n"[..]);
    assert!(!events.is_at_boundary());
    assert_eq!(events.last(), Some(2));
}

/// An engine that breaks off after the id of an event, and whose earlier answer then stands in its stream:
/// the caller does not have that event, so the stream has to resume before it.
#[test]
fn an_event_that_is_not_passed_on_does_not_move_the_resumption_point() {
    let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    for begin in [&b"id: 2\n"[..], b"weight-versions: 4\nid: 2\n"] {
        let mut events = Splitter::after(None);
        let broken = [b"id: 1\ndata: a\n\n", begin, head, STREAM].concat();
        let complete = events.push(&broken).expect("one whole event");
        assert_eq!(complete, &b"id: 1\ndata: a\n\n"[..]);
        assert_eq!((events.last(), events.count()), (Some(1), 1));
        events.discard_tail();
        let resumed = b"id: 2\ndata: b\n\n";
        assert_eq!(events.push(resumed).expect("the next event"), &resumed[..]);
    }
}

/// An event whose ids go back is not passed on, whichever of them comes last.
#[test]
fn an_event_with_a_lower_id_among_several_is_an_error() {
    let mut events = Splitter::after(Some(1));
    assert_eq!(
        events.push(b"id: 5\nid: 2\ndata: a\n\n"),
        Err(Error::Repeated)
    );
    assert_eq!((events.last(), events.count()), (Some(1), 0));
}

/// An event with several ids counts once; its tokens would count several times against the engine.
#[test]
fn an_event_with_several_ids_is_one_event() {
    let mut events = Splitter::after(None);
    let event = b"id: 1\nid: 2\ndata: a\n\n";
    assert_eq!(events.push(event).expect("a whole event"), &event[..]);
    assert_eq!((events.last(), events.count()), (Some(2), 1));
}

/// Ids that do not start at 1, have gaps, or stand in a line with odd spacing are the resumption point all
/// the same; lines that are no id do not change it.
#[test]
fn odd_ids_are_the_resumption_point() {
    let mut events = Splitter::after(None);
    for (event, last) in [
        (&b"id:7\ndata: a\n\n"[..], Some(7)),
        (b"weight-versions: 4\nid:  9 \ndata: a\n\n", Some(9)),
        (b"id: 12\r\ndata: a\r\n\r\n", Some(12)),
        (b"id: 0013\ndata: a\n\n", Some(13)),
        (b": a comment\n\n", Some(13)),
        (b"data: id: 2\n\n", Some(13)),
        (b"id : 2\ndata: a\n\n", Some(13)),
        (b" id: 2\ndata: a\n\n", Some(13)),
        (b"ids: 2\ndata: a\n\n", Some(13)),
    ] {
        assert_eq!(events.push(event).expect("a whole event"), event);
        assert_eq!(events.last(), last, "{}", String::from_utf8_lossy(event));
    }
}

/// Lines of one event may end differently, so the empty line does not have to end like the one before.
#[test]
fn an_empty_line_of_either_ending_ends_an_event() {
    for event in [
        &b"id: 1\ndata: a\n\r\n"[..],
        b"id: 1\r\ndata: a\r\n\n",
        b"id: 1\r\ndata: a\n\r\n",
    ] {
        for cut in 0..=event.len() {
            let mut events = Splitter::after(None);
            let mut complete = events.push(&event[..cut]).expect("valid events").to_vec();
            complete.extend_from_slice(&events.push(&event[cut..]).expect("valid events"));
            assert_eq!(complete, event, "cut at {cut}");
            assert_eq!(events.last(), Some(1));
        }
    }
}

/// Surplus bytes behind the last event of an answer that ends with its connection reached the caller.
#[test]
fn bytes_behind_the_last_event_are_held_back_in_an_unframed_stream() {
    let mut splitter = Splitter::after(None);
    splitter.set_unframed(true);
    let events = b"retry: 5\n\nid: 1\ndata: a\n\n: alive\n\n";
    assert_eq!(splitter.push(events).as_deref(), Ok(&events[..]));
    assert_eq!(splitter.push(b"surplus bytes\n\n").as_deref(), Ok(&b""[..]));
    assert_eq!(splitter.push(b": alive\n\n").as_deref(), Ok(&b""[..]));
    assert!(splitter.is_at_boundary());
    assert_eq!((splitter.last(), splitter.count()), (Some(1), 1));
    let held = b"surplus bytes\n\n: alive\n\nid: 2\n\n";
    assert_eq!(splitter.push(b"id: 2\n\n").as_deref(), Ok(&held[..]));
}

#[test]
fn bytes_without_an_event_are_not_held_back_without_end() {
    let mut splitter = Splitter::after(None);
    splitter.set_unframed(true);
    let surplus = b"surplus bytes\n\n".repeat(1_024);
    let pushed = (0..64).find_map(|_| splitter.push(&surplus).err());
    assert_eq!(pushed, Some(Error::TooLong));
}

/// A copied event took the place of others in the last read of a stream, which then passed for whole.
#[test]
fn a_stream_that_ends_behind_a_repeated_event_is_not_at_a_boundary() {
    for is_unframed in [false, true] {
        let mut splitter = Splitter::after(None);
        splitter.set_unframed(is_unframed);
        let passed = splitter.push(b"id: 1\n\nid: 1\n\nid: 2\n\n");
        assert_eq!(passed.as_deref(), Ok(&b"id: 1\n\n"[..]));
        assert!(!splitter.is_at_boundary());
        splitter.discard_tail();
        assert!(splitter.is_at_boundary());
    }
}
