//! Messages that fernring nodes exchange: `prost` messages in length-delimited frames.
//!
//! A connection carries one [`Frame`] in each direction at a time: a request, then its reply. Claim
//! records on the log service use the same encoding ([`messages::ClaimBatchMessage`]).
//!
//! ```
//! use fernring_protocol::{Frame, messages::{ConfigRequest, frame::Body}};
//!
//! let frame = Frame { body: Some(Body::ConfigRequest(ConfigRequest { known_version: 7 })) };
//! let bytes = fernring_protocol::encode(&frame);
//! assert_eq!(fernring_protocol::decode(&bytes).unwrap(), frame);
//! ```

pub mod compression;
mod frame_reader;
pub mod gateway;
pub mod messages;

pub use {
    frame_reader::{FRAME_TIME_MAX, next_frame},
    messages::Frame,
};

use {bytes::Bytes, prost::Message, thiserror::Error, tokio_util::codec::LengthDelimitedCodec};

/// Largest frame, in bytes. Leaves room for a complete answer and for the configuration of a large
/// deployment.
pub const FRAME_MAX_BYTES: usize = 16 << 20;

/// The bytes are not an encoded [`Frame`].
#[derive(Debug, Error)]
#[error("malformed frame: {0}")]
pub struct FrameError(#[from] prost::DecodeError);

/// Returns the framing of a peer connection.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec()
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Bytes {
    frame.encode_to_vec().into()
}

/// Decodes a frame.
///
/// # Errors
/// Returns an error if the bytes are not an encoded frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    Ok(Frame::decode(bytes)?)
}
