//! Encoding and framing of messages.

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
    fn arbitrary_bytes_decode_or_fail(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(frame) = decode(&bytes) {
            // Decoded bytes may have another encoding of the same frame; the encoder has only one.
            prop_assert_eq!(decode(&encode(&frame)).unwrap(), frame);
        }
    }

    #[test]
    fn split_frames_are_reassembled(
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
        let mut encoded = BytesMut::new();
        codec().encode(encode(&frame), &mut encoded).unwrap();
        let rest = encoded.split_off(cut.min(encoded.len()));
        let mut reader = codec();
        let mut arrived = encoded;
        let first = reader.decode(&mut arrived).unwrap();
        let bytes = match first {
            Some(bytes) => bytes,
            None => {
                arrived.extend_from_slice(&rest);
                reader.decode(&mut arrived).unwrap().expect("all bytes of the frame have arrived")
            }
        };
        prop_assert_eq!(decode(&bytes).unwrap(), frame);
    }
}

#[test]
fn oversized_frames_are_rejected() {
    let output = Some("x".repeat(FRAME_MAX_BYTES));
    let answer = SubmissionAnswer { code: 1000, output, retry_after_ms: None };
    let frame = Frame { body: Some(Body::Answer(answer)) };
    assert!(codec().encode(encode(&frame), &mut BytesMut::new()).is_err());
}
