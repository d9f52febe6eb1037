//! A TCP link to a node that can be partitioned by source address.

use {
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
    },
};

/// Pairs of addresses that are partitioned from each other, shared by all links of a test.
#[derive(Debug, Clone)]
pub struct Partitions {
    pairs: Arc<Mutex<HashSet<Pair>>>,
    changed: watch::Sender<u64>,
}

/// Traffic from one address to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pair {
    from: IpAddr,
    to: IpAddr,
}

impl Default for Partitions {
    fn default() -> Self {
        Self { pairs: Arc::default(), changed: watch::Sender::new(0) }
    }
}

impl Partitions {
    /// Partitions two addresses from each other in both directions. Existing connections are
    /// closed.
    pub fn partition(&self, a: IpAddr, b: IpAddr) {
        let mut pairs = self.pairs.lock().unwrap_or_else(PoisonError::into_inner);
        pairs.insert(Pair { from: a, to: b });
        pairs.insert(Pair { from: b, to: a });
        drop(pairs);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Removes all partitions.
    pub fn heal(&self) {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner).clear();
        self.changed.send_modify(|count| *count += 1);
    }

    fn is_partitioned(&self, pair: Pair) -> bool {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner).contains(&pair)
    }
}

/// Destination of a link; set once the address of the node is known.
#[derive(Debug, Clone, Default)]
pub struct Target(Arc<Mutex<Option<SocketAddr>>>);

impl Target {
    /// Sets the address of the node.
    pub fn set(&self, address: SocketAddr) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    fn get(&self) -> Option<SocketAddr> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a link on a free port of `ip` and returns its address.
///
/// # Errors
/// If it can't listen on `ip`.
pub async fn start(
    ip: IpAddr,
    target: Target,
    partitions: Partitions,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, source)) = listener.accept().await {
            let pair = Pair { from: source.ip(), to: ip };
            tokio::spawn(forward(stream, pair, target.clone(), partitions.clone()));
        }
    });
    Ok(address)
}

async fn forward(mut inbound: TcpStream, pair: Pair, target: Target, partitions: Partitions) {
    let mut changed = partitions.changed.subscribe();
    let Some(address) = target.get().filter(|_| !partitions.is_partitioned(pair)) else {
        return;
    };
    let Ok(socket) = TcpSocket::new_v4() else { return };
    let Ok(mut outbound) = socket.connect(address).await else { return };
    let copy = copy_bidirectional(&mut inbound, &mut outbound);
    tokio::pin!(copy);
    loop {
        tokio::select! {
            _ = &mut copy => return,
            _ = changed.changed() => {
                if partitions.is_partitioned(pair) {
                    return;
                }
            }
        }
    }
}
