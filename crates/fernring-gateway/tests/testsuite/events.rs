//! Tests of splitting a stream into complete events.

use {
    fernring_gateway::{
        events::{EventPosition, EventSplitter, ReceivedEvents},
        response_progress::EVENT_BYTES_MAX,
    },
    proptest::prelude::*,
};

fn number(line: &[u8]) -> Option<u64> {
    std::str::from_utf8(line.strip_prefix(b"id: ")?).ok()?.parse().ok()
}

/// Returns the highest number of the events, if none of them repeats another.
fn last_event_number(events: &[u8]) -> Option<u64> {
    let mut received = ReceivedEvents::new(None);
    received.record(events, number).unwrap();
    assert!(received.may_go_on());
    received.last()
}

#[test]
fn incomplete_event_is_buffered_until_discarded() {
    let mut splitter = EventSplitter::default();
    let complete = splitter.push(b"id: 1\ndata: x\n\nid: 2\nda").unwrap();
    assert_eq!(&complete[..], b"id: 1\ndata: x\n\n");
    assert_eq!(last_event_number(&complete), Some(1));
    splitter.discard();
    assert_eq!(&splitter.push(b"id: 2\n\n").unwrap()[..], b"id: 2\n\n");
}

proptest! {
    /// All bytes are returned once and in order, regardless of the chunks in which they arrive.
    #[test]
    fn splitter_neither_loses_nor_duplicates_bytes(
        events in prop::collection::vec("[a-z]{0,5}", 0..8),
        cuts in prop::collection::vec(1usize..7, 1..40),
    ) {
        let text: String = events.iter().map(|event| format!("data: {event}\n\n")).collect();
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (head, tail) = rest.split_at((*cut).min(rest.len()));
            let complete = splitter.push(head).unwrap();
            prop_assert!(complete.is_empty() || complete.ends_with(b"\n\n"));
            out.extend_from_slice(&complete);
            rest = tail;
        }
        out.extend_from_slice(&splitter.finish());
        prop_assert_eq!(out, text.into_bytes());
    }
}

/// Returns whether a stream of these bytes, received in pieces of `cut` bytes, ends inside an event.
fn ends_inside_event(stream: &str, cut: usize) -> bool {
    let mut position = EventPosition::default();
    for bytes in stream.as_bytes().chunks(cut) {
        position.advance(bytes);
    }
    position.is_inside_event()
}

#[test]
fn position_is_known_for_all_line_endings_and_cuts() {
    let whole =
        ["", "\n", "id: 1\n\n", "id: 1\r\n\r\n", "id: 1\r\r", "id: 1\n\r\n", ": c\nid: 1\n\n\n"];
    let incomplete = ["i", "id: 1", "id: 1\n", "id: 1\r\n", "id: 1\r", "id: 1\n\nid", "id: 1\n\n:"];
    for cut in 1..8 {
        for stream in whole {
            assert!(!ends_inside_event(stream, cut), "{stream:?}");
        }
        for stream in incomplete {
            assert!(ends_inside_event(stream, cut), "{stream:?}");
        }
    }
}

#[test]
fn advance_returns_the_end_of_the_last_event() {
    let mut position = EventPosition::default();
    assert_eq!(position.advance(b"id: 1\r\n\r"), Some(8));
    assert_eq!(position.advance(b"\nid: 2\n"), Some(1));
    assert_eq!(position.advance(b"data: x"), None);
    assert_eq!(position.advance(b"\n\nid: 3\n\nid"), Some(9));
}

#[test]
fn events_are_complete_with_any_line_ending() {
    for line_ending in ["\n", "\r\n", "\r"] {
        let events = "id: 1\ndata: x\n\nid: 2\n\n".replace('\n', line_ending);
        for cut in 1..events.len() {
            let mut splitter = EventSplitter::default();
            let (head, tail) = events.as_bytes().split_at(cut);
            let complete = [splitter.push(head).unwrap(), splitter.push(tail).unwrap()].concat();
            assert_eq!(complete, events.as_bytes(), "{line_ending:?} {cut}");
            assert_eq!(last_event_number(&complete), Some(2), "{line_ending:?}");
        }
    }
}

#[test]
fn comments_and_empty_lines_are_no_event() {
    let mut position = EventPosition::default();
    assert_eq!(position.advance(b": c\n\n\n\n"), None);
    assert_eq!(position.advance(b": c\nid: 1\n\n: c\n\n"), Some(11));
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b": c\n\n\n").unwrap().is_empty());
    assert_eq!(&splitter.push(b"id: 1\n\n\n").unwrap()[..], b": c\n\n\nid: 1\n\n");
    assert_eq!(&splitter.finish()[..], b"\n", "the rest is returned at the end");
}

#[test]
fn stream_without_the_end_of_an_event_is_limited() {
    for repeated in [&b"a"[..], b"\n", b": c\n\n"] {
        let bytes = repeated.repeat(EVENT_BYTES_MAX / repeated.len());
        let mut splitter = EventSplitter::default();
        splitter.push(&bytes).unwrap();
        splitter.push(&bytes).unwrap_err();
        let mut splitter = EventSplitter::default();
        splitter.skip(&bytes).unwrap();
        splitter.skip(&bytes).unwrap_err();
    }
    let mut splitter = EventSplitter::default();
    for _ in 0..3 {
        splitter.skip(&b"a".repeat(EVENT_BYTES_MAX / 2)).unwrap();
        splitter.skip(b"\n\n").unwrap();
    }
}

/// A stream must not go on after the last number if an event without one, or with a lower one, came since.
#[test]
fn number_that_names_another_place_in_a_stream_resumes_it() {
    let cases: [(Option<u64>, &str, Option<u64>, bool); 11] = [
        (None, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Some(2), true),
        (None, "data: a\n\n", None, false),
        (None, "data: a\r\n\r\n: comment\r\n\r\n", None, false),
        (None, "id: 1\r\rdata: a\r\r", Some(1), false),
        (None, "id: 1\n\ndata: a\n\nid: 2\n\n", Some(2), true),
        (None, "id: 1\n\n: comment\n\n\n", Some(1), true),
        (None, "id: 1\n\nretry: 5\n\n", Some(1), false),
        (None, "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", Some(1), false),
        (None, "id: 2\n\nid: 1\n\n", Some(2), false),
        (None, "id: 2\n\nid: 1\n\nid: 2\n\n", Some(2), false),
        (Some(7), "id: 8\n\nid: 10\n\n", Some(10), true),
    ];
    for (after, events, last, may_go_on) in cases {
        for cut in 1..=events.len() {
            let mut received = ReceivedEvents::new(after);
            let mut splitter = EventSplitter::default();
            for bytes in events.as_bytes().chunks(cut) {
                received.record(&splitter.push(bytes).unwrap(), number).unwrap();
            }
            let state = (received.last(), received.may_go_on());
            assert_eq!(state, (last, may_go_on), "{events:?} {cut}");
        }
    }
}

/// The first event of each upstream has to be later than what the caller has received.
#[test]
fn stream_goes_on_with_events_that_its_caller_has() {
    for (after, events, is_repeated) in [
        (Some(2), "id: 2\n\n", true),
        (Some(2), "id: 1\n\nid: 3\n\n", true),
        (Some(2), "data: a\n\nid: 1\n\n", true),
        (Some(2), "id: 3\n\nid: 3\n\n", false),
        (Some(2), "", false),
        (Some(0), "id: 0\n\n", true),
        (None, "id: 0\n\n", false),
    ] {
        let mut received = ReceivedEvents::new(after);
        assert_eq!(received.record(events.as_bytes(), number).is_err(), is_repeated, "{events:?}");
        let mut received = ReceivedEvents::new(None);
        if let Some(last) = after {
            received.record(format!("id: {last}\n\n").as_bytes(), number).unwrap();
        }
        received.record_upstream();
        assert_eq!(received.record(events.as_bytes(), number).is_err(), is_repeated, "{events:?}");
    }
}
