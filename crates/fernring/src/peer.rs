//! Other nodes, over framed `prost` messages on TCP.

use {
    async_trait::async_trait,
    fernring_core::ids::{Incarnation, RequestKey, ScopedKey},
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

/// Why another node did not answer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection could not be opened, or broke.
    #[error("connection: {0}")]
    Connection(#[from] std::io::Error),
    /// No answer in time.
    #[error("no answer in time")]
    Timeout(#[from] Elapsed),
    /// The answer is not one of ours.
    #[error("malformed answer")]
    Malformed,
}

/// The other nodes.
#[async_trait]
pub trait Peer: Send + Sync {
    /// Asks another node and waits for its answer.
    ///
    /// # Errors
    /// If there is none within `patience`. The other node may have acted nevertheless.
    async fn ask(
        &self,
        address: SocketAddr,
        question: Body,
        patience: Duration,
    ) -> Result<Body, PeerError>;

    /// Asks another node for something large, and waits for as long as its answer keeps coming.
    ///
    /// # Errors
    /// If nothing of it comes within `patience`, at first or at any time after.
    async fn ask_for_large(
        &self,
        address: SocketAddr,
        question: Body,
        patience: Duration,
    ) -> Result<Body, PeerError>;
}

/// Other nodes over TCP. Connections that are idle are kept, one for each node.
#[derive(Debug)]
pub struct TcpPeer {
    source: IpAddr,
    idle: Mutex<HashMap<SocketAddr, PeerConnection>>,
}

impl TcpPeer {
    /// Creates the client; connections leave from `source`.
    pub fn new(source: IpAddr) -> Self {
        Self { source, idle: Mutex::default() }
    }
}

#[async_trait]
impl Peer for TcpPeer {
    async fn ask(
        &self,
        address: SocketAddr,
        question: Body,
        patience: Duration,
    ) -> Result<Body, PeerError> {
        let idle = self.idle.lock().await.remove(&address);
        let work = async {
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(self.source, address).await?,
            };
            let answer = exchange(&mut connection, question).await?;
            Ok::<_, PeerError>((connection, answer))
        };
        let (connection, answer) = timeout(patience, work).await??;
        self.idle.lock().await.insert(address, connection);
        Ok(answer)
    }

    async fn ask_for_large(
        &self,
        address: SocketAddr,
        question: Body,
        patience: Duration,
    ) -> Result<Body, PeerError> {
        let work = async {
            let mut connection = connect(self.source, address).await?;
            connection.send(encode(&Frame { body: Some(question) })).await?;
            Ok::<_, PeerError>(connection)
        };
        let mut connection = timeout(patience, work).await??;
        let mut received = 0;
        loop {
            match timeout(patience, answer(&mut connection)).await {
                Ok(answer) => return answer,
                Err(late) if connection.read_buffer().len() == received => return Err(late.into()),
                Err(_) => received = connection.read_buffer().len(),
            }
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

async fn exchange(connection: &mut PeerConnection, question: Body) -> Result<Body, PeerError> {
    connection.send(encode(&Frame { body: Some(question) })).await?;
    answer(connection).await
}

/// Reads the next message. Dropped before it is there, it has lost nothing.
async fn answer(connection: &mut PeerConnection) -> Result<Body, PeerError> {
    let bytes = connection.next().await.ok_or(PeerError::Malformed)??;
    decode(&bytes).ok().and_then(|frame| frame.body).ok_or(PeerError::Malformed)
}

/// Converts a heartbeat for sending.
pub fn heartbeat_message(heartbeat: &Heartbeat) -> HeartbeatMessage {
    let demand = heartbeat.demand.iter().map(|demand| DemandMessage {
        workspace: demand.workspace.to_string(),
        milli_per_s: (demand.per_s * 1_000.0).round() as u64,
    });
    HeartbeatMessage {
        incarnation: incarnation_bytes(heartbeat.incarnation),
        address: heartbeat.address.to_string(),
        failure_domain: heartbeat.failure_domain.to_string(),
        config_version: heartbeat.config_version,
        in_flight: heartbeat.in_flight,
        draining: heartbeat.draining,
        demand: demand.collect(),
        report_upstreams: heartbeat.reports.iter().map(|report| report.upstream).collect(),
        report_loads: heartbeat.reports.iter().map(load_number).collect(),
    }
}

/// Packs a load and whether the upstream is leaving into one number.
fn load_number(report: &ReportDigest) -> u32 {
    report.load.min(u32::MAX / 2) * 2 + u32::from(report.leaving)
}

/// Converts a received heartbeat; `None` if it is malformed.
pub fn heartbeat_from(message: HeartbeatMessage) -> Option<Heartbeat> {
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
        incarnation: incarnation_from(&message.incarnation)?,
        address: message.address.parse().ok()?,
        failure_domain: message.failure_domain.into(),
        config_version: message.config_version,
        in_flight: message.in_flight,
        draining: message.draining,
        demand: demand.collect(),
        reports: reports.collect(),
    })
}

/// Converts a submission for the owner of its key; `None` without a key.
pub fn forward_message(owner: Incarnation, submission: &Submission) -> Option<ForwardMessage> {
    Some(ForwardMessage {
        incarnation: incarnation_bytes(owner),
        pipeline: submission.pipeline.clone(),
        workspace: submission.workspace.to_string(),
        key: submission.key?.to_string(),
        non_idempotent: submission.non_idempotent,
        window_ms: submission.window_ms.unwrap_or(0),
        input: submission.input.to_string(),
        prefix: submission.prefix.clone().unwrap_or_default(),
    })
}

/// Converts the key that is asked for; `None` if it is malformed.
pub fn key_from(request: &KeyRequest) -> Option<ScopedKey> {
    let key: RequestKey = request.key.parse().ok()?;
    Some(ScopedKey { workspace: Arc::from(request.workspace.as_str()), key })
}

/// Converts an incarnation for sending.
pub fn incarnation_bytes(incarnation: Incarnation) -> Vec<u8> {
    incarnation.0.as_bytes().to_vec()
}

/// Converts a received incarnation; `None` if it is malformed.
pub fn incarnation_from(bytes: &[u8]) -> Option<Incarnation> {
    Uuid::from_slice(bytes).ok().map(Incarnation)
}
