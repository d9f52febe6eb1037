//! Requests to other nodes, as framed `prost` messages over TCP.

use {
    async_trait::async_trait,
    fernring_core::ids::{Incarnation, RequestKey, ScopedKey},
    fernring_platform::PROGRESS_MIN_BYTES,
    fernring_policy::{
        event::Submission,
        membership::{Heartbeat, ReportDigest},
        workspace_limits::WorkspaceDemand,
    },
    fernring_protocol::{
        Frame, codec, decode, encode,
        messages::{DemandMessage, ForwardMessage, HeartbeatMessage, KeyRequest, frame::Body},
    },
    futures_util::{SinkExt, StreamExt},
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpSocket, TcpStream},
        sync::Mutex,
        time::{error::Elapsed, timeout},
    },
    tokio_util::codec::{Framed, LengthDelimitedCodec},
    uuid::Uuid,
};

/// A connection to or from another node.
pub type PeerConnection = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a request to another node failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection could not be opened, or broke.
    #[error("connection: {0}")]
    Connection(#[from] std::io::Error),
    /// No response arrived within the timeout.
    #[error("no response in time")]
    Timeout(#[from] Elapsed),
    /// The connection ended before a response, or the message on it can't be decoded or encoded.
    #[error("malformed response")]
    Malformed,
}

/// A client for requests to other nodes.
#[async_trait]
pub trait Peer: Send + Sync {
    /// Sends a request to another node and waits for its response.
    ///
    /// # Errors
    /// If no valid response arrives within `response_timeout`. The other node may have handled the request
    /// nevertheless.
    async fn request(
        &self,
        address: SocketAddr,
        request: Body,
        response_timeout: Duration,
    ) -> Result<Body, PeerError>;

    /// Sends a request whose response may be large, and waits for as long as [`PROGRESS_MIN_BYTES`] or the end of the
    /// response arrive within `progress_timeout`.
    ///
    /// # Errors
    /// If the connection can't be opened, or the response makes no progress.
    async fn request_large(
        &self,
        address: SocketAddr,
        request: Body,
        progress_timeout: Duration,
    ) -> Result<Body, PeerError>;
}

/// Sends requests to other nodes over TCP. Keeps one idle connection for each node.
#[derive(Debug)]
pub struct TcpPeer {
    source: IpAddr,
    idle: Mutex<HashMap<SocketAddr, PeerConnection>>,
}

impl TcpPeer {
    /// Creates the client; its connections use the local IP address `source`.
    pub fn new(source: IpAddr) -> Self {
        Self { source, idle: Mutex::default() }
    }
}

#[async_trait]
impl Peer for TcpPeer {
    async fn request(
        &self,
        address: SocketAddr,
        request: Body,
        response_timeout: Duration,
    ) -> Result<Body, PeerError> {
        let idle = self.idle.lock().await.remove(&address);
        let call = async {
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(self.source, address).await?,
            };
            let response = exchange(&mut connection, request).await?;
            Ok::<_, PeerError>((connection, response))
        };
        let (connection, response) = timeout(response_timeout, call).await??;
        self.idle.lock().await.insert(address, connection);
        Ok(response)
    }

    async fn request_large(
        &self,
        address: SocketAddr,
        request: Body,
        progress_timeout: Duration,
    ) -> Result<Body, PeerError> {
        let send = async {
            let mut connection = connect(self.source, address).await?;
            connection.send(encode(&Frame { body: Some(request) })).await?;
            Ok::<_, PeerError>(connection)
        };
        let mut connection = timeout(progress_timeout, send).await??;
        let mut buffered = 0;
        loop {
            let late = match timeout(progress_timeout, read_response(&mut connection)).await {
                Ok(response) => return response,
                Err(late) => late,
            };
            let progress = connection.read_buffer().len().saturating_sub(buffered);
            if progress < PROGRESS_MIN_BYTES {
                return Err(late.into());
            }
            buffered += progress;
        }
    }
}

async fn connect(source: IpAddr, address: SocketAddr) -> Result<PeerConnection, PeerError> {
    let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(source, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(Framed::new(stream, codec()))
}

async fn exchange(connection: &mut PeerConnection, request: Body) -> Result<Body, PeerError> {
    connection.send(encode(&Frame { body: Some(request) })).await?;
    read_response(connection).await
}

/// Reads the next message. Cancel-safe: if the future is dropped early, the bytes received so far stay in the
/// connection's buffer.
async fn read_response(connection: &mut PeerConnection) -> Result<Body, PeerError> {
    let bytes = connection.next().await.ok_or(PeerError::Malformed)??;
    decode(&bytes).ok().and_then(|frame| frame.body).ok_or(PeerError::Malformed)
}

/// Converts a heartbeat to its message.
pub fn heartbeat_message(heartbeat: &Heartbeat) -> HeartbeatMessage {
    let demand = heartbeat.demand.iter().map(|demand| DemandMessage {
        workspace: demand.workspace.to_string(),
        milli_per_s: (demand.per_s * 1_000.0).round() as u64,
    });
    HeartbeatMessage {
        incarnation: incarnation_to_bytes(heartbeat.incarnation),
        address: heartbeat.address.to_string(),
        failure_domain: heartbeat.failure_domain.to_string(),
        config_version: heartbeat.config_version,
        in_flight: heartbeat.in_flight,
        draining: heartbeat.draining,
        demand: demand.collect(),
        report_upstreams: heartbeat.reports.iter().map(|report| report.upstream).collect(),
        report_loads: heartbeat.reports.iter().map(pack_load).collect(),
    }
}

/// Packs a load and whether the upstream is leaving into one number: the load times 2, plus 1 if it is leaving.
fn pack_load(report: &ReportDigest) -> u32 {
    report.load.min(u32::MAX / 2) * 2 + u32::from(report.leaving)
}

/// Converts a received heartbeat; `None` if it is malformed.
pub fn heartbeat_from_message(message: HeartbeatMessage) -> Option<Heartbeat> {
    let demand = message.demand.into_iter().map(|demand| WorkspaceDemand {
        workspace: demand.workspace.into(),
        per_s: demand.milli_per_s as f64 / 1_000.0,
    });
    let reports = message.report_upstreams.into_iter().zip(message.report_loads);
    let reports = reports.map(|(upstream, number)| ReportDigest {
        upstream,
        load: number / 2,
        leaving: number % 2 == 1,
    });
    Some(Heartbeat {
        incarnation: incarnation_from_bytes(&message.incarnation)?,
        address: message.address.parse().ok()?,
        failure_domain: message.failure_domain.into(),
        config_version: message.config_version,
        in_flight: message.in_flight,
        draining: message.draining,
        demand: demand.collect(),
        reports: reports.collect(),
    })
}

/// Converts a submission to the message that forwards it to the owner of its key; `None` if it has no key.
pub fn forward_message(owner: Incarnation, submission: &Submission) -> Option<ForwardMessage> {
    Some(ForwardMessage {
        incarnation: incarnation_to_bytes(owner),
        pipeline: submission.pipeline.clone(),
        workspace: submission.workspace.to_string(),
        key: submission.key?.to_string(),
        non_idempotent: submission.non_idempotent,
        window_ms: submission.window_ms.unwrap_or(0),
        input: submission.input.to_string(),
        prefix: submission.prefix.clone().unwrap_or_default(),
    })
}

/// Converts the key that a request names; `None` if it is malformed.
pub fn key_from_request(request: &KeyRequest) -> Option<ScopedKey> {
    let key: RequestKey = request.key.parse().ok()?;
    Some(ScopedKey { workspace: Arc::from(request.workspace.as_str()), key })
}

/// Converts an incarnation to its bytes in a message.
pub fn incarnation_to_bytes(incarnation: Incarnation) -> Vec<u8> {
    incarnation.0.as_bytes().to_vec()
}

/// Converts a received incarnation; `None` if it is malformed.
pub fn incarnation_from_bytes(bytes: &[u8]) -> Option<Incarnation> {
    Uuid::from_slice(bytes).ok().map(Incarnation)
}
