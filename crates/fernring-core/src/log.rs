//! The wire format of records and pages of the platform's append-only log.

use {
    base64::{Engine, prelude::BASE64_STANDARD},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error},
};

/// A page of a stream: the log service's response to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset that the log retains.
    pub first_offset: u64,
    /// The offset of the next record to be appended.
    pub next_offset: u64,
    /// Time of the response by the log's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The records, contiguous from the larger of the requested offset and `first_offset`.
    pub records: Vec<LogRecord>,
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Content of the record; encoded as Base64 in JSON.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub data: Vec<u8>,
}

fn to_base64<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&BASE64_STANDARD.encode(data))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    BASE64_STANDARD.decode(text).map_err(D::Error::custom)
}
