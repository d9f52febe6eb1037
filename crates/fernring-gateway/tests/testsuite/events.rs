//! Whole events of a stream.

use {
    fernring_gateway::events::{EventSplitter, last_event_number},
    proptest::prelude::*,
};

fn number(line: &[u8]) -> Option<u64> {
    std::str::from_utf8(line.strip_prefix(b"id: ")?).ok()?.parse().ok()
}

#[test]
fn half_an_event_is_held_back_and_can_be_dropped() {
    let mut splitter = EventSplitter::default();
    let whole = splitter.push(b"id: 1\ndata: x\n\nid: 2\nda").unwrap();
    assert_eq!(&whole[..], b"id: 1\ndata: x\n\n");
    assert_eq!(last_event_number(&whole, number), Some(1));
    splitter.discard();
    assert_eq!(&splitter.push(b"id: 2\n\n").unwrap()[..], b"id: 2\n\n");
}

proptest! {
    /// However the bytes are cut, all of them come out once and in order.
    #[test]
    fn nothing_is_lost_or_doubled(
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
            let whole = splitter.push(head).unwrap();
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            out.extend_from_slice(&whole);
            rest = tail;
        }
        out.extend_from_slice(&splitter.finish());
        prop_assert_eq!(out, text.into_bytes());
    }
}
