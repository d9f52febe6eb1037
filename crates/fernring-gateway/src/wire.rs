//! What an adapter of a platform implements: formats ([`Wire`]) and calls ([`Store`]). It decides
//! nothing.

use {
    crate::{
        directory::Entry,
        model::{
            ResponseFields, BadField, Call, Piece, PieceOutcome, RequestFields, RolloutState,
            ServingConfig, UpstreamFields,
        },
        position::Position,
        rollout::orders::Order,
    },
    async_trait::async_trait,
    bytes::Bytes,
    http::{HeaderMap, StatusCode},
    std::{sync::Arc, time::Duration},
    thiserror::Error,
};

/// A record that can't be read.
#[derive(Debug, Clone, Error)]
#[error("malformed record: {0}")]
pub struct Malformed(pub String);

/// An operator's word on a failure domain.
#[derive(Debug, Clone)]
pub struct EvacuationRecord {
    /// The domain.
    pub failure_domain: Arc<str>,
    /// Whether it is evacuated; if not, that is taken back. An error if the word can't be read.
    pub is_in_force: Result<bool, Malformed>,
}

/// An operator's order to roll out a version.
#[derive(Debug, Clone)]
pub struct RolloutRecord {
    /// The service.
    pub service: Arc<str>,
    /// The order; `None` if it was taken back, an error if it can't be read.
    pub order: Result<Option<Order>, Malformed>,
}

/// How far a roll-out is, as it lies in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// How far it is.
    pub state: RolloutState,
    /// The ordered version.
    pub destination: Arc<str>,
    /// Where the order lies.
    pub order_at: Position,
    /// When it is to be done, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Requests to the service since.
    pub requests: u64,
    /// Sends to the ordered version since.
    pub exposed: u64,
}

/// The formats of a platform.
pub trait Wire {
    /// Path that a balancer asks for whether the node takes new connections.
    fn readiness_path(&self) -> &'static str;

    /// Reads a request's own fields.
    ///
    /// # Errors
    /// If one of them can't be read.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestFields, BadField>;

    /// Takes out of a request's headers what no upstream is to see, and puts in what it is told.
    fn encode_upstream(&self, headers: &mut HeaderMap, fields: &UpstreamFields);

    /// Reads an answer's own fields.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseFields;

    /// Puts into a refusal when to come back.
    fn encode_retry_after(&self, headers: &mut HeaderMap, after: Duration);

    /// Returns the number of an event of a stream, from one of its lines.
    fn event_number(&self, line: &[u8]) -> Option<u64>;

    /// Encodes a call that works on pieces.
    fn encode_batch(&self, pieces: &[Piece]) -> Call;

    /// Decodes its answer: an outcome for each piece, in order.
    ///
    /// # Errors
    /// If it can't be read.
    fn decode_batch(&self, body: &[u8]) -> Result<Vec<PieceOutcome>, Malformed>;

    /// Encodes a call that gives results up.
    fn encode_release(&self, handles: &[Arc<str>]) -> Call;

    /// Puts the name of the instance that is meant into the headers of a call.
    fn encode_instance(&self, headers: &mut HeaderMap, instance: &str);

    /// Decodes a configuration.
    ///
    /// # Errors
    /// If it can't be read.
    fn decode_config(&self, value: &[u8]) -> Result<ServingConfig, Malformed>;

    /// Decodes an operator's word on a failure domain; `None` if the record is another one.
    fn decode_evacuation(&self, record: &KeyedRecord) -> Option<EvacuationRecord>;

    /// Decodes an operator's order to roll out a version; `None` if the record is another one.
    fn decode_rollout(&self, record: &KeyedRecord) -> Option<RolloutRecord>;

    /// Encodes how far the roll-out of a service is: a record's key and value.
    fn encode_rollout_status(&self, service: &str, status: &RolloutStatus) -> (String, Vec<u8>);

    /// Decodes how far the roll-out of a service is; `None` if the record says nothing of that.
    fn decode_rollout_status(&self, record: &KeyedRecord) -> Option<(Arc<str>, RolloutStatus)>;

    /// Decodes an upstream's record; without a value it was removed.
    ///
    /// # Errors
    /// If it can't be read.
    fn decode_upstream(&self, record: &KeyedRecord) -> Result<Entry, Malformed>;
}

/// What the store keeps for the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The operators' records: the configuration, the failure domains that are evacuated, and the versions to roll out.
    Config,
    /// The upstreams' records of themselves.
    Upstreams,
    /// The nodes' records of themselves; written by the gateway.
    Nodes,
    /// How far roll-outs are; written by the gateway.
    Rollouts,
}

impl Topic {
    /// Returns the name used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Upstreams => "upstreams",
            Self::Nodes => "nodes",
            Self::Rollouts => "rollouts",
        }
    }
}

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its key.
    pub key: Arc<str>,
    /// Its value; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Its number in the topic.
    pub offset: u64,
}

/// Records of a topic, and where to read on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The records, in order.
    pub records: Vec<KeyedRecord>,
    /// The era of the store that its numbers belong to.
    pub era: u64,
    /// The number that the next record gets.
    pub end: u64,
    /// Time that the answer took to come, from its beginning: what it says is that old.
    pub took: Duration,
    /// Records that were left out because even their keys can't be read.
    pub unreadable: usize,
}

/// Some of the newest records of a topic's keys, in the order of the keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewestPage {
    /// The records. Pages are no snapshot: what was written after a page's end may be missing from it.
    pub page: Page,
    /// The key after which the next page begins; `None` if there is no more.
    pub next: Option<Arc<str>>,
}

impl Page {
    /// Returns the position that the next record gets.
    pub fn end_position(&self) -> Position {
        Position::new(self.era, self.end)
    }

    /// Returns the position of one of its records.
    pub fn position(&self, record: &KeyedRecord) -> Position {
        Position::new(self.era, record.offset)
    }
}

/// Why the store did not answer as asked.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No answer, or a broken one. What was asked may have taken effect.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// It refused; nothing took effect.
    #[error("refused with status {0}")]
    Refused(u16),
    /// Something else was written since; nothing took effect.
    #[error("something else was written since")]
    Conflict,
    /// The records that were asked for are not kept any more.
    #[error("the records are not kept any more")]
    Expired,
    /// The answer is of an earlier era than one that came before it.
    #[error("the answer is of era {0}, which is over")]
    EarlierEra(u64),
    /// The answer can't be read.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// The platform's store.
#[async_trait(?Send)]
pub trait Store {
    /// Reads newest records of keys: the first page, or the one after a key.
    ///
    /// # Errors
    /// If the store does not answer as asked.
    async fn read_newest(&self, topic: Topic, after: Option<&str>) -> Result<NewestPage, StoreError>;

    /// Reads the records from a number on, and waits up to `wait` for one if there is none.
    ///
    /// # Errors
    /// If the store does not answer as asked.
    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, StoreError>;

    /// Writes a record, or removes a key.
    ///
    /// # Errors
    /// If the store does not answer as asked.
    async fn write(&self, topic: Topic, key: &str, value: Option<&[u8]>) -> Result<(), StoreError>;

    /// Writes a record if the topic ends at a number.
    ///
    /// # Errors
    /// If it doesn't ([`StoreError::Conflict`]), or the store does not answer as asked.
    async fn write_if(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        end: u64,
    ) -> Result<(), StoreError>;

    /// Returns the latest era of the store that is known: how often it has come back from a copy.
    fn era(&self) -> u64;

    /// Takes in an era that another node knows of; answers of an earlier one are dropped from now on.
    fn record_era(&self, era: u64);

    /// Tells whether an answer on a topic has begun to come and hasn't ended.
    fn is_receiving(&self, topic: Topic) -> bool;
}
