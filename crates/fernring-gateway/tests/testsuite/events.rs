//! Tests of splitting a stream into complete events.

use {
    fernring_gateway::events::{EventSplitter, last_event_number},
    proptest::prelude::*,
};

fn number(line: &[u8]) -> Option<u64> {
    std::str::from_utf8(line.strip_prefix(b"id: ")?).ok()?.parse().ok()
}

#[test]
fn incomplete_event_is_buffered_until_discarded() {
    let mut splitter = EventSplitter::default();
    let complete = splitter.push(b"id: 1\ndata: x\n\nid: 2\nda").unwrap();
    assert_eq!(&complete[..], b"id: 1\ndata: x\n\n");
    assert_eq!(last_event_number(&complete, number), Some(1));
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
