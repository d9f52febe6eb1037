//! Packing of records.

use {
    fernring_protocol::{
        FRAME_MAX_BYTES,
        gateway::{DirectoryList, DirectoryRecord},
        compression::{DecompressError, compress, decompress},
    },
    proptest::prelude::*,
    prost::Message,
};

proptest! {
    #[test]
    fn what_is_packed_is_unpacked(bytes in proptest::collection::vec(any::<u8>(), 0..5_000)) {
        prop_assert_eq!(decompress(&compress(&bytes)).unwrap(), bytes);
    }

    #[test]
    fn what_was_not_packed_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        drop(decompress(&bytes));
    }
}

#[test]
fn what_is_cut_is_refused() {
    let packed = compress("a route, and another route, ".repeat(100).as_bytes());
    for end in 0..packed.len() {
        assert!(matches!(decompress(&packed[..end]), Err(DecompressError::Malformed(_))), "{end}");
    }
}

#[test]
fn a_few_bytes_do_not_fill_the_memory() {
    let packed = compress(&vec![0; FRAME_MAX_BYTES + 1]);
    assert!(packed.len() < FRAME_MAX_BYTES / 100);
    assert!(matches!(decompress(&packed), Err(DecompressError::TooLarge)));
    assert_eq!(decompress(&compress(&vec![0; FRAME_MAX_BYTES])).unwrap().len(), FRAME_MAX_BYTES);
}

/// Records of ten thousand upstreams were passed on as they are, a megabyte to each of hundreds of nodes that start.
#[test]
fn records_of_upstreams_pack_well() {
    let record = |number: u32| DirectoryRecord {
        instance: format!("i-{:010x}", u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24),
        offset: u64::from(number),
        service: ["model", "first", "second", "third"][number as usize % 4].to_owned(),
        address: format!("10.{}.{}.{}:8424", 64 + number % 5, number / 250 % 250, number % 250),
        failure_domain: format!("hall-{}", number % 5),
        slots: 1,
        sequence: 1,
        started_ms: Some(1_700_000_000_000 + u64::from(number)),
        version: "v1".to_owned(),
        ..DirectoryRecord::default()
    };
    let list = DirectoryList { records: (0..10_000).map(record).collect() };
    let bytes = list.encode_to_vec();
    let packed = compress(&bytes);
    assert!(packed.len() * 2 < bytes.len(), "{} of {}", packed.len(), bytes.len());
    assert_eq!(DirectoryList::decode(decompress(&packed).unwrap()).unwrap(), list);
}
