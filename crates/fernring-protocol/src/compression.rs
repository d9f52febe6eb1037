//! Compression of records that nodes send to each other (raw deflate, RFC 1951), most of which are
//! repetitive text.
//!
//! ```
//! use fernring_protocol::compression::{compress, decompress};
//!
//! let text = "a route, ".repeat(1_000);
//! let compressed = compress(text.as_bytes());
//! assert!(compressed.len() < text.len() / 10);
//! assert_eq!(decompress(&compressed).unwrap(), text);
//! ```

use {
    crate::FRAME_MAX_BYTES,
    bytes::Bytes,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::io::{Read, Write},
    thiserror::Error,
};

/// Largest size of decompressed bytes, so that a small message can't fill a node's memory.
const DECOMPRESSED_MAX_BYTES: u64 = FRAME_MAX_BYTES as u64;

/// Bytes that can't be decompressed.
#[derive(Debug, Error)]
pub enum DecompressError {
    /// The bytes are no compressed data, or are truncated.
    #[error("not compressed, or truncated: {0}")]
    Malformed(#[from] std::io::Error),
    /// The decompressed bytes would exceed the size of the largest frame.
    #[error("over {DECOMPRESSED_MAX_BYTES} bytes")]
    TooLarge,
}

/// Compresses bytes.
pub fn compress(bytes: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder.write_all(bytes).and_then(|()| encoder.finish());
    compressed.expect("writing to a vector cannot fail").into()
}

/// Decompresses bytes.
///
/// # Errors
/// Returns an error if the bytes weren't compressed by [`compress`], or exceed [`FRAME_MAX_BYTES`]
/// when decompressed.
pub fn decompress(compressed: &[u8]) -> Result<Bytes, DecompressError> {
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(DECOMPRESSED_MAX_BYTES + 1);
    decoder.read_to_end(&mut bytes)?;
    match bytes.len() as u64 > DECOMPRESSED_MAX_BYTES {
        true => Err(DecompressError::TooLarge),
        false => Ok(bytes.into()),
    }
}
