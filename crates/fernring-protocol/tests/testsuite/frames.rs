//! Frames between nodes.

use {
    bytes::BytesMut,
    fernring_protocol::{
        FRAME_MAX_BYTES, Frame, codec, decode, encode,
        messages::{ForwardMessage, SubmissionAnswer, frame::Body},
    },
    proptest::prelude::*,
    tokio_util::codec::{Decoder, Encoder},
};

proptest! {
    #[test]
    fn any_bytes_are_a_frame_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(frame) = decode(&bytes) {
            // What was read is written in one way; reading that gives the same again.
            prop_assert_eq!(decode(&encode(&frame)).unwrap(), frame);
        }
    }

    #[test]
    fn a_frame_survives_the_wire_in_any_pieces(
        key in ".{0,40}",
        input in ".{0,200}",
        window_ms in any::<u64>(),
        cut in 0..100_usize,
    ) {
        let forward = ForwardMessage {
            incarnation: vec![1; 16],
            pipeline: "letter".to_owned(),
            workspace: "members".to_owned(),
            key,
            non_idempotent: true,
            window_ms,
            input,
            prefix: String::new(),
        };
        let frame = Frame { body: Some(Body::Forward(forward)) };
        let mut wire = BytesMut::new();
        codec().encode(encode(&frame), &mut wire).unwrap();
        let rest = wire.split_off(cut.min(wire.len()));
        let mut reader = codec();
        let mut arrived = wire;
        let early = reader.decode(&mut arrived).unwrap();
        let bytes = match early {
            Some(bytes) => bytes,
            None => {
                arrived.extend_from_slice(&rest);
                reader.decode(&mut arrived).unwrap().expect("the whole frame is there")
            }
        };
        prop_assert_eq!(decode(&bytes).unwrap(), frame);
    }
}

#[test]
fn a_frame_over_the_limit_is_refused() {
    let output = Some("x".repeat(FRAME_MAX_BYTES));
    let answer = SubmissionAnswer { code: 1000, output, retry_after_ms: None };
    let frame = Frame { body: Some(Body::Answer(answer)) };
    assert!(codec().encode(encode(&frame), &mut BytesMut::new()).is_err());
}
