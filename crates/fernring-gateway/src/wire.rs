//! Interfaces that a platform's adapter implements: formats ([`Wire`]) and store access
//! ([`Store`]). Adapters make no decisions.

use {
    crate::{
        directory::Entry,
        model::{
            BadField, Call, Piece, PieceOutcome, RequestFields, ResponseFields, RolloutState,
            ServingConfig, UpstreamFields,
        },
        position::Position,
        rollout::orders::RolloutOrder,
    },
    async_trait::async_trait,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, StatusCode},
    serde::de::DeserializeOwned,
    std::{sync::Arc, time::Duration},
    thiserror::Error,
};

/// A record or message can't be decoded.
#[derive(Debug, Clone, Error)]
#[error("malformed record: {0}")]
pub struct Malformed(pub String);

/// An operator's order to evacuate a failure domain, or its withdrawal.
#[derive(Debug, Clone)]
pub struct EvacuationRecord {
    /// The failure domain.
    pub failure_domain: Arc<str>,
    /// Whether the domain is evacuated; `false` withdraws the order. An error if the record is
    /// malformed.
    pub is_in_force: Result<bool, Malformed>,
}

/// An operator's order to roll out a version, or its withdrawal.
#[derive(Debug, Clone)]
pub struct RolloutRecord {
    /// The service.
    pub service: Arc<str>,
    /// The order; `None` if it was withdrawn, an error if the record is malformed.
    pub order: Result<Option<RolloutOrder>, Malformed>,
}

/// Status of a roll-out, as stored for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// State of the roll-out.
    pub state: RolloutState,
    /// The destination version.
    pub destination: Arc<str>,
    /// Position of the order in the store.
    pub order_at: Position,
    /// Deadline of the roll-out, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Number of requests to the service since the order.
    pub requests: u64,
    /// Number of sends to the destination version since the order.
    pub exposed: u64,
}

/// The formats of a platform.
pub trait Wire {
    /// Returns the path at which a balancer checks whether the node accepts new connections.
    fn readiness_path(&self) -> &'static str;

    /// Decodes the gateway's fields in a caller's request.
    ///
    /// # Errors
    /// Returns an error if one of the fields is malformed.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestFields, BadField>;

    /// Removes headers that upstreams must not see, and adds the fields for the upstream.
    fn encode_upstream(&self, headers: &mut HeaderMap, fields: &UpstreamFields);

    /// Decodes the gateway's fields in a response.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseFields;

    /// Returns whether the platform's formats define a header of responses, or HTTP does.
    fn is_known_response_header(&self, name: &HeaderName) -> bool;

    /// Adds the time after which the caller may retry to a refusal.
    fn encode_retry_after(&self, headers: &mut HeaderMap, after: Duration);

    /// Returns the number of a stream's event if this line of the event contains it.
    fn event_number(&self, line: &[u8]) -> Option<u64>;

    /// Encodes the batch call that runs pieces.
    fn encode_batch(&self, pieces: &[Piece]) -> Call;

    /// Decodes the response to a batch call: an outcome for each piece, in order.
    ///
    /// # Errors
    /// Returns an error if the response is malformed.
    fn decode_batch(&self, body: &[u8]) -> Result<Vec<PieceOutcome>, Malformed>;

    /// Encodes the call that releases results.
    fn encode_release(&self, handles: &[Arc<str>]) -> Call;

    /// Adds the name of the instance that a call is addressed to.
    fn encode_instance(&self, headers: &mut HeaderMap, instance: &str);

    /// Decodes a configuration.
    ///
    /// # Errors
    /// Returns an error if the record is malformed.
    fn decode_config(&self, value: &[u8]) -> Result<ServingConfig, Malformed>;

    /// Decodes an operator's evacuation order; `None` if the record is of another kind.
    fn decode_evacuation(&self, record: &KeyedRecord) -> Option<EvacuationRecord>;

    /// Decodes an operator's roll-out order; `None` if the record is of another kind.
    fn decode_rollout(&self, record: &KeyedRecord) -> Option<RolloutRecord>;

    /// Encodes the status of a service's roll-out as a record's key and value.
    fn encode_rollout_status(&self, service: &str, status: &RolloutStatus) -> (String, Vec<u8>);

    /// Decodes the status of a service's roll-out; `None` if the record is of another kind.
    fn decode_rollout_status(&self, record: &KeyedRecord) -> Option<(Arc<str>, RolloutStatus)>;

    /// Decodes an upstream's record; a record without a value is a removal.
    ///
    /// # Errors
    /// Returns an error if the record is malformed.
    fn decode_upstream(&self, record: &KeyedRecord) -> Result<Entry, Malformed>;
}

/// A topic of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// Records of operators: the configuration, evacuation orders, and roll-out orders.
    Config,
    /// Records that upstreams write about themselves.
    Upstreams,
    /// Records that nodes write about themselves; written by the gateway.
    Nodes,
    /// Status of roll-outs; written by the gateway.
    Rollouts,
    /// The versions that services have had lately; written by the gateway.
    Versions,
    /// The versions that began streams; written by the gateway. A log that keeps all records for
    /// some time, not the newest of each key.
    StreamOrigins,
}

impl Topic {
    /// Number of topics.
    pub const COUNT: usize = 6;

    /// Returns the name used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Upstreams => "upstreams",
            Self::Nodes => "nodes",
            Self::Rollouts => "rollouts",
            Self::Versions => "versions",
            Self::StreamOrigins => "stream_origins",
        }
    }
}

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: Arc<str>,
    /// Value of the record; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Offset of the record in the topic.
    pub offset: u64,
}

impl KeyedRecord {
    /// Decodes the value, which is TOML; `None` if the key was removed.
    ///
    /// # Errors
    /// Says why the value can't be decoded.
    pub(crate) fn decode_toml<T: DeserializeOwned>(&self) -> Option<Result<T, String>> {
        let text = std::str::from_utf8(self.value.as_deref()?).map_err(|error| error.to_string());
        Some(text.and_then(|text| toml::from_str(text).map_err(|error| error.to_string())))
    }
}

/// Consecutive records of a topic, and the offset at which reading continues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The records, in order.
    pub records: Vec<KeyedRecord>,
    /// Era of the store that the offsets belong to.
    pub era: u64,
    /// Offset that the next record will get.
    pub end: u64,
    /// Time from the first to the last byte of the response, which is the age of its contents.
    pub took: Duration,
    /// Number of records left out because their keys can't be decoded.
    pub unreadable: usize,
    /// Whether the topic may hold more records than the page: then it doesn't show that a node's
    /// state is the newest.
    pub has_more: bool,
}

/// Part of the newest records of all keys of a topic, in key order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewestPage {
    /// The records. The pages of a full read form no snapshot: records written after the end of a
    /// page may be missing from it.
    pub page: Page,
    /// Key after which the next page starts; `None` for the last page.
    pub next: Option<Arc<str>>,
}

impl Page {
    /// Returns the position that the next record will get.
    pub fn end_position(&self) -> Position {
        Position::new(self.era, self.end)
    }

    /// Returns the position of one of the page's records.
    pub fn position(&self, record: &KeyedRecord) -> Position {
        Position::new(self.era, record.offset)
    }
}

/// Reason why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No response, or an incomplete one. The call may have taken effect.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The store refused the call; it had no effect.
    #[error("refused with status {0}")]
    Refused(u16),
    /// Another record was written in the meantime; the call had no effect.
    #[error("another record was written in the meantime")]
    Conflict,
    /// The requested records are no longer kept.
    #[error("the records are no longer kept")]
    Expired,
    /// The response is of an earlier era than a previous one.
    #[error("the response is of era {0}, which has ended")]
    EarlierEra(u64),
    /// The response is malformed.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// Access to the platform's store.
#[async_trait(?Send)]
pub trait Store {
    /// Reads the newest records of a topic's keys: the first page, or the one after a key.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the call fails.
    async fn read_newest(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError>;

    /// Reads the records from an offset on, and waits up to `wait` for a record if there is none.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the call fails.
    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, StoreError>;

    /// Reads the records from an offset on that the store still keeps, without a wait.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the call fails.
    async fn read_kept(&self, topic: Topic, from: u64) -> Result<Page, StoreError>;

    /// Writes a record, or removes the key if there is no value.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the call fails.
    async fn write(&self, topic: Topic, key: &str, value: Option<&[u8]>) -> Result<(), StoreError>;

    /// Writes a record if the topic ends at an offset.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if the topic ends elsewhere, or another error if the call
    /// fails.
    async fn write_if(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        end: u64,
    ) -> Result<(), StoreError>;

    /// Removes a key if the topic ends at an offset.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if the topic ends elsewhere, or another error if the call
    /// fails.
    async fn remove_if(&self, topic: Topic, key: &str, end: u64) -> Result<(), StoreError>;

    /// Returns the latest known era of the store: the number of times that it was restored from a
    /// backup.
    fn era(&self) -> u64;

    /// Records an era that another node knows of. Responses of earlier eras are rejected from then
    /// on.
    fn record_era(&self, era: u64);

    /// Returns whether the response to a read of a topic has begun to arrive and is still
    /// incomplete.
    fn is_receiving(&self, topic: Topic) -> bool;
}
