//! Compression of records.

use {
    fernring_protocol::{
        FRAME_MAX_BYTES,
        compression::{DecompressError, compress, decompress},
        gateway::{DirectoryList, DirectoryRecord},
    },
    proptest::prelude::*,
    prost::Message,
};

proptest! {
    #[test]
    fn compression_round_trips(bytes in proptest::collection::vec(any::<u8>(), 0..5_000)) {
        prop_assert_eq!(decompress(&compress(&bytes)).unwrap(), bytes);
    }

    #[test]
    fn decompressing_any_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        drop(decompress(&bytes));
    }
}

#[test]
fn truncated_bytes_are_rejected() {
    let compressed = compress("a route, and another route, ".repeat(100).as_bytes());
    for end in 0..compressed.len() {
        assert!(
            matches!(decompress(&compressed[..end]), Err(DecompressError::Malformed(_))),
            "{end}"
        );
    }
}

#[test]
fn decompressed_size_is_limited() {
    let compressed = compress(&vec![0; FRAME_MAX_BYTES + 1]);
    assert!(compressed.len() < FRAME_MAX_BYTES / 100);
    assert!(matches!(decompress(&compressed), Err(DecompressError::TooLarge)));
    assert_eq!(decompress(&compress(&vec![0; FRAME_MAX_BYTES])).unwrap().len(), FRAME_MAX_BYTES);
}

/// Nodes send the records of ten thousand upstreams to hundreds of starting nodes; uncompressed,
/// they take a megabyte for each.
#[test]
fn upstream_records_compress_to_half() {
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
    let compressed = compress(&bytes);
    assert!(compressed.len() * 2 < bytes.len(), "{} of {}", compressed.len(), bytes.len());
    assert_eq!(DirectoryList::decode(decompress(&compressed).unwrap()).unwrap(), list);
}
