//! Packing of records.

use {
    fernring_protocol::{
        FRAME_MAX_BYTES,
        packing::{UnpackError, pack, unpack},
    },
    proptest::prelude::*,
};

proptest! {
    #[test]
    fn what_is_packed_is_unpacked(bytes in proptest::collection::vec(any::<u8>(), 0..5_000)) {
        prop_assert_eq!(unpack(&pack(&bytes)).unwrap(), bytes);
    }

    #[test]
    fn what_was_not_packed_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        drop(unpack(&bytes));
    }
}

#[test]
fn what_is_cut_is_refused() {
    let packed = pack("a route, and another route, ".repeat(100).as_bytes());
    for end in 0..packed.len() {
        assert!(matches!(unpack(&packed[..end]), Err(UnpackError::Malformed(_))), "{end}");
    }
}

#[test]
fn a_few_bytes_do_not_fill_the_memory() {
    let packed = pack(&vec![0; FRAME_MAX_BYTES + 1]);
    assert!(packed.len() < FRAME_MAX_BYTES / 100);
    assert!(matches!(unpack(&packed), Err(UnpackError::TooLarge)));
    assert_eq!(unpack(&pack(&vec![0; FRAME_MAX_BYTES])).unwrap().len(), FRAME_MAX_BYTES);
}
