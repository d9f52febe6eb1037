//! Identities: of a node's run, of a caller's request, of an attempt at a stage.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
    thiserror::Error,
    uuid::Uuid,
};

/// Prefix of the text form of a ticket.
const TICKET_PREFIX: &str = "tk";
/// Longest accepted text form of a key, in bytes.
const KEY_MAX_BYTES: usize = 96;

/// One run of one node process. A restarted node is a new incarnation, even on the same address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub Uuid);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.simple())
    }
}

/// The caller's name for a request, by which a repeat is recognised.
///
/// The two kinds never compare equal, so a key that was claimed on the log can't also be run as
/// a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestKey {
    /// A UUIDv7 minted by the caller. Any node may claim it on the log.
    Minted(Uuid),
    /// A ticket minted by a node. Only that incarnation may ever run it.
    Ticket(Ticket),
}

/// A key that names the only incarnation allowed to run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The incarnation that minted the ticket.
    pub incarnation: Incarnation,
    /// Peer address of that incarnation, so that any node can forward to it.
    pub address: std::net::SocketAddr,
    /// Serial number within the incarnation. Invariant: never handed out twice.
    pub serial: u64,
}

/// Why a text is not a request key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text is longer than any key.
    #[error("a key has at most {KEY_MAX_BYTES} bytes")]
    TooLong,
    /// The text is neither a UUID nor a ticket.
    #[error("a key is a UUIDv7 or a ticket from POST /v1/tickets")]
    Malformed,
    /// The text is a UUID, but carries no minting time.
    #[error("a key must be a UUID of version 7, which carries its minting time")]
    NotVersion7,
}

impl RequestKey {
    /// Returns the minting time in milliseconds since the Unix epoch; `None` for a ticket.
    pub fn minted_ms(&self) -> Option<u64> {
        match self {
            Self::Minted(uuid) => uuid_minted_ms(uuid),
            Self::Ticket(_) => None,
        }
    }
}

/// Returns the minting time of a UUIDv7, in milliseconds since the Unix epoch.
pub fn uuid_minted_ms(uuid: &Uuid) -> Option<u64> {
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

impl FromStr for RequestKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if text.len() > KEY_MAX_BYTES {
            return Err(KeyError::TooLong);
        }
        if let Some(rest) = text.strip_prefix(TICKET_PREFIX) {
            return parse_ticket(rest).ok_or(KeyError::Malformed);
        }
        let uuid = Uuid::try_parse(text).map_err(|_| KeyError::Malformed)?;
        if uuid.get_version_num() != 7 {
            return Err(KeyError::NotVersion7);
        }
        Ok(Self::Minted(uuid))
    }
}

fn parse_ticket(rest: &str) -> Option<RequestKey> {
    let mut fields = rest.strip_prefix('_')?.splitn(3, '_');
    let incarnation = Incarnation(Uuid::try_parse(fields.next()?).ok()?);
    let serial = fields.next()?.parse().ok()?;
    let address = fields.next()?.parse().ok()?;
    Some(RequestKey::Ticket(Ticket { incarnation, address, serial }))
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Minted(uuid) => write!(f, "{uuid}"),
            Self::Ticket(ticket) => write!(
                f,
                "{TICKET_PREFIX}_{}_{}_{}",
                ticket.incarnation, ticket.serial, ticket.address
            ),
        }
    }
}

/// A request key within its workspace: keys of different workspaces are unrelated.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ScopedKey {
    /// Name of the workspace.
    pub workspace: std::sync::Arc<str>,
    /// The caller's key.
    pub key: RequestKey,
}

slotmap::new_key_type! {
    /// Key of a request in a node's ledger.
    pub struct RequestId;
    /// Key of an upstream in a node's table of upstreams.
    pub struct UpstreamId;
}

/// One attempt at one stage of one request: what an upstream's answer is matched on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptRef {
    /// The ledger entry.
    pub request: RequestId,
    /// Index of the stage in the pipeline.
    pub stage: u16,
    /// Number of the attempt. Invariant: unique within the incarnation.
    pub attempt: u64,
}

/// A caller waiting for the outcome of a request; numbered by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);
